package org.meadowhollow.protocol;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * A map in a MessagePack body, of which only the values that are asked for are decoded. A value
 * that nobody asks for is skipped, whatever its kind, size or depth, once {@link #ofBody} has found
 * the body well-formed. Not thread-safe.
 */
final class EncodedMap implements FieldSource {
    /** The numbers that are kept of a field: where its key begins and ends, and where its value. */
    private static final int NUMBERS_PER_FIELD = 3;

    private final MessageCursor cursor;
    private final int offset;

    /** The places of all fields, found when the first value is asked for; null before that. */
    private int[] fieldPlaces;

    private EncodedMap(MessageCursor cursor, int offset) {
        this.cursor = cursor;
        this.offset = offset;
    }

    /**
     * Returns the map that a body consists of.
     *
     * @throws MalformedMessageException if the body is not well-formed MessagePack, holds binary
     *     values, is not a map, or goes on after the map
     */
    static EncodedMap ofBody(byte[] body) throws MalformedMessageException {
        return ofBody(body, Integer.MAX_VALUE);
    }

    /**
     * Returns the map that a body consists of.
     *
     * @param maxJsonBytes the limit of the body's size in its JSON form
     * @throws MalformedMessageException if the body is not well-formed MessagePack, holds binary
     *     values, is not a map, goes on after the map, or exceeds the limit
     */
    static EncodedMap ofBody(byte[] body, int maxJsonBytes) throws MalformedMessageException {
        MessageCursor cursor = new MessageCursor(body);
        new WellFormednessCheck(cursor).check(maxJsonBytes);
        return new EncodedMap(cursor, 0);
    }

    @Override
    public Object value(String name) throws MalformedMessageException {
        int place = findPlace(name.getBytes(StandardCharsets.UTF_8));
        if (place < 0) {
            return null;
        }
        return read(() -> valueAt(place));
    }

    @Override
    public Map<String, Object> decodeAll() throws MalformedMessageException {
        return read(() -> MessagePackCodec.decodeTree(cursor.moveTo(offset)));
    }

    private int findPlace(byte[] name) throws MalformedMessageException {
        if (fieldPlaces == null) {
            fieldPlaces = read(this::findAllPlaces);
        }
        // Of fields with the same name the last one counts, as in a decoded map.
        for (int at = fieldPlaces.length - NUMBERS_PER_FIELD; at >= 0; at -= NUMBERS_PER_FIELD) {
            if (cursor.hasBytes(fieldPlaces[at], fieldPlaces[at + 1], name)) {
                return fieldPlaces[at + 2];
            }
        }
        return -1;
    }

    private int[] findAllPlaces() throws IOException, MalformedMessageException {
        MessageUnpacker unpacker = cursor.moveTo(offset);
        int size = unpacker.unpackMapHeader();
        int[] places = new int[size * NUMBERS_PER_FIELD];
        for (int at = 0; at < places.length; at += NUMBERS_PER_FIELD) {
            if (!unpacker.getNextFormat().getValueType().isStringType()) {
                throw MalformedMessageException.keyIsNotText();
            }
            int keyLength = unpacker.unpackRawStringHeader();
            places[at] = cursor.position();
            places[at + 1] = cursor.position() + keyLength;
            unpacker.readPayloadAsReference(keyLength);
            places[at + 2] = cursor.position();
            WellFormednessCheck.skipValue(unpacker);
        }
        return places;
    }

    private Object valueAt(int place) throws IOException {
        MessageUnpacker unpacker = cursor.moveTo(place);
        ValueType type = unpacker.getNextFormat().getValueType();
        if (type.isMapType()) {
            return new EncodedMap(cursor, place);
        }
        return type.isArrayType() ? decodeList(unpacker) : MessagePackCodec.decodeScalar(unpacker);
    }

    /** Decodes a list; maps in it are decoded when they are read, and lists in it are left out. */
    private List<Object> decodeList(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<Object> list = new ArrayList<>(size);
        for (int at = 0; at < size; at++) {
            ValueType type = unpacker.getNextFormat().getValueType();
            if (type.isMapType()) {
                list.add(new EncodedMap(cursor, cursor.position()));
                WellFormednessCheck.skipValue(unpacker);
            } else if (type.isArrayType()) {
                list.add(NestedList.UNREAD);
                WellFormednessCheck.skipValue(unpacker);
            } else {
                list.add(MessagePackCodec.decodeScalar(unpacker));
            }
        }
        return list;
    }

    /** Stands for a list in a list, which no message of the protocols has. */
    private enum NestedList {
        UNREAD
    }

    private interface Read<T> {
        T run() throws IOException, MalformedMessageException;
    }

    private static <T> T read(Read<T> read) throws MalformedMessageException {
        try {
            return read.run();
        } catch (MessagePackException unexpected) {
            throw new IllegalStateException("a checked body is not well-formed", unexpected);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    @Override
    public String toString() {
        return "EncodedMap" + Arrays.toString(fieldPlaces);
    }
}
