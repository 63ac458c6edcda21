package org.meadowhollow.coordination.reservation;

import java.time.Duration;
import java.util.Map;

/**
 * Whether a node plans around reservations and windows, as its operator's flags say.
 *
 * @param machineLimits machines that the operators will have at a time, by {@code type/zone} or
 *     type; others have no bound
 * @param maxClockSkew how far the time of day may be off, on either side
 */
public record ReservationSettings(
        boolean enabled, Map<String, Integer> machineLimits, Duration maxClockSkew) {
    /** Nothing is read, and nothing planned. */
    public static final ReservationSettings OFF =
            new ReservationSettings(false, Map.of(), Duration.ZERO);
}
