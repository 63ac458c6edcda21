package org.meadowhollow.coordination.calendar;

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
public final class SeatLimit {
    /** Room for a reservation, from some seconds on; negative once its time has come. */
    private static final class Hold {
        private final Reservation reservation;
        private final double startsInS;
        private int tasks;

        Hold(Reservation reservation, double startsInS, int tasks) {
            this.reservation = reservation;
            this.startsInS = startsInS;
            this.tasks = tasks;
        }

        Resources room() {
            return reservation.resourcesPerTask().times(tasks);
        }
    }

    private final Estimates estimates;
    private final List<Hold> holds = new ArrayList<>();

    /** Room that will be free before the first of the holds begins. */
    private Resources comes = Resources.NONE;

    private double freeForS = Double.POSITIVE_INFINITY;
    private double noticeS;

    SeatLimit(Estimates estimates) {
        this.estimates = estimates;
    }

    /** A window takes the machine after some seconds; the earliest one counts. */
    void out(double inS, double noticed) {
        if (inS < freeForS) {
            freeForS = inS;
            noticeS = noticed;
        }
    }

    double freeForS() {
        return freeForS;
    }

    void hold(Reservation reservation, double startsInS, int tasks, Resources coming) {
        holds.add(new Hold(reservation, startsInS, tasks));
        comes = coming;
    }

    /** All room that is kept here. */
    Resources held() {
        Resources sum = Resources.NONE;
        for (Hold hold : holds) {
            sum = sum.plus(hold.room());
        }
        return sum;
    }

    boolean isHeld() {
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
        double lastsS = stays ? Double.POSITIVE_INFINITY : fetchS + estimates.upperS(spec);
        if (stays ? freeForS <= noticeS + fetchS : lastsS > freeForS) {
            return false;
        }
        Resources kept = Resources.NONE;
        for (Hold hold : holds) {
            double untilS =
                    stays || hold.reservation.mayPreempt(spec)
                            ? lastsS
                            : fetchS + estimates.surelyS(spec);
            if (untilS > hold.startsInS && !hold.reservation.admits(spec)) {
                kept = kept.plus(hold.room());
            }
        }
        return spec.resourcesPerTask().fitsIn(free.minus(beyond(kept, comes)));
    }

    private static Resources beyond(Resources kept, Resources coming) {
        return new Resources(
                Math.max(0, kept.cpu() - coming.cpu()),
                Math.max(0, kept.gpu() - coming.gpu()),
                Math.max(0, kept.memory() - coming.memory()));
    }

    /** A task starts here; if a reservation is for it, less is left to keep. */
    public void took(JobSpec spec) {
        change(spec, -1);
    }

    /** It does not after all. */
    public void gaveBack(JobSpec spec) {
        change(spec, 1);
    }

    private void change(JobSpec spec, int by) {
        for (Hold hold : holds) {
            if (hold.reservation.admits(spec) && hold.tasks + by >= 0) {
                hold.tasks += by;
                return;
            }
        }
    }
}
