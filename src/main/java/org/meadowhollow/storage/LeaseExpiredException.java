package org.meadowhollow.storage;

/** Signals that the lease has expired; the keys attached to it are deleted. */
public final class LeaseExpiredException extends KeyValueStoreException {
    private static final long serialVersionUID = 1;

    /** Creates the exception with the reason given by the store or its client. */
    public LeaseExpiredException(String message) {
        super(Outcome.LEASE_EXPIRED, message);
    }
}
