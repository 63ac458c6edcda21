package org.meadowhollow.protocol;

import java.io.IOException;
import java.util.Arrays;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/** Reads a MessagePack body from any place in it. Not thread-safe. */
final class MessageCursor {
    private final byte[] body;
    private final ArrayBufferInput input;
    private final MessageUnpacker unpacker;
    private int offset;

    MessageCursor(byte[] body) {
        this.body = body;
        this.input = new ArrayBufferInput(body);
        this.unpacker = MessagePack.newDefaultUnpacker(input);
    }

    /** Returns the unpacker, positioned at an offset; valid until the next call. */
    MessageUnpacker moveTo(int newOffset) throws IOException {
        offset = newOffset;
        input.reset(body, newOffset, body.length - newOffset);
        unpacker.reset(input);
        return unpacker;
    }

    /** Returns the offset of the next byte that the unpacker reads. */
    int position() {
        return offset + (int) unpacker.getTotalReadBytes();
    }

    /** Returns the length of the body. */
    int length() {
        return body.length;
    }

    /** Returns whether the bytes between two offsets are the given ones. */
    boolean hasBytes(int start, int end, byte[] expected) {
        return Arrays.equals(body, start, end, expected, 0, expected.length);
    }
}
