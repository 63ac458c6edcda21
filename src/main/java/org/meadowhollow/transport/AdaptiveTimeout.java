package org.meadowhollow.transport;

/**
 * Request timeout that compensates for delays of the event loop. When the loop is behind with its
 * work, the timer may run before a response is read that has already arrived. Failing the request
 * then would close a working connection and could cost a leader its lease. Used on the event loop's
 * thread only.
 */
final class AdaptiveTimeout {
    /**
     * The lateness of a timer above which the loop counts as delayed. Timers are always a few
     * milliseconds late.
     */
    private static final long TIMER_LATENESS_TOLERANCE_NANOS = 50_000_000;

    private final long deadlineNanos;
    private boolean extended;

    AdaptiveTimeout(long nowNanos, long timeoutNanos) {
        deadlineNanos = nowNanos + timeoutNanos;
    }

    /**
     * Returns how much longer to wait when the timer runs. The first time, this is the lateness of
     * the timer if it exceeds the tolerance; otherwise it is 0: the request has timed out.
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
