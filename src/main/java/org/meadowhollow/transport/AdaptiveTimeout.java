package org.meadowhollow.transport;

/**
 * How long an answer is waited for by a process that may itself be late. When the loop is behind
 * with its work, a time-out comes before the answer is read that has long arrived; taken at its
 * word it cost the connection, and a leadership its lease.
 */
final class AdaptiveTimeout {
    /**
     * A timer that is later than this tells that the loop is behind; timers are a few milliseconds
     * late as it is.
     */
    private static final long TIMER_LATENESS_TOLERANCE_NANOS = 50_000_000;

    private final long deadlineNanos;
    private boolean extended;

    AdaptiveTimeout(long now, long span) {
        deadlineNanos = now + span;
    }

    /**
     * What more to wait when the timer has come: once, as long as it was late; 0 when it is over.
     */
    long extensionNanos(long now) {
        long late = now - deadlineNanos;
        if (extended || late <= TIMER_LATENESS_TOLERANCE_NANOS) {
            return 0;
        }
        extended = true;
        return late;
    }
}
