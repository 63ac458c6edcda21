package org.meadowhollow.model.reservation;

/**
 * One occurrence of a schedule.
 *
 * @param startMillis the start, in milliseconds of wall-clock time
 * @param endMillis the exclusive end, in milliseconds of wall-clock time
 */
public record Occurrence(long startMillis, long endMillis) {
    /** Whether the two occurrences have any time in common. */
    public boolean overlaps(Occurrence other) {
        return startMillis < other.endMillis && other.startMillis < endMillis;
    }
}
