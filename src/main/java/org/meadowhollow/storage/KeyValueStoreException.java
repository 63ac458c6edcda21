package org.meadowhollow.storage;

import java.util.concurrent.CompletionException;

/**
 * Signals that a request to the key-value store failed. There is a subclass for each outcome that
 * callers handle differently. A transaction whose conditions do not hold is not a failure: {@link
 * KeyValueStore.CommitResult} reports the conflict.
 *
 * <p>The exceptions carry no stack trace, since they are created for every request that fails while
 * the store is unavailable.
 */
public class KeyValueStoreException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** The outcome of a failed request, as far as the caller can know it. */
    public enum Outcome {
        /** The request was refused and not executed. */
        REJECTED,
        /**
         * No response arrived: the request may have been executed, or may still be executed later.
         */
        INDETERMINATE,
        /** The lease has expired. */
        LEASE_EXPIRED,
        /** The revision that a watch starts from is compacted. */
        COMPACTED,
        /** The request itself is invalid. */
        INVALID_REQUEST
    }

    private final Outcome outcome;

    /** Creates an exception with the given outcome; {@link #of} creates the subclass for it. */
    public KeyValueStoreException(Outcome outcome, String message) {
        super(message, null, false, false);
        this.outcome = outcome;
    }

    /** Creates an exception of the subclass for the given outcome. */
    public static KeyValueStoreException of(Outcome outcome, String message) {
        return switch (outcome) {
            case REJECTED -> new RequestRejectedException(message);
            case INDETERMINATE -> new IndeterminateOutcomeException(message);
            case LEASE_EXPIRED -> new LeaseExpiredException(message);
            case COMPACTED -> new WatchCompactedException(message);
            case INVALID_REQUEST -> new InvalidRequestException(message);
        };
    }

    /** The outcome of the failed request. */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * The outcome with which a future failed. The failure may be wrapped in a {@link
     * CompletionException}; any failure that is not an exception of this type counts as {@link
     * Outcome#INDETERMINATE}.
     */
    public static Outcome outcomeOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof KeyValueStoreException storeFailure
                ? storeFailure.outcome
                : Outcome.INDETERMINATE;
    }
}
