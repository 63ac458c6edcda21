package org.meadowhollow.bookkeeping;

/** A worker's life between two expiries of its lease. */
public record Session(long value) {
    public boolean isAfter(Session other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
