package org.meadowhollow.coordination.calendar;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Occurrence;
import org.meadowhollow.model.reservation.RecurringSchedule;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.storage.CalendarSnapshot;

/**
 * Whether a reservation can be promised, and what a window takes from those that were: pure
 * functions.
 */
public final class Admittance {
    /** How far ahead times are promised; a rule that goes on is looked at again as time passes. */
    public static final Duration HORIZON = Duration.ofDays(35);

    /** Entries of a calendar: as many as one list of the state service, and its stamp, can hold. */
    public static final int MOST_ENTRIES = 999;

    /** Other starts that are tried for one that cannot be met. */
    private static final int MOST_STARTS = 50;

    private Admittance() {}

    /**
     * The answer to a request.
     *
     * @param never why it can never be met, or null
     * @param against what stands against it now; empty if it can be met
     * @param nearest a later start of its first time at which all could be met, or null if none was
     *     found
     */
    public record Verdict(String never, List<String> against, LocalDateTime nearest) {
        public boolean isMet() {
            return never == null && against.isEmpty();
        }
    }

    public static Verdict judge(
            CalendarSnapshot calendarSnapshot,
            Reservation asked,
            Supply supply,
            Set<String> zones,
            long now) {
        String never = whyNever(asked, supply, zones);
        if (never != null) {
            return new Verdict(never, List.of(), null);
        }
        List<String> against = against(calendarSnapshot, asked, supply, now);
        return new Verdict(
                null,
                against,
                against.isEmpty() ? null : nearest(calendarSnapshot, asked, supply, now));
    }

    private static String whyNever(Reservation asked, Supply supply, Set<String> zones) {
        if (!supply.limits().containsKey(asked.team())) {
            return "there is no team " + asked.team();
        }
        if (asked.requiredZone() != null && !zones.contains(asked.requiredZone())) {
            return "there is no zone " + asked.requiredZone();
        }
        Resources limit = supply.limits().get(asked.team());
        Resources all = asked.resourcesPerTask().times(asked.taskCount());
        if (limit.cpu() > 0 && all.cpu() > limit.cpu()
                || limit.gpu() > 0 && all.gpu() > limit.gpu()) {
            return "it is more than the limit of team " + asked.team();
        }
        for (MachineType type : supply.types()) {
            if ((asked.allowedMachineTypes() == null
                            || asked.allowedMachineTypes().contains(type.name()))
                    && asked.resourcesPerTask().fitsIn(type.capacity())
                    && (asked.requiredZone() == null
                            || type.zones().contains(asked.requiredZone()))) {
                return null;
            }
        }
        return "a task fits no machine type that it allows";
    }

    /**
     * What stands against it, and against those accepted before it, since it comes last, nothing
     * changes for them.
     */
    private static List<String> against(
            CalendarSnapshot calendarSnapshot, Reservation asked, Supply supply, long now) {
        Plan plan = Plan.of(calendarSnapshot.with(asked), supply, now, now + HORIZON.toMillis());
        Set<String> all = new LinkedHashSet<>();
        boolean any = false;
        for (Plan.Slot slot : plan.slots()) {
            if (slot.reservation().name().equals(asked.name())) {
                any = true;
                all.addAll(slot.against());
            }
        }
        if (!any) {
            all.add("no time of it lies within the next " + HORIZON.toDays() + " days");
        }
        return List.copyOf(all);
    }

    /**
     * Whatever stands against a time ends when some other entry does, so only those moments are
     * tried.
     */
    private static LocalDateTime nearest(
            CalendarSnapshot calendarSnapshot, Reservation asked, Supply supply, long now) {
        List<Occurrence> own =
                Recurrence.between(asked.schedule(), now, now + HORIZON.toMillis(), 1);
        if (own.isEmpty()) {
            return null;
        }
        long start = own.get(0).startMillis();
        TreeSet<Long> ends = new TreeSet<>();
        Plan plan =
                Plan.of(
                        calendarSnapshot.withoutReservation(asked.name()),
                        supply,
                        now,
                        now + HORIZON.toMillis());
        plan.outages().forEach(outage -> ends.add(outage.when().endMillis()));
        plan.slots().forEach(slot -> ends.add(slot.when().endMillis()));
        int tried = 0;
        for (long end : ends.tailSet(start, false)) {
            if (tried++ == MOST_STARTS) {
                return null;
            }
            RecurringSchedule was = asked.schedule();
            LocalDateTime moved =
                    LocalDateTime.ofInstant(Instant.ofEpochMilli(end), was.timeZone());
            Reservation other =
                    new Reservation(
                            asked.name(),
                            asked.team(),
                            asked.priority(),
                            asked.taskCount(),
                            asked.resourcesPerTask(),
                            asked.allowedMachineTypes(),
                            asked.requiredZone(),
                            asked.allowsSpot(),
                            asked.image(),
                            asked.imageSizeGb(),
                            asked.jobClass(),
                            asked.allowedJobs(),
                            new RecurringSchedule(
                                    moved, was.timeZone(), was.duration(), was.recurrenceRule()));
            if (against(calendarSnapshot, other, supply, now).isEmpty()) {
                return moved;
            }
        }
        return null;
    }

    /**
     * What a window that is declared or changed would take: times of accepted reservations that
     * were met and are short with it, or are met from other machines. A window is never refused for
     * it.
     */
    public static List<String> taken(
            CalendarSnapshot calendarSnapshot, MaintenanceWindow window, Supply supply, long now) {
        long until = now + HORIZON.toMillis();
        List<Plan.Slot> before = Plan.of(calendarSnapshot, supply, now, until).slots();
        List<Plan.Slot> after = Plan.of(calendarSnapshot.with(window), supply, now, until).slots();
        List<String> told = new ArrayList<>();
        for (int at = 0; at < before.size(); at++) {
            Plan.Slot was = before.get(at);
            Plan.Slot is = after.get(at);
            String which =
                    was.reservation().name()
                            + " at "
                            + Instant.ofEpochMilli(was.when().startMillis());
            if (was.isMet() && !is.isMet()) {
                told.add(which + " is short: " + String.join("; ", is.against()));
            } else if (!was.machines().equals(is.machines())) {
                told.add(which + " moves to " + String.join(", ", is.machines().keySet()));
            }
        }
        return told;
    }
}
