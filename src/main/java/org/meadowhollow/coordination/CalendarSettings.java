package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.Map;

/**
 * Whether a node plans around reservations and windows, as its operator's flags say.
 *
 * @param most machines that the operators will have at a time, by {@code type/zone} or type; others
 *     have no bound
 * @param skew how far the time of day may be off, on either side
 */
public record CalendarSettings(boolean on, Map<String, Integer> most, Duration skew) {
    /** Nothing is read, and nothing planned. */
    public static final CalendarSettings OFF = new CalendarSettings(false, Map.of(), Duration.ZERO);
}
