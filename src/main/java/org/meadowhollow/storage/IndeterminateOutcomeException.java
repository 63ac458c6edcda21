package org.meadowhollow.storage;

/**
 * No usable answer arrived: the store is unavailable or too slow. The request may have been
 * executed, or may still be executed later.
 */
public final class IndeterminateOutcomeException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the failure with the reason as the store or its client gave it. */
    public IndeterminateOutcomeException(String message) {
        super(Outcome.INDETERMINATE, message);
    }
}
