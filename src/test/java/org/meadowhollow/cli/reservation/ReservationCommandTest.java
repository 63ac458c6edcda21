package org.meadowhollow.cli.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;

/** Tests the commands against a stub of a node that records requests and returns set answers. */
class ReservationCommandTest {
    private final List<String> requests = new ArrayList<>();
    private final List<Http.Reply> answers = new ArrayList<>();
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private XnioEventLoop loop;
    private HttpServer node;

    @BeforeEach
    void listen() throws IOException {
        loop = new XnioEventLoop();
        node =
                new HttpServer(
                        loop,
                        new DefaultByteBufferPool(false, 8192),
                        "127.0.0.1",
                        0,
                        0,
                        Duration.ofMinutes(1),
                        request -> {
                            synchronized (requests) {
                                requests.add(
                                        request.method()
                                                + ' '
                                                + request.path()
                                                + ' '
                                                + request.query()
                                                + ' '
                                                + request.header().apply("Authorization")
                                                + ' '
                                                + request.header().apply("If-Match")
                                                + ' '
                                                + new String(
                                                        request.body(), StandardCharsets.UTF_8));
                                return CompletableFuture.completedFuture(answers.remove(0));
                            }
                        });
    }

    @AfterEach
    void close() {
        node.close();
        loop.close();
    }

    private void enqueueAnswer(int status, Object... fields) {
        answers.add(
                new Http.Reply(
                        status,
                        JsonCodec.encode(MessageReader.mapOf(fields)),
                        status == 503 ? 1 : 0,
                        "application/json"));
    }

    private int run(String... args) {
        return ReservationCommand.run(
                args,
                Map.of(
                        "MEADOWHOLLOW_CALENDAR_URL",
                        "127.0.0.1:" + node.port(),
                        "MEADOWHOLLOW_CALENDAR_TOKEN",
                        "secret"),
                new PrintWriter(out, true),
                new PrintWriter(err, true));
    }

    @Test
    void putIsSentWithAllFieldsAndRepeatedAfterRetryAfter() throws MalformedMessageException {
        enqueueAnswer(503, "error", "the state service is out");
        enqueueAnswer(201, "version", 7L, "notes", List.of());
        assertEquals(
                0,
                run(
                        "reserve",
                        "put",
                        "calendars",
                        "--team",
                        "t",
                        "--tasks",
                        "6",
                        "--cpus",
                        "1",
                        "--ram-gb",
                        "4",
                        "--type",
                        "small",
                        "--type",
                        "large",
                        "--start",
                        "2026-12-31T02:00",
                        "--time-zone",
                        "Asia/Amman",
                        "--length",
                        "PT2H30M",
                        "--rule",
                        "FREQ=DAILY"));
        assertEquals(2, requests.size());
        assertEquals(requests.get(0), requests.get(1));
        assertTrue(
                requests.get(0)
                        .startsWith(
                                "PUT /calendar/v1/reservations/calendars {} Bearer secret null {"),
                requests.get(0));
        MessageReader body =
                new MessageReader(
                        JsonCodec.decode(
                                requests.get(0)
                                        .substring(requests.get(0).indexOf("null {") + 5)
                                        .getBytes(StandardCharsets.UTF_8)));
        assertEquals(9000.0, body.nonNegativeDouble("length_s"));
        assertEquals(List.of("small", "large"), body.stringListOrNull("machine_types"));
        assertEquals("Asia/Amman", body.string("time_zone"));
        assertTrue(out.toString().contains("\"version\":7"));
    }

    @Test
    void refusalsAndInvalidFlagsAreOneLineAndAnExitCode() {
        enqueueAnswer(
                409,
                "error",
                "the limit of team t, with first; the nearest start that could be met is 2026-12-31T04:00");
        assertEquals(1, run("window", "withdraw", "w", "--version", "3"));
        assertTrue(
                requests.get(0).startsWith("DELETE /calendar/v1/windows/w {} Bearer secret 3"),
                requests.get(0));
        assertEquals(
                "meadowhollow: 409, the limit of team t, with first; the nearest start that could be met is "
                        + "2026-12-31T04:00",
                err.toString().trim());
        for (String[] wrong :
                new String[][] {
                    {"reserve", "put"},
                    {"reserve", "list", "x"},
                    {"window", "move", "x"},
                    {"plan", "--hours", "many"},
                    {"reserve"}
                }) {
            assertEquals(2, run(wrong), String.join(" ", wrong));
        }
        assertEquals(1, run("window", "put", "w", "--length", "two hours"));
        assertEquals(1, requests.size(), "an invalid command sends no request");
    }

    @Test
    void planIsPrintedInOrderOfTimeWithConflicts() {
        for (int at = 0; at < 2; at++) {
            enqueueAnswer(
                    200,
                    "slots",
                    List.of(
                            MessageReader.mapOf(
                                    "reservation",
                                    "calendars",
                                    "team",
                                    "<t>",
                                    "from",
                                    "2026-12-31T00:00:00Z",
                                    "until",
                                    "2026-12-31T02:00:00Z",
                                    "tasks",
                                    6,
                                    "met",
                                    2,
                                    "machines",
                                    Map.of("small/a", 1),
                                    "against",
                                    List.of("window works takes small in b"))),
                    "outages",
                    List.of(
                            MessageReader.mapOf(
                                    "window",
                                    "works",
                                    "scope",
                                    "ZONE",
                                    "targets",
                                    List.of("b"),
                                    "from",
                                    "2026-12-30T23:00:00Z",
                                    "until",
                                    "2026-12-31T05:00:00Z")));
        }
        assertEquals(0, run("plan", "--hours", "24", "--time-zone", "Asia/Amman"));
        assertTrue(requests.get(0).contains("{hours=[24]}"), requests.get(0));
        List<String> lines = out.toString().lines().toList();
        assertEquals("Plan, by the clocks of Asia/Amman", lines.get(0));
        assertTrue(
                lines.get(1).startsWith("Thu 31 Dec 02:00  Thu 31 Dec 08:00  window works"),
                lines.get(1));
        assertTrue(
                lines.get(2).startsWith("Thu 31 Dec 03:00")
                        && lines.get(2).contains("2 of 6 tasks, 1 x small/a")
                        && lines.get(2).endsWith("! window works takes small in b"),
                lines.get(2));
        assertEquals(0, run("plan", "--html"));
        String page = out.toString().substring(out.toString().indexOf("<!DOCTYPE"));
        assertTrue(page.contains("team &lt;t&gt;") && page.contains("class=\"bad\""), page);
        enqueueAnswer(200, "slots", List.of(), "outages", List.of());
        assertEquals(0, run("plan"));
        assertTrue(out.toString().endsWith("Nothing is reserved or declared.\n"));
    }
}
