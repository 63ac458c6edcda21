package org.meadowhollow.transport;

import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.meadowhollow.model.EventLoopStep;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the pauses of an event loop, which are the spans in which one callback keeps all others
 * waiting, and finds the step of the callback that took longest by itself. Warns of a pause that
 * exceeds {@link #MAX_PAUSE}, and reports the longest one at intervals. Confined to the thread of
 * the event loop.
 */
final class EventLoopMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoopMonitor.class);

    /** The longest pause that health probes allow: they time out after this. */
    static final Duration MAX_PAUSE = Duration.ofSeconds(1);

    /** The time from one report to the next. */
    static final Duration REPORT_INTERVAL = Duration.ofMinutes(1);

    /**
     * A pause of the event loop.
     *
     * @param step the step that took longest, apart from the steps within it
     * @param stepDuration the time that this step took by itself
     */
    record Pause(Duration duration, EventLoopStep step, Duration stepDuration) {
        static final Pause NONE = new Pause(Duration.ZERO, EventLoopStep.TIMER, Duration.ZERO);
    }

    private final LongSupplier nanoClock;

    /** The number of steps that have begun and not ended; 0 between two callbacks. */
    private int depth;

    /** The time that the steps within the current one have taken so far. */
    private long nestedNanos;

    private EventLoopStep longestStep = EventLoopStep.TIMER;
    private long longestStepNanos;
    private Pause longestPause = Pause.NONE;

    /** Creates a monitor that reads a monotonic clock in nanoseconds. */
    EventLoopMonitor(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Runs a callback, or a step within one, and measures it. */
    <T> T call(EventLoopStep step, Supplier<T> work) {
        long outerNestedNanos = nestedNanos;
        nestedNanos = 0;
        depth++;
        long startNanos = nanoClock.getAsLong();
        try {
            return work.get();
        } finally {
            long elapsedNanos = nanoClock.getAsLong() - startNanos;
            recordStep(step, elapsedNanos - nestedNanos);
            nestedNanos = outerNestedNanos + elapsedNanos;
            depth--;
            if (depth == 0) {
                recordCallback(elapsedNanos);
            }
        }
    }

    private void recordStep(EventLoopStep step, long ownNanos) {
        if (ownNanos > longestStepNanos) {
            longestStep = step;
            longestStepNanos = ownNanos;
        }
    }

    private void recordCallback(long elapsedNanos) {
        if (elapsedNanos > longestPause.duration().toNanos()) {
            longestPause =
                    new Pause(
                            Duration.ofNanos(elapsedNanos),
                            longestStep,
                            Duration.ofNanos(longestStepNanos));
        }
        if (elapsedNanos > MAX_PAUSE.toNanos()) {
            LOG.warn(
                    "event loop paused pause_ms={} step={} step_ms={}",
                    Duration.ofNanos(elapsedNanos).toMillis(),
                    longestStep,
                    Duration.ofNanos(longestStepNanos).toMillis());
        }
        longestStepNanos = 0;
        nestedNanos = 0;
    }

    /** The longest pause since the last {@link #report}. */
    Pause longestPause() {
        return longestPause;
    }

    /** Logs the longest pause since the last report, and begins anew. */
    void report() {
        LOG.info(
                "event loop longest_pause_ms={} step={} step_ms={}",
                longestPause.duration().toMillis(),
                longestPause.step(),
                longestPause.stepDuration().toMillis());
        longestPause = Pause.NONE;
    }
}
