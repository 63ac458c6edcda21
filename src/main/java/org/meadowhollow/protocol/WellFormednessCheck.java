package org.meadowhollow.protocol;

import java.io.IOException;
import org.meadowhollow.protocol.MalformedMessageException.Defect;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Checks that a body is one well-formed MessagePack map, without decoding any value. Needs constant
 * memory and stack, however deep the values are nested.
 */
final class WellFormednessCheck {
    // The lengths of the shortest JSON forms of values, in bytes.
    private static final int JSON_NIL_BYTES = 4;
    private static final int JSON_BOOLEAN_BYTES = 4;
    private static final int JSON_NUMBER_BYTES = 1;
    private static final int JSON_DELIMITERS_BYTES = 2;
    private static final int JSON_SEPARATOR_BYTES = 1;

    private final MessageCursor cursor;

    /** The size of the values before the cursor in JSON, if each had its shortest form. */
    private long jsonBytes;

    /**
     * @param cursor reads the body that is checked
     */
    WellFormednessCheck(MessageCursor cursor) {
        this.cursor = cursor;
    }

    /**
     * @param maxJsonBytes the limit of the body's size in its JSON form
     * @throws MalformedMessageException if the body is not well-formed, or exceeds the limit
     */
    void check(int maxJsonBytes) throws MalformedMessageException {
        try {
            MessageUnpacker unpacker = cursor.moveTo(0);
            if (!unpacker.hasNext() || !unpacker.getNextFormat().getValueType().isMapType()) {
                throw new MalformedMessageException(Defect.NOT_A_MAP, "the body is not a map");
            }
            checkValue(unpacker);
            if (unpacker.hasNext()) {
                throw new MalformedMessageException(
                        Defect.TRAILING_BYTES,
                        "the body goes on after its map, at byte " + cursor.position());
            }
        } catch (MessageInsufficientBufferException cutShort) {
            throw cutShort();
        } catch (IOException | MessagePackException malformed) {
            throw new MalformedMessageException(
                    Defect.NOT_MESSAGE_PACK,
                    "the body is not MessagePack at byte " + cursor.position());
        }
        if (jsonBytes > maxJsonBytes) {
            throw new MalformedMessageException(
                    Defect.TOO_LARGE, "the body is larger than " + maxJsonBytes + " bytes as JSON");
        }
    }

    private MalformedMessageException cutShort() {
        return new MalformedMessageException(
                Defect.CUT_SHORT, "the body is cut short at byte " + cursor.length());
    }

    private void checkValue(MessageUnpacker unpacker)
            throws IOException, MalformedMessageException {
        long pendingValues = 1;
        while (pendingValues > 0) {
            pendingValues += checkNext(unpacker) - 1;
            // Each value takes at least one byte; a header may claim far more.
            if (pendingValues > cursor.length() - cursor.position()) {
                throw cutShort();
            }
        }
    }

    /** Checks a scalar or the header of a list or map; returns the number of values in that. */
    private long checkNext(MessageUnpacker unpacker) throws IOException, MalformedMessageException {
        ValueType type = unpacker.getNextFormat().getValueType();
        switch (type) {
            case ARRAY -> {
                long values = unpacker.unpackArrayHeader();
                jsonBytes += JSON_DELIMITERS_BYTES + separatorBytes(values);
                return values;
            }
            case MAP -> {
                long values = 2L * unpacker.unpackMapHeader();
                jsonBytes += JSON_DELIMITERS_BYTES + separatorBytes(values);
                return values;
            }
            case BINARY, EXTENSION ->
                    throw new MalformedMessageException(
                            Defect.NOT_MESSAGE_PACK,
                            "binary and extension values are not used, at byte "
                                    + cursor.position());
            case STRING -> {
                int start = cursor.position();
                int headerBytes = textHeaderBytes(unpacker.getNextFormat());
                unpacker.skipValue();
                jsonBytes += JSON_DELIMITERS_BYTES + cursor.position() - start - headerBytes;
                return 0;
            }
            default -> {
                unpacker.skipValue();
                jsonBytes += shortestJsonBytes(type);
                return 0;
            }
        }
    }

    private static int textHeaderBytes(MessageFormat format) {
        return switch (format) {
            case STR8 -> 2;
            case STR16 -> 3;
            case STR32 -> 5;
            default -> 1;
        };
    }

    private static long separatorBytes(long values) {
        return Math.max(0, values - 1) * JSON_SEPARATOR_BYTES;
    }

    private static int shortestJsonBytes(ValueType type) {
        return switch (type) {
            case NIL -> JSON_NIL_BYTES;
            case BOOLEAN -> JSON_BOOLEAN_BYTES;
            default -> JSON_NUMBER_BYTES;
        };
    }

    /** Skips the next value of a body that has been checked. */
    static void skipValue(MessageUnpacker unpacker) throws IOException {
        long pendingValues = 1;
        while (pendingValues > 0) {
            pendingValues--;
            switch (unpacker.getNextFormat().getValueType()) {
                case ARRAY -> pendingValues += unpacker.unpackArrayHeader();
                case MAP -> pendingValues += 2L * unpacker.unpackMapHeader();
                default -> unpacker.skipValue();
            }
        }
    }
}
