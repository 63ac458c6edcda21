package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.Reservation;

/**
 * What the calendar says of one machine in one round: until when it can be used, and what room is
 * kept on it.
 */
public final class MachineReservationLimit {
    /** Room for a reservation, from some seconds on; negative once its time has come. */
    private static final class ResourceHold {
        private final Reservation reservation;
        private final double startsInSeconds;
        private int tasks;

        ResourceHold(Reservation reservation, double startsInS, int tasks) {
            this.reservation = reservation;
            this.startsInSeconds = startsInS;
            this.tasks = tasks;
        }

        Resources resources() {
            return reservation.resourcesPerTask().times(tasks);
        }
    }

    private final RuntimeEstimator runtimeEstimator;
    private final List<ResourceHold> holds = new ArrayList<>();

    /** Room that will be free before the first of the holds begins. */
    private Resources freedBeforeHolds = Resources.NONE;

    private double secondsUntilOutage = Double.POSITIVE_INFINITY;
    private double outageNoticeSeconds;

    MachineReservationLimit(RuntimeEstimator runtimeEstimator) {
        this.runtimeEstimator = runtimeEstimator;
    }

    /** A window takes the machine after some seconds; the earliest one counts. */
    void limitByOutage(double inS, double noticed) {
        if (inS < secondsUntilOutage) {
            secondsUntilOutage = inS;
            outageNoticeSeconds = noticed;
        }
    }

    double secondsUntilOutage() {
        return secondsUntilOutage;
    }

    void addHold(Reservation reservation, double startsInS, int tasks, Resources coming) {
        holds.add(new ResourceHold(reservation, startsInS, tasks));
        freedBeforeHolds = coming;
    }

    /** All room that is kept here. */
    Resources heldResources() {
        Resources sum = Resources.NONE;
        for (ResourceHold resourceHold : holds) {
            sum = sum.plus(resourceHold.resources());
        }
        return sum;
    }

    boolean hasHolds() {
        return !holds.isEmpty();
    }

    /**
     * Whether a task may start here: it would not run into a window, and leaves the room that is
     * kept for others unless it is done before that is needed. A service never is; it may run here
     * until its notice begins.
     *
     * @param fetchS until its image is here
     */
    public boolean allows(JobSpec spec, double fetchS, Resources free) {
        boolean stays = spec.kind() == JobKind.SERVICE;
        double lastsS =
                stays
                        ? Double.POSITIVE_INFINITY
                        : fetchS + runtimeEstimator.upperBoundSeconds(spec);
        if (stays
                ? secondsUntilOutage <= outageNoticeSeconds + fetchS
                : lastsS > secondsUntilOutage) {
            return false;
        }
        Resources kept = Resources.NONE;
        for (ResourceHold resourceHold : holds) {
            double untilS =
                    stays || resourceHold.reservation.mayPreempt(spec)
                            ? lastsS
                            : fetchS + runtimeEstimator.conservativeUpperBoundSeconds(spec);
            if (untilS > resourceHold.startsInSeconds && !resourceHold.reservation.admits(spec)) {
                kept = kept.plus(resourceHold.resources());
            }
        }
        return spec.resourcesPerTask().fitsIn(free.minus(subtractOrZero(kept, freedBeforeHolds)));
    }

    private static Resources subtractOrZero(Resources kept, Resources coming) {
        return new Resources(
                Math.max(0, kept.cpu() - coming.cpu()),
                Math.max(0, kept.gpu() - coming.gpu()),
                Math.max(0, kept.memory() - coming.memory()));
    }

    /** A task starts here; if a reservation is for it, less is left to keep. */
    public void onTaskAssigned(JobSpec spec) {
        adjustHeldTasks(spec, -1);
    }

    /** It does not after all. */
    public void onTaskUnassigned(JobSpec spec) {
        adjustHeldTasks(spec, 1);
    }

    private void adjustHeldTasks(JobSpec spec, int by) {
        for (ResourceHold resourceHold : holds) {
            if (resourceHold.reservation.admits(spec) && resourceHold.tasks + by >= 0) {
                resourceHold.tasks += by;
                return;
            }
        }
    }
}
