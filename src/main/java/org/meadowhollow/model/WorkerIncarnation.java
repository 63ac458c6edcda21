package org.meadowhollow.model;

/**
 * The number of a worker's incarnation: a period between two expiries of its lease. A later
 * incarnation has a higher number.
 */
public record WorkerIncarnation(long value) {
    /** Whether this incarnation is strictly later than the other one. */
    public boolean isAfter(WorkerIncarnation other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
