package org.meadowhollow.storage;

import java.util.concurrent.CompletionException;

/** The state service did not do what was asked. */
public final class KeyValueStoreException extends RuntimeException {
    /** What is known of the request. */
    public enum Outcome {
        /** It was refused and not executed. */
        REJECTED,
        /** No answer: it may have been executed, or may still be executed later. */
        INDETERMINATE,
        /** The lease has ended. */
        LEASE_EXPIRED,
        /** The watch began too long ago. */
        COMPACTED,
        /** The request itself is wrong. */
        INVALID_REQUEST
    }

    private final Outcome outcome;

    public KeyValueStoreException(Outcome outcome, String message) {
        super(message, null, false, false);
        this.outcome = outcome;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** The outcome behind a failed future; UNKNOWN for anything that is not of this kind. */
    public static Outcome outcomeOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof KeyValueStoreException state
                ? state.outcome
                : Outcome.INDETERMINATE;
    }
}
