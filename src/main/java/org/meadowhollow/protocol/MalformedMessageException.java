package org.meadowhollow.protocol;

/** A message that is not what the protocol allows. The text is for the sender. */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
