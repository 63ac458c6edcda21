import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for maps, lists, text, numbers, booleans and null. */
final class MsgPack {
    private MsgPack() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xc0);
        } else if (value instanceof Boolean flag) {
            out.write(flag ? 0xc3 : 0xc2);
        } else if (value instanceof Double || value instanceof Float) {
            out.write(0xcb);
            out.writeBytes(ByteBuffer.allocate(8).putDouble(((Number) value).doubleValue()).array());
        } else if (value instanceof BigInteger big) {
            out.write(0xcf);
            out.writeBytes(ByteBuffer.allocate(8).putLong(big.longValue()).array());
        } else if (value instanceof Number number) {
            long n = number.longValue();
            if (n >= 0 && n < 128) {
                out.write((int) n);
            } else {
                out.write(n >= 0 ? 0xcf : 0xd3);
                out.writeBytes(ByteBuffer.allocate(8).putLong(n).array());
            }
        } else if (value instanceof String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.write(0xdb);
            out.writeBytes(ByteBuffer.allocate(4).putInt(bytes.length).array());
            out.writeBytes(bytes);
        } else if (value instanceof List<?> list) {
            out.write(0xdd);
            out.writeBytes(ByteBuffer.allocate(4).putInt(list.size()).array());
            list.forEach(item -> write(out, item));
        } else if (value instanceof Map<?, ?> map) {
            out.write(0xdf);
            out.writeBytes(ByteBuffer.allocate(4).putInt(map.size()).array());
            map.forEach(
                    (key, item) -> {
                        write(out, key);
                        write(out, item);
                    });
        } else {
            throw new IllegalArgumentException("type " + value.getClass());
        }
    }

    static Object decode(byte[] bytes) {
        return read(ByteBuffer.wrap(bytes));
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] bytes) {
        return bytes == null || bytes.length == 0 ? new LinkedHashMap<>() : (Map<String, Object>) decode(bytes);
    }

    private static Object read(ByteBuffer in) {
        int b = in.get() & 0xff;
        if (b < 0x80) {
            return (long) b;
        }
        if (b >= 0xe0) {
            return (long) (byte) b;
        }
        if (b < 0x90) {
            return readMap(in, b & 0x0f);
        }
        if (b < 0xa0) {
            return readList(in, b & 0x0f);
        }
        if (b < 0xc0) {
            return text(in, b & 0x1f);
        }
        return switch (b) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xca -> (double) in.getFloat();
            case 0xcb -> in.getDouble();
            case 0xcc -> (long) (in.get() & 0xff);
            case 0xcd -> (long) (in.getShort() & 0xffff);
            case 0xce -> in.getInt() & 0xffffffffL;
            case 0xcf -> in.getLong();
            case 0xd0 -> (long) in.get();
            case 0xd1 -> (long) in.getShort();
            case 0xd2 -> (long) in.getInt();
            case 0xd3 -> in.getLong();
            case 0xd9 -> text(in, in.get() & 0xff);
            case 0xda -> text(in, in.getShort() & 0xffff);
            case 0xdb -> text(in, in.getInt());
            case 0xdc -> readList(in, in.getShort() & 0xffff);
            case 0xdd -> readList(in, in.getInt());
            case 0xde -> readMap(in, in.getShort() & 0xffff);
            case 0xdf -> readMap(in, in.getInt());
            default -> throw new IllegalArgumentException("byte " + b);
        };
    }

    private static String text(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<Object> readList(ByteBuffer in, int size) {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(read(in));
        }
        return list;
    }

    private static Map<String, Object> readMap(ByteBuffer in, int size) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            Object key = read(in);
            map.put((String) key, read(in));
        }
        return map;
    }

    /** The value in JSON form, in which the pages count sizes, and for the record. */
    static String json(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder text = new StringBuilder("{");
            map.forEach((k, v) -> text.append(text.length() > 1 ? "," : "").append(json(k)).append(':').append(json(v)));
            return text.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder text = new StringBuilder("[");
            list.forEach(v -> text.append(text.length() > 1 ? "," : "").append(json(v)));
            return text.append(']').toString();
        }
        if (value instanceof String text) {
            return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        return String.valueOf(value);
    }
}
