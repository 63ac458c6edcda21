package org.meadowhollow.storage;

/**
 * The request was refused and not executed: a rate limit is exceeded, the store says that it is
 * unavailable, too many requests wait, or no connection could be opened. It can be repeated as it
 * is.
 */
public final class RequestRejectedException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the failure with the reason as the store or its client gave it. */
    public RequestRejectedException(String message) {
        super(Outcome.REJECTED, message);
    }
}
