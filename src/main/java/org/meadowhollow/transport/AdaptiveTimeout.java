package org.meadowhollow.transport;

/**
 * A timeout that allows for the lateness of this process itself. When the event loop is behind with
 * its work, the timer runs before a response is read that arrived long ago; failing the request
 * then cost the connection, and a leader its lease. Used on the loop's thread only.
 */
final class AdaptiveTimeout {
    /**
     * A timer that is later than this shows that the loop is behind; timers are a few milliseconds
     * late in any case.
     */
    private static final long TIMER_LATENESS_TOLERANCE_NANOS = 50_000_000;

    private final long deadlineNanos;
    private boolean extended;

    AdaptiveTimeout(long nowNanos, long timeoutNanos) {
        deadlineNanos = nowNanos + timeoutNanos;
    }

    /**
     * How much longer to wait when the timer runs: once, for as long as it was late; 0 when the
     * request has timed out.
     */
    long extensionNanos(long nowNanos) {
        long lateness = nowNanos - deadlineNanos;
        if (extended || lateness <= TIMER_LATENESS_TOLERANCE_NANOS) {
            return 0;
        }
        extended = true;
        return lateness;
    }
}
