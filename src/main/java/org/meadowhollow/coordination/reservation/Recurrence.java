package org.meadowhollow.coordination.reservation;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.Freq;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;
import org.meadowhollow.model.reservation.Occurrence;
import org.meadowhollow.model.reservation.RecurringSchedule;

/**
 * Computes the occurrences of a recurring schedule. The recurrence rule is expanded in the local
 * time of the schedule's time zone; the local times are then converted to instants. A local time
 * that does not exist because clocks are set forward is shifted later by the length of the gap; of
 * a local time that exists twice, the first is used. The duration is elapsed time, so clock changes
 * do not affect it.
 */
public final class Recurrence {
    /** Bounds the expansion of a rule that matches very few days. */
    private static final int MAX_RULE_STEPS = 5000;

    private static final Set<Freq> SUPPORTED_FREQUENCIES =
            Set.of(Freq.DAILY, Freq.WEEKLY, Freq.MONTHLY, Freq.YEARLY);

    /**
     * A rule is expanded from this long before the span to this long after it, because differences
     * between local times are less than a day.
     */
    private static final Duration CLOCK_DIFFERENCE_MARGIN = Duration.ofDays(1);

    private Recurrence() {}

    /** Thrown when a schedule is not valid; the message gives the reason. */
    public static final class InvalidScheduleException extends Exception {
        InvalidScheduleException(String message) {
            super(message);
        }
    }

    /**
     * Checks the recurrence rule of a schedule.
     *
     * @throws InvalidScheduleException if the rule does not conform to RFC 5545, repeats more often
     *     than daily, or is not compatible with the first start
     */
    public static void validate(RecurringSchedule schedule) throws InvalidScheduleException {
        if (schedule.recurrenceRule() == null) {
            return;
        }
        RecurrenceRule rule = parseRule(schedule.recurrenceRule());
        if (!SUPPORTED_FREQUENCIES.contains(rule.getFreq())) {
            throw new InvalidScheduleException("rule repeats more often than daily");
        }
        try {
            rule.iterator(toFloatingDateTime(schedule.firstStart()));
        } catch (IllegalArgumentException invalid) {
            throw new InvalidScheduleException(
                    "rule does not go with its start: " + invalid.getMessage());
        }
    }

    private static RecurrenceRule parseRule(String text) throws InvalidScheduleException {
        try {
            return new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
        } catch (InvalidRecurrenceRuleException | IllegalArgumentException invalid) {
            throw new InvalidScheduleException(
                    "rule is not one of RFC 5545: " + invalid.getMessage());
        }
    }

    private static DateTime toFloatingDateTime(LocalDateTime time) {
        return new DateTime(
                time.getYear(),
                time.getMonthValue() - 1,
                time.getDayOfMonth(),
                time.getHour(),
                time.getMinute(),
                time.getSecond());
    }

    private static LocalDateTime toLocalDateTime(DateTime time) {
        return LocalDateTime.of(
                time.getYear(),
                time.getMonth() + 1,
                time.getDayOfMonth(),
                time.getHours(),
                time.getMinutes(),
                time.getSeconds());
    }

    /**
     * Returns the occurrences that overlap a time span, in chronological order.
     *
     * @param schedule a schedule that {@link #validate} accepted
     * @param fromMillis the start of the span in milliseconds since the epoch
     * @param untilMillis the end of the span, exclusive
     * @param maxOccurrences the largest number of occurrences to return
     */
    public static List<Occurrence> occurrencesBetween(
            RecurringSchedule schedule, long fromMillis, long untilMillis, int maxOccurrences) {
        List<Occurrence> found = new ArrayList<>();
        if (schedule.recurrenceRule() == null) {
            addIfOverlapping(found, schedule, schedule.firstStart(), fromMillis, untilMillis);
            return found;
        }
        try {
            RecurrenceRuleIterator starts = startsFrom(schedule, fromMillis);
            for (int step = 0;
                    step < MAX_RULE_STEPS && starts.hasNext() && found.size() < maxOccurrences;
                    step++) {
                LocalDateTime start = toLocalDateTime(starts.nextDateTime());
                if (startEpochMillis(schedule, start)
                        >= untilMillis + CLOCK_DIFFERENCE_MARGIN.toMillis()) {
                    break;
                }
                addIfOverlapping(found, schedule, start, fromMillis, untilMillis);
            }
        } catch (InvalidScheduleException
                | IllegalArgumentException
                | ArithmeticException noMoreDates) {
            // A valid rule can fail here if it has no further dates, or if the library finds none.
            return found;
        }
        return found;
    }

    /**
     * Returns the starts of a schedule, beginning with the first whose occurrence could overlap a
     * span that starts at {@code fromMillis}.
     */
    private static RecurrenceRuleIterator startsFrom(RecurringSchedule schedule, long fromMillis)
            throws InvalidScheduleException {
        RecurrenceRuleIterator starts =
                parseRule(schedule.recurrenceRule())
                        .iterator(toFloatingDateTime(schedule.firstStart()));
        Instant earliest =
                Instant.ofEpochMilli(fromMillis)
                        .minus(schedule.duration())
                        .minus(CLOCK_DIFFERENCE_MARGIN);
        LocalDateTime earliestLocal = LocalDateTime.ofInstant(earliest, schedule.timeZone());
        if (earliestLocal.isAfter(schedule.firstStart())) {
            starts.fastForward(toFloatingDateTime(earliestLocal));
        }
        return starts;
    }

    private static long startEpochMillis(RecurringSchedule schedule, LocalDateTime local) {
        return ZonedDateTime.of(local, schedule.timeZone()).toInstant().toEpochMilli();
    }

    private static void addIfOverlapping(
            List<Occurrence> found,
            RecurringSchedule schedule,
            LocalDateTime local,
            long fromMillis,
            long untilMillis) {
        long start = startEpochMillis(schedule, local);
        long end = start + schedule.duration().toMillis();
        if (start < untilMillis && end > fromMillis) {
            found.add(new Occurrence(start, end));
        }
    }
}
