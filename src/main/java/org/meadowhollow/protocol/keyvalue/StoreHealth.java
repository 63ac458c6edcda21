package org.meadowhollow.protocol.keyvalue;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.protocol.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether the key-value store answers this node, and how long to wait for its responses.
 * Thread-safe.
 */
final class StoreHealth {
    private static final Logger LOG = LoggerFactory.getLogger(StoreHealth.class);

    /**
     * Most responses take a few milliseconds and a few take some hundred; past this the connection
     * is mostly dead.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1500);

    /**
     * The timeout once some requests in a row have timed out: less than a leader's lease, and than
     * users wait. A key-value store that took 1.5 s for each request was as good as out for all,
     * for as long as it was slow.
     */
    private static final Duration SLOW_RESPONSE_TIMEOUT = Duration.ofMillis(3200);

    /** Timeouts in a row after which the store counts as slow. */
    private static final int TIMEOUTS_UNTIL_SLOW = 3;

    /** How long after a failure, with no success since, the store counts as unavailable. */
    private static final Duration UNAVAILABLE_WINDOW = Duration.ofSeconds(3);

    private final String address;
    private final EventLoop loop;

    /** Null while the last request succeeded. */
    @GuardedBy("this")
    private MonotonicTime lastFailureAt;

    /** Timeouts since the last response. */
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
     * Notes how long a request took. The store is slow once several requests in a row have timed
     * out, until a response comes within half of the normal timeout.
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

    synchronized void recordFailure(String reason) {
        if (lastFailureAt == null) {
            LOG.info(
                    "key-value store unavailable address={} reason={}; requests go on being sent",
                    address,
                    reason);
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
