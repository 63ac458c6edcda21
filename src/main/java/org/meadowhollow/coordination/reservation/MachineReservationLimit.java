package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.Reservation;

/**
 * What reservations and maintenance windows leave of one machine in one round: until when it can be
 * used, and the room that is held on it. Changes with the round's decisions; guarded by the
 * leader's lock.
 */
public final class MachineReservationLimit {
    /** Room held for a reservation from some seconds on; negative once its slot has begun. */
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

    /** Room that running tasks release before the hold that was added last begins. */
    private Resources releasedBeforeHold = Resources.NONE;

    private double secondsUntilOutage = Double.POSITIVE_INFINITY;
    private double serviceEvictionLeadSeconds;

    MachineReservationLimit(RuntimeEstimator runtimeEstimator) {
        this.runtimeEstimator = runtimeEstimator;
    }

    /** A window takes the machine after some seconds; the earliest one counts. */
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
     * Holds room for tasks of a reservation.
     *
     * @param releasedByStart room that running tasks will have released when the slot begins
     */
    void addHold(
            Reservation reservation, double startsInSeconds, int tasks, Resources releasedByStart) {
        holds.add(new ResourceHold(reservation, startsInSeconds, tasks));
        releasedBeforeHold = releasedByStart;
    }

    /** All room that is held. */
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
     * Whether a task may start here: it ends before a window takes the machine, and leaves the room
     * that is held for others unless it ends before that is needed. A service replica never ends;
     * it may start until the eviction lead of the window begins.
     *
     * @param pullSeconds until its image has been pulled
     * @param free the machine's free capacity
     */
    public boolean allows(JobSpec spec, double pullSeconds, Resources free) {
        return endsBeforeOutage(spec, pullSeconds) && leavesHeldRoom(spec, pullSeconds, free);
    }

    private boolean endsBeforeOutage(JobSpec spec, double pullSeconds) {
        return spec.kind() == JobKind.SERVICE
                ? secondsUntilOutage > serviceEvictionLeadSeconds + pullSeconds
                : pullSeconds + runtimeEstimator.upperBoundSeconds(spec) <= secondsUntilOutage;
    }

    private boolean leavesHeldRoom(JobSpec spec, double pullSeconds, Resources free) {
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

    /** When a task ends at the latest, with a larger margin if it may not be preempted. */
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

    /** A task is assigned to the machine; if a reservation admits it, less room is held. */
    public void onTaskAssigned(JobSpec spec) {
        adjustHeldTasks(spec, -1);
    }

    /** The assignment of a task is taken back. */
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
