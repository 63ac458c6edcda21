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
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.Reservation;

/**
 * What the plan means for one round: the room held on machines, the machines that windows take and
 * when, the tasks to evict, and the capacity that is short. Computed from the plan, the machines
 * and two clocks; the limits of the machines then change with the round's decisions. Guarded by the
 * leader's lock.
 */
public final class ReservationView {
    /** How long before its start room is held for a reservation: longer than most tasks run. */
    static final double HOLD_LEAD_SECONDS = 1800;

    /** A slot that nobody has used for this long after its start is released. */
    static final double UNUSED_RELEASE_SECONDS = 600;

    /** How long before it is stopped the owner of a task is warned. */
    public static final double STOP_WARNING_SECONDS = 120;

    /**
     * Time for a stop to reach its worker and for the room to be seen as free: heartbeats, a round
     * and a write.
     */
    private static final double STOP_MARGIN_SECONDS = 15;

    private static final double MILLIS_PER_SECOND = 1000.0;

    /**
     * A task that uses room which a window or a reservation needs.
     *
     * @param stopInSeconds when it should be stopped; negative if that time is past
     * @param latestStopInSeconds when it must be stopped at the latest; later than the former for a
     *     service, whose replicas move one after the other
     * @param reason for the log and its owner
     */
    public record PlannedEviction(
            Placement placement, double stopInSeconds, double latestStopInSeconds, String reason) {}

    /**
     * Room that no machine has yet.
     *
     * @param zone the only allowed zone, or null
     */
    public record CapacityShortfall(Reservation reservation, int tasks, String zone) {}

    /**
     * The clocks of a round.
     *
     * @param wallMillis the wall clock in milliseconds since the epoch
     * @param skewMillis how far the wall clock may be off, on either side
     */
    public record RoundClocks(MonotonicTime now, long wallMillis, long skewMillis) {
        /** Seconds until a wall-clock time, at the earliest that the skew allows. */
        double secondsUntil(long millis) {
            return (millis - wallMillis - skewMillis) / MILLIS_PER_SECOND;
        }

        /** Whether a wall-clock time has passed, whatever the skew is. */
        boolean isCertainlyPast(long millis) {
            return wallMillis - skewMillis >= millis;
        }
    }

    /** The view without reservations and windows. */
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

    /**
     * Computes the view of a round.
     *
     * @param machines all that have been in contact
     * @param schedulable whether a machine can take tasks now
     * @param pendingTasks how many tasks of each job are pending
     * @param startupDelaySeconds how long a new machine takes until it can run one of a job's tasks
     */
    public static ReservationView of(
            ReservationPlan plan,
            Collection<Machine> machines,
            Predicate<Machine> schedulable,
            Map<JobSpec, Integer> pendingTasks,
            RuntimeEstimator runtimeEstimator,
            ReservableCapacity capacity,
            ToDoubleFunction<JobSpec> startupDelaySeconds,
            RoundClocks clocks) {
        RoundInputs inputs =
                new RoundInputs(
                        machines,
                        schedulable,
                        pendingTasks,
                        runtimeEstimator,
                        startupDelaySeconds,
                        clocks);
        ReservationView view = new ReservationView(runtimeEstimator);
        new OutagePlanner(view, inputs, capacity).addOutages(plan);
        new SlotPlanner(view, inputs, plan).addSlots();
        view.plannedEvictions.sort(Comparator.comparingDouble(PlannedEviction::stopInSeconds));
        return view;
    }

    /** The limit of a machine, or null if there is none. */
    public MachineReservationLimit limitFor(MachineId machine) {
        return limitsByMachine.get(machine);
    }

    /** The tasks to evict for windows and slots, the most urgent first. */
    public List<PlannedEviction> plannedEvictions() {
        return plannedEvictions;
    }

    /** The room that machines are to be rented for. */
    public List<CapacityShortfall> shortfalls() {
        return shortfalls;
    }

    /** Names of reservations whose slot is released because nobody used it. */
    public Set<String> unusedReservations() {
        return unusedReservations;
    }

    /** Whether a job may use a slot that has begun and has room left. */
    public boolean hasActiveReservation(JobSpec spec) {
        return activeReservations.stream().anyMatch(reservation -> reservation.admits(spec));
    }

    /** Whether a window takes the machines of a type in a zone now or soon, so none is rented. */
    public boolean isInOutageWindow(String type, String zone) {
        return outageTypeZones.contains(type + '/' + zone);
    }

    /** Machines on which room is held for reservations. */
    public Set<MachineId> reservedMachines() {
        Set<MachineId> reserved = new HashSet<>();
        limitsByMachine.forEach(
                (id, limit) -> {
                    if (limit.hasHolds()) {
                        reserved.add(id);
                    }
                });
        return reserved;
    }

    // ---- for the planners, while the view is computed ----

    /** When a task must be stopped at the latest so that its room is free at a time. */
    static double latestStopInSeconds(JobSpec spec, double roomNeededInSeconds) {
        return roomNeededInSeconds - spec.checkpointDurationSeconds() - STOP_MARGIN_SECONDS;
    }

    /** The limit of a machine, which is created without any effect if there is none. */
    MachineReservationLimit limitForUpdate(Machine machine) {
        return limitsByMachine.computeIfAbsent(
                machine.id(), unused -> new MachineReservationLimit(runtimeEstimator));
    }

    /** All room that is held on a machine so far. */
    Resources heldResources(Machine machine) {
        MachineReservationLimit limit = limitsByMachine.get(machine.id());
        return limit == null ? Resources.NONE : limit.heldResources();
    }

    void addEviction(PlannedEviction eviction) {
        plannedEvictions.add(eviction);
    }

    void addShortfall(CapacityShortfall shortfall) {
        shortfalls.add(shortfall);
    }

    void addActiveReservation(Reservation reservation) {
        activeReservations.add(reservation);
    }

    void addUnusedReservation(Reservation reservation) {
        unusedReservations.add(reservation.name());
    }

    void addOutageTypeZone(String type, String zone) {
        outageTypeZones.add(type + '/' + zone);
    }
}
