package org.meadowhollow.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.MonotonicTime;

/** Tests how long a capacity pool is paused after rental requests that were not met in full. */
class RentalBackoffTest {
    private static final CapacityPool POOL = new CapacityPool("small", "a", true);
    private static final CapacityPool OTHER_POOL = new CapacityPool("small", "a", false);
    private static final MonotonicTime START = new MonotonicTime(0);

    private final RentalBackoff backoff = new RentalBackoff();

    @Test
    void pauseDoublesWithEachRefusalUpToTheMaximum() {
        List<Long> pauses = new ArrayList<>();
        for (int refusal = 0; refusal < 5; refusal++) {
            pauses.add(backoff.recordRefusal(POOL, START).toSeconds());
        }
        assertEquals(List.of(4L, 8L, 16L, 30L, 30L), pauses);
    }

    @Test
    void pausesOnlyTheRefusedPoolUntilThePauseEnds() {
        backoff.recordRefusal(POOL, START);
        assertTrue(backoff.isPaused(POOL, START.plus(Duration.ofMillis(3999))));
        assertFalse(backoff.isPaused(POOL, START.plus(Duration.ofSeconds(4))));
        assertFalse(backoff.isPaused(OTHER_POOL, START));
    }

    @Test
    void successEndsThePauseAndResetsItsLength() {
        backoff.recordRefusal(POOL, START);
        backoff.recordRefusal(POOL, START);
        backoff.recordSuccess(POOL);
        assertFalse(backoff.isPaused(POOL, START));
        assertEquals(Duration.ofSeconds(4), backoff.recordRefusal(POOL, START));
    }
}
