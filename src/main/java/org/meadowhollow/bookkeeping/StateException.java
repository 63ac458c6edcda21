package org.meadowhollow.bookkeeping;

import java.util.concurrent.CompletionException;

/** The state service did not do what was asked. */
public final class StateException extends RuntimeException {
    /** What is known of the request. */
    public enum Outcome {
        /** It was refused and not executed. */
        REFUSED,
        /** No answer: it may have been executed, or may still be executed later. */
        UNKNOWN,
        /** The lease has ended. */
        NO_SUCH_LEASE,
        /** The watch began too long ago. */
        TOO_OLD,
        /** The request itself is wrong. */
        INVALID
    }

    private final Outcome outcome;

    public StateException(Outcome outcome, String message) {
        super(message, null, false, false);
        this.outcome = outcome;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** The outcome behind a failed future; UNKNOWN for anything that is not of this kind. */
    public static Outcome of(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof StateException state ? state.outcome : Outcome.UNKNOWN;
    }
}
