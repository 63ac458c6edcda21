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
 * Predicts the capacity that tasks of job arrays will release soon. A pending task that can start
 * in time on such capacity needs no new machine, which would hardly be ready sooner. Belongs to one
 * computation of the capacity demand; not thread-safe.
 */
public final class ReleaseForecast {
    /** Factor on the runtime estimates of job owners, which are often wrong by half. */
    private static final double RUNTIME_ESTIMATE_MARGIN = 1.3;

    /**
     * Limits the delay that waiting for released capacity adds to a job that is late in any case,
     * as a share of its deadline.
     */
    private static final double MAX_ADDED_DELAY_SHARE = 0.5;

    /**
     * The remaining runtime of a running task is assumed to be at least its expected runtime
     * divided by this.
     */
    private static final double MIN_REMAINING_DIVISOR = 4;

    /** Divides the pull time: a pull whose progress is unknown is half done on average. */
    private static final double PULL_PROGRESS_DIVISOR = 2;

    /** The capacity that the end of one task releases. */
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

        /** Returns the release by a task that runs on this capacity next. */
        ExpectedRelease followUpRelease(JobSpec spec) {
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

    /** Creates a forecast of the releases by array tasks on machines that may take new tasks. */
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

    /** Adds the release by a pending task that is expected to run first on a booting machine. */
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
     * Claims released capacity for pending tasks of a job array. The same capacity may serve
     * several tasks one after the other, as long as each can start in time.
     *
     * @param maxTasks the number of tasks that need capacity
     * @param ageSeconds the time since the job was submitted
     * @param startupDelaySeconds the time that a new machine takes until it could run a task
     * @return the number of tasks for which capacity was claimed
     */
    public int claimReleases(
            JobSpec spec, int maxTasks, double ageSeconds, double startupDelaySeconds) {
        double latestStart = latestStartInSeconds(spec, ageSeconds, startupDelaySeconds);
        Deque<ExpectedRelease> unsuitable = new ArrayDeque<>();
        List<ExpectedRelease> followUps = new ArrayList<>();
        int claimed = 0;
        while (claimed < maxTasks && hasReleaseWithin(latestStart)) {
            ExpectedRelease release = releases.poll();
            if (release.canRun(spec)) {
                followUps.add(release.followUpRelease(spec));
                claimed++;
            } else {
                unsuitable.add(release);
            }
            if (!hasReleaseWithin(latestStart)) {
                // Claimed capacity can serve another task after the first one ends.
                releases.addAll(followUps);
                followUps.clear();
            }
        }
        releases.addAll(unsuitable);
        releases.addAll(followUps);
        return claimed;
    }

    private boolean hasReleaseWithin(double seconds) {
        return !releases.isEmpty() && releases.peek().releasedInSeconds() <= seconds;
    }

    /**
     * Returns in how many seconds a task must start to be in time; never less than the startup
     * delay of a new machine, which could not help sooner.
     */
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
