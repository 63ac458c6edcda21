package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AdaptiveTimeoutTest {
    private static final long SECOND = 1_000_000_000;

    @Test
    void aTimerOnTimeTimesOutAtOnce() {
        assertEquals(0, new AdaptiveTimeout(0, SECOND).extensionNanos(SECOND + 3_000_000));
    }

    @Test
    void aLateTimerExtendsTheTimeoutOnce() {
        AdaptiveTimeout adaptiveTimeout = new AdaptiveTimeout(0, SECOND);
        assertEquals(
                2 * SECOND,
                adaptiveTimeout.extensionNanos(3 * SECOND),
                "extended by the lateness of the timer");
        assertEquals(0, adaptiveTimeout.extensionNanos(9 * SECOND), "not extended twice");
    }
}
