package org.meadowhollow.model;

import java.time.Duration;

/** Provides the clocks and timers of a process; tests use an implementation with virtual time. */
public interface EventLoop {
    /** The current time of the monotonic clock. */
    MonotonicTime now();

    /** The wall-clock time in milliseconds, accurate to within the bound given in the settings. */
    long wallClockMillis();

    /** Runs a task once after a delay, on the loop's thread. */
    void schedule(Duration delay, Runnable task);
}
