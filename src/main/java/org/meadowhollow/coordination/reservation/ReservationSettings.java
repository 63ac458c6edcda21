package org.meadowhollow.coordination.reservation;

import java.time.Duration;
import java.util.Map;

/**
 * Whether and how a node enforces reservations and maintenance windows, as its flags say.
 *
 * @param machineLimits machines that the operators will have at a time, by {@code type/zone} or by
 *     type; others have no bound
 * @param maxClockSkew how far the wall clock may be off, on either side
 */
public record ReservationSettings(
        boolean enabled, Map<String, Integer> machineLimits, Duration maxClockSkew) {
    /** The calendar is not read, and nothing is planned. */
    public static final ReservationSettings OFF =
            new ReservationSettings(false, Map.of(), Duration.ZERO);
}
