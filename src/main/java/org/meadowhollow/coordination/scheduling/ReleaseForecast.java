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
 * The capacity that tasks of job arrays will release soon. A pending task that can still be in time
 * on it needs no new machine, which would hardly be ready sooner. Belongs to one computation of the
 * capacity demand; not thread-safe.
 */
public final class ReleaseForecast {
    /** Runtime estimates of owners are often wrong by half. */
    private static final double RUNTIME_ESTIMATE_MARGIN = 1.3;

    /** A job that is late in any case should be delayed by no more than this share of its time. */
    private static final double MAX_ADDED_DELAY_SHARE = 0.5;

    /** A task is expected to run on for at least its expected runtime divided by this. */
    private static final double MIN_REMAINING_DIVISOR = 4;

    /** Divides the pull time: a pull whose progress is unknown is half done on average. */
    private static final double PULL_PROGRESS_DIVISOR = 2;

    /** The capacity of one task, released in some seconds. */
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

        /** When a task that follows on this capacity releases it in turn. */
        ExpectedRelease after(JobSpec spec) {
            return new ExpectedRelease(
                    releasedInSeconds + expectedRuntimeSeconds(spec),
                    spec.resourcesPerTask(),
                    type,
                    zone,
                    spot);
        }
    }

    private final PriorityQueue<ExpectedRelease> releases =
            new PriorityQueue<>(Comparator.comparingDouble(ExpectedRelease::releasedInSeconds));

    /** Records the array tasks on machines that other tasks can be placed on after them. */
    public ReleaseForecast(List<Machine> machines, MonotonicTime now) {
        for (Machine machine : machines) {
            if (machine.isUnschedulable()) {
                continue;
            }
            for (Placement placement : machine.placements()) {
                JobSpec spec = placement.job().spec();
                if (spec.kind() == JobKind.ARRAY) {
                    releases.add(
                            new ExpectedRelease(
                                    remainingSeconds(placement, machine, now),
                                    spec.resourcesPerTask(),
                                    machine.type(),
                                    machine.zone(),
                                    machine.isSpot()));
                }
            }
        }
    }

    private static double remainingSeconds(
            Placement placement, Machine machine, MonotonicTime now) {
        JobSpec spec = placement.job().spec();
        double runtime = expectedRuntimeSeconds(spec);
        if (placement.runningSince() == null) {
            return runtime
                    + spec.imageSizeGb()
                            / machine.type().imagePullGbPerSecond()
                            / PULL_PROGRESS_DIVISOR;
        }
        double remaining = runtime - now.secondsSince(placement.runningSince());
        return Math.max(remaining, runtime / MIN_REMAINING_DIVISOR);
    }

    private static double expectedRuntimeSeconds(JobSpec spec) {
        return spec.estimatedRuntimeSeconds() * RUNTIME_ESTIMATE_MARGIN;
    }

    /** Records a pending task that a machine still booting will run first. */
    public void addReleaseOnBootingMachine(
            JobSpec spec, MachineType type, String zone, boolean spot, double readyInSeconds) {
        releases.add(
                new ExpectedRelease(
                        readyInSeconds + expectedRuntimeSeconds(spec),
                        spec.resourcesPerTask(),
                        type,
                        zone,
                        spot));
    }

    /**
     * Claims released capacity for tasks of a job array, each piece for several tasks one after the
     * other where that is in time.
     *
     * @param maxTasks how many tasks need capacity
     * @param ageSeconds how long ago the job was submitted
     * @param startupDelaySeconds how long a new machine takes until it could run a task
     * @return how many tasks found capacity in time
     */
    public int claimReleases(
            JobSpec spec, int maxTasks, double ageSeconds, double startupDelaySeconds) {
        double latestStart = latestStartInSeconds(spec, ageSeconds, startupDelaySeconds);
        Deque<ExpectedRelease> unsuitable = new ArrayDeque<>();
        List<ExpectedRelease> followUps = new ArrayList<>();
        int claimed = 0;
        while (claimed < maxTasks && hasReleaseUntil(latestStart)) {
            ExpectedRelease release = releases.poll();
            if (release.canRun(spec)) {
                followUps.add(release.after(spec));
                claimed++;
            } else {
                unsuitable.add(release);
            }
            if (!hasReleaseUntil(latestStart)) {
                // Capacity that was claimed can serve another task when the first one ends.
                releases.addAll(followUps);
                followUps.clear();
            }
        }
        releases.addAll(unsuitable);
        releases.addAll(followUps);
        return claimed;
    }

    private boolean hasReleaseUntil(double seconds) {
        return !releases.isEmpty() && releases.peek().releasedInSeconds() <= seconds;
    }

    /** When a task must start to be in time; never sooner than a new machine could help. */
    private static double latestStartInSeconds(
            JobSpec spec, double ageSeconds, double startupDelaySeconds) {
        if (Double.isNaN(spec.deadlineSeconds())) {
            return startupDelaySeconds;
        }
        double latestStart = spec.deadlineSeconds() - ageSeconds - expectedRuntimeSeconds(spec);
        if (latestStart >= startupDelaySeconds) {
            return latestStart;
        }
        double withAddedDelay = latestStart + spec.deadlineSeconds() * MAX_ADDED_DELAY_SHARE;
        return Math.max(startupDelaySeconds, withAddedDelay);
    }
}
