package org.meadowhollow.protocol;

import java.time.Duration;
import org.meadowhollow.bookkeeping.Moment;

/** A token bucket: so much a second, with bursts of one second's worth. */
public final class RateBudget {
    private final double perSecond;
    private final double burst;
    private double left;
    private Moment filledAt;

    public RateBudget(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = Math.max(1, burst);
        this.left = this.burst;
    }

    /** How long until {@code amount} can be taken; an amount above the burst waits for a full bucket. */
    public synchronized Duration untilFree(int amount, Moment now) {
        fill(now);
        double missing = Math.min(amount, burst) - left;
        return missing <= 0 ? Duration.ZERO : Duration.ofNanos(1 + (long) (missing / perSecond * 1e9));
    }

    public synchronized void take(int amount, Moment now) {
        fill(now);
        left -= amount;
    }

    private void fill(Moment now) {
        if (filledAt != null) {
            left = Math.min(burst, left + now.secondsSince(filledAt) * perSecond);
        }
        filledAt = now;
    }
}
