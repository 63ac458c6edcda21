package org.meadowhollow.protocol.jobs;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** The body of the submission that was refused as malformed although it followed the protocol. */
final class RecordedSubmission {
    /** The length of the refused body in bytes. */
    static final int LENGTH = 1563;

    private static final int UNKNOWN_TEXT_LENGTH = 1200;
    private static final String LABELS = "x_labels";

    private RecordedSubmission() {}

    /** Returns the body as it was sent. */
    static byte[] body() {
        return encode(labels());
    }

    /** Returns the body without one of its labels. */
    static byte[] bodyWithout(String label) {
        Map<String, byte[]> labels = labels();
        if (labels.remove(label) == null) {
            throw new IllegalArgumentException("no such label: " + label);
        }
        return encode(labels);
    }

    /** Returns the names of the labels, which no receiver reads. */
    static List<String> labelNames() {
        return List.copyOf(labels().keySet());
    }

    private static byte[] encode(Map<String, byte[]> labels) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(22);
            packer.packString("x_text").packString(unknownText());
            packer.packString("bookmarkS").packDouble(0.0);
            packer.packString("breeds").packNil();
            packer.packString("bundle").packString("img-300");
            packer.packString("chores").packLong(1);
            packer.packString("cores").packDouble(5.0);
            packer.packString("crew").packString("routing-desk");
            packer.packString("dueS").packDouble(36.0);
            packer.packString("expectedS").packDouble(13.0);
            packer.packString("field").packNil();
            packer.packString("gpus").packDouble(1.0);
            packer.packString("herd").packString("street-sweep");
            packer.packString("loaners").packBoolean(true);
            packer.packString("memGb").packDouble(16.0);
            packer.packString("pullGb").packDouble(2.2);
            packer.packString("ref").packString("req-249353");
            packer.packString("shape").packString("array");
            packer.packString("spread").packBoolean(false);
            packer.packString("stashS").packDouble(2.0);
            packer.packString("together").packBoolean(false);
            packer.packString("urgency").packString("normal");
            packer.packString(LABELS).packMapHeader(labels.size());
            for (Map.Entry<String, byte[]> label : labels.entrySet()) {
                packer.packString(label.getKey()).writePayload(label.getValue());
            }
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static String unknownText() {
        return "lorem ipsum ".repeat(UNKNOWN_TEXT_LENGTH / 12);
    }

    /** The labels in the order of the recorded bytes, each with its encoded value. */
    private static Map<String, byte[]> labels() {
        Map<String, byte[]> labels = new LinkedHashMap<>();
        labels.put("größe", encoded(packer -> packer.packString("日本語 ✓")));
        labels.put("n", bytes(0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff));
        labels.put("m", encoded(packer -> packer.packInt(-7)));
        labels.put("f", encoded(packer -> packer.packDouble(1.25)));
        labels.put("none", encoded(packer -> packer.packNil()));
        labels.put("l", bytes(0x93, 0x90, 0x80, 0xc3));
        labels.put("deep", bytes(0x91, 0x91, 0x91, 0x91, 0x90));
        return labels;
    }

    private interface Packing {
        void packTo(MessageBufferPacker packer) throws IOException;
    }

    private static byte[] encoded(Packing packing) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packing.packTo(packer);
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static byte[] bytes(int... values) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Arrays.stream(values).forEach(all::write);
        return all.toByteArray();
    }
}
