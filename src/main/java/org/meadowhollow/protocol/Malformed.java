package org.meadowhollow.protocol;

/** A message that is not what the protocol allows. The text is for the sender. */
public final class Malformed extends Exception {
    public Malformed(String message) {
        super(message, null, false, false);
    }
}
