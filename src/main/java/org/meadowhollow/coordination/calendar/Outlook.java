package org.meadowhollow.coordination.calendar;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.Reservation;

/**
 * What the plan means for one round: which machines are kept for whom, which are out and when, who
 * would run into it, and what is still to be rented. A pure function of the plan, of the machines
 * and of two clocks.
 */
public final class Outlook {
    /** How long before its start room is kept for a reservation: longer than most tasks run. */
    static final double HOLD_AHEAD_S = 1800;

    /**
     * Boots take up to half as long again as usual; a round and a call of the cloud come on top.
     */
    private static final double BOOT_MARGIN = 1.5;

    private static final double RENT_MARGIN_S = 60;

    /** A slot that nobody has used for this long after its start is given back. */
    static final double GIVE_BACK_S = 600;

    /** How long before it is stopped somebody is told so. */
    public static final double WARN_S = 120;

    /**
     * For the stop to reach its worker and for the room to be seen as free: reports, a round, and a
     * write.
     */
    private static final double STOP_MARGIN_S = 15;

    /** A machine that is out this soon is not rented any more. */
    private static final double OUT_SOON_S = 900;

    /** The share of its estimate that a task is taken to need still, however long it has run. */
    private static final double LEAST_LEFT = 0.1;

    /**
     * A task that would be in the way.
     *
     * @param stopInS when it is to be told to stop; negative if that time is past
     * @param latestInS when it has to be told at the latest, later than that for a service, which
     *     moves
     * @param why in words for its owner
     */
    public record Spill(Placement placement, double stopInS, double latestInS, String why) {}

    /** Room that no machine has yet. */
    public record Missing(Reservation reservation, int tasks, String zone) {}

    /** The clocks of a round, and how far the time of day may be off. */
    public record Clocks(MonotonicTime now, long wallMillis, long skewMillis) {
        /** Until a time of day that may come early by the clocks' difference. */
        double untilS(long millis) {
            return (millis - wallMillis - skewMillis) / 1000.0;
        }

        /** Whether a time of day has certainly passed. */
        boolean isPast(long millis) {
            return wallMillis - skewMillis >= millis;
        }
    }

    /** Nothing is reserved and nothing declared. */
    public static final Outlook NONE = new Outlook(new Estimates());

    private final Estimates estimates;
    private final Map<MachineId, SeatLimit> limits = new HashMap<>();
    private final List<Spill> spills = new ArrayList<>();
    private final List<Missing> missing = new ArrayList<>();
    private final List<Reservation> due = new ArrayList<>();
    private final Set<String> out = new HashSet<>();
    private final Set<String> unused = new HashSet<>();

    private Outlook(Estimates estimates) {
        this.estimates = estimates;
    }

    /** What holds for a machine, or null if nothing does. */
    public SeatLimit limit(MachineId machine) {
        return limits.get(machine);
    }

    /** Those who would run into a window or a slot, the most pressing first. */
    public List<Spill> spills() {
        return spills;
    }

    public List<Missing> missing() {
        return missing;
    }

    /** Names of reservations whose slot nobody used, so that it is given back. */
    public Set<String> unused() {
        return unused;
    }

    /** Whether a job's reserved time is now, with room left in it. */
    public boolean isDue(JobSpec spec) {
        return due.stream().anyMatch(reservation -> reservation.admits(spec));
    }

    /** Whether machines of a type in a zone are out, or soon will be, so that none is rented. */
    public boolean isOut(String type, String zone) {
        return out.contains(type + '/' + zone);
    }

    /** Machines that are kept for a reservation. */
    public Set<MachineId> kept() {
        Set<MachineId> all = new HashSet<>();
        limits.forEach(
                (id, limit) -> {
                    if (limit.isHeld()) {
                        all.add(id);
                    }
                });
        return all;
    }

    /**
     * @param machines all that have been heard of
     * @param usable whether one can take tasks now
     * @param waiting how many tasks of each job wait
     * @param readyS how long a new machine takes until it can run one of a job's tasks
     */
    public static Outlook of(
            Plan plan,
            Collection<Machine> machines,
            Predicate<Machine> usable,
            Map<JobSpec, Integer> waiting,
            Estimates estimates,
            Supply supply,
            ToDoubleFunction<JobSpec> readyS,
            Clocks clocks) {
        Outlook outlook = new Outlook(estimates);
        outlook.addOutages(plan, machines, supply, clocks);
        Set<Placement> counted = new HashSet<>();
        for (Plan.Slot slot : plan.slots()) {
            outlook.addSlot(slot, plan, machines, usable, waiting, readyS, clocks, counted);
        }
        outlook.spills.sort(Comparator.comparingDouble(Spill::stopInS));
        return outlook;
    }

    private SeatLimit limitOf(Machine machine) {
        return limits.computeIfAbsent(machine.id(), unset -> new SeatLimit(estimates));
    }

    // ---- windows ----

    private void addOutages(Plan plan, Collection<Machine> machines, Supply supply, Clocks clocks) {
        for (Plan.Outage outage : plan.outages()) {
            if (clocks.isPast(outage.when().endMillis())) {
                continue;
            }
            double inS = clocks.untilS(outage.when().startMillis());
            double noticeS = outage.window().serviceEvictionLead().toMillis() / 1000.0;
            for (Machine machine : machines) {
                if (outage.window()
                        .coversMachine(machine.id(), machine.type().name(), machine.zone())) {
                    SeatLimit limit = limitOf(machine);
                    if (inS < limit.freeForS()) {
                        limit.out(inS, noticeS);
                        spillsInto(machine, outage, inS, noticeS);
                    }
                }
            }
            if (inS < OUT_SOON_S) {
                supply.types()
                        .forEach(
                                type ->
                                        type.zones()
                                                .forEach(
                                                        zone -> {
                                                            if (outage.window()
                                                                    .coversAllOfType(
                                                                            type.name(), zone)) {
                                                                out.add(type.name() + '/' + zone);
                                                            }
                                                        }));
            }
        }
    }

    private void spillsInto(Machine machine, Plan.Outage outage, double inS, double noticeS) {
        String why = "window " + outage.window().name() + " takes its machine";
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            boolean stays = spec.kind() == JobKind.SERVICE;
            // A service leaves when its notice begins. All others are told, though most of them
            // will be done by then:
            // one that is not, against all estimates, must have been told in time as well.
            double latestInS = inS - spec.checkpointDurationSeconds() - STOP_MARGIN_S;
            double stopInS = stays ? inS - noticeS : latestInS;
            if (!placement.isStopping() && stopInS < WARN_S) {
                spills.add(new Spill(placement, Math.min(stopInS, latestInS), latestInS, why));
            }
        }
    }

    /**
     * How much longer a task is expected to run at most, with more to spare if it may not be
     * stopped.
     */
    private double leftS(Placement placement, Reservation reservation, Clocks clocks) {
        JobSpec spec = placement.job().spec();
        if (spec.kind() == JobKind.SERVICE) {
            return Double.POSITIVE_INFINITY;
        }
        double wholeS =
                reservation.mayPreempt(spec) ? estimates.upperS(spec) : estimates.surelyS(spec);
        double ranS =
                placement.runningSince() == null
                        ? 0
                        : clocks.now().secondsSince(placement.runningSince());
        return Math.max(wholeS - ranS, wholeS * LEAST_LEFT);
    }

    // ---- slots ----

    private void addSlot(
            Plan.Slot slot,
            Plan plan,
            Collection<Machine> machines,
            Predicate<Machine> can,
            Map<JobSpec, Integer> waiting,
            ToDoubleFunction<JobSpec> readyS,
            Clocks clocks,
            Set<Placement> counted) {
        Reservation reservation = slot.reservation();
        double inS = clocks.untilS(slot.when().startMillis());
        if (inS > HOLD_AHEAD_S || clocks.isPast(slot.when().endMillis())) {
            return;
        }
        int left = slot.tasks() - used(reservation, slot.tasks(), machines, counted);
        boolean wanted =
                left < slot.tasks() || waiting.keySet().stream().anyMatch(reservation::admits);
        if (inS < -GIVE_BACK_S && !wanted) {
            unused.add(reservation.name());
            return;
        }
        if (inS <= 0 && left > 0) {
            due.add(reservation);
        }
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : machines) {
            if (can.test(machine)
                    && reservation.allowsMachine(machine.type().name(), machine.zone())
                    && (reservation.allowsSpot() || !machine.isSpot())
                    && plan.outages().stream()
                            .noneMatch(
                                    outage ->
                                            outage.when().overlaps(slot.when())
                                                    && outage.window()
                                                            .coversMachine(
                                                                    machine.id(),
                                                                    machine.type().name(),
                                                                    machine.zone()))) {
                usable.add(machine);
            }
        }
        // The plan's choice comes first; any other that the reservation allows will do where that
        // is not to be had.
        usable.sort(
                Comparator.<Machine, Boolean>comparing(
                                machine -> !machine.imageCache().contains(reservation.image()))
                        .thenComparing(
                                machine -> !slot.takes(machine.type().name(), machine.zone()))
                        .thenComparing(machine -> machine.placements().size())
                        .thenComparing(Machine::id));
        for (Machine machine : usable) {
            left -= hold(machine, reservation, inS, left, clocks);
        }
        if (left > 0 && inS < WARN_S) {
            for (Machine machine : usable) {
                left -= holdByStopping(machine, reservation, inS, left);
            }
        }
        // What waits for the slot already is rented for by itself.
        for (Map.Entry<JobSpec, Integer> job : waiting.entrySet()) {
            left -= reservation.admits(job.getKey()) ? job.getValue() : 0;
        }
        if (left > 0
                && inS
                        < readyS.applyAsDouble(reservation.toPlaceholderJobSpec()) * BOOT_MARGIN
                                + RENT_MARGIN_S) {
            missing.add(new Missing(reservation, left, reservation.requiredZone()));
        }
    }

    /** How much of a slot is in use; a task that two slots could be for counts in one of them. */
    private static int used(
            Reservation reservation,
            int most,
            Collection<Machine> machines,
            Set<Placement> counted) {
        int used = 0;
        for (Machine machine : machines) {
            for (Placement placement : machine.placements()) {
                if (used < most
                        && reservation.admits(placement.job().spec())
                        && counted.add(placement)) {
                    used++;
                }
            }
        }
        return used;
    }

    /** Keeps room that is free or will be by the start; says for how many tasks. */
    private int hold(
            Machine machine, Reservation reservation, double inS, int most, Clocks clocks) {
        Resources coming = Resources.NONE;
        List<Placement> ending = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            if (placement.isStopping() || leftS(placement, reservation, clocks) <= inS) {
                coming = coming.plus(placement.job().spec().resourcesPerTask());
                ending.add(placement);
            }
        }
        Resources held =
                limits.containsKey(machine.id()) ? limits.get(machine.id()).held() : Resources.NONE;
        int tasks =
                reservation
                        .resourcesPerTask()
                        .maxCopiesIn(machine.freeCapacity().plus(coming).minus(held), most);
        if (tasks > 0) {
            limitOf(machine).hold(reservation, inS, tasks, coming);
            if (inS < WARN_S
                    && !held.plus(reservation.resourcesPerTask().times(tasks))
                            .fitsIn(machine.freeCapacity())) {
                // They are counted on to be done by then; one that is not, against all estimates,
                // has to go.
                ending.stream()
                        .filter(placement -> mayStop(placement, reservation))
                        .forEach(placement -> spill(placement, reservation, inS));
            }
        }
        return tasks;
    }

    private static boolean mayStop(Placement placement, Reservation reservation) {
        return reservation.mayPreempt(placement.job().spec()) && !placement.isStopping();
    }

    private void spill(Placement placement, Reservation reservation, double inS) {
        double latestInS = inS - placement.job().spec().checkpointDurationSeconds() - STOP_MARGIN_S;
        spills.add(
                new Spill(
                        placement,
                        latestInS,
                        latestInS,
                        "its room is reserved for " + reservation.name()));
    }

    /** Keeps room that work of a lower priority has; it is told, and stopped in time. */
    private int holdByStopping(Machine machine, Reservation reservation, double inS, int most) {
        Resources held =
                limits.containsKey(machine.id()) ? limits.get(machine.id()).held() : Resources.NONE;
        Resources room = machine.freeCapacity().minus(held);
        List<Placement> stopped = new ArrayList<>();
        Resources coming = Resources.NONE;
        int tasks = 0;
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (tasks == most) {
                break;
            }
            if (mayStop(placement, reservation)) {
                room = room.plus(spec.resourcesPerTask());
                coming = coming.plus(spec.resourcesPerTask());
                stopped.add(placement);
                tasks = reservation.resourcesPerTask().maxCopiesIn(room, most);
            }
        }
        if (tasks > 0) {
            limitOf(machine).hold(reservation, inS, tasks, coming);
            stopped.forEach(placement -> spill(placement, reservation, inS));
        }
        return tasks;
    }
}
