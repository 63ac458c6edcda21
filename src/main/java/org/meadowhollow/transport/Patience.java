package org.meadowhollow.transport;

/**
 * How long an answer is waited for by a process that may itself be late. When the loop is behind
 * with its work, a time-out comes before the answer is read that has long arrived; taken at its
 * word it cost the connection, and a leadership its lease.
 */
final class Patience {
    /**
     * A timer that is later than this tells that the loop is behind; timers are a few milliseconds
     * late as it is.
     */
    private static final long LATE_NANOS = 50_000_000;

    private final long dueAt;
    private boolean extended;

    Patience(long now, long span) {
        dueAt = now + span;
    }

    /**
     * What more to wait when the timer has come: once, as long as it was late; 0 when it is over.
     */
    long more(long now) {
        long late = now - dueAt;
        if (extended || late <= LATE_NANOS) {
            return 0;
        }
        extended = true;
        return late;
    }
}
