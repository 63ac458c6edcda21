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

    /** The capacity that tasks release which end at the same time on machines of one pool. */
    private record ExpectedRelease(
            int tasks,
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

        /** Returns the release by tasks that run on this capacity next. */
        ExpectedRelease followUpRelease(JobSpec spec, int followUpTasks) {
            return new ExpectedRelease(
                    followUpTasks,
                    releasedInSeconds + expectedRuntimeSeconds(spec),
                    spec.resourcesPerTask(),
                    type,
                    zone,
                    spot);
        }

        /** Returns the rest of this release after some of its capacity was claimed. */
        ExpectedRelease without(int claimedTasks) {
            return new ExpectedRelease(
                    tasks - claimedTasks, releasedInSeconds, resources, type, zone, spot);
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
                                    1,
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

    /**
     * Adds the releases by pending tasks that are expected to run first on booting machines.
     *
     * @param tasks the number of tasks, all of which start once their machine is ready
     */
    public void addReleasesOnBootingMachines(
            JobSpec spec,
            int tasks,
            MachineType type,
            String zone,
            boolean spot,
            double readyInSeconds) {
        releases.add(
                new ExpectedRelease(
                        tasks,
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
                int tasks = Math.min(release.tasks(), maxTasks - claimed);
                followUps.add(release.followUpRelease(spec, tasks));
                claimed += tasks;
                if (tasks < release.tasks()) {
                    releases.add(release.without(tasks));
                }
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

    /** The number of entries that a claim may examine; tasks that end together share one. */
    public int size() {
        return releases.size();
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
