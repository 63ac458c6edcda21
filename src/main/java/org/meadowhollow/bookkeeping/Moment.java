package org.meadowhollow.bookkeeping;

import java.time.Duration;

/** A point on this process's steady clock. It means nothing to any other process. */
public record Moment(long nanos) implements Comparable<Moment> {
    public Moment plus(Duration span) {
        return new Moment(nanos + span.toNanos());
    }

    public Duration since(Moment earlier) {
        return Duration.ofNanos(nanos - earlier.nanos);
    }

    public double secondsSince(Moment earlier) {
        return (nanos - earlier.nanos) / 1e9;
    }

    public boolean isBefore(Moment other) {
        return nanos - other.nanos < 0;
    }

    public static Moment later(Moment one, Moment other) {
        return one.isBefore(other) ? other : one;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(nanos - other.nanos, 0);
    }
}
