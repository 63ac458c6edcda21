package org.meadowhollow.coordination.placement;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.TaskId;

/**
 * What a round decides from: the machines that can take tasks, the jobs that wait in their order,
 * and the teams.
 */
public final class Snapshot {
    /** Tasks of one job looked at in a round: more than fit on any fleet at once, and bounded. */
    private static final int MOST_TASKS = 2000;

    private final Cluster cluster;
    private final DeploymentSettings deploymentSettings;
    private final MonotonicTime now;
    private final List<PlacementRound.Seat> seats = new ArrayList<>();
    private final List<PlacementRound.Waiting> waiting = new ArrayList<>();
    private final Set<TaskId> strays = new HashSet<>();
    private final Map<JobId, Boolean> guaranteed;
    private final Map<String, PlacementRound.Share> shares;

    public Snapshot(
            Cluster cluster, DeploymentSettings deploymentSettings, Aims aims, MonotonicTime now) {
        this.cluster = cluster;
        this.deploymentSettings = deploymentSettings;
        this.now = now;
        this.guaranteed = findGuaranteed();
        this.shares = findShares();
        addSeats(aims);
        addWaiting();
    }

    public List<PlacementRound.Seat> seats() {
        return seats;
    }

    public List<PlacementRound.Waiting> waiting() {
        return waiting;
    }

    public Map<String, PlacementRound.Share> shares() {
        return shares;
    }

    /**
     * Whether a job fits into its team's guarantee together with the team's earlier unfinished
     * jobs.
     */
    public boolean isGuaranteed(JobId job) {
        return guaranteed.getOrDefault(job, false);
    }

    private void addSeats(Aims aims) {
        for (Machine machine : cluster.machines().values()) {
            strays.addAll(machine.orphanedTasks());
            if (cluster.usable(machine, now)) {
                seats.add(
                        new PlacementRound.Seat(
                                        seats.size(),
                                        machine.id(),
                                        machine.type().name(),
                                        machine.zone(),
                                        machine.isSpot(),
                                        machine.type().capacity(),
                                        machine.freeCapacity(),
                                        machine.placements().size(),
                                        replicas(machine),
                                        machine.imageCache(),
                                        fetches(machine),
                                        machine.type().imagePullGbPerSecond(),
                                        cluster.risks().get(machine.id()),
                                        aims.isForLarge(machine.type()))
                                .limited(cluster.outlook().limit(machine.id()))
                                .heldFor(machine.heldForGang(now)));
            }
        }
    }

    private void addWaiting() {
        List<Job> order = new ArrayList<>();
        for (Job job : cluster.jobs().values()) {
            if (job.pendingTaskCount() > 0
                    && !job.isComplete()
                    && (job.backoffUntil() == null || job.backoffUntil().isBefore(now))) {
                order.add(job);
            }
        }
        order.sort(
                Comparator.<Job, Boolean>comparing(job -> !cluster.outlook().isDue(job.spec()))
                        .thenComparing(job -> !isGuaranteed(job.id()))
                        .thenComparing(job -> job.spec().priority())
                        .thenComparingDouble(job -> dueAt(job))
                        .thenComparing(Job::acceptedAtMillis)
                        .thenComparing(Job::id));
        for (Job job : order) {
            int[] tasks = waitingTasks(job);
            if (tasks.length > 0) {
                waiting.add(
                        new PlacementRound.Waiting(
                                job.spec(),
                                tasks,
                                cluster.zonesOf(job),
                                now.elapsedSince(job.pendingSince()).compareTo(Aims.DESPERATE) > 0,
                                job.recentlyFailedMachines()));
            }
        }
    }

    /** The images on their way to a machine, each with the seconds that it will still take. */
    private Object2DoubleOpenHashMap<String> fetches(Machine machine) {
        Object2DoubleOpenHashMap<String> fetches = new Object2DoubleOpenHashMap<>(0);
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (!machine.imageCache().contains(spec.image())) {
                double leftS =
                        spec.imageSizeGb() / machine.type().imagePullGbPerSecond()
                                - now.secondsSince(placement.placedAt());
                fetches.put(spec.image(), Math.max(0, leftS));
            }
        }
        return fetches;
    }

    private static int replicas(Machine machine) {
        int count = 0;
        for (Placement placement : machine.placements()) {
            count += placement.job().spec().kind() == JobKind.SERVICE ? 1 : 0;
        }
        return count;
    }

    private int[] waitingTasks(Job job) {
        if (job.spec().kind() == JobKind.GANG
                && (job.hasAttemptStarted() || job.completedTaskCount() > 0)) {
            return new int[0];
        }
        int most =
                job.spec().kind() == JobKind.GANG
                        ? Integer.MAX_VALUE
                        : job.isSuspectedFaulty()
                                ? Math.max(0, 1 - job.placements().size())
                                : MOST_TASKS;
        int[] tasks = new int[Math.min(most, job.pendingTaskCount())];
        int count = 0;
        for (int task = job.nextPendingTask(0);
                task >= 0 && count < tasks.length;
                task = job.nextPendingTask(task + 1)) {
            if (!strays.contains(new TaskId(job.id(), task))) {
                tasks[count++] = task;
            } else if (job.spec().kind() == JobKind.GANG) {
                return new int[0];
            }
        }
        return count == tasks.length ? tasks : Arrays.copyOf(tasks, count);
    }

    private static double dueAt(Job job) {
        return Double.isNaN(job.spec().deadlineSeconds())
                ? Double.MAX_VALUE
                : job.acceptedAtMillis() / 1000.0 + job.spec().deadlineSeconds();
    }

    private Map<String, PlacementRound.Share> findShares() {
        Map<String, Resources> used = cluster.used();
        Map<String, PlacementRound.Share> shares = new HashMap<>();
        for (DeploymentSettings.TeamQuota teamQuota : deploymentSettings.teamQuotas().values()) {
            shares.put(
                    teamQuota.name(),
                    new PlacementRound.Share(
                            used.getOrDefault(teamQuota.name(), Resources.NONE),
                            teamQuota.limit()));
        }
        return shares;
    }

    /**
     * The jobs that fit into their team's guarantee together with the team's earlier unfinished
     * jobs.
     */
    private Map<JobId, Boolean> findGuaranteed() {
        List<Job> byAge = new ArrayList<>(cluster.jobs().values());
        byAge.sort(Comparator.comparingLong(Job::acceptedAtMillis).thenComparing(Job::id));
        Map<String, Resources> sums = new HashMap<>();
        Map<JobId, Boolean> within = new HashMap<>();
        for (Job job : byAge) {
            if (job.isCancelled()) {
                continue;
            }
            Resources all =
                    job.spec()
                            .resourcesPerTask()
                            .times(job.spec().taskCount() - job.completedTaskCount());
            Resources sum = sums.merge(job.spec().team(), all, Resources::plus);
            DeploymentSettings.TeamQuota teamQuota =
                    deploymentSettings.teamQuotas().get(job.spec().team());
            Resources most = teamQuota.guaranteed();
            within.put(
                    job.id(),
                    (most.cpu() > 0 || most.gpu() > 0)
                            && (most.cpu() == 0 || sum.cpu() <= most.cpu())
                            && (most.gpu() == 0 || sum.gpu() <= most.gpu()));
        }
        return within;
    }
}
