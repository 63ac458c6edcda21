package org.meadowhollow.model.reservation;

/**
 * One occurrence of a schedule.
 *
 * @param startMillis when it begins, in milliseconds of wall-clock time
 * @param endMillis when it has ended, in milliseconds of wall-clock time; not part of it
 */
public record Occurrence(long startMillis, long endMillis) {
    /** Whether there is a time that is part of both. */
    public boolean overlaps(Occurrence other) {
        return startMillis < other.endMillis && other.startMillis < endMillis;
    }
}
