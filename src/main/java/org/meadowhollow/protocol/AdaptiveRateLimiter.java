package org.meadowhollow.protocol;

import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;

/**
 * A token bucket: so much a second, with bursts of one second's worth. The limit behind it is
 * shared with others that cannot be seen, so it is followed as a connection's is: a refusal lowers
 * the rate by a factor, and it rises steadily while there is none, so that all who share it come to
 * what the limit allows.
 */
public final class AdaptiveRateLimiter {
    /** One refusal is seen by all calls on their way, and counts once. */
    private static final Duration REFUSAL_COALESCING_WINDOW = Duration.ofMillis(300);

    /** The share of the full rate that comes back in a second. */
    private static final double RECOVERY_PER_SECOND = 0.1;

    /**
     * However many share the limit, this much of it is tried; less than an even share for the nodes
     * of any deployment.
     */
    private static final double MIN_RATE_FACTOR = 0.1;

    private final double perSecond;
    private final double burst;
    private double availableTokens;
    private double rateFactor = 1;
    private MonotonicTime refilledAt;
    private MonotonicTime lastRefusalAt;

    public AdaptiveRateLimiter(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = Math.max(1, burst);
        this.availableTokens = this.burst;
    }

    /**
     * How long until {@code amount} can be taken; an amount above the burst waits for a full
     * bucket.
     */
    public synchronized Duration delayUntilAvailable(int amount, MonotonicTime now) {
        refill(now);
        double missing = Math.min(amount, Math.max(1, burst * rateFactor)) - availableTokens;
        return missing <= 0
                ? Duration.ZERO
                : Duration.ofNanos(1 + (long) (missing / (perSecond * rateFactor) * 1e9));
    }

    /**
     * Notes that the limit refused what the budget had allowed.
     *
     * @param keep the share of the present rate to go on with, between 0 and 1
     */
    public synchronized void recordRefusal(double keep, MonotonicTime now) {
        refill(now);
        if (lastRefusalAt == null
                || now.elapsedSince(lastRefusalAt).compareTo(REFUSAL_COALESCING_WINDOW) > 0) {
            lastRefusalAt = now;
            rateFactor = Math.max(MIN_RATE_FACTOR, rateFactor * keep);
            availableTokens = Math.min(availableTokens, 0);
        }
    }

    public synchronized void consume(int amount, MonotonicTime now) {
        refill(now);
        availableTokens -= amount;
    }

    private void refill(MonotonicTime now) {
        if (refilledAt != null) {
            double sinceS = now.secondsSince(refilledAt);
            rateFactor = Math.min(1, rateFactor + sinceS * RECOVERY_PER_SECOND);
            availableTokens =
                    Math.min(
                            Math.max(1, burst * rateFactor),
                            availableTokens + sinceS * perSecond * rateFactor);
        }
        refilledAt = now;
    }
}
