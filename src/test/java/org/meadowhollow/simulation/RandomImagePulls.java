package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

/**
 * Image pulls of random duration. A machine pulls each image once and caches it; it has half of the
 * images from the beginning.
 */
final class RandomImagePulls {
    private record CachedImage(MachineId machine, String image) {}

    private final Duration max;
    private final Random random;
    private final Map<CachedImage, MonotonicTime> pulledAt = new HashMap<>();

    /**
     * Creates the pulls of one deployment.
     *
     * @param max the maximum duration of a pull
     */
    RandomImagePulls(Duration max, Random random) {
        this.max = max;
        this.random = random;
    }

    /** Returns when a machine has an image that a task needs now. */
    MonotonicTime pulledAt(MachineId machine, String image, MonotonicTime now) {
        MonotonicTime finished =
                pulledAt.computeIfAbsent(
                        new CachedImage(machine, image), unused -> now.plus(drawDuration()));
        return MonotonicTime.latestOf(finished, now);
    }

    private Duration drawDuration() {
        return random.nextBoolean()
                ? Duration.ZERO
                : Duration.ofMillis(random.nextInt((int) max.toMillis()));
    }
}
