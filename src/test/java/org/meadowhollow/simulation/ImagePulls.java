package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

/**
 * The durations of image pulls: the same for each start of a task, or random. With random durations
 * a machine pulls each image once and caches it, and has half of the images from the beginning.
 */
final class ImagePulls {
    private record CachedImage(MachineId machine, String image) {}

    private final Map<CachedImage, MonotonicTime> cachedAt = new HashMap<>();
    private Duration fixedDuration = Duration.ofSeconds(2);
    private Duration maxRandomDuration;

    /** Draws the durations; null while all pulls take the same time. */
    private Random random;

    /** Sets how long every pull takes, and disables the image caches. */
    void fixDuration(Duration duration) {
        fixedDuration = duration;
        random = null;
    }

    /** Draws the duration of each pull, up to a maximum. */
    void randomizeDurations(Duration max, long seed) {
        maxRandomDuration = max;
        random = new Random(seed);
    }

    /** Returns how long every pull takes while the durations are not random. */
    Duration fixedDuration() {
        return fixedDuration;
    }

    /**
     * Returns when a machine has an image that a task needs now.
     *
     * @param image supplies the name of the image; not called unless durations are random
     */
    MonotonicTime pulledAt(MachineId machine, Supplier<String> image, MonotonicTime now) {
        if (random == null) {
            return now.plus(fixedDuration);
        }
        MonotonicTime finished =
                cachedAt.computeIfAbsent(
                        new CachedImage(machine, image.get()), unused -> now.plus(drawDuration()));
        return MonotonicTime.latestOf(finished, now);
    }

    private Duration drawDuration() {
        return random.nextBoolean()
                ? Duration.ZERO
                : Duration.ofMillis(random.nextInt((int) maxRandomDuration.toMillis()));
    }
}
