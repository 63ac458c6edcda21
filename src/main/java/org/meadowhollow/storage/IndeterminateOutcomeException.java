package org.meadowhollow.storage;

/**
 * Signals that no usable response arrived because the store is unavailable or too slow. The request
 * may have been executed, or may still be executed later.
 */
public final class IndeterminateOutcomeException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the exception with the reason given by the store or its client. */
    public IndeterminateOutcomeException(String message) {
        super(Outcome.INDETERMINATE, message);
    }
}
