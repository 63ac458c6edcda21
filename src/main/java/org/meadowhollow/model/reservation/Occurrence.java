package org.meadowhollow.model.reservation;

/**
 * One time of a schedule, from and until in milliseconds of the time of day; until is not part of
 * it.
 */
public record Occurrence(long startMillis, long endMillis) {
    public boolean overlaps(Occurrence other) {
        return startMillis < other.endMillis && other.startMillis < endMillis;
    }
}
