package org.meadowhollow.protocol;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Encodes messages as MessagePack in ways that the protocol allows, chosen at random: fields in any
 * order, null fields left out, unknown fields of every kind in every map, and headers, integers and
 * amounts of any width that holds them.
 */
public final class RandomEncoding {
    private static final int MAX_UNKNOWN_FIELDS = 3;
    private static final int MAX_UNKNOWN_ITEMS = 4;
    private static final int MAX_UNKNOWN_DEPTH = 3;
    private static final int DEEP_NESTING = 3000;
    private static final int LONG_TEXT = 1200;

    /** The bytes of unknown fields after which a message gets no more, as its size is limited. */
    private static final int MAX_UNKNOWN_BYTES = 8 * 1024;

    // The first bytes of the values that MessagePack encodes in more than one way.
    private static final int POSITIVE_FIXINT_MAX = 0x7f;
    private static final int FIXMAP = 0x80;
    private static final int FIXARRAY = 0x90;
    private static final int FIXSTR = 0xa0;
    private static final int NIL = 0xc0;
    private static final int FALSE = 0xc2;
    private static final int TRUE = 0xc3;
    private static final int FLOAT32 = 0xca;
    private static final int FLOAT64 = 0xcb;
    private static final int UINT8 = 0xcc;
    private static final int INT8 = 0xd0;
    private static final int STR8 = 0xd9;
    private static final int ARRAY16 = 0xdc;
    private static final int MAP16 = 0xde;

    private final Random random;
    private final Set<String> opaqueFields;
    private int unknownBytes;

    /**
     * @param opaqueFields the fields in whose values no unknown fields are put, as those of stored
     *     records, which the store returns as they were written
     */
    public RandomEncoding(Random random, String... opaqueFields) {
        this.random = random;
        this.opaqueFields = Set.of(opaqueFields);
    }

    /** Encodes a message; its integers are {@code Long}s, and its amounts {@code Double}s. */
    public byte[] encode(Map<String, ?> message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        unknownBytes = 0;
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writeMap(out, message, true);
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return bytes.toByteArray();
    }

    private void writeMap(DataOutputStream out, Map<String, ?> map, boolean addsUnknown)
            throws IOException {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, ?> field : map.entrySet()) {
            if (field.getValue() != null || !addsUnknown || random.nextBoolean()) {
                names.add(field.getKey());
            }
        }
        int unknownFields =
                addsUnknown && unknownBytes < MAX_UNKNOWN_BYTES
                        ? random.nextInt(MAX_UNKNOWN_FIELDS + 1)
                        : 0;
        for (int at = 0; at < unknownFields; at++) {
            names.add("x_" + (random.nextBoolean() ? "größe" : "label") + at);
        }
        if (addsUnknown) {
            Collections.shuffle(names, random);
        }
        writeHeader(out, FIXMAP, MAP16, names.size());
        for (String name : names) {
            int start = out.size();
            writeText(out, name);
            if (map.containsKey(name)) {
                writeValue(out, map.get(name), addsUnknown && !opaqueFields.contains(name));
            } else {
                writeUnknown(out, 0);
                unknownBytes += out.size() - start;
            }
        }
    }

    @SuppressWarnings("unchecked") // Messages have string keys.
    private void writeValue(DataOutputStream out, Object value, boolean addsUnknown)
            throws IOException {
        if (value == null) {
            out.writeByte(NIL);
        } else if (value instanceof Boolean flag) {
            out.writeByte(flag ? TRUE : FALSE);
        } else if (value instanceof String text) {
            writeText(out, text);
        } else if (value instanceof Double amount) {
            writeAmount(out, amount, addsUnknown);
        } else if (value instanceof BigInteger number) {
            out.writeByte(UINT8 + 3);
            out.writeLong(number.longValue());
        } else if (value instanceof Number number) {
            writeInteger(out, number.longValue());
        } else if (value instanceof List<?> list) {
            writeHeader(out, FIXARRAY, ARRAY16, list.size());
            for (Object item : list) {
                writeValue(out, item, addsUnknown);
            }
        } else {
            writeMap(out, (Map<String, ?>) value, addsUnknown);
        }
    }

    /** Writes an amount as a float of either width, or as an integer, if that holds it. */
    private void writeAmount(DataOutputStream out, double amount, boolean mayBeInteger)
            throws IOException {
        if (mayBeInteger && amount == (long) amount && random.nextInt(3) == 0) {
            writeInteger(out, (long) amount);
        } else if (amount == (float) amount && random.nextBoolean()) {
            out.writeByte(FLOAT32);
            out.writeFloat((float) amount);
        } else {
            out.writeByte(FLOAT64);
            out.writeDouble(amount);
        }
    }

    /** Writes an integer with a random width of those that hold it. */
    private void writeInteger(DataOutputStream out, long value) throws IOException {
        if (value >= 0 && value <= POSITIVE_FIXINT_MAX && random.nextBoolean()) {
            out.writeByte((int) value);
            return;
        }
        boolean signed = value < 0 || random.nextBoolean();
        int needed = signed ? signedWidth(value) : unsignedWidth(value);
        int width = needed + random.nextInt(4 - needed);
        out.writeByte((signed ? INT8 : UINT8) + width);
        writeBigEndian(out, value, 1 << width);
    }

    private static int signedWidth(long value) {
        if (value == (byte) value) {
            return 0;
        }
        if (value == (short) value) {
            return 1;
        }
        return value == (int) value ? 2 : 3;
    }

    private static int unsignedWidth(long value) {
        if (value <= 0xff) {
            return 0;
        }
        if (value <= 0xffff) {
            return 1;
        }
        return value <= 0xffff_ffffL ? 2 : 3;
    }

    private static void writeBigEndian(DataOutputStream out, long value, int bytes)
            throws IOException {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out.writeByte((int) (value >>> shift));
        }
    }

    private void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < 32 && random.nextBoolean()) {
            out.writeByte(FIXSTR + bytes.length);
        } else {
            int needed = bytes.length <= 0xff ? 0 : bytes.length <= 0xffff ? 1 : 2;
            int width = needed + random.nextInt(3 - needed);
            out.writeByte(STR8 + width);
            writeBigEndian(out, bytes.length, 1 << width);
        }
        out.write(bytes);
    }

    private void writeHeader(DataOutputStream out, int fix, int with16Bits, int size)
            throws IOException {
        if (size < 16 && random.nextBoolean()) {
            out.writeByte(fix + size);
            return;
        }
        boolean wide = size > 0xffff || random.nextBoolean();
        out.writeByte(with16Bits + (wide ? 1 : 0));
        writeBigEndian(out, size, wide ? 4 : 2);
    }

    /** Writes a value of a random kind, as a field may have that no receiver knows. */
    private void writeUnknown(DataOutputStream out, int depth) throws IOException {
        switch (random.nextInt(depth < MAX_UNKNOWN_DEPTH ? 12 : 9)) {
            case 0 -> out.writeByte(NIL);
            case 1 -> out.writeByte(random.nextBoolean() ? TRUE : FALSE);
            case 2 -> writeText(out, "日本語 ✓");
            case 3 -> writeText(out, random.nextInt(50) == 0 ? "x".repeat(LONG_TEXT) : "");
            case 4 -> writeAmount(out, -1e300, false);
            case 5 -> {
                out.writeByte(UINT8 + 3);
                out.writeLong(-1L - random.nextInt(3));
            }
            case 6 -> writeInteger(out, Long.MIN_VALUE);
            case 7 -> writeInteger(out, random.nextInt());
            case 8 -> writeInteger(out, -1 - random.nextInt(40));
            case 9 -> {
                int size = random.nextInt(MAX_UNKNOWN_ITEMS);
                writeHeader(out, FIXMAP, MAP16, size);
                for (int at = 0; at < size; at++) {
                    writeText(out, "k" + at);
                    writeUnknown(out, depth + 1);
                }
            }
            case 10 -> {
                int size = random.nextInt(MAX_UNKNOWN_ITEMS);
                writeHeader(out, FIXARRAY, ARRAY16, size);
                for (int at = 0; at < size; at++) {
                    writeUnknown(out, depth + 1);
                }
            }
            default -> writeNested(out, random.nextInt(200) == 0 ? DEEP_NESTING : 20);
        }
    }

    private static void writeNested(DataOutputStream out, int depth) throws IOException {
        for (int at = 0; at < depth; at++) {
            out.writeByte(FIXARRAY + 1);
        }
        out.writeByte(NIL);
    }
}
