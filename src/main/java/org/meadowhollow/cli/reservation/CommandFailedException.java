package org.meadowhollow.cli.reservation;

/** Thrown if a request is refused or not answered; the message is for the operator. */
final class CommandFailedException extends Exception {
    CommandFailedException(String message) {
        super(message, null, false, false);
    }
}
