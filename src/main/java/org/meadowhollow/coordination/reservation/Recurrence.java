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
 * The times of a schedule. The rule is followed on the clocks of its place; what those clocks say
 * is then found in time: a time that they skip when they go forward is as much later as they skip,
 * and one that they show twice is the first of the two. A night of two hours stays two hours long.
 */
public final class Recurrence {
    /** Steps of a rule looked at for one expansion; a rule that names hardly any day ends here. */
    private static final int MAX_RULE_STEPS = 5000;

    private static final Set<Freq> SUPPORTED_FREQUENCIES =
            Set.of(Freq.DAILY, Freq.WEEKLY, Freq.MONTHLY, Freq.YEARLY);

    /**
     * A rule's days are looked for from a day before, for clocks differ by less than that from any
     * other.
     */
    private static final Duration CLOCK_DIFFERENCE_MARGIN = Duration.ofDays(1);

    private Recurrence() {}

    /** The schedule cannot be followed; the text says why. */
    public static final class InvalidScheduleException extends Exception {
        InvalidScheduleException(String why) {
            super(why);
        }
    }

    /**
     * Checks a rule.
     *
     * @throws InvalidScheduleException naming what is wrong with it
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
        } catch (IllegalArgumentException wrong) {
            throw new InvalidScheduleException(
                    "rule does not go with its start: " + wrong.getMessage());
        }
    }

    private static RecurrenceRule parseRule(String text) throws InvalidScheduleException {
        try {
            return new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
        } catch (InvalidRecurrenceRuleException | IllegalArgumentException wrong) {
            throw new InvalidScheduleException(
                    "rule is not one of RFC 5545: " + wrong.getMessage());
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
     * The times that overlap a span, in their order, {@code most} at most.
     *
     * @param schedule that was checked
     */
    public static List<Occurrence> occurrencesBetween(
            RecurringSchedule schedule, long fromMillis, long untilMillis, int most) {
        List<Occurrence> found = new ArrayList<>();
        if (schedule.recurrenceRule() == null) {
            addIfOverlapping(found, schedule, schedule.firstStart(), fromMillis, untilMillis);
            return found;
        }
        try {
            RecurrenceRuleIterator times =
                    parseRule(schedule.recurrenceRule())
                            .iterator(toFloatingDateTime(schedule.firstStart()));
            LocalDateTime early =
                    LocalDateTime.ofInstant(
                            Instant.ofEpochMilli(fromMillis)
                                    .minus(schedule.duration())
                                    .minus(CLOCK_DIFFERENCE_MARGIN),
                            schedule.timeZone());
            if (early.isAfter(schedule.firstStart())) {
                times.fastForward(toFloatingDateTime(early));
            }
            for (int step = 0;
                    step < MAX_RULE_STEPS && times.hasNext() && found.size() < most;
                    step++) {
                LocalDateTime next = toLocalDateTime(times.nextDateTime());
                if (startEpochMillis(schedule, next)
                        >= untilMillis + CLOCK_DIFFERENCE_MARGIN.toMillis()) {
                    break;
                }
                addIfOverlapping(found, schedule, next, fromMillis, untilMillis);
            }
        } catch (InvalidScheduleException | IllegalArgumentException | ArithmeticException spent) {
            // A rule that was checked and has no more days, or none that the library finds.
            return found;
        }
        return found;
    }

    private static long startEpochMillis(RecurringSchedule schedule, LocalDateTime local) {
        return ZonedDateTime.of(local, schedule.timeZone()).toInstant().toEpochMilli();
    }

    private static void addIfOverlapping(
            List<Occurrence> found,
            RecurringSchedule schedule,
            LocalDateTime local,
            long from,
            long until) {
        long start = startEpochMillis(schedule, local);
        long end = start + schedule.duration().toMillis();
        if (start < until && end > from) {
            found.add(new Occurrence(start, end));
        }
    }
}
