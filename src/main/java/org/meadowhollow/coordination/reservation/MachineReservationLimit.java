package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.Reservation;

/**
 * The restrictions that reservations and maintenance windows put on one machine in one round: the
 * time until which it can be used, and the capacity that is held on it. Changes with the round's
 * decisions; guarded by the leader's lock.
 */
public final class MachineReservationLimit {
    /**
     * Capacity held for a reservation from the start of its slot on; {@code startsInSeconds} is
     * negative once the slot has begun.
     */
    private static final class ResourceHold {
        private final Reservation reservation;
        private final double startsInSeconds;
        private int tasks;

        ResourceHold(Reservation reservation, double startsInSeconds, int tasks) {
            this.reservation = reservation;
            this.startsInSeconds = startsInSeconds;
            this.tasks = tasks;
        }

        Resources resources() {
            return reservation.resourcesPerTask().times(tasks);
        }
    }

    private final RuntimeEstimator runtimeEstimator;
    private final List<ResourceHold> holds = new ArrayList<>();

    /** Capacity that running tasks release before the most recently added hold begins. */
    private Resources releasedBeforeHold = Resources.NONE;

    private double secondsUntilOutage = Double.POSITIVE_INFINITY;
    private double serviceEvictionLeadSeconds;

    MachineReservationLimit(RuntimeEstimator runtimeEstimator) {
        this.runtimeEstimator = runtimeEstimator;
    }

    /**
     * Records that a window makes the machine unavailable after some seconds; the earliest window
     * counts.
     */
    void limitByOutage(double startsInSeconds, double evictionLeadSeconds) {
        if (startsInSeconds < secondsUntilOutage) {
            secondsUntilOutage = startsInSeconds;
            serviceEvictionLeadSeconds = evictionLeadSeconds;
        }
    }

    double secondsUntilOutage() {
        return secondsUntilOutage;
    }

    /**
     * Holds capacity for tasks of a reservation.
     *
     * @param releasedByStart capacity that running tasks will have released when the slot begins
     */
    void addHold(
            Reservation reservation, double startsInSeconds, int tasks, Resources releasedByStart) {
        holds.add(new ResourceHold(reservation, startsInSeconds, tasks));
        releasedBeforeHold = releasedByStart;
    }

    /** Returns all capacity that is held. */
    Resources heldResources() {
        Resources sum = Resources.NONE;
        for (ResourceHold hold : holds) {
            sum = sum.plus(hold.resources());
        }
        return sum;
    }

    boolean hasHolds() {
        return !holds.isEmpty();
    }

    /**
     * Whether a task may start on this machine: it must end before a window makes the machine
     * unavailable, and must leave the capacity that is held for others unless it ends before that
     * capacity is needed. A service replica never ends by itself; it may start until the eviction
     * lead of the window begins.
     *
     * @param pullSeconds the time in seconds until the task's image has been pulled
     * @param free the machine's free capacity
     */
    public boolean allows(JobSpec spec, double pullSeconds, Resources free) {
        return endsBeforeOutage(spec, pullSeconds) && leavesHeldCapacity(spec, pullSeconds, free);
    }

    private boolean endsBeforeOutage(JobSpec spec, double pullSeconds) {
        return spec.kind() == JobKind.SERVICE
                ? secondsUntilOutage > serviceEvictionLeadSeconds + pullSeconds
                : pullSeconds + runtimeEstimator.upperBoundSeconds(spec) <= secondsUntilOutage;
    }

    private boolean leavesHeldCapacity(JobSpec spec, double pullSeconds, Resources free) {
        Resources held = Resources.NONE;
        for (ResourceHold hold : holds) {
            boolean needed =
                    endsInSeconds(spec, pullSeconds, hold.reservation) > hold.startsInSeconds;
            if (needed && !hold.reservation.admits(spec)) {
                held = held.plus(hold.resources());
            }
        }
        Resources heldOfFree = subtractOrZero(held, releasedBeforeHold);
        return spec.resourcesPerTask().fitsIn(free.minus(heldOfFree));
    }

    /**
     * Returns the upper bound of the seconds until a task ends, with a larger margin if the task
     * may not be preempted.
     */
    private double endsInSeconds(JobSpec spec, double pullSeconds, Reservation reservation) {
        if (spec.kind() == JobKind.SERVICE) {
            return Double.POSITIVE_INFINITY;
        }
        return pullSeconds
                + (reservation.mayPreempt(spec)
                        ? runtimeEstimator.upperBoundSeconds(spec)
                        : runtimeEstimator.conservativeUpperBoundSeconds(spec));
    }

    private static Resources subtractOrZero(Resources from, Resources amount) {
        return new Resources(
                Math.max(0, from.cpu() - amount.cpu()),
                Math.max(0, from.gpu() - amount.gpu()),
                Math.max(0, from.memory() - amount.memory()));
    }

    /**
     * Records the assignment of a task to the machine; if a reservation admits the task, less
     * capacity is held.
     */
    public void onTaskAssigned(JobSpec spec) {
        adjustHeldTasks(spec, -1);
    }

    /** Reverts {@link #onTaskAssigned}. */
    public void onTaskUnassigned(JobSpec spec) {
        adjustHeldTasks(spec, 1);
    }

    private void adjustHeldTasks(JobSpec spec, int change) {
        for (ResourceHold hold : holds) {
            if (hold.reservation.admits(spec) && hold.tasks + change >= 0) {
                hold.tasks += change;
                return;
            }
        }
    }
}
