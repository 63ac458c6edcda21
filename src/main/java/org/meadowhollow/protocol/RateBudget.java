package org.meadowhollow.protocol;

import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;

/**
 * A token bucket: so much a second, with bursts of one second's worth. The limit behind it is
 * shared with others that cannot be seen, so it is followed as a connection's is: a refusal lowers
 * the rate by a factor, and it rises steadily while there is none, so that all who share it come to
 * what the limit allows.
 */
public final class RateBudget {
    /** One refusal is seen by all calls on their way, and counts once. */
    private static final Duration SAME_REFUSAL = Duration.ofMillis(300);

    /** The share of the full rate that comes back in a second. */
    private static final double RISE = 0.1;

    /**
     * However many share the limit, this much of it is tried; less than an even share for the nodes
     * of any deployment.
     */
    private static final double LEAST = 0.1;

    private final double perSecond;
    private final double burst;
    private double left;
    private double factor = 1;
    private MonotonicTime filledAt;
    private MonotonicTime refusedAt;

    public RateBudget(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = Math.max(1, burst);
        this.left = this.burst;
    }

    /**
     * How long until {@code amount} can be taken; an amount above the burst waits for a full
     * bucket.
     */
    public synchronized Duration untilFree(int amount, MonotonicTime now) {
        fill(now);
        double missing = Math.min(amount, Math.max(1, burst * factor)) - left;
        return missing <= 0
                ? Duration.ZERO
                : Duration.ofNanos(1 + (long) (missing / (perSecond * factor) * 1e9));
    }

    /**
     * Notes that the limit refused what the budget had allowed.
     *
     * @param keep the share of the present rate to go on with, between 0 and 1
     */
    public synchronized void refused(double keep, MonotonicTime now) {
        fill(now);
        if (refusedAt == null || now.elapsedSince(refusedAt).compareTo(SAME_REFUSAL) > 0) {
            refusedAt = now;
            factor = Math.max(LEAST, factor * keep);
            left = Math.min(left, 0);
        }
    }

    public synchronized void take(int amount, MonotonicTime now) {
        fill(now);
        left -= amount;
    }

    private void fill(MonotonicTime now) {
        if (filledAt != null) {
            double sinceS = now.secondsSince(filledAt);
            factor = Math.min(1, factor + sinceS * RISE);
            left = Math.min(Math.max(1, burst * factor), left + sinceS * perSecond * factor);
        }
        filledAt = now;
    }
}
