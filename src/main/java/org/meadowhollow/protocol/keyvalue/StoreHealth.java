package org.meadowhollow.protocol.keyvalue;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.protocol.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks whether the key-value store responds to this node, and sets the response timeout.
 * Thread-safe.
 */
final class StoreHealth {
    private static final Logger LOG = LoggerFactory.getLogger(StoreHealth.class);

    /**
     * The normal response timeout. Most responses take a few milliseconds, and some take a few
     * hundred; after this time the connection is most likely dead.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1500);

    /**
     * The timeout while the store is slow. It is shorter than a leader's lease, and shorter than
     * users wait. With the normal timeout alone, a store that takes 1.5 s for each request would be
     * unavailable to every node for as long as it is slow.
     */
    private static final Duration SLOW_RESPONSE_TIMEOUT = Duration.ofMillis(3200);

    /** The number of consecutive timeouts after which the store counts as slow. */
    private static final int TIMEOUTS_UNTIL_SLOW = 3;

    /** How long the store counts as unavailable after a failure, unless a request succeeds. */
    private static final Duration UNAVAILABLE_WINDOW = Duration.ofSeconds(3);

    private final String address;
    private final EventLoop loop;

    /** The time of the last failure; null after a request has succeeded. */
    @GuardedBy("this")
    private MonotonicTime lastFailureAt;

    /** The number of timeouts since the last response. */
    @GuardedBy("this")
    private int consecutiveTimeouts;

    @GuardedBy("this")
    private boolean storeIsSlow;

    StoreHealth(String address, EventLoop loop) {
        this.address = address;
        this.loop = loop;
    }

    synchronized Duration responseTimeout() {
        return storeIsSlow ? SLOW_RESPONSE_TIMEOUT : RESPONSE_TIMEOUT;
    }

    synchronized boolean seemsUnavailable() {
        return lastFailureAt != null
                && loop.now().elapsedSince(lastFailureAt).compareTo(UNAVAILABLE_WINDOW) < 0;
    }

    /**
     * Records how long a request took. The store counts as slow after several consecutive timeouts,
     * until a response arrives within half of the normal timeout.
     *
     * @param failure null if there was a response
     */
    synchronized void recordLatency(Throwable failure, Duration latency) {
        if (failure == null) {
            consecutiveTimeouts = 0;
            storeIsSlow &= latency.multipliedBy(2).compareTo(RESPONSE_TIMEOUT) > 0;
        } else if (!(failure instanceof Http.RequestNotSentException)
                && latency.compareTo(RESPONSE_TIMEOUT) >= 0) {
            storeIsSlow |= ++consecutiveTimeouts >= TIMEOUTS_UNTIL_SLOW;
        }
    }

    /** Records a failed request. Further requests are still sent while the store is unavailable. */
    synchronized void recordFailure(String reason) {
        if (lastFailureAt == null) {
            LOG.info("key-value store unavailable address={} reason={}", address, reason);
        }
        lastFailureAt = loop.now();
    }

    synchronized void recordSuccess() {
        if (lastFailureAt != null) {
            LOG.info("key-value store available again address={}", address);
        }
        lastFailureAt = null;
    }
}
