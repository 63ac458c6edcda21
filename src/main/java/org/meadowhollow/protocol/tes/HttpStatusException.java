package org.meadowhollow.protocol.tes;

/**
 * A request gets a status other than 200; the text says why. Without a stack trace, since it is an
 * answer and not a defect.
 */
final class HttpStatusException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final int status;

    HttpStatusException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
