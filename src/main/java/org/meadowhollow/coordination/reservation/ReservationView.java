package org.meadowhollow.coordination.reservation;

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
public final class ReservationView {
    /** How long before its start room is kept for a reservation: longer than most tasks run. */
    static final double HOLD_LEAD_SECONDS = 1800;

    /**
     * Boots take up to half as long again as usual; a round and a call of the cloud come on top.
     */
    private static final double BOOT_TIME_FACTOR = 1.5;

    private static final double SCALE_OUT_MARGIN_SECONDS = 60;

    /** A slot that nobody has used for this long after its start is given back. */
    static final double UNUSED_RELEASE_SECONDS = 600;

    /** How long before it is stopped somebody is told so. */
    public static final double STOP_WARNING_SECONDS = 120;

    /**
     * For the stop to reach its worker and for the room to be seen as free: reports, a round, and a
     * write.
     */
    private static final double STOP_MARGIN_SECONDS = 15;

    /** A machine that is out this soon is not rented any more. */
    private static final double OUTAGE_LEAD_SECONDS = 900;

    /** The share of its estimate that a task is taken to need still, however long it has run. */
    private static final double MIN_REMAINING_SHARE = 0.1;

    /**
     * A task that would be in the way.
     *
     * @param stopInSeconds when it is to be told to stop; negative if that time is past
     * @param latestStopInSeconds when it has to be told at the latest, later than that for a
     *     service, which moves
     * @param reason in words for its owner
     */
    public record PlannedEviction(
            Placement placement, double stopInSeconds, double latestStopInSeconds, String reason) {}

    /** Room that no machine has yet. */
    public record CapacityShortfall(Reservation reservation, int tasks, String zone) {}

    /** The clocks of a round, and how far the time of day may be off. */
    public record RoundClocks(MonotonicTime now, long wallMillis, long skewMillis) {
        /** Until a time of day that may come early by the clocks' difference. */
        double secondsUntil(long millis) {
            return (millis - wallMillis - skewMillis) / 1000.0;
        }

        /** Whether a time of day has certainly passed. */
        boolean isCertainlyPast(long millis) {
            return wallMillis - skewMillis >= millis;
        }
    }

    /** Nothing is reserved and nothing declared. */
    public static final ReservationView EMPTY = new ReservationView(new RuntimeEstimator());

    private final RuntimeEstimator runtimeEstimator;
    private final Map<MachineId, MachineReservationLimit> limitsByMachine = new HashMap<>();
    private final List<PlannedEviction> plannedEvictions = new ArrayList<>();
    private final List<CapacityShortfall> shortfalls = new ArrayList<>();
    private final List<Reservation> activeReservations = new ArrayList<>();
    private final Set<String> outageTypeZones = new HashSet<>();
    private final Set<String> unusedReservations = new HashSet<>();

    private ReservationView(RuntimeEstimator runtimeEstimator) {
        this.runtimeEstimator = runtimeEstimator;
    }

    /** What holds for a machine, or null if nothing does. */
    public MachineReservationLimit limitFor(MachineId machine) {
        return limitsByMachine.get(machine);
    }

    /** Those who would run into a window or a slot, the most pressing first. */
    public List<PlannedEviction> plannedEvictions() {
        return plannedEvictions;
    }

    public List<CapacityShortfall> shortfalls() {
        return shortfalls;
    }

    /** Names of reservations whose slot nobody used, so that it is given back. */
    public Set<String> unusedReservations() {
        return unusedReservations;
    }

    /** Whether a job's reserved time is now, with room left in it. */
    public boolean hasActiveReservation(JobSpec spec) {
        return activeReservations.stream().anyMatch(reservation -> reservation.admits(spec));
    }

    /** Whether machines of a type in a zone are out, or soon will be, so that none is rented. */
    public boolean isInOutageWindow(String type, String zone) {
        return outageTypeZones.contains(type + '/' + zone);
    }

    /** Machines that are kept for a reservation. */
    public Set<MachineId> reservedMachines() {
        Set<MachineId> all = new HashSet<>();
        limitsByMachine.forEach(
                (id, limit) -> {
                    if (limit.hasHolds()) {
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
    public static ReservationView of(
            ReservationPlan reservationPlan,
            Collection<Machine> machines,
            Predicate<Machine> usable,
            Map<JobSpec, Integer> waiting,
            RuntimeEstimator runtimeEstimator,
            ReservableCapacity reservableCapacity,
            ToDoubleFunction<JobSpec> readyS,
            RoundClocks roundClocks) {
        ReservationView reservationView = new ReservationView(runtimeEstimator);
        reservationView.addOutages(reservationPlan, machines, reservableCapacity, roundClocks);
        Set<Placement> counted = new HashSet<>();
        for (ReservationPlan.Slot slot : reservationPlan.slots()) {
            reservationView.addSlot(
                    slot, reservationPlan, machines, usable, waiting, readyS, roundClocks, counted);
        }
        reservationView.plannedEvictions.sort(
                Comparator.comparingDouble(PlannedEviction::stopInSeconds));
        return reservationView;
    }

    private MachineReservationLimit getOrCreateLimit(Machine machine) {
        return limitsByMachine.computeIfAbsent(
                machine.id(), unset -> new MachineReservationLimit(runtimeEstimator));
    }

    // ---- windows ----

    private void addOutages(
            ReservationPlan reservationPlan,
            Collection<Machine> machines,
            ReservableCapacity reservableCapacity,
            RoundClocks roundClocks) {
        for (ReservationPlan.Outage outage : reservationPlan.outages()) {
            if (roundClocks.isCertainlyPast(outage.occurrence().endMillis())) {
                continue;
            }
            double inS = roundClocks.secondsUntil(outage.occurrence().startMillis());
            double noticeS = outage.window().serviceEvictionLead().toMillis() / 1000.0;
            for (Machine machine : machines) {
                if (outage.window()
                        .coversMachine(machine.id(), machine.type().name(), machine.zone())) {
                    MachineReservationLimit limit = getOrCreateLimit(machine);
                    if (inS < limit.secondsUntilOutage()) {
                        limit.limitByOutage(inS, noticeS);
                        planEvictionsBeforeOutage(machine, outage, inS, noticeS);
                    }
                }
            }
            if (inS < OUTAGE_LEAD_SECONDS) {
                reservableCapacity
                        .machineTypes()
                        .forEach(
                                type ->
                                        type.zones()
                                                .forEach(
                                                        zone -> {
                                                            if (outage.window()
                                                                    .coversAllOfType(
                                                                            type.name(), zone)) {
                                                                outageTypeZones.add(
                                                                        type.name() + '/' + zone);
                                                            }
                                                        }));
            }
        }
    }

    private void planEvictionsBeforeOutage(
            Machine machine, ReservationPlan.Outage outage, double inS, double noticeS) {
        String why = "window " + outage.window().name() + " takes its machine";
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            boolean stays = spec.kind() == JobKind.SERVICE;
            // A service leaves when its notice begins. All others are told, though most of them
            // will be done by then:
            // one that is not, against all estimates, must have been told in time as well.
            double latestInS = inS - spec.checkpointDurationSeconds() - STOP_MARGIN_SECONDS;
            double stopInS = stays ? inS - noticeS : latestInS;
            if (!placement.isStopping() && stopInS < STOP_WARNING_SECONDS) {
                plannedEvictions.add(
                        new PlannedEviction(
                                placement, Math.min(stopInS, latestInS), latestInS, why));
            }
        }
    }

    /**
     * How much longer a task is expected to run at most, with more to spare if it may not be
     * stopped.
     */
    private double remainingSeconds(
            Placement placement, Reservation reservation, RoundClocks roundClocks) {
        JobSpec spec = placement.job().spec();
        if (spec.kind() == JobKind.SERVICE) {
            return Double.POSITIVE_INFINITY;
        }
        double wholeS =
                reservation.mayPreempt(spec)
                        ? runtimeEstimator.upperBoundSeconds(spec)
                        : runtimeEstimator.conservativeUpperBoundSeconds(spec);
        double ranS =
                placement.runningSince() == null
                        ? 0
                        : roundClocks.now().secondsSince(placement.runningSince());
        return Math.max(wholeS - ranS, wholeS * MIN_REMAINING_SHARE);
    }

    // ---- slots ----

    private void addSlot(
            ReservationPlan.Slot slot,
            ReservationPlan reservationPlan,
            Collection<Machine> machines,
            Predicate<Machine> can,
            Map<JobSpec, Integer> waiting,
            ToDoubleFunction<JobSpec> readyS,
            RoundClocks roundClocks,
            Set<Placement> counted) {
        Reservation reservation = slot.reservation();
        double inS = roundClocks.secondsUntil(slot.occurrence().startMillis());
        if (inS > HOLD_LEAD_SECONDS || roundClocks.isCertainlyPast(slot.occurrence().endMillis())) {
            return;
        }
        int left =
                slot.fulfilledTasks()
                        - countUsedTasks(reservation, slot.fulfilledTasks(), machines, counted);
        boolean wanted =
                left < slot.fulfilledTasks()
                        || waiting.keySet().stream().anyMatch(reservation::admits);
        if (inS < -UNUSED_RELEASE_SECONDS && !wanted) {
            unusedReservations.add(reservation.name());
            return;
        }
        if (inS <= 0 && left > 0) {
            activeReservations.add(reservation);
        }
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : machines) {
            if (can.test(machine)
                    && reservation.allowsMachine(machine.type().name(), machine.zone())
                    && (reservation.allowsSpot() || !machine.isSpot())
                    && reservationPlan.outages().stream()
                            .noneMatch(
                                    outage ->
                                            outage.occurrence().overlaps(slot.occurrence())
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
                                machine -> !slot.includes(machine.type().name(), machine.zone()))
                        .thenComparing(machine -> machine.placements().size())
                        .thenComparing(Machine::id));
        for (Machine machine : usable) {
            left -= holdFreeResources(machine, reservation, inS, left, roundClocks);
        }
        if (left > 0 && inS < STOP_WARNING_SECONDS) {
            for (Machine machine : usable) {
                left -= holdByPreemption(machine, reservation, inS, left);
            }
        }
        // What waits for the slot already is rented for by itself.
        for (Map.Entry<JobSpec, Integer> job : waiting.entrySet()) {
            left -= reservation.admits(job.getKey()) ? job.getValue() : 0;
        }
        if (left > 0
                && inS
                        < readyS.applyAsDouble(reservation.toPlaceholderJobSpec())
                                        * BOOT_TIME_FACTOR
                                + SCALE_OUT_MARGIN_SECONDS) {
            shortfalls.add(new CapacityShortfall(reservation, left, reservation.requiredZone()));
        }
    }

    /** How much of a slot is in use; a task that two slots could be for counts in one of them. */
    private static int countUsedTasks(
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
    private int holdFreeResources(
            Machine machine,
            Reservation reservation,
            double inS,
            int most,
            RoundClocks roundClocks) {
        Resources coming = Resources.NONE;
        List<Placement> ending = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            if (placement.isStopping()
                    || remainingSeconds(placement, reservation, roundClocks) <= inS) {
                coming = coming.plus(placement.job().spec().resourcesPerTask());
                ending.add(placement);
            }
        }
        Resources held =
                limitsByMachine.containsKey(machine.id())
                        ? limitsByMachine.get(machine.id()).heldResources()
                        : Resources.NONE;
        int tasks =
                reservation
                        .resourcesPerTask()
                        .maxCopiesIn(machine.freeCapacity().plus(coming).minus(held), most);
        if (tasks > 0) {
            getOrCreateLimit(machine).addHold(reservation, inS, tasks, coming);
            if (inS < STOP_WARNING_SECONDS
                    && !held.plus(reservation.resourcesPerTask().times(tasks))
                            .fitsIn(machine.freeCapacity())) {
                // They are counted on to be done by then; one that is not, against all estimates,
                // has to go.
                ending.stream()
                        .filter(placement -> mayPreempt(placement, reservation))
                        .forEach(placement -> planEviction(placement, reservation, inS));
            }
        }
        return tasks;
    }

    private static boolean mayPreempt(Placement placement, Reservation reservation) {
        return reservation.mayPreempt(placement.job().spec()) && !placement.isStopping();
    }

    private void planEviction(Placement placement, Reservation reservation, double inS) {
        double latestInS =
                inS - placement.job().spec().checkpointDurationSeconds() - STOP_MARGIN_SECONDS;
        plannedEvictions.add(
                new PlannedEviction(
                        placement,
                        latestInS,
                        latestInS,
                        "its room is reserved for " + reservation.name()));
    }

    /** Keeps room that work of a lower priority has; it is told, and stopped in time. */
    private int holdByPreemption(Machine machine, Reservation reservation, double inS, int most) {
        Resources held =
                limitsByMachine.containsKey(machine.id())
                        ? limitsByMachine.get(machine.id()).heldResources()
                        : Resources.NONE;
        Resources room = machine.freeCapacity().minus(held);
        List<Placement> stopped = new ArrayList<>();
        Resources coming = Resources.NONE;
        int tasks = 0;
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (tasks == most) {
                break;
            }
            if (mayPreempt(placement, reservation)) {
                room = room.plus(spec.resourcesPerTask());
                coming = coming.plus(spec.resourcesPerTask());
                stopped.add(placement);
                tasks = reservation.resourcesPerTask().maxCopiesIn(room, most);
            }
        }
        if (tasks > 0) {
            getOrCreateLimit(machine).addHold(reservation, inS, tasks, coming);
            stopped.forEach(placement -> planEviction(placement, reservation, inS));
        }
        return tasks;
    }
}
