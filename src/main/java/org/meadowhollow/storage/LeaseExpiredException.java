package org.meadowhollow.storage;

/** The lease has expired, and with it the keys attached to it. */
public final class LeaseExpiredException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the failure with the reason as the store or its client gave it. */
    public LeaseExpiredException(String message) {
        super(Outcome.LEASE_EXPIRED, message);
    }
}
