package org.meadowhollow.protocol.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.RandomEncoding;

class SoundSubmissionRefusedTest {
    private static final List<String> SHAPES = List.of("array", "ensemble", "standing");
    private static final List<String> URGENCIES = List.of("critical", "urgent", "normal", "idle");
    private static final List<String> NULLABLE = List.of("breeds", "field", "dueS");

    private static LongStream seeds() {
        // The system property allows single runs with many seeds.
        return LongStream.rangeClosed(1, Long.getLong("submission.seeds", 400));
    }

    private static JobSpec decode(byte[] body) throws MalformedMessageException {
        return SubmissionCodec.decode(MessageReader.decodeRequest(body));
    }

    @Test
    void recordedSubmissionIsNotRefusedForAFieldThatNoOneReads() throws MalformedMessageException {
        byte[] body = RecordedSubmission.body();
        assertEquals(RecordedSubmission.LENGTH, body.length);
        assertEquals("req-249353", decode(body).id().value());
    }

    @ParameterizedTest
    @MethodSource("org.meadowhollow.protocol.jobs.RecordedSubmission#labelNames")
    void recordedJobIsTheSameWithoutAnyOneOfItsUnknownFields(String label)
            throws MalformedMessageException {
        assertEquals(
                decode(RecordedSubmission.body()), decode(RecordedSubmission.bodyWithout(label)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void soundSubmissionIsTheSameJobInAnyEncoding(long seed) throws MalformedMessageException {
        Random random = new Random(seed);
        Map<String, Object> submission = randomSubmission(random);
        JobSpec spec = decode(MessagePackCodec.encode(submission));
        assertEquals(spec, decode(MessagePackCodec.encode(SubmissionCodec.encode(spec))));
        RandomEncoding encoding = new RandomEncoding(random);
        for (int repetition = 0; repetition < 3; repetition++) {
            assertEquals(spec, decode(encoding.encode(submission)));
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void submissionWithOneCorruptionIsRefused(long seed) {
        Random random = new Random(seed);
        Map<String, Object> submission = randomSubmission(random);
        RandomEncoding encoding = new RandomEncoding(random);
        byte[] body = encoding.encode(submission);
        assertRefused(Arrays.copyOf(body, random.nextInt(body.length)), "cut short");
        assertRefused(Arrays.copyOf(body, body.length + 1), "goes on after its map");
        List<String> names = new ArrayList<>(submission.keySet());
        String name = names.get(random.nextInt(names.size()));
        if (!NULLABLE.contains(name)) {
            Map<String, Object> without = new HashMap<>(submission);
            without.remove(name);
            assertRefused(encoding.encode(without), name + " missing");
        }
        for (Object wrong : wrongValues(name, submission.get(name))) {
            Map<String, Object> changed = new HashMap<>(submission);
            changed.put(name, wrong);
            assertRefused(encoding.encode(changed), name + " as " + wrong);
        }
    }

    private static void assertRefused(byte[] body, String corruption) {
        assertThrows(MalformedMessageException.class, () -> decode(body), corruption);
    }

    private static List<Object> wrongValues(String name, Object valid) {
        List<Object> wrong = new ArrayList<>(List.of(Map.of("a", 1L), List.of(List.of())));
        wrong.add(valid instanceof Boolean ? (Object) 1L : true);
        wrong.add(valid instanceof String || NULLABLE.contains(name) ? (Object) 7.5 : "7");
        if (valid instanceof Number) {
            wrong.addAll(List.of(-1.0, -1L, Double.NaN, Double.POSITIVE_INFINITY, Long.MIN_VALUE));
        }
        if (name.equals("chores")) {
            wrong.addAll(List.of(1.5, 0L, 100_001L, MessagePackCodec.ofUnsigned(-1)));
        }
        if (name.equals("dueS")) {
            wrong.remove((Object) 7.5);
        }
        return wrong;
    }

    private static Map<String, Object> randomSubmission(Random random) {
        Map<String, Object> submission = new LinkedHashMap<>();
        submission.put("ref", "req-" + "123456".repeat(1 + random.nextInt(20)));
        submission.put("herd", randomName(random));
        submission.put("crew", randomName(random));
        submission.put("shape", SHAPES.get(random.nextInt(SHAPES.size())));
        submission.put("urgency", URGENCIES.get(random.nextInt(URGENCIES.size())));
        submission.put("chores", 1L + random.nextInt(100_000));
        for (String amount :
                List.of(
                        "cores",
                        "gpus",
                        "memGb",
                        "pullGb",
                        "expectedS",
                        "bookmarkS",
                        "stashS",
                        "dueS")) {
            submission.put(amount, randomAmount(random));
        }
        if (random.nextBoolean()) {
            submission.put("dueS", null);
        }
        submission.put("bundle", randomName(random));
        submission.put("breeds", random.nextBoolean() ? null : List.of("g8", randomName(random)));
        submission.put("field", random.nextBoolean() ? null : randomName(random));
        for (String flag : List.of("together", "spread", "loaners")) {
            submission.put(flag, random.nextBoolean());
        }
        return submission;
    }

    private static String randomName(Random random) {
        return "größe ✓".repeat(1 + random.nextInt(random.nextInt(10) == 0 ? 100 : 3));
    }

    private static double randomAmount(Random random) {
        return switch (random.nextInt(5)) {
            case 0 -> random.nextInt(100);
            case 1 -> random.nextInt(1000) / 10.0;
            case 2 -> 1e-300;
            case 3 -> 1e15;
            default -> Double.MAX_VALUE;
        };
    }
}
