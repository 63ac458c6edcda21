package org.meadowhollow.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.meadowhollow.protocol.MalformedMessageException.Defect;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class MessageReaderTest {
    private static final BigInteger MAX_UNSIGNED = new BigInteger("18446744073709551615");

    /** Smaller than the stack of a deployed node, which is half a megabyte. */
    private static final int SMALL_STACK_BYTES = 192 * 1024;

    private static byte[] bytes(int... values) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Arrays.stream(values).forEach(all::write);
        return all.toByteArray();
    }

    /** Returns the body {"x": lists nested this deep, "a": 7}. */
    private static byte[] bodyWithNesting(int depth) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(2).packString("x");
            for (int at = 0; at < depth; at++) {
                packer.packArrayHeader(1);
            }
            packer.packNil().packString("a").packLong(7);
            return packer.toByteArray();
        }
    }

    private static Defect defectOf(byte[] body) {
        return assertThrows(
                        MalformedMessageException.class, () -> MessageReader.decodeRequest(body))
                .defect();
    }

    @Test
    void unknownFieldIsNotRefusedForItsDepthOnASmallStack() throws Exception {
        byte[] body = bodyWithNesting(30_000);
        Object[] outcome = {null};
        Thread smallStackThread =
                new Thread(null, () -> outcome[0] = readField(body), "small", SMALL_STACK_BYTES);
        smallStackThread.start();
        smallStackThread.join();
        assertEquals(7L, outcome[0]);
    }

    private static Object readField(byte[] body) {
        try {
            assertEquals(2, MessageReader.decode(body).map().size());
            return MessageReader.decodeRequest(body).nonNegativeLong("a");
        } catch (MalformedMessageException | StackOverflowError failure) {
            return failure;
        }
    }

    @Test
    void requestIsNotRefusedForItsSizeInMessagePackAlone() throws Exception {
        byte[] body;
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(2).packString("a").packLong(7).packString("x");
            int numbers = (MessageReader.MAX_REQUEST_JSON_BYTES - 20) / 2;
            packer.packArrayHeader(numbers);
            for (int at = 0; at < numbers; at++) {
                packer.packDouble(1);
            }
            body = packer.toByteArray();
        }
        assertTrue(body.length > 4 * MessageReader.MAX_REQUEST_JSON_BYTES);
        assertTrue(body.length <= MessageReader.MAX_REQUEST_BYTES);
        assertEquals(7, MessageReader.decodeRequest(body).nonNegativeLong("a"));
    }

    @Test
    void requestThatIsTooLargeInJsonIsRefused() throws MalformedMessageException {
        Map<String, Object> message =
                Map.of("x", "y".repeat(MessageReader.MAX_REQUEST_JSON_BYTES - 7));
        byte[] body = MessagePackCodec.encode(message);
        assertEquals(Defect.TOO_LARGE, defectOf(body));
        assertTrue(MessageReader.decode(body).has("x"), "other bodies have no limit");
        String shorter = "y".repeat(MessageReader.MAX_REQUEST_JSON_BYTES - 8);
        MessageReader largest =
                MessageReader.decodeRequest(MessagePackCodec.encode(Map.of("x", shorter)));
        assertEquals(shorter, largest.string("x"));
    }

    @Test
    void defectNamesWhatIsWrongWithABody() {
        assertEquals(Defect.NOT_A_MAP, defectOf(bytes()));
        assertEquals(Defect.NOT_A_MAP, defectOf(bytes(0x90)));
        assertEquals(Defect.CUT_SHORT, defectOf(bytes(0x81, 0xa1, 'a')));
        assertEquals(Defect.CUT_SHORT, defectOf(bytes(0xdf, 0x7f, 0xff, 0xff, 0xff)));
        assertEquals(Defect.CUT_SHORT, defectOf(bytes(0x81, 0xa1, 'a', 0xdb, 0x7f, 0, 0, 0)));
        assertEquals(Defect.TRAILING_BYTES, defectOf(bytes(0x80, 0xc0)));
        assertEquals(Defect.NOT_MESSAGE_PACK, defectOf(bytes(0x81, 0xa1, 'a', 0xc1)));
        assertEquals(Defect.NOT_MESSAGE_PACK, defectOf(bytes(0x81, 0xa1, 'a', 0xc4, 1, 0)));
    }

    @Test
    void integerIsReadWholeUpToItsUnsignedLimit() throws MalformedMessageException {
        Map<String, Object> message =
                Map.of("max", MAX_UNSIGNED, "half", MessagePackCodec.ofUnsigned(1L << 63), "n", 5L);
        MessageReader reader = MessageReader.decode(MessagePackCodec.encode(message));
        assertEquals(-1L, reader.unsignedLong("max"));
        assertEquals(Long.MIN_VALUE, reader.unsignedLong("half"));
        assertEquals(5, reader.unsignedLong("n"));
        assertThrows(MalformedMessageException.class, () -> reader.nonNegativeLong("max"));
        assertEquals(message, reader.map());
        MessageReader negative = new MessageReader(Map.of("n", -5L, "f", 1.0));
        assertThrows(MalformedMessageException.class, () -> negative.unsignedLong("n"));
        assertThrows(MalformedMessageException.class, () -> negative.unsignedLong("f"));
    }

    @Test
    void amountIsNotRefusedForItsSize() throws MalformedMessageException {
        MessageReader reader =
                MessageReader.decode(
                        MessagePackCodec.encode(
                                Map.of("a", 1e15, "b", MAX_UNSIGNED, "c", 2L, "d", 1e-300)));
        assertEquals(reader.nonNegativeDouble("a"), reader.nonNegativeDouble("b"));
        assertTrue(reader.nonNegativeDouble("a") >= 1e9);
        assertEquals(2, reader.nonNegativeDouble("c"));
        assertEquals(1e-300, reader.nonNegativeDouble("d"));
    }

    @Test
    void mapsAndListsReadTheSameFromBytesAsFromDecodedFields() throws MalformedMessageException {
        Map<String, Object> message =
                Map.of(
                        "list",
                        List.of(Map.of("k", "ä"), Map.of("k", "b", "x", List.of(List.of()))),
                        "map",
                        Map.of("names", List.of("p", "q"), "flag", true),
                        "null",
                        Collections.emptyMap());
        for (MessageReader reader :
                List.of(
                        new MessageReader(message),
                        MessageReader.decode(MessagePackCodec.encode(message)))) {
            assertEquals("ä", reader.nestedList("list").get(0).string("k"));
            assertEquals("b", reader.nestedList("list").get(1).string("k"));
            assertEquals(List.of("p", "q"), reader.nested("map").stringListOrNull("names"));
            assertTrue(reader.nested("map").booleanValue("flag"));
            assertEquals(message, reader.map());
        }
    }

    @Test
    void mapThatIsReadMayOnlyHaveTextAsKeys() throws MalformedMessageException {
        byte[] body = bytes(0x81, 0xa1, 'm', 0x81, 1, 2);
        MessageReader reader = MessageReader.decode(body);
        assertThrows(MalformedMessageException.class, () -> reader.nested("m").has("k"));
        assertThrows(
                MalformedMessageException.class,
                () -> MessageReader.decode(bytes(0x81, 1, 2)).has("k"));
    }

    @Test
    void lastOfSeveralFieldsWithTheSameNameCounts() throws MalformedMessageException {
        byte[] body = "\u0082\u00a1a\u0001\u00a1a\u0002".getBytes(StandardCharsets.ISO_8859_1);
        assertEquals(2, MessageReader.decode(body).nonNegativeLong("a"));
        assertEquals(Map.of("a", 2L), MessageReader.decode(body).map());
    }
}
