package org.meadowhollow.storage;

/** The store refused the request as wrong; repeating it does not help. */
public final class InvalidRequestException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the failure with the reason as the store or its client gave it. */
    public InvalidRequestException(String message) {
        super(Outcome.INVALID_REQUEST, message);
    }
}
