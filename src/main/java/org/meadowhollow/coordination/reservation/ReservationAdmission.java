package org.meadowhollow.coordination.reservation;

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
public final class ReservationAdmission {
    /** How far ahead times are promised; a rule that goes on is looked at again as time passes. */
    public static final Duration ADMISSION_HORIZON = Duration.ofDays(35);

    /** Entries of a calendar: as many as one list of the state service, and its stamp, can hold. */
    public static final int MAX_ENTRIES = 999;

    /** Other starts that are tried for one that cannot be met. */
    private static final int MAX_STARTS_TRIED = 50;

    private ReservationAdmission() {}

    /**
     * The answer to a request.
     *
     * @param infeasibleReason why it can never be met, or null
     * @param conflicts what stands against it now; empty if it can be met
     * @param nearestStart a later start of its first time at which all could be met, or null if
     *     none was found
     */
    public record AdmissionResult(
            String infeasibleReason, List<String> conflicts, LocalDateTime nearestStart) {
        public boolean isAdmitted() {
            return infeasibleReason == null && conflicts.isEmpty();
        }
    }

    public static AdmissionResult evaluate(
            CalendarSnapshot calendarSnapshot,
            Reservation asked,
            ReservableCapacity reservableCapacity,
            Set<String> zones,
            long now) {
        String never = findInfeasibleReason(asked, reservableCapacity, zones);
        if (never != null) {
            return new AdmissionResult(never, List.of(), null);
        }
        List<String> against = findConflicts(calendarSnapshot, asked, reservableCapacity, now);
        return new AdmissionResult(
                null,
                against,
                against.isEmpty()
                        ? null
                        : findNearestStart(calendarSnapshot, asked, reservableCapacity, now));
    }

    private static String findInfeasibleReason(
            Reservation asked, ReservableCapacity reservableCapacity, Set<String> zones) {
        if (!reservableCapacity.teamLimits().containsKey(asked.team())) {
            return "there is no team " + asked.team();
        }
        if (asked.requiredZone() != null && !zones.contains(asked.requiredZone())) {
            return "there is no zone " + asked.requiredZone();
        }
        Resources limit = reservableCapacity.teamLimits().get(asked.team());
        Resources all = asked.resourcesPerTask().times(asked.taskCount());
        if (limit.cpu() > 0 && all.cpu() > limit.cpu()
                || limit.gpu() > 0 && all.gpu() > limit.gpu()) {
            return "it is more than the limit of team " + asked.team();
        }
        for (MachineType type : reservableCapacity.machineTypes()) {
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
    private static List<String> findConflicts(
            CalendarSnapshot calendarSnapshot,
            Reservation asked,
            ReservableCapacity reservableCapacity,
            long now) {
        ReservationPlan reservationPlan =
                ReservationPlan.of(
                        calendarSnapshot.with(asked),
                        reservableCapacity,
                        now,
                        now + ADMISSION_HORIZON.toMillis());
        Set<String> all = new LinkedHashSet<>();
        boolean any = false;
        for (ReservationPlan.Slot slot : reservationPlan.slots()) {
            if (slot.reservation().name().equals(asked.name())) {
                any = true;
                all.addAll(slot.conflicts());
            }
        }
        if (!any) {
            all.add("no time of it lies within the next " + ADMISSION_HORIZON.toDays() + " days");
        }
        return List.copyOf(all);
    }

    /**
     * Whatever stands against a time ends when some other entry does, so only those moments are
     * tried.
     */
    private static LocalDateTime findNearestStart(
            CalendarSnapshot calendarSnapshot,
            Reservation asked,
            ReservableCapacity reservableCapacity,
            long now) {
        List<Occurrence> own =
                Recurrence.occurrencesBetween(
                        asked.schedule(), now, now + ADMISSION_HORIZON.toMillis(), 1);
        if (own.isEmpty()) {
            return null;
        }
        long start = own.get(0).startMillis();
        TreeSet<Long> ends = new TreeSet<>();
        ReservationPlan reservationPlan =
                ReservationPlan.of(
                        calendarSnapshot.withoutReservation(asked.name()),
                        reservableCapacity,
                        now,
                        now + ADMISSION_HORIZON.toMillis());
        reservationPlan.outages().forEach(outage -> ends.add(outage.occurrence().endMillis()));
        reservationPlan.slots().forEach(slot -> ends.add(slot.occurrence().endMillis()));
        int tried = 0;
        for (long end : ends.tailSet(start, false)) {
            if (tried++ == MAX_STARTS_TRIED) {
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
            if (findConflicts(calendarSnapshot, other, reservableCapacity, now).isEmpty()) {
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
    public static List<String> describeAffectedReservations(
            CalendarSnapshot calendarSnapshot,
            MaintenanceWindow window,
            ReservableCapacity reservableCapacity,
            long now) {
        long until = now + ADMISSION_HORIZON.toMillis();
        List<ReservationPlan.Slot> before =
                ReservationPlan.of(calendarSnapshot, reservableCapacity, now, until).slots();
        List<ReservationPlan.Slot> after =
                ReservationPlan.of(calendarSnapshot.with(window), reservableCapacity, now, until)
                        .slots();
        List<String> told = new ArrayList<>();
        for (int at = 0; at < before.size(); at++) {
            ReservationPlan.Slot was = before.get(at);
            ReservationPlan.Slot is = after.get(at);
            String which =
                    was.reservation().name()
                            + " at "
                            + Instant.ofEpochMilli(was.occurrence().startMillis());
            if (was.isFulfilled() && !is.isFulfilled()) {
                told.add(which + " is short: " + String.join("; ", is.conflicts()));
            } else if (!was.machinesByTypeZone().equals(is.machinesByTypeZone())) {
                told.add(
                        which + " moves to " + String.join(", ", is.machinesByTypeZone().keySet()));
            }
        }
        return told;
    }
}
