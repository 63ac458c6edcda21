package org.meadowhollow.storage;

/**
 * An adaptive limit of the number of writes in a transaction: it is halved when the store rejects a
 * transaction and grows by one with each transaction that is applied. A large transaction can be
 * rejected again and again while other clients use up the store's rate limit with small ones.
 * Confined to the thread of its {@link RecordWriter}.
 */
final class AdaptiveWriteLimit {
    /** The lowest limit: the end of one job takes as many writes in one transaction. */
    private static final int MIN_WRITES = 4;

    private final int maximum;
    private int current;

    /**
     * Starts at the maximum.
     *
     * @param maximum the largest number of writes that the store accepts in one transaction
     */
    AdaptiveWriteLimit(int maximum) {
        this.maximum = maximum;
        this.current = maximum;
    }

    int maximum() {
        return maximum;
    }

    int current() {
        return current;
    }

    void onApplied() {
        current = Math.min(maximum, current + 1);
    }

    void onRejected() {
        current = Math.max(MIN_WRITES, current / 2);
    }
}
