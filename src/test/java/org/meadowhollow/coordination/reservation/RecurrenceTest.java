package org.meadowhollow.coordination.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.reservation.Occurrence;
import org.meadowhollow.model.reservation.RecurringSchedule;

class RecurrenceTest {
    private static List<String> occurrenceStarts(
            String start, String zone, String rule, String from, String until) {
        RecurringSchedule schedule =
                new RecurringSchedule(
                        LocalDateTime.parse(start), ZoneId.of(zone), Duration.ofHours(2), rule);
        return Recurrence.occurrencesBetween(
                        schedule,
                        Instant.parse(from).toEpochMilli(),
                        Instant.parse(until).toEpochMilli(),
                        64)
                .stream()
                .map(Occurrence::startMillis)
                .map(Instant::ofEpochMilli)
                .map(Instant::toString)
                .toList();
    }

    @Test
    void dailyRuleKeepsLocalTimeAcrossClockChange() {
        // In New York, clocks go forward on 8 March 2026 at 02:00 and back on 1 November at 02:00.
        assertEquals(
                List.of("2026-03-07T06:00:00Z", "2026-03-08T06:00:00Z", "2026-03-09T05:00:00Z"),
                occurrenceStarts(
                        "2025-01-01T01:00",
                        "America/New_York",
                        "FREQ=DAILY",
                        "2026-03-07T00:00:00Z",
                        "2026-03-10T00:00:00Z"));
    }

    @Test
    void skippedLocalTimeIsShiftedLaterAndRepeatedOneUsesFirstInstant() {
        assertEquals(
                List.of("2026-03-07T07:30:00Z", "2026-03-08T07:30:00Z", "2026-03-09T06:30:00Z"),
                occurrenceStarts(
                        "2026-03-07T02:30",
                        "America/New_York",
                        "FREQ=DAILY;COUNT=3",
                        "2026-03-01T00:00:00Z",
                        "2026-03-20T00:00:00Z"),
                "02:30 does not exist on 8 March and becomes 03:30");
        assertEquals(
                List.of("2026-10-31T05:30:00Z", "2026-11-01T05:30:00Z", "2026-11-02T06:30:00Z"),
                occurrenceStarts(
                        "2026-10-31T01:30",
                        "America/New_York",
                        "FREQ=DAILY;COUNT=3",
                        "2026-10-01T00:00:00Z",
                        "2026-11-20T00:00:00Z"));
    }

    @Test
    void begunOccurrenceOverlapsSpanAndEndedOneDoesNot() {
        assertEquals(
                List.of("2026-05-01T00:00:00Z"),
                occurrenceStarts(
                        "2026-05-01T00:00",
                        "UTC",
                        null,
                        "2026-05-01T01:59:59Z",
                        "2026-05-03T00:00:00Z"));
        assertEquals(
                List.of(),
                occurrenceStarts(
                        "2026-05-01T00:00",
                        "UTC",
                        null,
                        "2026-05-01T02:00:00Z",
                        "2026-05-03T00:00:00Z"));
        assertEquals(
                List.of("2026-05-01T23:00:00Z", "2026-05-02T23:00:00Z"),
                occurrenceStarts(
                        "2020-01-01T23:00",
                        "UTC",
                        "FREQ=DAILY",
                        "2026-05-02T00:30:00Z",
                        "2026-05-03T00:00:00Z"));
    }

    @Test
    void invalidRulesAreRejectedAndRuleWithoutDatesHasNoOccurrences() {
        for (String invalidRule :
                List.of(
                        "FREQ=HOURLY",
                        "FREQ=SECONDLY",
                        "nightly",
                        "FREQ=DAILY;BYDAY=XX",
                        "FREQ=DAILY;COUNT=-1",
                        "FREQ=DAILY;UNTIL=20260101T000000Z")) {
            Recurrence.InvalidScheduleException exception =
                    assertThrows(
                            Recurrence.InvalidScheduleException.class,
                            () ->
                                    Recurrence.validate(
                                            new RecurringSchedule(
                                                    LocalDateTime.parse("2026-01-01T00:00"),
                                                    ZoneId.of("Asia/Amman"),
                                                    Duration.ofHours(1),
                                                    invalidRule)),
                            invalidRule);
            assertTrue(exception.getMessage().startsWith("rule"), exception.getMessage());
        }
        assertEquals(
                List.of(),
                occurrenceStarts(
                        "2026-01-01T00:00",
                        "UTC",
                        "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30",
                        "2026-01-01T00:00:00Z",
                        "2027-01-01T00:00:00Z"));
    }
}
