package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.Occurrence;
import org.meadowhollow.model.reservation.Reservation;

/**
 * Assigns machines to the slots of a plan. Each slot gets machines that the slots planned before it
 * leave free. Used while one {@link ReservationPlan} is computed; not thread-safe.
 */
final class ReservationPlanner {
    private final ReservableCapacity capacity;
    private final List<ReservationPlan.Outage> outages;
    private final Map<String, UsageTimeline> machineUsageByTypeZone = new HashMap<>();
    private final Map<String, UsageTimeline> cpuUsageByTeam = new HashMap<>();
    private final Map<String, UsageTimeline> gpuUsageByTeam = new HashMap<>();

    /** The slot being planned, with the machines and conflicts found so far. */
    private static final class SlotDraft {
        private final Reservation reservation;
        private final Occurrence occurrence;
        private final Map<String, Integer> machinesByTypeZone = new LinkedHashMap<>();
        private final List<String> conflicts = new ArrayList<>();
        private int tasks;

        SlotDraft(Reservation reservation, Occurrence occurrence) {
            this.reservation = reservation;
            this.occurrence = occurrence;
        }

        ReservationPlan.Slot toSlot() {
            boolean fulfilled = tasks >= reservation.taskCount();
            return new ReservationPlan.Slot(
                    reservation,
                    occurrence,
                    machinesByTypeZone,
                    tasks,
                    fulfilled ? List.of() : conflicts.stream().distinct().toList());
        }
    }

    ReservationPlanner(ReservableCapacity capacity, List<ReservationPlan.Outage> outages) {
        this.capacity = capacity;
        this.outages = outages;
    }

    /**
     * Plans one occurrence of a reservation: assigns the cheapest machines first, up to the team's
     * limit.
     */
    ReservationPlan.Slot planSlot(Reservation reservation, Occurrence occurrence) {
        SlotDraft draft = new SlotDraft(reservation, occurrence);
        int maxTasks = countTasksWithinTeamLimit(draft);
        for (MachineType type : eligibleTypesByPrice(reservation)) {
            for (String zone : type.zones()) {
                boolean zoneAllowed =
                        reservation.requiredZone() == null
                                || reservation.requiredZone().equals(zone);
                if (draft.tasks < maxTasks && zoneAllowed) {
                    draft.tasks += allocate(draft, type, zone, maxTasks - draft.tasks);
                }
            }
        }
        if (draft.tasks > 0) {
            addTeamUsage(draft);
        }
        return draft.toSlot();
    }

    private void addTeamUsage(SlotDraft draft) {
        Reservation reservation = draft.reservation;
        Resources usage = reservation.resourcesPerTask().times(draft.tasks);
        timelineFor(cpuUsageByTeam, reservation.team())
                .add(draft.occurrence, reservation.name(), usage.cpu());
        timelineFor(gpuUsageByTeam, reservation.team())
                .add(draft.occurrence, reservation.name(), usage.gpu());
    }

    /**
     * Returns the machine types that the reservation allows, ordered by the price per task, then by
     * name.
     */
    private List<MachineType> eligibleTypesByPrice(Reservation reservation) {
        return capacity.machineTypes().stream()
                .filter(type -> isEligible(type, reservation))
                .sorted(
                        Comparator.comparingDouble(
                                        (MachineType type) -> hourlyPricePerTask(type, reservation))
                                .thenComparing(MachineType::name))
                .toList();
    }

    private static boolean isEligible(MachineType type, Reservation reservation) {
        boolean allowed =
                reservation.allowedMachineTypes() == null
                        || reservation.allowedMachineTypes().contains(type.name());
        return allowed && reservation.resourcesPerTask().fitsIn(type.capacity());
    }

    private static double hourlyPricePerTask(MachineType type, Reservation reservation) {
        int tasksPerMachine =
                reservation
                        .resourcesPerTask()
                        .maxCopiesIn(type.capacity(), reservation.taskCount());
        return type.hourlyPrice() / tasksPerMachine;
    }

    /**
     * Returns the number of tasks that fit within the team's limit; adds a conflict if not all do.
     */
    private int countTasksWithinTeamLimit(SlotDraft draft) {
        Reservation reservation = draft.reservation;
        String team = reservation.team();
        Resources limit = capacity.teamLimits().getOrDefault(team, Resources.NONE);
        Resources headroom =
                new Resources(
                        remaining(limit.cpu(), timelineFor(cpuUsageByTeam, team), draft),
                        remaining(limit.gpu(), timelineFor(gpuUsageByTeam, team), draft),
                        Long.MAX_VALUE);
        int tasks = reservation.resourcesPerTask().maxCopiesIn(headroom, reservation.taskCount());
        if (tasks < reservation.taskCount()) {
            draft.conflicts.add(
                    "the limit of team "
                            + team
                            + describeUsers(timelineFor(cpuUsageByTeam, team), draft));
        }
        return Math.min(reservation.taskCount(), tasks);
    }

    /** Returns the unused part of a team's limit; a limit of 0 means that there is no limit. */
    private static long remaining(long limit, UsageTimeline usage, SlotDraft draft) {
        return limit == 0 ? Long.MAX_VALUE : limit - usage.peakDuring(draft.occurrence);
    }

    private static String describeUsers(UsageTimeline usage, SlotDraft draft) {
        List<String> names = usage.reservationNamesDuring(draft.occurrence);
        return names.isEmpty() ? "" : ", with " + String.join(", ", names);
    }

    /**
     * Allocates machines of a type in a zone; adds a conflict if there are not enough.
     *
     * @return the number of tasks that fit on the allocated machines
     */
    private int allocate(SlotDraft draft, MachineType type, String zone, int tasks) {
        for (ReservationPlan.Outage outage : outages) {
            if (outage.occurrence().overlaps(draft.occurrence)
                    && outage.window().coversAllOfType(type.name(), zone)) {
                draft.conflicts.add(
                        "window "
                                + outage.window().name()
                                + " takes "
                                + type.name()
                                + " in "
                                + zone);
                return 0;
            }
        }
        int tasksPerMachine =
                draft.reservation.resourcesPerTask().maxCopiesIn(type.capacity(), tasks);
        int requested = (tasks + tasksPerMachine - 1) / tasksPerMachine;
        int machines = allocateMachines(draft, type, zone, requested);
        return Math.min(tasks, machines * tasksPerMachine);
    }

    private int allocateMachines(SlotDraft draft, MachineType type, String zone, int requested) {
        String typeZone = type.name() + '/' + zone;
        UsageTimeline usage = timelineFor(machineUsageByTypeZone, typeZone);
        int maxMachines = capacity.maxMachinesOf(type.name(), zone);
        long available =
                maxMachines == Integer.MAX_VALUE
                        ? requested
                        : Math.max(0, maxMachines - usage.peakDuring(draft.occurrence));
        int allocated = (int) Math.min(requested, available);
        if (allocated < requested) {
            draft.conflicts.add(
                    "there are "
                            + maxMachines
                            + " of "
                            + type.name()
                            + " in "
                            + zone
                            + describeUsers(usage, draft));
        }
        if (allocated > 0) {
            usage.add(draft.occurrence, draft.reservation.name(), allocated);
            draft.machinesByTypeZone.put(typeZone, allocated);
        }
        return allocated;
    }

    private static UsageTimeline timelineFor(Map<String, UsageTimeline> timelines, String key) {
        return timelines.computeIfAbsent(key, unused -> new UsageTimeline());
    }
}
