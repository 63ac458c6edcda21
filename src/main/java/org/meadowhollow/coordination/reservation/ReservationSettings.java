package org.meadowhollow.coordination.reservation;

import java.time.Duration;
import java.util.Map;

/**
 * Settings of a node, from its command-line flags, for the enforcement of reservations and
 * maintenance windows.
 *
 * @param machineLimits the largest number of machines that the operators allow at a time, by {@code
 *     type/zone} or by type; types that are not listed have no limit
 * @param maxClockSkew the largest error of the wall clock, in either direction
 */
public record ReservationSettings(
        boolean enabled, Map<String, Integer> machineLimits, Duration maxClockSkew) {
    /** Settings with which the calendar is not read and nothing is planned. */
    public static final ReservationSettings OFF =
            new ReservationSettings(false, Map.of(), Duration.ZERO);
}
