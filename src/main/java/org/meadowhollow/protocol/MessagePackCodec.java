package org.meadowhollow.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Converts MessagePack bodies to and from maps with string keys. The values are such maps, lists,
 * strings, numbers (long and double), booleans and null. Stateless.
 */
public final class MessagePackCodec {
    /**
     * The maximum nesting depth, deeper than that of any message of the protocols; protects the
     * stack against malicious bodies.
     */
    private static final int MAX_NESTING_DEPTH = 16;

    private MessagePackCodec() {}

    /**
     * Encodes a map in the order of its entries.
     *
     * @throws IllegalArgumentException if a value has an unsupported type
     */
    public static byte[] encode(Map<String, ?> body) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer, body);
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static void pack(MessageBufferPacker packer, Object value) throws IOException {
        if (value == null) {
            packer.packNil();
        } else if (value instanceof String text) {
            packer.packString(text);
        } else if (value instanceof Double number) {
            packer.packDouble(number);
        } else if (value instanceof Number number) {
            packer.packLong(number.longValue());
        } else if (value instanceof Boolean flag) {
            packer.packBoolean(flag);
        } else if (value instanceof List<?> list) {
            packer.packArrayHeader(list.size());
            for (Object item : list) {
                pack(packer, item);
            }
        } else if (value instanceof Map<?, ?> map) {
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                packer.packString((String) entry.getKey());
                pack(packer, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("unsupported value type: " + value.getClass());
        }
    }

    /** Decodes a body that must be one map with nothing after it. */
    public static Map<String, Object> decode(byte[] body) throws MalformedMessageException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            if (!unpacker.hasNext() || unpacker.getNextFormat().getValueType() != ValueType.MAP) {
                throw new MalformedMessageException("the body is not a map");
            }
            Map<String, Object> map = unpackMap(unpacker, body.length, 1);
            if (unpacker.hasNext()) {
                throw new MalformedMessageException("the body goes on after its map");
            }
            return map;
        } catch (IOException | MessagePackException malformed) {
            throw new MalformedMessageException("the body is not MessagePack");
        }
    }

    private static Map<String, Object> unpackMap(MessageUnpacker unpacker, int maxLength, int depth)
            throws IOException, MalformedMessageException {
        int size = unpacker.unpackMapHeader();
        // A header may claim far more entries than the body holds, and would make the map allocate
        // for them; each entry takes at least two bytes.
        if (size > maxLength / 2 || depth > MAX_NESTING_DEPTH) {
            throw new MalformedMessageException(
                    depth > MAX_NESTING_DEPTH
                            ? "the body is nested too deeply"
                            : "the body is cut short");
        }
        Map<String, Object> map = new LinkedHashMap<>(size * 2);
        for (int at = 0; at < size; at++) {
            if (unpacker.getNextFormat().getValueType() != ValueType.STRING) {
                throw new MalformedMessageException("a key is not text");
            }
            map.put(unpacker.unpackString(), unpackValue(unpacker, maxLength, depth + 1));
        }
        return map;
    }

    private static Object unpackValue(MessageUnpacker unpacker, int maxLength, int depth)
            throws IOException, MalformedMessageException {
        switch (unpacker.getNextFormat().getValueType()) {
            case NIL -> {
                unpacker.unpackNil();
                return null;
            }
            case BOOLEAN -> {
                return unpacker.unpackBoolean();
            }
            case INTEGER -> {
                return unpacker.unpackLong();
            }
            case FLOAT -> {
                return unpacker.unpackDouble();
            }
            case STRING -> {
                return unpacker.unpackString();
            }
            case ARRAY -> {
                int size = unpacker.unpackArrayHeader();
                if (size > maxLength || depth > MAX_NESTING_DEPTH) {
                    throw new MalformedMessageException(
                            depth > MAX_NESTING_DEPTH
                                    ? "the body is nested too deeply"
                                    : "the body is cut short");
                }
                List<Object> list = new ArrayList<>(size);
                for (int at = 0; at < size; at++) {
                    list.add(unpackValue(unpacker, maxLength, depth + 1));
                }
                return list;
            }
            case MAP -> {
                return unpackMap(unpacker, maxLength, depth);
            }
            default ->
                    throw new MalformedMessageException("binary and extension values are not used");
        }
    }
}
