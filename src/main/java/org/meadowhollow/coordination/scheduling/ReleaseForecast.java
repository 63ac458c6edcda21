package org.meadowhollow.coordination.scheduling;

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
public final class ReleaseForecast {
    /** Owners' estimates are often wrong by half. */
    private static final double RUNTIME_ESTIMATE_MARGIN = 1.3;

    /** A job that is late in any case should not become later than this share of its time. */
    private static final double MAX_ADDED_DELAY_SHARE = 0.5;

    /** A place that is left in some seconds. */
    private record ExpectedRelease(
            double releasedInSeconds,
            Resources resources,
            MachineType type,
            String zone,
            boolean spot) {
        boolean canRun(JobSpec spec) {
            return spec.resourcesPerTask().fitsIn(resources)
                    && spec.allowsMachineType(type.name())
                    && spec.allowsZone(zone)
                    && (spec.allowsSpot() || !spot);
        }
    }

    private final PriorityQueue<ExpectedRelease> releases =
            new PriorityQueue<>(Comparator.comparingDouble(ExpectedRelease::releasedInSeconds));

    /** Notes the tasks of arrays that are on machines where others can follow them. */
    public ReleaseForecast(List<Machine> machines, MonotonicTime now) {
        for (Machine machine : machines) {
            if (machine.isUnschedulable()) {
                continue;
            }
            for (Placement placement : machine.placements()) {
                JobSpec spec = placement.job().spec();
                if (spec.kind() == JobKind.ARRAY) {
                    double leftS =
                            placement.runningSince() == null
                                    ? expectedRuntimeSeconds(spec)
                                            + spec.imageSizeGb()
                                                    / machine.type().imagePullGbPerSecond()
                                                    / 2
                                    : Math.max(
                                            expectedRuntimeSeconds(spec)
                                                    - now.secondsSince(placement.runningSince()),
                                            expectedRuntimeSeconds(spec) / 4);
                    releases.add(
                            new ExpectedRelease(
                                    leftS,
                                    spec.resourcesPerTask(),
                                    machine.type(),
                                    machine.zone(),
                                    machine.isSpot()));
                }
            }
        }
    }

    private static double expectedRuntimeSeconds(JobSpec spec) {
        return spec.estimatedRuntimeSeconds() * RUNTIME_ESTIMATE_MARGIN;
    }

    /** Notes a task that a machine not yet up will take first. */
    public void addReleaseOnBootingMachine(
            JobSpec spec, MachineType type, String zone, boolean spot, double readyInS) {
        releases.add(
                new ExpectedRelease(
                        readyInS + expectedRuntimeSeconds(spec),
                        spec.resourcesPerTask(),
                        type,
                        zone,
                        spot));
    }

    /**
     * Takes up to {@code tasks} tasks of an array; returns how many found a place in time.
     *
     * @param agedS how long ago the job was submitted
     * @param readyS how long a new machine takes until it could run a task
     */
    public int claimReleases(JobSpec spec, int tasks, double agedS, double readyS) {
        double startInS = latestStartInSeconds(spec, agedS, readyS);
        Deque<ExpectedRelease> unsuited = new ArrayDeque<>();
        List<ExpectedRelease> followed = new ArrayList<>();
        int taken = 0;
        while (taken < tasks
                && !releases.isEmpty()
                && releases.peek().releasedInSeconds() <= startInS) {
            ExpectedRelease expectedRelease = releases.poll();
            if (expectedRelease.canRun(spec)) {
                followed.add(
                        new ExpectedRelease(
                                expectedRelease.releasedInSeconds() + expectedRuntimeSeconds(spec),
                                spec.resourcesPerTask(),
                                expectedRelease.type(),
                                expectedRelease.zone(),
                                expectedRelease.spot()));
                taken++;
            } else {
                unsuited.add(expectedRelease);
            }
            if (releases.isEmpty() || releases.peek().releasedInSeconds() > startInS) {
                // One place can serve several tasks, one after the other.
                releases.addAll(followed);
                followed.clear();
            }
        }
        releases.addAll(unsuited);
        releases.addAll(followed);
        return taken;
    }

    /** When a task must start to be in time; never sooner than a new machine could help. */
    private static double latestStartInSeconds(JobSpec spec, double agedS, double readyS) {
        if (Double.isNaN(spec.deadlineSeconds())) {
            return readyS;
        }
        double startInS = spec.deadlineSeconds() - agedS - expectedRuntimeSeconds(spec);
        return startInS >= readyS
                ? startInS
                : Math.max(readyS, startInS + spec.deadlineSeconds() * MAX_ADDED_DELAY_SHARE);
    }
}
