package org.meadowhollow.model;

/** A worker's life between two expiries of its lease. */
public record WorkerIncarnation(long value) {
    public boolean isAfter(WorkerIncarnation other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
