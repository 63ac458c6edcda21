package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;

/**
 * The latest samples of a risk table with their times, in a ring buffer that grows up to a bound;
 * the oldest sample is overwritten after that. Guarded by the lock of its table.
 */
final class RecentSamples {
    /**
     * Limits memory: ten minutes of periodic heartbeats, with a margin for heartbeats that are sent
     * on a change.
     */
    static final int MAX_SAMPLES = 400;

    private static final int INITIAL_CAPACITY = 16;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Times in nanoseconds and packed samples ({@link RiskSample}), at equal positions. */
    private long[] timesNanos = new long[INITIAL_CAPACITY];

    private int[] samples = new int[INITIAL_CAPACITY];
    private int oldestPosition;
    private int count;

    int count() {
        return count;
    }

    /**
     * Returns the packed sample at an index.
     *
     * @param index 0 for the oldest
     */
    int sampleAt(int index) {
        return samples[position(index)];
    }

    MonotonicTime timeAt(int index) {
        return new MonotonicTime(timesNanos[position(index)]);
    }

    void add(int sample, MonotonicTime at) {
        if (count == MAX_SAMPLES) {
            removeOldest();
        }
        if (count == timesNanos.length) {
            grow();
        }
        int next = position(count);
        timesNanos[next] = at.nanos();
        samples[next] = sample;
        count++;
    }

    private void grow() {
        int capacity = Math.min(MAX_SAMPLES, 2 * count);
        long[] grownTimes = new long[capacity];
        int[] grownSamples = new int[capacity];
        for (int index = 0; index < count; index++) {
            grownTimes[index] = timesNanos[position(index)];
            grownSamples[index] = samples[position(index)];
        }
        timesNanos = grownTimes;
        samples = grownSamples;
        oldestPosition = 0;
    }

    void removeOlderThan(Duration retention, MonotonicTime now) {
        while (count > 0 && now.elapsedSince(timeAt(0)).compareTo(retention) > 0) {
            removeOldest();
        }
    }

    private void removeOldest() {
        oldestPosition = (oldestPosition + 1) % timesNanos.length;
        count--;
    }

    private int position(int index) {
        return (oldestPosition + index) % timesNanos.length;
    }

    /**
     * Appends the samples in run-length encoding. Each run of equal samples has four numbers: the
     * sample, the length of the run, and the ages of its first and last sample in milliseconds.
     */
    void exportRuns(IntArrayList out, MonotonicTime now) {
        int index = 0;
        while (index < count) {
            int runStart = index;
            while (index < count && sampleAt(index) == sampleAt(runStart)) {
                index++;
            }
            out.add(sampleAt(runStart));
            out.add(index - runStart);
            out.add(ageMillis(now, timeAt(runStart)));
            out.add(ageMillis(now, timeAt(index - 1)));
        }
    }

    /** Returns the age of a time in milliseconds, limited to the range of non-negative ints. */
    static int ageMillis(MonotonicTime now, MonotonicTime time) {
        long age = (now.nanos() - time.nanos()) / NANOS_PER_MILLI;
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, age));
    }
}
