package org.meadowhollow.model;

/**
 * The number of a worker's incarnation: a period between two expiries of its lease. A later
 * incarnation has a higher number.
 *
 * @param value an integer from 0 to 2^64 - 1, as the bits of a long
 */
public record WorkerIncarnation(long value) {
    /** Whether this incarnation is strictly later than the other one. */
    public boolean isAfter(WorkerIncarnation other) {
        return Long.compareUnsigned(value, other.value) > 0;
    }

    @Override
    public String toString() {
        return Long.toUnsignedString(value);
    }
}
