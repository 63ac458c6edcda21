package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;
import org.meadowhollow.model.JobId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.tes.BearerTokens;
import org.meadowhollow.transport.tracing.OtlpTaskTracer;

/**
 * Sends malformed and unusual requests that jqwik generates from fixed seeds. Each request gets an
 * answer that is not a server error, and an accepted task is returned as it was sent. Generators
 * have a fixed depth, because jqwik takes longer to set up recursive ones than this whole test
 * runs.
 */
class TesFuzzTest {
    /** Status codes that a working service may answer to any request: no server errors. */
    private static final Set<Integer> EXPECTED_STATUS_CODES =
            Set.of(200, 400, 401, 403, 404, 405, 413);

    /** The JSON of a task with a placeholder for each of its values. */
    private static final String TASK_TEMPLATE =
            """
            {"name": %s, "description": %s, "executors": [{"image": %s, "command": %s, "env": %s, "ignore_error": %s,
             "workdir": %s}], "inputs": [{"path": %s, "content": %s, "type": %s}], "outputs": %s, "volumes": %s,
             "tags": %s, "resources": {"cpu_cores": %s, "ram_gb": %s, "disk_gb": %s, "preemptible": %s, "zones": %s,
             "backend_parameters": {"gpus": %s, "max_attempts": %s, "deadline_s": %s, "machine_types": %s},
             "backend_parameters_strict": %s}, "nobody": %s}""";

    /** The value of each placeholder in a valid task. */
    private static final List<String> VALID_VALUES =
            List.of(
                    "\"n\"",
                    "\"d\"",
                    "\"i\"",
                    "[\"true\"]",
                    "{\"A\": \"b\"}",
                    "false",
                    "\"/w\"",
                    "\"/in\"",
                    "\"c\"",
                    "\"FILE\"",
                    "[]",
                    "[\"/v\"]",
                    "{\"t\": \"1\"}",
                    "1",
                    "1.5",
                    "2",
                    "false",
                    "[]",
                    "\"1\"",
                    "\"3\"",
                    "\"60\"",
                    "\"small\"",
                    "true",
                    "1");

    private final SimulatedCluster cluster = new SimulatedCluster();

    TesFuzzTest() {
        cluster.runSeconds(20);
    }

    private static Arbitrary<String> text() {
        return Arbitraries.oneOf(
                Arbitraries.strings().all().ofMaxLength(12),
                Arbitraries.strings().withCharRange('\uD800', '\uDFFF').ofMaxLength(4),
                Arbitraries.of(
                        "\u0000",
                        "\uFEFF",
                        "\u202E",
                        "e\u0301",
                        "\uD83D\uDE91",
                        "/",
                        "..",
                        "%00",
                        "x".repeat(300)));
    }

    private static String escapedJsonString(String text) {
        StringBuilder json = new StringBuilder("\"");
        for (int index = 0; index < text.length(); index++) {
            // Escapes every character by its code, because unpaired surrogates cannot be encoded
            // otherwise.
            json.append("\\u%04x".formatted((int) text.charAt(index)));
        }
        return json.append('"').toString();
    }

    private static Arbitrary<String> jsonValue() {
        Arbitrary<String> nested =
                Arbitraries.of(1, 10, 500, 900, 1100, 20_000)
                        .flatMap(
                                depth ->
                                        Arbitraries.of("[", "{\"a\":")
                                                .map(
                                                        open ->
                                                                open.repeat(depth)
                                                                        + (open.equals("[")
                                                                                        ? "]"
                                                                                        : "1" + "}")
                                                                                .repeat(depth)));
        return Arbitraries.oneOf(
                text().map(TesFuzzTest::escapedJsonString),
                nested,
                Arbitraries.of(
                        "null",
                        "true",
                        "{}",
                        "[]",
                        "[null]",
                        "0",
                        "-1",
                        "-0",
                        "1e400",
                        "-1e400",
                        "1e-400",
                        "9".repeat(30),
                        "9".repeat(1100),
                        "1." + "3".repeat(1100),
                        "NaN",
                        "9223372036854775807",
                        "9223372036854775808",
                        "0.1",
                        "1e9",
                        "\"1e400\"",
                        "\"NaN\"",
                        "\"Infinity\"",
                        "\"0x10\"",
                        "\"-1\"",
                        "\"1d\"",
                        "[1, \"a\", null]",
                        "{\"\": \"\"}",
                        "{\"a\": 1}"),
                Arbitraries.integers()
                        .between(0, 40)
                        .map(count -> "[" + "\"/a\", ".repeat(count) + "\"/b\"]"));
    }

    @Example
    void templateIsValidTask() throws MalformedMessageException {
        Http.Reply reply =
                sendRequest(
                        "POST",
                        "/tasks",
                        Map.of(),
                        TASK_TEMPLATE
                                .formatted(VALID_VALUES.toArray())
                                .getBytes(StandardCharsets.UTF_8));
        assertEquals(200, reply.status(), new String(reply.body(), StandardCharsets.UTF_8));
    }

    @Provide
    Arbitrary<String> bodies() {
        Arbitrary<String> modified =
                Combinators.combine(
                                Arbitraries.integers()
                                        .between(0, VALID_VALUES.size() - 1)
                                        .set()
                                        .ofMaxSize(3),
                                jsonValue().list().ofSize(3))
                        .as(
                                (placeholders, replacements) -> {
                                    List<String> values = new ArrayList<>(VALID_VALUES);
                                    int next = 0;
                                    for (int placeholder : placeholders) {
                                        values.set(placeholder, replacements.get(next++));
                                    }
                                    return TASK_TEMPLATE.formatted(values.toArray());
                                });
        Arbitrary<String> corrupted =
                Combinators.combine(modified, Arbitraries.integers().between(0, 900), text())
                        .as(
                                (body, index, junk) ->
                                        body.substring(0, Math.min(index, body.length()))
                                                + junk
                                                + body.substring(
                                                        Math.min(body.length(), index + 1)));
        Arbitrary<String> truncated =
                Combinators.combine(modified, Arbitraries.integers().between(0, 900))
                        .as((body, index) -> body.substring(0, Math.min(index, body.length())));
        return Arbitraries.oneOf(modified, corrupted, truncated, jsonValue(), text());
    }

    private Http.Reply sendRequest(
            String method, String path, Map<String, List<String>> query, byte[] body) {
        Http.Reply reply =
                cluster.clients().sendTesRequest(0, "secret", method, path, query, Map.of(), body);
        assertNotNull(reply, "no answer");
        return reply;
    }

    private void checkCreate(byte[] body) throws MalformedMessageException {
        Http.Reply reply = sendRequest("POST", "/tasks", Map.of(), body);
        assertTrue(
                EXPECTED_STATUS_CODES.contains(reply.status()),
                () -> reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8));
        // Checks that both outcomes are tested: enough bodies are accepted, and enough rejected.
        Statistics.collect(reply.status());
        Statistics.coverage(
                coverage -> {
                    coverage.check(200).percentage(share -> share > 5);
                    coverage.check(400).percentage(share -> share > 30);
                });
        MessageReader answer = new MessageReader(JsonCodec.decode(reply.body()));
        if (reply.status() != 200) {
            assertTrue(!answer.string("msg").isEmpty());
            return;
        }
        String id = answer.string("id");
        Map<String, Object> returned =
                JsonCodec.decode(
                        sendRequest(
                                        "GET",
                                        "/tasks/" + id,
                                        Map.of("view", List.of("FULL")),
                                        new byte[0])
                                .body());
        Map<String, Object> sent = JsonCodec.decode(body);
        for (String key : List.of("name", "description", "volumes", "tags")) {
            assertEquals(sent.get(key), returned.get(key), key);
        }
        assertEquals(
                200,
                sendRequest("POST", "/tasks/" + id + ":cancel", Map.of(), new byte[0]).status());
        cluster.run(java.time.Duration.ofSeconds(1));
        assertEquals(new JobId(id).value(), returned.get("id"));
    }

    @Property(
            tries = 1500,
            seed = "14",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void createAnswersAnyTask(@ForAll("bodies") String body) throws MalformedMessageException {
        checkCreate(body.getBytes(StandardCharsets.UTF_8));
    }

    @Property(
            tries = 500,
            seed = "15",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void createAnswersBytesThatAreNotText(@ForAll @IntRange(max = 700) int index, @ForAll byte junk)
            throws MalformedMessageException {
        byte[] bytes =
                TASK_TEMPLATE.formatted(VALID_VALUES.toArray()).getBytes(StandardCharsets.UTF_8);
        bytes[index % bytes.length] = junk;
        checkCreate(bytes);
    }

    @Provide
    Arbitrary<Map<String, List<String>>> queries() {
        Arbitrary<String> key =
                Arbitraries.of(
                        "name_prefix",
                        "state",
                        "tag_key",
                        "tag_value",
                        "view",
                        "page_size",
                        "page_token",
                        "nobody");
        Arbitrary<String> value =
                Arbitraries.oneOf(
                        text(),
                        Arbitraries.of(
                                "",
                                "MINIMAL",
                                "FULL",
                                "QUEUED",
                                "0",
                                "-1",
                                "2048",
                                "2049",
                                "9999999999999",
                                "1e3",
                                "AAAA",
                                "dGVzLTAw",
                                "%",
                                "=",
                                "OTk5OTk5OTk5OTk5OS10ZXMt"));
        return Arbitraries.maps(key, value.list().ofMinSize(1).ofMaxSize(3)).ofMaxSize(4);
    }

    @Property(
            tries = 1000,
            seed = "16",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void listsAnswerAnyQuery(@ForAll("queries") Map<String, List<String>> query)
            throws MalformedMessageException {
        Http.Reply reply = sendRequest("GET", "/tasks", query, new byte[0]);
        assertTrue(
                Set.of(200, 400).contains(reply.status()),
                () -> reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8));
        JsonCodec.decode(reply.body());
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.oneOf(
                text(),
                Arbitraries.strings().ascii().ofMaxLength(80),
                Arbitraries.strings()
                        .withChars("0123456789abcdefABCDEF-=:* ")
                        .ofMinLength(40)
                        .ofMaxLength(90));
    }

    @Property(
            tries = 1000,
            seed = "17",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void pathsTokensAndTraceContextsAreParsedOrRejected(
            @ForAll("texts") String firstText, @ForAll("texts") String secondText) {
        for (String method : List.of("GET", "POST", "DELETE", firstText)) {
            assertTrue(
                    EXPECTED_STATUS_CODES.contains(
                            sendRequest(method, "/tasks/" + secondText, Map.of(), new byte[0])
                                    .status()));
        }
        Map<String, String> headers = new HashMap<>(Map.of("Authorization", firstText));
        Http.Reply reply =
                cluster.clients()
                        .sendTesRequest(0, null, "GET", "/tasks", Map.of(), headers, new byte[0]);
        assertEquals(401, reply.status(), "a generated token is never valid");
        try {
            assertTrue(
                    BearerTokens.parse(List.of(firstText + '=' + secondText))
                            .teamOf("Bearer " + secondText)
                            .isEmpty());
        } catch (MalformedMessageException refused) {
            assertTrue(
                    !refused.getMessage().contains(secondText) || secondText.length() < 4,
                    "the error message does not reveal the token");
        }
        String context = TRACER.traceContextOf(firstText);
        assertTrue(context == null || context.length() == 55);
    }

    private static final OtlpTaskTracer TRACER =
            OtlpTaskTracer.exportingTo(URI.create("http://127.0.0.1:9"), "n0");

    @Property(
            tries = 300,
            seed = "18",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void repeatedCreateReturnsSameTaskForAnyIdempotencyKey(@ForAll("texts") String key)
            throws MalformedMessageException {
        byte[] body =
                TASK_TEMPLATE.formatted(VALID_VALUES.toArray()).getBytes(StandardCharsets.UTF_8);
        Http.Reply[] replies = new Http.Reply[2];
        Arrays.setAll(
                replies,
                index ->
                        cluster.clients()
                                .sendTesRequest(
                                        index,
                                        "secret",
                                        "POST",
                                        "/tasks",
                                        Map.of(),
                                        Map.of("Idempotency-Key", key),
                                        body));
        assertEquals(replies[0].status(), replies[1].status());
        assertTrue(Set.of(200, 400).contains(replies[0].status()));
        if (replies[0].status() == 200) {
            assertEquals(
                    new String(replies[0].body(), StandardCharsets.UTF_8),
                    new String(replies[1].body(), StandardCharsets.UTF_8));
            String id = new MessageReader(JsonCodec.decode(replies[0].body())).string("id");
            assertEquals(
                    200,
                    sendRequest("POST", "/tasks/" + id + ":cancel", Map.of(), new byte[0])
                            .status());
        }
    }
}
