package org.meadowhollow.coordination.reservation;

import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Placement;

/**
 * Adds the effects of maintenance windows on machines, and on the tasks that run on them, to a
 * view. Used by {@link ReservationView} whenever a view is computed; windows that have certainly
 * ended are ignored.
 */
final class OutagePlanner {
    /**
     * No machine of a type is rented in a zone if a window makes all such machines unavailable
     * within this time.
     */
    private static final double SCALE_OUT_STOP_SECONDS = 900;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final ReservationView view;
    private final RoundInputs inputs;
    private final ReservableCapacity capacity;

    OutagePlanner(ReservationView view, RoundInputs inputs, ReservableCapacity capacity) {
        this.view = view;
        this.inputs = inputs;
        this.capacity = capacity;
    }

    void addOutages(ReservationPlan plan) {
        for (ReservationPlan.Outage outage : plan.outages()) {
            if (!inputs.clocks().isCertainlyPast(outage.occurrence().endMillis())) {
                addOutage(outage);
            }
        }
    }

    private void addOutage(ReservationPlan.Outage outage) {
        double startsIn = inputs.clocks().secondsUntil(outage.occurrence().startMillis());
        double evictionLead = outage.window().serviceEvictionLead().toMillis() / MILLIS_PER_SECOND;
        for (Machine machine : inputs.machines()) {
            if (!outage.window()
                    .coversMachine(machine.id(), machine.type().name(), machine.zone())) {
                continue;
            }
            MachineReservationLimit limit = view.limitForUpdate(machine);
            if (startsIn < limit.secondsUntilOutage()) {
                limit.limitByOutage(startsIn, evictionLead);
                planEvictions(machine, outage, startsIn, evictionLead);
            }
        }
        if (startsIn < SCALE_OUT_STOP_SECONDS) {
            stopScaleOut(outage);
        }
    }

    private void stopScaleOut(ReservationPlan.Outage outage) {
        for (MachineType type : capacity.machineTypes()) {
            for (String zone : type.zones()) {
                if (outage.window().coversAllOfType(type.name(), zone)) {
                    view.addOutageTypeZone(type.name(), zone);
                }
            }
        }
    }

    /**
     * Plans the eviction of a machine's tasks: services are evicted when their eviction lead
     * begins, all other tasks early enough to save a checkpoint. Most of the other tasks will have
     * ended by then, but a task that exceeds its estimate must be warned in time as well.
     */
    private void planEvictions(
            Machine machine, ReservationPlan.Outage outage, double startsIn, double evictionLead) {
        String reason = "window " + outage.window().name() + " takes its machine";
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            double latestStop = ReservationView.latestStopInSeconds(spec, startsIn);
            double stop = spec.kind() == JobKind.SERVICE ? startsIn - evictionLead : latestStop;
            if (!placement.isStopping() && stop < ReservationView.STOP_WARNING_SECONDS) {
                view.addEviction(
                        new ReservationView.PlannedEviction(
                                placement, Math.min(stop, latestStop), latestStop, reason));
            }
        }
    }
}
