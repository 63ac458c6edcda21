package org.meadowhollow.model;

import java.time.Duration;

/** The clocks and timers that the program runs on; tests provide one with virtual time. */
public interface EventLoop {
    /** The current time of the monotonic clock. */
    MonotonicTime now();

    /** Wall-clock time in milliseconds, right within the bound that the settings give. */
    long wallClockMillis();

    /** Runs a task once after a delay, on the loop's thread. */
    void schedule(Duration delay, Runnable task);
}
