package org.meadowhollow.model;

import java.time.Duration;

/** The clock and the timers that everything runs on; tests bring one with virtual time. */
public interface EventLoop {
    MonotonicTime now();

    /** The time of day in milliseconds, right within the bound that the settings give. */
    long wallClockMillis();

    void schedule(Duration pause, Runnable work);
}
