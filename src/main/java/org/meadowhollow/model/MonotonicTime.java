package org.meadowhollow.model;

import java.time.Duration;

/** A point on this process's steady clock. It means nothing to any other process. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    public MonotonicTime plus(Duration span) {
        return new MonotonicTime(nanos + span.toNanos());
    }

    public Duration elapsedSince(MonotonicTime earlier) {
        return Duration.ofNanos(nanos - earlier.nanos);
    }

    public double secondsSince(MonotonicTime earlier) {
        return (nanos - earlier.nanos) / 1e9;
    }

    public boolean isBefore(MonotonicTime other) {
        return nanos - other.nanos < 0;
    }

    public static MonotonicTime latestOf(MonotonicTime one, MonotonicTime other) {
        return one.isBefore(other) ? other : one;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos - other.nanos, 0);
    }
}
