package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.meadowhollow.model.MonotonicTime;

/**
 * Exponential backoff for each capacity pool whose last rental request failed or was not met in
 * full. Guarded by the lock of {@link Autoscaler}, which every caller holds.
 */
final class RentalBackoff {
    /** First pause; it doubles with each further refusal in a row. */
    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(4);

    private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);

    /** The current pause of a pool, and the duration of the next one. */
    private record Pause(MonotonicTime until, Duration nextDuration) {}

    private final Map<CapacityPool, Pause> pauses = new HashMap<>();

    /** Whether no requests may be sent to a pool yet. */
    boolean isPaused(CapacityPool pool, MonotonicTime now) {
        Pause pause = pauses.get(pool);
        return pause != null && now.isBefore(pause.until());
    }

    /** Records a refusal, and returns how long the pool is paused from now on. */
    Duration recordRefusal(CapacityPool pool, MonotonicTime now) {
        Pause previous = pauses.get(pool);
        Duration duration = previous == null ? INITIAL_BACKOFF : previous.nextDuration();
        Duration doubled = duration.multipliedBy(2);
        Duration nextDuration = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
        pauses.put(pool, new Pause(now.plus(duration), nextDuration));
        return duration;
    }

    /** Records that a request was met in full. */
    void recordSuccess(CapacityPool pool) {
        pauses.remove(pool);
    }
}
