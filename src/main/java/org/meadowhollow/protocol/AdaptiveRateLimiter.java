package org.meadowhollow.protocol;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;

/**
 * A token bucket whose rate adapts to refusals. The limit behind it is shared with other nodes that
 * this one does not see, so the rate follows it as TCP's congestion control follows a link: a
 * refusal lowers the rate by a factor, and it rises steadily while there is none, so that all nodes
 * together come to what the limit allows. Thread-safe.
 */
public final class AdaptiveRateLimiter {
    /** All requests in flight meet the same refusal, which counts once. */
    private static final Duration REFUSAL_COALESCING_WINDOW = Duration.ofMillis(300);

    /** The share of the full rate that is regained per second. */
    private static final double RECOVERY_PER_SECOND = 0.1;

    /**
     * The least share of the full rate, however many nodes share the limit; less than an even share
     * for the nodes of any deployment.
     */
    private static final double MIN_RATE_FACTOR = 0.1;

    private final double perSecond;
    private final double burst;

    @GuardedBy("this")
    private double availableTokens;

    @GuardedBy("this")
    private double rateFactor = 1;

    /** Null before the first call. */
    @GuardedBy("this")
    private MonotonicTime refilledAt;

    /** Null before the first refusal. */
    @GuardedBy("this")
    private MonotonicTime lastRefusalAt;

    /**
     * @param perSecond the full rate, in tokens per second
     * @param burst tokens that can be saved up, 1 at least
     */
    public AdaptiveRateLimiter(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = Math.max(1, burst);
        this.availableTokens = this.burst;
    }

    /**
     * How long until {@code amount} tokens can be consumed; an amount above the burst waits for a
     * full bucket.
     */
    public synchronized Duration delayUntilAvailable(int amount, MonotonicTime now) {
        refill(now);
        double missing = Math.min(amount, Math.max(1, burst * rateFactor)) - availableTokens;
        return missing <= 0
                ? Duration.ZERO
                : Duration.ofNanos(1 + (long) (missing / (perSecond * rateFactor) * 1e9));
    }

    /**
     * Lowers the rate after the limit has refused what this limiter had allowed.
     *
     * @param rateKept the share of the present rate to go on with, between 0 and 1
     */
    public synchronized void recordRefusal(double rateKept, MonotonicTime now) {
        refill(now);
        if (lastRefusalAt == null
                || now.elapsedSince(lastRefusalAt).compareTo(REFUSAL_COALESCING_WINDOW) > 0) {
            lastRefusalAt = now;
            rateFactor = Math.max(MIN_RATE_FACTOR, rateFactor * rateKept);
            availableTokens = Math.min(availableTokens, 0);
        }
    }

    /** Takes tokens, down to a debt if there are not enough. */
    public synchronized void consume(int amount, MonotonicTime now) {
        refill(now);
        availableTokens -= amount;
    }

    @GuardedBy("this")
    private void refill(MonotonicTime now) {
        if (refilledAt != null) {
            double elapsedSeconds = now.secondsSince(refilledAt);
            rateFactor = Math.min(1, rateFactor + elapsedSeconds * RECOVERY_PER_SECOND);
            availableTokens =
                    Math.min(
                            Math.max(1, burst * rateFactor),
                            availableTokens + elapsedSeconds * perSecond * rateFactor);
        }
        refilledAt = now;
    }
}
