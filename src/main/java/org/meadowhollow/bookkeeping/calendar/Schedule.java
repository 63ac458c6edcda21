package org.meadowhollow.bookkeeping.calendar;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;

/**
 * When something is to be, once or again and again, by the clocks of a place.
 *
 * @param start of the first time, on those clocks
 * @param length from each start on, in time that passes: two hours are two hours while clocks
 *     change
 * @param rule how it repeats, by RFC 5545 (RRULE) on those clocks, or null for once
 */
public record Schedule(LocalDateTime start, ZoneId zone, Duration length, String rule) {}
