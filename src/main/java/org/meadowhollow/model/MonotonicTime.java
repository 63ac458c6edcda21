package org.meadowhollow.model;

import java.time.Duration;

/**
 * A point in time on this process's monotonic clock. It has no meaning for any other process.
 *
 * @param nanos nanoseconds since an arbitrary origin; only differences have a meaning
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns this time plus a duration. */
    public MonotonicTime plus(Duration span) {
        return new MonotonicTime(nanos + span.toNanos());
    }

    /** The duration since an earlier time; negative if that one is later. */
    public Duration elapsedSince(MonotonicTime earlier) {
        return Duration.ofNanos(nanos - earlier.nanos);
    }

    /** The seconds since an earlier time; negative if that one is later. */
    public double secondsSince(MonotonicTime earlier) {
        return (nanos - earlier.nanos) / NANOS_PER_SECOND;
    }

    /** Whether this time is strictly before the other one. */
    public boolean isBefore(MonotonicTime other) {
        return nanos - other.nanos < 0;
    }

    /** The later one of two times. */
    public static MonotonicTime latestOf(MonotonicTime one, MonotonicTime other) {
        return one.isBefore(other) ? other : one;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos - other.nanos, 0);
    }
}
