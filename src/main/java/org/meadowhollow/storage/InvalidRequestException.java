package org.meadowhollow.storage;

/** Signals that the store refused the request as invalid; retrying it does not help. */
public final class InvalidRequestException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the exception with the reason given by the store or its client. */
    public InvalidRequestException(String message) {
        super(Outcome.INVALID_REQUEST, message);
    }
}
