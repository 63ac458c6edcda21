package org.meadowhollow.model.reservation;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;

/**
 * A schedule in the local time of a time zone, for one occurrence or recurring ones.
 *
 * @param firstStart the local time at which the first occurrence starts
 * @param duration the duration of each occurrence in elapsed time, which a change of the local
 *     clock to or from daylight saving time does not affect
 * @param recurrenceRule the recurrence as an RRULE of RFC 5545 in local time, or null for a single
 *     occurrence
 */
public record RecurringSchedule(
        LocalDateTime firstStart, ZoneId timeZone, Duration duration, String recurrenceRule) {}
