package org.meadowhollow.protocol;

/**
 * Thrown when a received message violates the protocol. The text is returned to the sender. There
 * is no stack trace, since such messages are common and the text is sufficient.
 */
public final class MalformedMessageException extends Exception {
    /** What is wrong with a message; the causes by which refused requests are counted. */
    public enum Defect {
        NOT_MESSAGE_PACK,
        NOT_JSON,
        NOT_A_MAP,
        CUT_SHORT,
        TRAILING_BYTES,
        TOO_LARGE,
        FIELD_MISSING,
        FIELD_INVALID
    }

    private static final long serialVersionUID = 1;

    private final Defect defect;

    /**
     * Creates an exception for a field with an invalid value.
     *
     * @param message one line that names the invalid field
     */
    public MalformedMessageException(String message) {
        this(Defect.FIELD_INVALID, message);
    }

    /**
     * @param message one line that names the invalid field or byte
     */
    public MalformedMessageException(Defect defect, String message) {
        super(message, null, false, false);
        this.defect = defect;
    }

    static MalformedMessageException keyIsNotText() {
        return new MalformedMessageException(Defect.FIELD_INVALID, "a key is not text");
    }

    /** Returns what is wrong with the message. */
    public Defect defect() {
        return defect;
    }
}
