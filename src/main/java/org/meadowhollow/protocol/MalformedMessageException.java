package org.meadowhollow.protocol;

/**
 * Thrown when a received message violates the protocol. The text is returned to the sender. There
 * is no stack trace, since such messages are common and the text is sufficient.
 */
public final class MalformedMessageException extends Exception {
    /**
     * @param message one line that names the invalid field
     */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
