package org.meadowhollow.protocol;

import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Converts MessagePack bodies to and from maps with string keys. The values are such maps, lists,
 * strings, numbers (long, {@link BigInteger} from 2^63 to 2^64 - 1, and double), booleans and null.
 * Stateless.
 */
public final class MessagePackCodec {
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
        } else if (value instanceof BigInteger number) {
            packer.packBigInteger(number);
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

    /** Decodes every value of a body that must be one map with nothing after it. */
    public static Map<String, Object> decode(byte[] body) throws MalformedMessageException {
        EncodedMap map = EncodedMap.ofBody(body);
        return map.decodeAll();
    }

    /**
     * Decodes the map that an unpacker is positioned at, with all maps and lists in it. Uses no
     * recursion, so that the depth of the values is bounded by their length alone.
     *
     * @throws MalformedMessageException if a key of any of the maps is not text
     */
    static Map<String, Object> decodeTree(MessageUnpacker unpacker)
            throws IOException, MalformedMessageException {
        Deque<OpenContainer> open = new ArrayDeque<>();
        OpenContainer root = OpenContainer.begin(unpacker);
        open.push(root);
        while (!open.isEmpty()) {
            OpenContainer container = open.peek();
            if (container.remaining == 0) {
                open.pop();
                continue;
            }
            container.remaining--;
            container.readKey(unpacker);
            ValueType type = unpacker.getNextFormat().getValueType();
            if (type.isArrayType() || type.isMapType()) {
                OpenContainer nested = OpenContainer.begin(unpacker);
                container.add(nested.map != null ? nested.map : nested.list);
                open.push(nested);
            } else {
                container.add(decodeScalar(unpacker));
            }
        }
        return root.map;
    }

    /** Decodes the next value, which must not be a map, a list, or binary. */
    static Object decodeScalar(MessageUnpacker unpacker) throws IOException {
        MessageFormat format = unpacker.getNextFormat();
        return switch (format.getValueType()) {
            case NIL -> {
                unpacker.unpackNil();
                yield null;
            }
            case BOOLEAN -> unpacker.unpackBoolean();
            case INTEGER ->
                    format == MessageFormat.UINT64
                            ? ofUnsigned(unpacker.unpackBigInteger().longValue())
                            : (Object) unpacker.unpackLong();
            case FLOAT -> unpacker.unpackDouble();
            case STRING -> unpacker.unpackString();
            default -> throw new MessagePackException("not a scalar");
        };
    }

    /**
     * Returns the value that stands for an unsigned integer in decoded and encoded maps.
     *
     * @param bits the integer from 0 to 2^64 - 1 as the bits of a long
     */
    public static Number ofUnsigned(long bits) {
        if (bits >= 0) {
            return bits;
        }
        return new BigInteger(Long.toUnsignedString(bits));
    }

    /** A map or list, of which some values have been decoded. */
    private static final class OpenContainer {
        private final Map<String, Object> map;
        private final List<Object> list;
        private int remaining;
        private String key;

        private OpenContainer(Map<String, Object> map, List<Object> list, int size) {
            this.map = map;
            this.list = list;
            this.remaining = size;
        }

        static OpenContainer begin(MessageUnpacker unpacker) throws IOException {
            return unpacker.getNextFormat().getValueType().isMapType()
                    ? new OpenContainer(new LinkedHashMap<>(), null, unpacker.unpackMapHeader())
                    : new OpenContainer(null, new ArrayList<>(), unpacker.unpackArrayHeader());
        }

        void readKey(MessageUnpacker unpacker) throws IOException, MalformedMessageException {
            if (map == null) {
                return;
            }
            if (!unpacker.getNextFormat().getValueType().isStringType()) {
                throw MalformedMessageException.keyIsNotText();
            }
            key = unpacker.unpackString();
        }

        void add(Object value) {
            if (map != null) {
                map.put(key, value);
            } else {
                list.add(value);
            }
        }
    }
}
