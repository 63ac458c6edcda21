package org.meadowhollow.protocol;

/**
 * A message that is not what the protocol allows. The text goes to the sender; there is no stack
 * trace, since such messages are common and the text says it all.
 */
public final class MalformedMessageException extends Exception {
    /**
     * @param message in one line, naming the field
     */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
