package org.meadowhollow.storage;

import java.util.concurrent.CompletionException;

/**
 * A request to the key-value store failed. There is a subclass for each cause that callers treat
 * differently. A transaction whose conditions do not hold is no failure: {@link
 * KeyValueStore.CommitResult} reports the conflict.
 *
 * <p>The exceptions carry no stack trace, since they are created for every request that fails while
 * the store is unavailable.
 */
public class KeyValueStoreException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** What is known of the failed request. */
    public enum Outcome {
        /** It was refused and not executed. */
        REJECTED,
        /** No answer: it may have been executed, or may still be executed later. */
        INDETERMINATE,
        /** The lease has expired. */
        LEASE_EXPIRED,
        /** The revision that a watch starts from is compacted. */
        COMPACTED,
        /** The request itself is wrong. */
        INVALID_REQUEST
    }

    private final Outcome outcome;

    /**
     * Creates a failure with a given outcome; {@link #of} creates the subclass that stands for it.
     */
    public KeyValueStoreException(Outcome outcome, String message) {
        super(message, null, false, false);
        this.outcome = outcome;
    }

    /** A failure of the subclass that stands for an outcome. */
    public static KeyValueStoreException of(Outcome outcome, String message) {
        return switch (outcome) {
            case REJECTED -> new RequestRejectedException(message);
            case INDETERMINATE -> new IndeterminateOutcomeException(message);
            case LEASE_EXPIRED -> new LeaseExpiredException(message);
            case COMPACTED -> new WatchCompactedException(message);
            case INVALID_REQUEST -> new InvalidRequestException(message);
        };
    }

    /** What is known of the failed request. */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * The outcome behind a failed future: that of the exception or of its cause, and {@link
     * Outcome#INDETERMINATE} for any failure that is no exception of this type.
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
