package org.meadowhollow.storage;

/**
 * Signals that the request was refused and not executed: a rate limit is exceeded, the store
 * reports that it is unavailable, too many requests are queued, or no connection could be opened.
 * The request can be retried unchanged.
 */
public final class RequestRejectedException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the exception with the reason given by the store or its client. */
    public RequestRejectedException(String message) {
        super(Outcome.REJECTED, message);
    }
}
