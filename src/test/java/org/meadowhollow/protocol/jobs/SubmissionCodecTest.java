package org.meadowhollow.protocol.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

class SubmissionCodecTest {
    private static Map<String, Object> validSubmission() {
        return MessageReader.mapOf(
                "ref",
                "req-000412",
                "herd",
                "train",
                "crew",
                "vision",
                "shape",
                "ensemble",
                "urgency",
                "urgent",
                "chores",
                16L,
                "cores",
                8.0,
                "gpus",
                1L,
                "memGb",
                64.0,
                "bundle",
                "img-07",
                "pullGb",
                6.2,
                "breeds",
                List.of("g8"),
                "field",
                null,
                "together",
                true,
                "spread",
                false,
                "loaners",
                true,
                "expectedS",
                240.0,
                "bookmarkS",
                30.0,
                "stashS",
                4.0,
                "dueS",
                null,
                "unheardOf",
                "ignored");
    }

    private static JobSpec decode(Map<String, Object> body) throws MalformedMessageException {
        return SubmissionCodec.decode(MessageReader.decode(MessagePackCodec.encode(body)));
    }

    @Test
    void decodesSubmissionIntoJobSpec() throws MalformedMessageException {
        JobSpec spec = decode(validSubmission());
        assertEquals(JobKind.GANG, spec.kind());
        assertEquals(Priority.HIGH, spec.priority());
        assertEquals(16, spec.taskCount());
        assertEquals(1_000_000, spec.resourcesPerTask().gpu());
        assertEquals(Double.NaN, spec.deadlineSeconds());
    }

    @Test
    void absentNullableFieldEqualsNull() throws MalformedMessageException {
        Map<String, Object> body = new HashMap<>(validSubmission());
        body.put("breeds", null);
        Map<String, Object> shorter = new HashMap<>(body);
        for (String nullableField : List.of("field", "dueS", "breeds")) {
            shorter.remove(nullableField);
            assertEquals(decode(body), decode(shorter), nullableField);
        }
    }

    /**
     * Only three fields of a submission may be null or absent; a submission that lacks any other
     * field is rejected.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "ref",
                "herd",
                "crew",
                "shape",
                "urgency",
                "chores",
                "cores",
                "gpus",
                "memGb",
                "bundle",
                "pullGb",
                "together",
                "spread",
                "loaners",
                "expectedS",
                "bookmarkS",
                "stashS"
            })
    void requiredFieldMustBePresentAndOfItsType(String field) {
        Map<String, Object> without = new HashMap<>(validSubmission());
        without.remove(field);
        assertThrows(MalformedMessageException.class, () -> decode(without), "missing");
        Object valid = validSubmission().get(field);
        List<Object> wrong = new ArrayList<>(Arrays.asList(null, List.of(), Map.of("a", 1L)));
        wrong.add(valid instanceof Boolean ? (Object) 1L : true);
        wrong.add(valid instanceof String ? (Object) 7L : "7");
        if (valid instanceof Number) {
            wrong.addAll(List.of(-1.0, -1L, Double.NaN, Double.POSITIVE_INFINITY));
        }
        for (Object value : wrong) {
            Map<String, Object> body = validSubmission();
            body.put(field, value);
            assertThrows(
                    MalformedMessageException.class, () -> decode(body), field + " as " + value);
        }
    }

    @Test
    void invalidValuesAreMalformed() {
        for (Object[] wrong :
                new Object[][] {
                    {"ref", "job-1"},
                    {"ref", null},
                    {"chores", 0L},
                    {"chores", 100_001L},
                    {"chores", 2.5},
                    {"chores", "2"},
                    {"cores", -1.0},
                    {"cores", Double.NaN},
                    {"shape", "heap"},
                    {"urgency", 3L},
                    {"breeds", "g8"},
                    {"breeds", List.of(1L)},
                    {"together", "yes"},
                    {"herd", ""},
                    {"urgency", "soon"},
                    {"shape", "Array"},
                    {"field", 3L},
                    {"field", true},
                    {"dueS", -1.0},
                    {"dueS", "9"},
                    {"dueS", Double.NaN},
                    {"breeds", Map.of()},
                    {"breeds", Arrays.asList("g8", null)},
                    {"chores", -1L},
                    {"chores", Long.MAX_VALUE}
                }) {
            Map<String, Object> body = validSubmission();
            body.put((String) wrong[0], wrong[1]);
            assertThrows(
                    MalformedMessageException.class, () -> decode(body), Arrays.toString(wrong));
        }
    }

    @Test
    void brokenBodiesAreMalformed() {
        byte[] valid = MessagePackCodec.encode(validSubmission());
        byte[] deep = new byte[5000];
        Arrays.fill(deep, (byte) 0x91);
        byte[] oversizedHeader = {(byte) 0xdf, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        byte[] nested = new byte[deep.length + 3];
        nested[0] = (byte) 0x81;
        nested[1] = (byte) 0xa1;
        nested[2] = 'a';
        System.arraycopy(deep, 0, nested, 3, deep.length);
        for (byte[] broken :
                new byte[][] {
                    {},
                    {(byte) 0xc1},
                    Arrays.copyOf(valid, valid.length - 3),
                    Arrays.copyOf(valid, valid.length + 1),
                    deep,
                    nested,
                    oversizedHeader
                }) {
            assertThrows(MalformedMessageException.class, () -> MessagePackCodec.decode(broken));
        }
    }
}
