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
 * Decides whether a reservation can be admitted, and finds the admitted reservations that a
 * maintenance window affects. All functions are pure.
 */
public final class ReservationAdmission {
    /**
     * How far ahead the occurrences of a reservation are checked at admission; later ones are
     * planned as time passes.
     */
    public static final Duration ADMISSION_HORIZON = Duration.ofDays(35);

    /**
     * The most entries in the calendar. Together with the revision key they fit in one page of a
     * listing of the key-value store.
     */
    public static final int MAX_ENTRIES = 999;

    /** Bounds the search for a later start. */
    private static final int MAX_STARTS_TRIED = 50;

    private ReservationAdmission() {}

    /**
     * The result of evaluating a request for a reservation.
     *
     * @param infeasibleReason why the reservation can never be met, or null
     * @param conflicts why the reservation cannot be met now; empty if it can
     * @param nearestStart a later start of the first occurrence at which all occurrences could be
     *     met, in the local time of the reservation's time zone; null if none was found or none is
     *     needed
     */
    public record AdmissionResult(
            String infeasibleReason, List<String> conflicts, LocalDateTime nearestStart) {
        /** Whether the reservation can be met. */
        public boolean isAdmitted() {
            return infeasibleReason == null && conflicts.isEmpty();
        }
    }

    /**
     * Checks whether a requested reservation can be admitted.
     *
     * @param zones the zones that exist
     * @param now the wall clock in milliseconds since the epoch
     */
    public static AdmissionResult evaluate(
            CalendarSnapshot calendar,
            Reservation requested,
            ReservableCapacity capacity,
            Set<String> zones,
            long now) {
        String infeasibleReason = findInfeasibleReason(requested, capacity, zones);
        if (infeasibleReason != null) {
            return new AdmissionResult(infeasibleReason, List.of(), null);
        }
        List<String> conflicts = findConflicts(calendar, requested, capacity, now);
        LocalDateTime nearestStart =
                conflicts.isEmpty() ? null : findNearestStart(calendar, requested, capacity, now);
        return new AdmissionResult(null, conflicts, nearestStart);
    }

    private static String findInfeasibleReason(
            Reservation requested, ReservableCapacity capacity, Set<String> zones) {
        if (!capacity.teamLimits().containsKey(requested.team())) {
            return "there is no team " + requested.team();
        }
        if (requested.requiredZone() != null && !zones.contains(requested.requiredZone())) {
            return "there is no zone " + requested.requiredZone();
        }
        Resources limit = capacity.teamLimits().get(requested.team());
        Resources total = requested.resourcesPerTask().times(requested.taskCount());
        boolean exceedsCpu = limit.cpu() > 0 && total.cpu() > limit.cpu();
        boolean exceedsGpu = limit.gpu() > 0 && total.gpu() > limit.gpu();
        if (exceedsCpu || exceedsGpu) {
            return "it is more than the limit of team " + requested.team();
        }
        boolean fitsAnyType =
                capacity.machineTypes().stream().anyMatch(type -> fits(requested, type));
        return fitsAnyType ? null : "a task fits no machine type that it allows";
    }

    private static boolean fits(Reservation requested, MachineType type) {
        boolean typeAllowed =
                requested.allowedMachineTypes() == null
                        || requested.allowedMachineTypes().contains(type.name());
        boolean inZone =
                requested.requiredZone() == null || type.zones().contains(requested.requiredZone());
        return typeAllowed && requested.resourcesPerTask().fitsIn(type.capacity()) && inZone;
    }

    /**
     * Returns the reasons why the reservation cannot be met now. The reservation is planned last,
     * so reservations that were admitted before keep their machines.
     */
    private static List<String> findConflicts(
            CalendarSnapshot calendar,
            Reservation requested,
            ReservableCapacity capacity,
            long now) {
        Set<String> conflicts = new LinkedHashSet<>();
        boolean hasOccurrence = false;
        for (ReservationPlan.Slot slot :
                planToHorizon(calendar.with(requested), capacity, now).slots()) {
            if (slot.reservation().name().equals(requested.name())) {
                hasOccurrence = true;
                conflicts.addAll(slot.conflicts());
            }
        }
        if (!hasOccurrence) {
            conflicts.add(
                    "no time of it lies within the next " + ADMISSION_HORIZON.toDays() + " days");
        }
        return List.copyOf(conflicts);
    }

    /**
     * Finds the nearest later start at which all occurrences can be met, or null. A conflict ends
     * only when an occurrence of another entry ends, so only the ends of occurrences are tried.
     */
    private static LocalDateTime findNearestStart(
            CalendarSnapshot calendar,
            Reservation requested,
            ReservableCapacity capacity,
            long now) {
        List<Occurrence> firstOccurrence =
                Recurrence.occurrencesBetween(requested.schedule(), now, horizon(now), 1);
        if (firstOccurrence.isEmpty()) {
            return null;
        }
        ReservationPlan others =
                planToHorizon(calendar.withoutReservation(requested.name()), capacity, now);
        TreeSet<Long> ends = new TreeSet<>();
        others.outages().forEach(outage -> ends.add(outage.occurrence().endMillis()));
        others.slots().forEach(slot -> ends.add(slot.occurrence().endMillis()));
        int tried = 0;
        for (long end : ends.tailSet(firstOccurrence.get(0).startMillis(), false)) {
            if (tried++ == MAX_STARTS_TRIED) {
                return null;
            }
            LocalDateTime start =
                    LocalDateTime.ofInstant(
                            Instant.ofEpochMilli(end), requested.schedule().timeZone());
            Reservation moved = withFirstStart(requested, start);
            if (findConflicts(calendar, moved, capacity, now).isEmpty()) {
                return start;
            }
        }
        return null;
    }

    private static Reservation withFirstStart(Reservation reservation, LocalDateTime start) {
        RecurringSchedule schedule = reservation.schedule();
        return new Reservation(
                reservation.name(),
                reservation.team(),
                reservation.priority(),
                reservation.taskCount(),
                reservation.resourcesPerTask(),
                reservation.allowedMachineTypes(),
                reservation.requiredZone(),
                reservation.allowsSpot(),
                reservation.image(),
                reservation.imageSizeGb(),
                reservation.jobClass(),
                reservation.allowedJobs(),
                new RecurringSchedule(
                        start,
                        schedule.timeZone(),
                        schedule.duration(),
                        schedule.recurrenceRule()));
    }

    /**
     * Describes the effects of a new or changed window on admitted reservations: the occurrences
     * that had all their machines and lack some with the window, and the occurrences that move to
     * other machines. These effects are no reason to reject a window.
     *
     * @param now the wall clock in milliseconds since the epoch
     */
    public static List<String> describeAffectedReservations(
            CalendarSnapshot calendar,
            MaintenanceWindow window,
            ReservableCapacity capacity,
            long now) {
        List<ReservationPlan.Slot> slotsBefore = planToHorizon(calendar, capacity, now).slots();
        List<ReservationPlan.Slot> slotsAfter =
                planToHorizon(calendar.with(window), capacity, now).slots();
        List<String> notes = new ArrayList<>();
        for (int index = 0; index < slotsBefore.size(); index++) {
            ReservationPlan.Slot before = slotsBefore.get(index);
            ReservationPlan.Slot after = slotsAfter.get(index);
            String occurrence =
                    before.reservation().name()
                            + " at "
                            + Instant.ofEpochMilli(before.occurrence().startMillis());
            if (before.isFulfilled() && !after.isFulfilled()) {
                notes.add(occurrence + " is short: " + String.join("; ", after.conflicts()));
            } else if (!before.machinesByTypeZone().equals(after.machinesByTypeZone())) {
                String machines = String.join(", ", after.machinesByTypeZone().keySet());
                notes.add(occurrence + " moves to " + machines);
            }
        }
        return notes;
    }

    private static ReservationPlan planToHorizon(
            CalendarSnapshot calendar, ReservableCapacity capacity, long now) {
        return ReservationPlan.of(calendar, capacity, now, horizon(now));
    }

    private static long horizon(long now) {
        return now + ADMISSION_HORIZON.toMillis();
    }
}
