package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Occurrence;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.storage.CalendarSnapshot;

/**
 * Who has what when: a pure function of the calendar, of what there is and of a span of time, so
 * that every node finds the same. Reservations are served in the order of their acceptance, each
 * from the cheapest machines that its rules allow and that no window takes; one that a later window
 * takes its machines from thus moves to others, or is short.
 */
public final class ReservationPlan {
    /** Times of one entry within a plan. */
    static final int MAX_OCCURRENCES_PER_ENTRY = 64;

    /** A window's time. */
    public record Outage(MaintenanceWindow window, Occurrence occurrence) {}

    /**
     * A reservation's time.
     *
     * @param machinesByTypeZone how many of each {@code type/zone} it takes
     * @param fulfilledTasks that these have room for
     * @param conflicts what stands against the rest, empty if there is none
     */
    public record Slot(
            Reservation reservation,
            Occurrence occurrence,
            Map<String, Integer> machinesByTypeZone,
            int fulfilledTasks,
            List<String> conflicts) {
        public boolean isFulfilled() {
            return fulfilledTasks >= reservation.taskCount();
        }

        /** Whether the slot has machines of a type in a zone. */
        public boolean includes(String type, String zone) {
            return machinesByTypeZone.containsKey(type + '/' + zone);
        }
    }

    private record Usage(Occurrence occurrence, String reservationName, long amount) {}

    /** Amounts in use over time; looked up by day, so that a far night costs nothing. */
    private static final class UsageTimeline {
        private static final long DAY_MILLIS = 86_400_000;
        private final TreeMap<Long, List<Usage>> usagesByDay = new TreeMap<>();

        void add(Occurrence when, String holder, long amount) {
            Usage usage = new Usage(when, holder, amount);
            for (long day = when.startMillis() / DAY_MILLIS;
                    day <= (when.endMillis() - 1) / DAY_MILLIS;
                    day++) {
                usagesByDay.computeIfAbsent(day, unused -> new ArrayList<>()).add(usage);
            }
        }

        List<Usage> usagesDuring(Occurrence when) {
            List<Usage> all = new ArrayList<>();
            for (long day = when.startMillis() / DAY_MILLIS;
                    day <= (when.endMillis() - 1) / DAY_MILLIS;
                    day++) {
                for (Usage usage : usagesByDay.getOrDefault(day, List.of())) {
                    if (usage.occurrence().overlaps(when) && !all.contains(usage)) {
                        all.add(usage);
                    }
                }
            }
            return all;
        }

        /**
         * The largest sum at any moment: it is reached at the start of one of them, or of the span.
         */
        long peakDuring(Occurrence when) {
            List<Usage> uses = usagesDuring(when);
            long peak = 0;
            for (Usage at : uses) {
                long moment = Math.max(at.occurrence().startMillis(), when.startMillis());
                long sum = 0;
                for (Usage usage : uses) {
                    sum +=
                            usage.occurrence().startMillis() <= moment
                                            && moment < usage.occurrence().endMillis()
                                    ? usage.amount()
                                    : 0;
                }
                peak = Math.max(peak, sum);
            }
            return peak;
        }
    }

    private final List<Outage> outages;
    private final List<Slot> slots;

    private ReservationPlan(List<Outage> outages, List<Slot> slots) {
        this.outages = outages;
        this.slots = slots;
    }

    /** In the order of their starts. */
    public List<Outage> outages() {
        return outages;
    }

    /** In the order of their starts. */
    public List<Slot> slots() {
        return slots;
    }

    public static ReservationPlan of(
            CalendarSnapshot calendarSnapshot,
            ReservableCapacity reservableCapacity,
            long fromMillis,
            long untilMillis) {
        List<Outage> outages = new ArrayList<>();
        for (CalendarSnapshot.CalendarEntry<MaintenanceWindow> calendarEntry :
                calendarSnapshot.windows()) {
            for (Occurrence when :
                    Recurrence.occurrencesBetween(
                            calendarEntry.item().schedule(),
                            fromMillis,
                            untilMillis,
                            MAX_OCCURRENCES_PER_ENTRY)) {
                outages.add(new Outage(calendarEntry.item(), when));
            }
        }
        outages.sort(
                Comparator.<Outage>comparingLong(outage -> outage.occurrence().startMillis())
                        .thenComparing(outage -> outage.window().name()));
        PlanBuilder planBuilder = new PlanBuilder(reservableCapacity, outages);
        List<Slot> slots = new ArrayList<>();
        for (CalendarSnapshot.CalendarEntry<Reservation> calendarEntry :
                calendarSnapshot.reservations()) {
            for (Occurrence when :
                    Recurrence.occurrencesBetween(
                            calendarEntry.item().schedule(),
                            fromMillis,
                            untilMillis,
                            MAX_OCCURRENCES_PER_ENTRY)) {
                slots.add(planBuilder.planSlot(calendarEntry.item(), when));
            }
        }
        slots.sort(
                Comparator.<Slot>comparingLong(slot -> slot.occurrence().startMillis())
                        .thenComparing(slot -> slot.reservation().name()));
        return new ReservationPlan(List.copyOf(outages), List.copyOf(slots));
    }

    /** The state of a plan that is being made. */
    private static final class PlanBuilder {
        private final ReservableCapacity capacity;
        private final List<Outage> outages;
        private final Map<String, UsageTimeline> machineUsage = new HashMap<>();
        private final Map<String, UsageTimeline> cpuUsageByTeam = new HashMap<>();
        private final Map<String, UsageTimeline> gpuUsageByTeam = new HashMap<>();

        PlanBuilder(ReservableCapacity reservableCapacity, List<Outage> outages) {
            this.capacity = reservableCapacity;
            this.outages = outages;
        }

        Slot planSlot(Reservation reservation, Occurrence when) {
            List<String> against = new ArrayList<>();
            int most =
                    Math.min(
                            reservation.taskCount(),
                            countTasksWithinTeamLimit(reservation, when, against));
            Map<String, Integer> taken = new LinkedHashMap<>();
            int tasks = 0;
            for (MachineType type : eligibleTypesByPrice(reservation)) {
                for (String zone : type.zones()) {
                    if (tasks < most
                            && (reservation.requiredZone() == null
                                    || reservation.requiredZone().equals(zone))) {
                        tasks +=
                                allocate(
                                        reservation,
                                        when,
                                        type,
                                        zone,
                                        most - tasks,
                                        taken,
                                        against);
                    }
                }
            }
            if (tasks > 0) {
                timelineFor(cpuUsageByTeam, reservation.team())
                        .add(
                                when,
                                reservation.name(),
                                reservation.resourcesPerTask().times(tasks).cpu());
                timelineFor(gpuUsageByTeam, reservation.team())
                        .add(
                                when,
                                reservation.name(),
                                reservation.resourcesPerTask().times(tasks).gpu());
            }
            return new Slot(
                    reservation,
                    when,
                    taken,
                    tasks,
                    tasks < reservation.taskCount()
                            ? against.stream().distinct().toList()
                            : List.of());
        }

        private List<MachineType> eligibleTypesByPrice(Reservation reservation) {
            return capacity.machineTypes().stream()
                    .filter(
                            type ->
                                    (reservation.allowedMachineTypes() == null
                                                    || reservation
                                                            .allowedMachineTypes()
                                                            .contains(type.name()))
                                            && reservation
                                                    .resourcesPerTask()
                                                    .fitsIn(type.capacity()))
                    .sorted(
                            Comparator.comparingDouble(
                                            (MachineType type) ->
                                                    type.hourlyPrice()
                                                            / reservation
                                                                    .resourcesPerTask()
                                                                    .maxCopiesIn(
                                                                            type.capacity(),
                                                                            reservation
                                                                                    .taskCount()))
                                    .thenComparing(MachineType::name))
                    .toList();
        }

        private int countTasksWithinTeamLimit(
                Reservation reservation, Occurrence when, List<String> against) {
            Resources limit =
                    capacity.teamLimits().getOrDefault(reservation.team(), Resources.NONE);
            Resources left =
                    new Resources(
                            limit.cpu() == 0
                                    ? Long.MAX_VALUE
                                    : limit.cpu()
                                            - timelineFor(cpuUsageByTeam, reservation.team())
                                                    .peakDuring(when),
                            limit.gpu() == 0
                                    ? Long.MAX_VALUE
                                    : limit.gpu()
                                            - timelineFor(gpuUsageByTeam, reservation.team())
                                                    .peakDuring(when),
                            Long.MAX_VALUE);
            int most = reservation.resourcesPerTask().maxCopiesIn(left, reservation.taskCount());
            if (most < reservation.taskCount()) {
                against.add(
                        "the limit of team "
                                + reservation.team()
                                + describeHolders(
                                        timelineFor(cpuUsageByTeam, reservation.team()), when));
            }
            return most;
        }

        private static String describeHolders(UsageTimeline usageTimeline, Occurrence when) {
            List<String> names =
                    usageTimeline.usagesDuring(when).stream()
                            .map(Usage::reservationName)
                            .distinct()
                            .sorted()
                            .toList();
            return names.isEmpty() ? "" : ", with " + String.join(", ", names);
        }

        private int allocate(
                Reservation reservation,
                Occurrence when,
                MachineType type,
                String zone,
                int tasks,
                Map<String, Integer> taken,
                List<String> against) {
            for (Outage outage : outages) {
                if (outage.occurrence().overlaps(when)
                        && outage.window().coversAllOfType(type.name(), zone)) {
                    against.add(
                            "window "
                                    + outage.window().name()
                                    + " takes "
                                    + type.name()
                                    + " in "
                                    + zone);
                    return 0;
                }
            }
            int each = reservation.resourcesPerTask().maxCopiesIn(type.capacity(), tasks);
            int wanted = (tasks + each - 1) / each;
            String pair = type.name() + '/' + zone;
            int most = capacity.maxMachinesOf(type.name(), zone);
            long left =
                    most == Integer.MAX_VALUE
                            ? wanted
                            : Math.max(0, most - timelineFor(machineUsage, pair).peakDuring(when));
            int got = (int) Math.min(wanted, left);
            if (got < wanted) {
                against.add(
                        "there are "
                                + most
                                + " of "
                                + type.name()
                                + " in "
                                + zone
                                + describeHolders(timelineFor(machineUsage, pair), when));
            }
            if (got > 0) {
                timelineFor(machineUsage, pair).add(when, reservation.name(), got);
                taken.put(pair, got);
            }
            return Math.min(tasks, got * each);
        }

        private static UsageTimeline timelineFor(Map<String, UsageTimeline> tracks, String key) {
            return tracks.computeIfAbsent(key, unused -> new UsageTimeline());
        }
    }
}
