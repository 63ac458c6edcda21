package org.meadowhollow.coordination.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Resources;

/**
 * The places that tasks of arrays will leave soon. A waiting task that can still be in time on one
 * of them needs no machine of its own, which would hardly be ready sooner.
 */
public final class Turnover {
    /** Owners' estimates are often wrong by half. */
    private static final double ESTIMATE_MARGIN = 1.3;

    /** A job that is late in any case should not become later than this share of its time. */
    private static final double LATE_SHARE = 0.5;

    /** A place that is left in some seconds. */
    private record Place(double inS, Resources takes, MachineType type, String zone, boolean spot) {
        boolean suits(JobSpec spec) {
            return spec.resourcesPerTask().fitsIn(takes)
                    && spec.allowsMachineType(type.name())
                    && spec.allowsZone(zone)
                    && (spec.allowsSpot() || !spot);
        }
    }

    private final PriorityQueue<Place> places =
            new PriorityQueue<>(Comparator.comparingDouble(Place::inS));

    /** Notes the tasks of arrays that are on machines where others can follow them. */
    public Turnover(List<Machine> machines, MonotonicTime now) {
        for (Machine machine : machines) {
            if (machine.isUnschedulable()) {
                continue;
            }
            for (Placement placement : machine.placements()) {
                JobSpec spec = placement.job().spec();
                if (spec.kind() == JobKind.ARRAY) {
                    double leftS =
                            placement.runningSince() == null
                                    ? runS(spec)
                                            + spec.imageSizeGb()
                                                    / machine.type().imagePullGbPerSecond()
                                                    / 2
                                    : Math.max(
                                            runS(spec) - now.secondsSince(placement.runningSince()),
                                            runS(spec) / 4);
                    places.add(
                            new Place(
                                    leftS,
                                    spec.resourcesPerTask(),
                                    machine.type(),
                                    machine.zone(),
                                    machine.isSpot()));
                }
            }
        }
    }

    private static double runS(JobSpec spec) {
        return spec.estimatedRuntimeSeconds() * ESTIMATE_MARGIN;
    }

    /** Notes a task that a machine not yet up will take first. */
    public void follows(
            JobSpec spec, MachineType type, String zone, boolean spot, double readyInS) {
        places.add(new Place(readyInS + runS(spec), spec.resourcesPerTask(), type, zone, spot));
    }

    /**
     * Takes up to {@code tasks} tasks of an array; returns how many found a place in time.
     *
     * @param agedS how long ago the job was submitted
     * @param readyS how long a new machine takes until it could run a task
     */
    public int take(JobSpec spec, int tasks, double agedS, double readyS) {
        double startInS = latestStartS(spec, agedS, readyS);
        Deque<Place> unsuited = new ArrayDeque<>();
        List<Place> followed = new ArrayList<>();
        int taken = 0;
        while (taken < tasks && !places.isEmpty() && places.peek().inS() <= startInS) {
            Place place = places.poll();
            if (place.suits(spec)) {
                followed.add(
                        new Place(
                                place.inS() + runS(spec),
                                spec.resourcesPerTask(),
                                place.type(),
                                place.zone(),
                                place.spot()));
                taken++;
            } else {
                unsuited.add(place);
            }
            if (places.isEmpty() || places.peek().inS() > startInS) {
                // One place can serve several tasks, one after the other.
                places.addAll(followed);
                followed.clear();
            }
        }
        places.addAll(unsuited);
        places.addAll(followed);
        return taken;
    }

    /** When a task must start to be in time; never sooner than a new machine could help. */
    private static double latestStartS(JobSpec spec, double agedS, double readyS) {
        if (Double.isNaN(spec.deadlineSeconds())) {
            return readyS;
        }
        double startInS = spec.deadlineSeconds() - agedS - runS(spec);
        return startInS >= readyS
                ? startInS
                : Math.max(readyS, startInS + spec.deadlineSeconds() * LATE_SHARE);
    }
}
