package org.meadowhollow.storage;

/**
 * How many writes a transaction may have. The limit is halved when the store rejects a transaction,
 * because a large one finds no room in a rate limit that other clients use up with small ones, and
 * grows by one with each transaction that is applied. Confined to the thread of its {@link
 * RecordWriter}.
 */
final class AdaptiveWriteLimit {
    /** Writes that go together however low the rate is; the end of a job takes as many. */
    private static final int MIN_WRITES = 4;

    private final int maximum;
    private int current;

    /**
     * Starts at the maximum.
     *
     * @param maximum the most writes that the store takes in one transaction
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
