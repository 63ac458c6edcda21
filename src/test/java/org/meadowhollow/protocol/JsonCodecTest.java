package org.meadowhollow.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class JsonCodecTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void bodiesThatAreNotAnObjectAreRejectedQuickly() {
        for (String invalidBody :
                List.of(
                        "",
                        "[]",
                        "1",
                        "null",
                        "{",
                        "{\"a\":}",
                        "{\"x\":".repeat(30_000),
                        "{\"x\":" + "[".repeat(30_000),
                        "{\"a\":\"\\ud800\"}",
                        "{\"\\udc00\":1}")) {
            assertTimeoutPreemptively(
                    Duration.ofSeconds(20),
                    () ->
                            assertThrows(
                                    MalformedMessageException.class,
                                    () -> JsonCodec.decode(bytes(invalidBody)),
                                    invalidBody.substring(0, Math.min(20, invalidBody.length()))));
        }
    }

    @Test
    void unknownFieldIsNotRefusedForItsDepthOnASmallStack() throws InterruptedException {
        for (int depth : new int[] {40, 200, 900, 1100, 30_000}) {
            Object[] outcome = {null};
            // Smaller than the stack of a deployed node, which is half a megabyte.
            Thread smallStackThread =
                    new Thread(
                            null,
                            () -> outcome[0] = readFieldBesideNesting(depth),
                            "s",
                            192 * 1024);
            smallStackThread.start();
            smallStackThread.join();
            assertEquals(7L, outcome[0], () -> "at depth " + depth);
        }
    }

    private static Object readFieldBesideNesting(int depth) {
        String nested = "[".repeat(depth) + "]".repeat(depth);
        try {
            return JsonCodec.decode(bytes("{\"x\":" + nested + ",\"a\":7}")).get("a");
        } catch (MalformedMessageException | StackOverflowError failure) {
            return failure;
        }
    }

    @Test
    void unknownFieldIsNotRefusedForItsDigits() {
        String digits = "9".repeat(60_000);
        Map<String, Object> map =
                assertTimeoutPreemptively(
                        Duration.ofSeconds(20),
                        () -> JsonCodec.decode(bytes("{\"x\":" + digits + ",\"a\":7}")));
        assertEquals(7L, map.get("a"));
        assertEquals(new BigInteger(digits), map.get("x"));
    }

    @Test
    void decodedValuesHaveMessagePackTypes() throws MalformedMessageException {
        Map<String, Object> map =
                JsonCodec.decode(
                        bytes("{\"a\":1,\"b\":[1.5,true,null,\"\\ud83d\\ude91\"],\"c\":{}}"));
        assertEquals(1L, map.get("a"));
        assertEquals(map, JsonCodec.decode(JsonCodec.encode(map)));
    }
}
