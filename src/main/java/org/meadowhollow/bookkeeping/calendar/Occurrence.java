package org.meadowhollow.bookkeeping.calendar;

/**
 * One time of a schedule, from and until in milliseconds of the time of day; until is not part of
 * it.
 */
public record Occurrence(long fromMillis, long untilMillis) {
    public boolean overlaps(Occurrence other) {
        return fromMillis < other.untilMillis && other.fromMillis < untilMillis;
    }
}
