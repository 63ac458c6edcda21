package org.meadowhollow.coordination.calendar;

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
public final class Plan {
    /** Times of one entry within a plan. */
    static final int MOST_EACH = 64;

    /** A window's time. */
    public record Outage(MaintenanceWindow window, Occurrence when) {}

    /**
     * A reservation's time.
     *
     * @param machines how many of each {@code type/zone} it takes
     * @param tasks that these have room for
     * @param against what stands against the rest, empty if there is none
     */
    public record Slot(
            Reservation reservation,
            Occurrence when,
            Map<String, Integer> machines,
            int tasks,
            List<String> against) {
        public boolean isMet() {
            return tasks >= reservation.taskCount();
        }

        /** Whether the slot has machines of a type in a zone. */
        public boolean takes(String type, String zone) {
            return machines.containsKey(type + '/' + zone);
        }
    }

    private record Use(Occurrence when, String holder, long amount) {}

    /** Amounts in use over time; looked up by day, so that a far night costs nothing. */
    private static final class Track {
        private static final long DAY = 86_400_000;
        private final TreeMap<Long, List<Use>> days = new TreeMap<>();

        void add(Occurrence when, String holder, long amount) {
            Use use = new Use(when, holder, amount);
            for (long day = when.startMillis() / DAY; day <= (when.endMillis() - 1) / DAY; day++) {
                days.computeIfAbsent(day, unused -> new ArrayList<>()).add(use);
            }
        }

        List<Use> during(Occurrence when) {
            List<Use> all = new ArrayList<>();
            for (long day = when.startMillis() / DAY; day <= (when.endMillis() - 1) / DAY; day++) {
                for (Use use : days.getOrDefault(day, List.of())) {
                    if (use.when().overlaps(when) && !all.contains(use)) {
                        all.add(use);
                    }
                }
            }
            return all;
        }

        /**
         * The largest sum at any moment: it is reached at the start of one of them, or of the span.
         */
        long peak(Occurrence when) {
            List<Use> uses = during(when);
            long peak = 0;
            for (Use at : uses) {
                long moment = Math.max(at.when().startMillis(), when.startMillis());
                long sum = 0;
                for (Use use : uses) {
                    sum +=
                            use.when().startMillis() <= moment && moment < use.when().endMillis()
                                    ? use.amount()
                                    : 0;
                }
                peak = Math.max(peak, sum);
            }
            return peak;
        }
    }

    private final List<Outage> outages;
    private final List<Slot> slots;

    private Plan(List<Outage> outages, List<Slot> slots) {
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

    public static Plan of(
            CalendarSnapshot calendarSnapshot, Supply supply, long fromMillis, long untilMillis) {
        List<Outage> outages = new ArrayList<>();
        for (CalendarSnapshot.CalendarEntry<MaintenanceWindow> calendarEntry :
                calendarSnapshot.windows()) {
            for (Occurrence when :
                    Recurrence.between(
                            calendarEntry.item().schedule(), fromMillis, untilMillis, MOST_EACH)) {
                outages.add(new Outage(calendarEntry.item(), when));
            }
        }
        outages.sort(
                Comparator.<Outage>comparingLong(outage -> outage.when().startMillis())
                        .thenComparing(outage -> outage.window().name()));
        Making making = new Making(supply, outages);
        List<Slot> slots = new ArrayList<>();
        for (CalendarSnapshot.CalendarEntry<Reservation> calendarEntry :
                calendarSnapshot.reservations()) {
            for (Occurrence when :
                    Recurrence.between(
                            calendarEntry.item().schedule(), fromMillis, untilMillis, MOST_EACH)) {
                slots.add(making.slot(calendarEntry.item(), when));
            }
        }
        slots.sort(
                Comparator.<Slot>comparingLong(slot -> slot.when().startMillis())
                        .thenComparing(slot -> slot.reservation().name()));
        return new Plan(List.copyOf(outages), List.copyOf(slots));
    }

    /** The state of a plan that is being made. */
    private static final class Making {
        private final Supply supply;
        private final List<Outage> outages;
        private final Map<String, Track> machines = new HashMap<>();
        private final Map<String, Track> cpus = new HashMap<>();
        private final Map<String, Track> gpus = new HashMap<>();

        Making(Supply supply, List<Outage> outages) {
            this.supply = supply;
            this.outages = outages;
        }

        Slot slot(Reservation reservation, Occurrence when) {
            List<String> against = new ArrayList<>();
            int most = Math.min(reservation.taskCount(), withinLimit(reservation, when, against));
            Map<String, Integer> taken = new LinkedHashMap<>();
            int tasks = 0;
            for (MachineType type : byPrice(reservation)) {
                for (String zone : type.zones()) {
                    if (tasks < most
                            && (reservation.requiredZone() == null
                                    || reservation.requiredZone().equals(zone))) {
                        tasks += take(reservation, when, type, zone, most - tasks, taken, against);
                    }
                }
            }
            if (tasks > 0) {
                track(cpus, reservation.team())
                        .add(
                                when,
                                reservation.name(),
                                reservation.resourcesPerTask().times(tasks).cpu());
                track(gpus, reservation.team())
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

        private List<MachineType> byPrice(Reservation reservation) {
            return supply.types().stream()
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

        private int withinLimit(Reservation reservation, Occurrence when, List<String> against) {
            Resources limit = supply.limits().getOrDefault(reservation.team(), Resources.NONE);
            Resources left =
                    new Resources(
                            limit.cpu() == 0
                                    ? Long.MAX_VALUE
                                    : limit.cpu() - track(cpus, reservation.team()).peak(when),
                            limit.gpu() == 0
                                    ? Long.MAX_VALUE
                                    : limit.gpu() - track(gpus, reservation.team()).peak(when),
                            Long.MAX_VALUE);
            int most = reservation.resourcesPerTask().maxCopiesIn(left, reservation.taskCount());
            if (most < reservation.taskCount()) {
                against.add(
                        "the limit of team "
                                + reservation.team()
                                + among(track(cpus, reservation.team()), when));
            }
            return most;
        }

        private static String among(Track track, Occurrence when) {
            List<String> names =
                    track.during(when).stream().map(Use::holder).distinct().sorted().toList();
            return names.isEmpty() ? "" : ", with " + String.join(", ", names);
        }

        private int take(
                Reservation reservation,
                Occurrence when,
                MachineType type,
                String zone,
                int tasks,
                Map<String, Integer> taken,
                List<String> against) {
            for (Outage outage : outages) {
                if (outage.when().overlaps(when)
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
            int most = supply.mostOf(type.name(), zone);
            long left =
                    most == Integer.MAX_VALUE
                            ? wanted
                            : Math.max(0, most - track(machines, pair).peak(when));
            int got = (int) Math.min(wanted, left);
            if (got < wanted) {
                against.add(
                        "there are "
                                + most
                                + " of "
                                + type.name()
                                + " in "
                                + zone
                                + among(track(machines, pair), when));
            }
            if (got > 0) {
                track(machines, pair).add(when, reservation.name(), got);
                taken.put(pair, got);
            }
            return Math.min(tasks, got * each);
        }

        private static Track track(Map<String, Track> tracks, String key) {
            return tracks.computeIfAbsent(key, unused -> new Track());
        }
    }
}
