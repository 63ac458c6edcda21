package org.meadowhollow.protocol.tes;

/**
 * Thrown to answer a request with a status other than 200; the message is the reason in the
 * response body. Has no stack trace, since it is not a defect.
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
