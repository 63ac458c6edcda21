package org.meadowhollow.protocol;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;

/**
 * A token bucket whose rate adapts to refusals by the server. All nodes share the server's limit,
 * and a node does not see the requests of the others. As in TCP congestion control, a refusal
 * lowers the rate by a factor, and the rate rises steadily while there is none, so that the rates
 * of all nodes together converge to the limit. Thread-safe.
 *
 * <p>A client asks for the delay before a request, and consumes tokens when it sends the request or
 * schedules it. Only the client of the key-value store records refusals; the client of the cloud
 * does not, and keeps the full rate.
 */
public final class AdaptiveRateLimiter {
    /**
     * The time within which refusals count as one, since all requests in flight are refused
     * together.
     */
    private static final Duration REFUSAL_COALESCING_WINDOW = Duration.ofMillis(300);

    /** The share of the full rate that is regained per second. */
    private static final double RECOVERY_PER_SECOND = 0.1;

    /**
     * The lower bound of the rate, as a share of the full rate, however many nodes share the limit.
     * It is less than an even share in any deployment.
     */
    private static final double MIN_RATE_FACTOR = 0.1;

    private final double perSecond;
    private final double burst;

    @GuardedBy("this")
    private double availableTokens;

    @GuardedBy("this")
    private double rateFactor = 1;

    /** When tokens were last added to the bucket; null before the first call. */
    @GuardedBy("this")
    private MonotonicTime refilledAt;

    /** When the last refusal was counted; null before the first one. */
    @GuardedBy("this")
    private MonotonicTime lastRefusalAt;

    /**
     * @param perSecond the full rate, in tokens per second
     * @param burst the capacity of the bucket in tokens, at least 1
     */
    public AdaptiveRateLimiter(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = Math.max(1, burst);
        this.availableTokens = this.burst;
    }

    /**
     * Returns the time until {@code amount} tokens can be consumed, zero if they are available. An
     * amount above the burst waits for a full bucket.
     */
    public synchronized Duration delayUntilAvailable(int amount, MonotonicTime now) {
        refill(now);
        double missing = Math.min(amount, Math.max(1, burst * rateFactor)) - availableTokens;
        return missing <= 0
                ? Duration.ZERO
                : Duration.ofNanos(1 + (long) (missing / (perSecond * rateFactor) * 1e9));
    }

    /**
     * Lowers the rate after the server refused a request that this limiter had allowed.
     *
     * @param rateKept the share of the current rate that remains, between 0 and 1
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

    /** Takes tokens from the bucket; the balance becomes negative if there are not enough. */
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
