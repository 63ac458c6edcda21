package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.Random;

/** Additional delays of random duration for a share of the messages of one kind. */
final class RandomDelays {
    private final Duration max;

    /** Draws the messages that are delayed; null if none are. */
    private Random random;

    private double delayedShare;

    /**
     * Creates a source that delays no message until {@link #start}.
     *
     * @param max the maximum delay of a message
     */
    RandomDelays(Duration max) {
        this.max = max;
    }

    /** Delays a share of the messages from now on; share 0 ends it. */
    void start(double share, long seed) {
        random = share == 0 ? null : new Random(seed);
        delayedShare = share;
    }

    /** Delays no more messages. */
    void stop() {
        random = null;
    }

    /** Returns the additional delay of the next message; zero for most. */
    Duration next() {
        return random != null && random.nextDouble() < delayedShare
                ? Duration.ofMillis(random.nextInt((int) max.toMillis()))
                : Duration.ZERO;
    }
}
