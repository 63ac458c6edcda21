package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.Reservation;

/**
 * Adds the effects of the slots of reservations to a view: the capacity to hold on machines, the
 * tasks to preempt for it, and the capacity that is missing. The slots are processed in the order
 * of the plan.
 */
final class SlotPlanner {
    /** A boot may take 1.5 times as long as usual; machines are rented early enough for that. */
    private static final double BOOT_TIME_FACTOR = 1.5;

    /** Time before the boot: the scheduling round and the call to the cloud. */
    private static final double SCALE_OUT_MARGIN_SECONDS = 60;

    /**
     * The smallest expected remaining runtime of a task as a share of its estimate, however long
     * the task has run.
     */
    private static final double MIN_REMAINING_SHARE = 0.1;

    private final ReservationView view;
    private final RoundInputs inputs;
    private final ReservationPlan plan;

    /**
     * Running tasks that use a slot. A task that two slots admit is counted for the first one only.
     */
    private final Set<Placement> countedPlacements = new HashSet<>();

    SlotPlanner(ReservationView view, RoundInputs inputs, ReservationPlan plan) {
        this.view = view;
        this.inputs = inputs;
        this.plan = plan;
    }

    void addSlots() {
        for (ReservationPlan.Slot slot : plan.slots()) {
            double startsIn = inputs.clocks().secondsUntil(slot.occurrence().startMillis());
            if (startsIn <= ReservationView.HOLD_LEAD_SECONDS
                    && !inputs.clocks().isCertainlyPast(slot.occurrence().endMillis())) {
                addSlot(slot, startsIn);
            }
        }
    }

    private void addSlot(ReservationPlan.Slot slot, double startsIn) {
        Reservation reservation = slot.reservation();
        int remaining = slot.fulfilledTasks() - countUsedTasks(slot);
        boolean hasDemand =
                remaining < slot.fulfilledTasks()
                        || inputs.pendingTasks().keySet().stream().anyMatch(reservation::admits);
        if (startsIn < -ReservationView.UNUSED_RELEASE_SECONDS && !hasDemand) {
            view.addUnusedReservation(reservation);
            return;
        }
        if (startsIn <= 0 && remaining > 0) {
            view.addActiveReservation(reservation);
        }
        remaining -= holdCapacity(slot, startsIn, remaining);
        // Machines for tasks that are already pending are rented as for any pending job, so these
        // tasks are not part of the shortfall.
        for (Map.Entry<JobSpec, Integer> pending : inputs.pendingTasks().entrySet()) {
            remaining -= reservation.admits(pending.getKey()) ? pending.getValue() : 0;
        }
        if (remaining > 0 && startsIn < scaleOutLeadSeconds(reservation)) {
            view.addShortfall(
                    new ReservationView.CapacityShortfall(
                            reservation, remaining, reservation.requiredZone()));
        }
    }

    private double scaleOutLeadSeconds(Reservation reservation) {
        double startupDelay =
                inputs.startupDelaySeconds().applyAsDouble(reservation.toPlaceholderJobSpec());
        return startupDelay * BOOT_TIME_FACTOR + SCALE_OUT_MARGIN_SECONDS;
    }

    private int countUsedTasks(ReservationPlan.Slot slot) {
        int used = 0;
        for (Machine machine : inputs.machines()) {
            for (Placement placement : machine.placements()) {
                if (used < slot.fulfilledTasks()
                        && slot.reservation().admits(placement.job().spec())
                        && countedPlacements.add(placement)) {
                    used++;
                }
            }
        }
        return used;
    }

    /**
     * Holds capacity on the machines that the slot may use: capacity that is free or will be free
     * by the start of the slot, and shortly before the start also capacity of tasks that can be
     * preempted.
     *
     * @return the number of tasks for which capacity is held
     */
    private int holdCapacity(ReservationPlan.Slot slot, double startsIn, int maxTasks) {
        List<Machine> machines = usableMachines(slot);
        int remaining = maxTasks;
        for (Machine machine : machines) {
            remaining -= holdFreeCapacity(machine, slot.reservation(), startsIn, remaining);
        }
        if (remaining > 0 && startsIn < ReservationView.STOP_WARNING_SECONDS) {
            for (Machine machine : machines) {
                remaining -= holdByPreemption(machine, slot.reservation(), startsIn, remaining);
            }
        }
        return maxTasks - remaining;
    }

    /**
     * Returns the machines that the slot may use, ordered by preference: machines that have the
     * image cached, then machines of a type and zone that the plan chose, then those with the
     * fewest tasks, then by id. Other types and zones that the reservation allows are included for
     * when the plan's choice is not available.
     */
    private List<Machine> usableMachines(ReservationPlan.Slot slot) {
        Reservation reservation = slot.reservation();
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : inputs.machines()) {
            if (inputs.schedulable().test(machine)
                    && reservation.allowsMachine(machine.type().name(), machine.zone())
                    && (reservation.allowsSpot() || !machine.isSpot())
                    && !isInOutage(machine, slot)) {
                usable.add(machine);
            }
        }
        usable.sort(
                Comparator.<Machine, Boolean>comparing(
                                machine -> !machine.imageCache().contains(reservation.image()))
                        .thenComparing(
                                machine -> !slot.includes(machine.type().name(), machine.zone()))
                        .thenComparing(machine -> machine.placements().size())
                        .thenComparing(Machine::id));
        return usable;
    }

    private boolean isInOutage(Machine machine, ReservationPlan.Slot slot) {
        for (ReservationPlan.Outage outage : plan.outages()) {
            if (outage.occurrence().overlaps(slot.occurrence())
                    && outage.window()
                            .coversMachine(machine.id(), machine.type().name(), machine.zone())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Holds capacity that is free or will be free by the start of the slot; returns the number of
     * tasks for which it is held.
     */
    private int holdFreeCapacity(
            Machine machine, Reservation reservation, double startsIn, int maxTasks) {
        Resources releasedByStart = Resources.NONE;
        List<Placement> ending = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            if (placement.isStopping() || remainingSeconds(placement, reservation) <= startsIn) {
                releasedByStart = releasedByStart.plus(placement.job().spec().resourcesPerTask());
                ending.add(placement);
            }
        }
        Resources held = view.heldResources(machine);
        Resources available = machine.freeCapacity().plus(releasedByStart).minus(held);
        int tasks = reservation.resourcesPerTask().maxCopiesIn(available, maxTasks);
        if (tasks == 0) {
            return 0;
        }
        view.limitForUpdate(machine).addHold(reservation, startsIn, tasks, releasedByStart);
        Resources heldWithSlot = held.plus(reservation.resourcesPerTask().times(tasks));
        boolean dependsOnReleases = !heldWithSlot.fitsIn(machine.freeCapacity());
        if (startsIn < ReservationView.STOP_WARNING_SECONDS && dependsOnReleases) {
            // These tasks are expected to end in time; one that exceeds its estimate is
            // preempted.
            ending.stream()
                    .filter(placement -> mayPreempt(placement, reservation))
                    .forEach(placement -> planEviction(placement, reservation, startsIn));
        }
        return tasks;
    }

    /**
     * Holds capacity that tasks of lower priority use; these tasks are warned and stopped in time.
     * Returns the number of tasks for which capacity is held.
     */
    private int holdByPreemption(
            Machine machine, Reservation reservation, double startsIn, int maxTasks) {
        Resources available = machine.freeCapacity().minus(view.heldResources(machine));
        List<Placement> victims = new ArrayList<>();
        Resources released = Resources.NONE;
        int tasks = 0;
        for (Placement placement : machine.placements()) {
            if (tasks == maxTasks) {
                break;
            }
            if (mayPreempt(placement, reservation)) {
                Resources allocated = placement.job().spec().resourcesPerTask();
                available = available.plus(allocated);
                released = released.plus(allocated);
                victims.add(placement);
                tasks = reservation.resourcesPerTask().maxCopiesIn(available, maxTasks);
            }
        }
        if (tasks > 0) {
            view.limitForUpdate(machine).addHold(reservation, startsIn, tasks, released);
            victims.forEach(placement -> planEviction(placement, reservation, startsIn));
        }
        return tasks;
    }

    /**
     * Returns the upper bound of a task's remaining runtime in seconds, with a larger margin if the
     * task may not be preempted.
     */
    private double remainingSeconds(Placement placement, Reservation reservation) {
        JobSpec spec = placement.job().spec();
        if (spec.kind() == JobKind.SERVICE) {
            return Double.POSITIVE_INFINITY;
        }
        double runtime =
                reservation.mayPreempt(spec)
                        ? inputs.runtimeEstimator().upperBoundSeconds(spec)
                        : inputs.runtimeEstimator().conservativeUpperBoundSeconds(spec);
        double elapsed =
                placement.runningSince() == null
                        ? 0
                        : inputs.clocks().now().secondsSince(placement.runningSince());
        return Math.max(runtime - elapsed, runtime * MIN_REMAINING_SHARE);
    }

    private static boolean mayPreempt(Placement placement, Reservation reservation) {
        return reservation.mayPreempt(placement.job().spec()) && !placement.isStopping();
    }

    private void planEviction(Placement placement, Reservation reservation, double startsIn) {
        double latestStop = ReservationView.latestStopInSeconds(placement.job().spec(), startsIn);
        String reason = "its room is reserved for " + reservation.name();
        view.addEviction(
                new ReservationView.PlannedEviction(placement, latestStop, latestStop, reason));
    }
}
