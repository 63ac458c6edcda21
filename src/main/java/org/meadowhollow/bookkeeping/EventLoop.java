package org.meadowhollow.bookkeeping;

import java.time.Duration;

/** The clock and the timers that everything runs on; tests bring one with virtual time. */
public interface EventLoop {
    Moment now();

    /** The time of day in milliseconds, right within the bound that the settings give. */
    long wallMillis();

    void after(Duration pause, Runnable work);
}
