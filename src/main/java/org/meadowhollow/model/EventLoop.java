package org.meadowhollow.model;

import java.time.Duration;
import java.util.function.Supplier;

/** Provides the clocks and timers of a process; tests use an implementation with virtual time. */
public interface EventLoop {
    /** The current time of the monotonic clock. */
    MonotonicTime now();

    /** The wall-clock time in milliseconds, accurate to within the bound given in the settings. */
    long wallClockMillis();

    /** Runs a task once after a delay, on the loop's thread. */
    void schedule(Duration delay, Runnable task);

    /**
     * Runs one execution of a step that repeats. An exception that it throws is recorded and does
     * not leave this method, so that the caller can go on; see {@link RepeatingSteps}.
     *
     * @return whether the body ended without an exception
     */
    boolean runRepeating(RepeatingStep step, Runnable body);

    /**
     * Runs part of a callback now, as a step that the loop may measure. Steps may contain others.
     */
    default void runStep(EventLoopStep step, Runnable work) {
        callStep(
                step,
                () -> {
                    work.run();
                    return null;
                });
    }

    /** Like {@link #runStep}, for work with a result. */
    default <T> T callStep(EventLoopStep step, Supplier<T> work) {
        return work.get();
    }
}
