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
 * The effects of the reservation plan on one scheduling round: the capacity held on machines, the
 * machines that maintenance windows make unavailable and when, the tasks to evict, and the capacity
 * that is missing. Computed from the plan, the machines and two clocks; the limits of the machines
 * then change with the round's decisions. Guarded by the leader's lock.
 */
public final class ReservationView {
    /**
     * How long before the start of a reservation its capacity is held: longer than most tasks run.
     */
    static final double HOLD_LEAD_SECONDS = 1800;

    /** A slot that no task has used for this long after its start is released. */
    static final double UNUSED_RELEASE_SECONDS = 600;

    /** How long before a planned stop the owner of the task is warned. */
    public static final double STOP_WARNING_SECONDS = 120;

    /**
     * Time for a stop to reach the worker and for the leader to see the capacity as free:
     * heartbeats, a round and a write to the store.
     */
    private static final double STOP_MARGIN_SECONDS = 15;

    private static final double MILLIS_PER_SECOND = 1000.0;

    /**
     * The planned eviction of a task whose capacity a window or a reservation needs.
     *
     * @param stopInSeconds seconds until the task should be stopped; negative if that time is past
     * @param latestStopInSeconds seconds until the task must be stopped at the latest; later than
     *     {@code stopInSeconds} for a service, whose replicas move one after the other
     * @param reason for the log and for the owner of the task
     */
    public record PlannedEviction(
            Placement placement, double stopInSeconds, double latestStopInSeconds, String reason) {}

    /**
     * Capacity that a reservation lacks, for which machines are to be rented.
     *
     * @param zone the only allowed zone, or null
     */
    public record CapacityShortfall(Reservation reservation, int tasks, String zone) {}

    /**
     * The clocks of a round.
     *
     * @param wallMillis the wall clock in milliseconds since the epoch
     * @param skewMillis the largest error of the wall clock, in either direction
     */
    public record RoundClocks(MonotonicTime now, long wallMillis, long skewMillis) {
        /** Returns the smallest number of seconds until a wall-clock time that the skew allows. */
        double secondsUntil(long millis) {
            return (millis - wallMillis - skewMillis) / MILLIS_PER_SECOND;
        }

        /** Whether a wall-clock time has passed, even if the clock is fast by the largest skew. */
        boolean isCertainlyPast(long millis) {
            return wallMillis - skewMillis >= millis;
        }
    }

    /** A view without reservations and windows. */
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
     * @param machines the machines that have been in contact
     * @param schedulable whether a machine can take tasks now
     * @param pendingTasks how many tasks of each job are pending
     * @param startupDelaySeconds the time that a new machine takes until it can run a task of the
     *     job
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

    /** Returns the limit of a machine, or null if there is none. */
    public MachineReservationLimit limitFor(MachineId machine) {
        return limitsByMachine.get(machine);
    }

    /** Returns the tasks to evict for windows and slots, the most urgent first. */
    public List<PlannedEviction> plannedEvictions() {
        return plannedEvictions;
    }

    /** Returns the missing capacity for which machines are to be rented. */
    public List<CapacityShortfall> shortfalls() {
        return shortfalls;
    }

    /** Returns the names of the reservations whose slot is released because no task used it. */
    public Set<String> unusedReservations() {
        return unusedReservations;
    }

    /** Whether a job may use a slot that has begun and has unused capacity. */
    public boolean hasActiveReservation(JobSpec spec) {
        return activeReservations.stream().anyMatch(reservation -> reservation.admits(spec));
    }

    /**
     * Whether a window makes all machines of a type in a zone unavailable now or soon, so that none
     * should be rented.
     */
    public boolean isInOutageWindow(String type, String zone) {
        return outageTypeZones.contains(type + '/' + zone);
    }

    /** Returns the machines on which capacity is held for reservations. */
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

    // ---- used by OutagePlanner and SlotPlanner while the view is computed ----

    /**
     * Returns the seconds until a task must be stopped at the latest so that its capacity is free
     * when it is needed.
     */
    static double latestStopInSeconds(JobSpec spec, double capacityNeededInSeconds) {
        return capacityNeededInSeconds - spec.checkpointDurationSeconds() - STOP_MARGIN_SECONDS;
    }

    /** Returns the limit of a machine; creates one that restricts nothing if there is none. */
    MachineReservationLimit limitForUpdate(Machine machine) {
        return limitsByMachine.computeIfAbsent(
                machine.id(), unused -> new MachineReservationLimit(runtimeEstimator));
    }

    /** Returns all capacity that is held on a machine so far. */
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
