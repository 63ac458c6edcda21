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
    /** The first pause; each further refusal in a row doubles it. */
    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(4);

    private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);

    /** One pool's pause, and how long the next one will be. */
    private record Pause(MonotonicTime until, Duration next) {}

    private final Map<CapacityPool, Pause> pauses = new HashMap<>();

    /** Whether nothing is to be requested from a pool yet. */
    boolean isPaused(CapacityPool pool, MonotonicTime now) {
        Pause pause = pauses.get(pool);
        return pause != null && now.isBefore(pause.until());
    }

    /** Records a refusal, and returns for how long the pool is paused from now. */
    Duration recordRefusal(CapacityPool pool, MonotonicTime now) {
        Pause previous = pauses.get(pool);
        Duration duration = previous == null ? INITIAL_BACKOFF : previous.next();
        Duration doubled = duration.multipliedBy(2);
        Duration next = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
        pauses.put(pool, new Pause(now.plus(duration), next));
        return duration;
    }

    /** Records that a request was met in full. */
    void recordSuccess(CapacityPool pool) {
        pauses.remove(pool);
    }
}
