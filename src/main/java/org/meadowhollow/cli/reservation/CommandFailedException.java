package org.meadowhollow.cli.reservation;

/** The request was refused or not answered; the message is for the operator. */
final class CommandFailedException extends Exception {
    CommandFailedException(String message) {
        super(message, null, false, false);
    }
}
