package org.meadowhollow.model.reservation;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;

/**
 * When something is to be, once or again and again, by the clocks of a place.
 *
 * @param firstStart of the first time, on those clocks
 * @param duration from each start on, in time that passes: two hours are two hours while clocks
 *     change
 * @param recurrenceRule how it repeats, by RFC 5545 (RRULE) on those clocks, or null for once
 */
public record RecurringSchedule(
        LocalDateTime firstStart, ZoneId timeZone, Duration duration, String recurrenceRule) {}
