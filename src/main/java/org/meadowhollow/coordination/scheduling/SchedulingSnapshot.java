package org.meadowhollow.coordination.scheduling;

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
public final class SchedulingSnapshot {
    /** Tasks of one job looked at in a round: more than fit on any fleet at once, and bounded. */
    private static final int MAX_TASKS_PER_JOB = 2000;

    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final MonotonicTime now;
    private final List<PlacementRound.MachineCandidate> candidates = new ArrayList<>();
    private final List<PlacementRound.PendingJob> pendingJobs = new ArrayList<>();
    private final Set<TaskId> orphanedTasks = new HashSet<>();
    private final Map<JobId, Boolean> withinGuaranteedQuota;
    private final Map<String, PlacementRound.TeamUsage> usageByTeam;

    public SchedulingSnapshot(
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            ServiceLevelObjectives serviceLevelObjectives,
            MonotonicTime now) {
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.now = now;
        this.withinGuaranteedQuota = findJobsWithinGuaranteedQuota();
        this.usageByTeam = computeUsageByTeam();
        addCandidates(serviceLevelObjectives);
        addPendingJobs();
    }

    public List<PlacementRound.MachineCandidate> candidates() {
        return candidates;
    }

    public List<PlacementRound.PendingJob> pendingJobs() {
        return pendingJobs;
    }

    public Map<String, PlacementRound.TeamUsage> usageByTeam() {
        return usageByTeam;
    }

    /**
     * Whether a job fits into its team's guarantee together with the team's earlier unfinished
     * jobs.
     */
    public boolean isWithinGuaranteedQuota(JobId job) {
        return withinGuaranteedQuota.getOrDefault(job, false);
    }

    private void addCandidates(ServiceLevelObjectives serviceLevelObjectives) {
        for (Machine machine : clusterState.machines().values()) {
            orphanedTasks.addAll(machine.orphanedTasks());
            if (clusterState.isSchedulable(machine, now)) {
                candidates.add(
                        new PlacementRound.MachineCandidate(
                                        candidates.size(),
                                        machine.id(),
                                        machine.type().name(),
                                        machine.zone(),
                                        machine.isSpot(),
                                        machine.type().capacity(),
                                        machine.freeCapacity(),
                                        machine.placements().size(),
                                        countServiceReplicas(machine),
                                        machine.imageCache(),
                                        remainingPullSecondsByImage(machine),
                                        machine.type().imagePullGbPerSecond(),
                                        clusterState.riskTables().get(machine.id()),
                                        serviceLevelObjectives.hasLargeTasksFor(machine.type()))
                                .withReservationLimit(
                                        clusterState.reservationView().limitFor(machine.id()))
                                .heldForGang(machine.heldForGang(now)));
            }
        }
    }

    private void addPendingJobs() {
        List<Job> order = new ArrayList<>();
        for (Job job : clusterState.jobs().values()) {
            if (job.pendingTaskCount() > 0
                    && !job.isComplete()
                    && (job.backoffUntil() == null || job.backoffUntil().isBefore(now))) {
                order.add(job);
            }
        }
        order.sort(
                Comparator.<Job, Boolean>comparing(
                                job ->
                                        !clusterState
                                                .reservationView()
                                                .hasActiveReservation(job.spec()))
                        .thenComparing(job -> !isWithinGuaranteedQuota(job.id()))
                        .thenComparing(job -> job.spec().priority())
                        .thenComparingDouble(job -> deadlineEpochSeconds(job))
                        .thenComparing(Job::acceptedAtMillis)
                        .thenComparing(Job::id));
        for (Job job : order) {
            int[] tasks = findPlaceableTasks(job);
            if (tasks.length > 0) {
                pendingJobs.add(
                        new PlacementRound.PendingJob(
                                job.spec(),
                                tasks,
                                clusterState.countTasksByZone(job),
                                now.elapsedSince(job.pendingSince())
                                                .compareTo(
                                                        ServiceLevelObjectives.RISK_IGNORED_AFTER)
                                        > 0,
                                job.recentlyFailedMachines()));
            }
        }
    }

    /** The images on their way to a machine, each with the seconds that it will still take. */
    private Object2DoubleOpenHashMap<String> remainingPullSecondsByImage(Machine machine) {
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

    private static int countServiceReplicas(Machine machine) {
        int count = 0;
        for (Placement placement : machine.placements()) {
            count += placement.job().spec().kind() == JobKind.SERVICE ? 1 : 0;
        }
        return count;
    }

    private int[] findPlaceableTasks(Job job) {
        if (job.spec().kind() == JobKind.GANG
                && (job.hasAttemptStarted() || job.completedTaskCount() > 0)) {
            return new int[0];
        }
        int most =
                job.spec().kind() == JobKind.GANG
                        ? Integer.MAX_VALUE
                        : job.isSuspectedFaulty()
                                ? Math.max(0, 1 - job.placements().size())
                                : MAX_TASKS_PER_JOB;
        int[] tasks = new int[Math.min(most, job.pendingTaskCount())];
        int count = 0;
        for (int task = job.nextPendingTask(0);
                task >= 0 && count < tasks.length;
                task = job.nextPendingTask(task + 1)) {
            if (!orphanedTasks.contains(new TaskId(job.id(), task))) {
                tasks[count++] = task;
            } else if (job.spec().kind() == JobKind.GANG) {
                return new int[0];
            }
        }
        return count == tasks.length ? tasks : Arrays.copyOf(tasks, count);
    }

    private static double deadlineEpochSeconds(Job job) {
        return Double.isNaN(job.spec().deadlineSeconds())
                ? Double.MAX_VALUE
                : job.acceptedAtMillis() / 1000.0 + job.spec().deadlineSeconds();
    }

    private Map<String, PlacementRound.TeamUsage> computeUsageByTeam() {
        Map<String, Resources> used = clusterState.usageByTeam();
        Map<String, PlacementRound.TeamUsage> shares = new HashMap<>();
        for (DeploymentSettings.TeamQuota teamQuota : deploymentSettings.teamQuotas().values()) {
            shares.put(
                    teamQuota.name(),
                    new PlacementRound.TeamUsage(
                            used.getOrDefault(teamQuota.name(), Resources.NONE),
                            teamQuota.limit()));
        }
        return shares;
    }

    /**
     * The jobs that fit into their team's guarantee together with the team's earlier unfinished
     * jobs.
     */
    private Map<JobId, Boolean> findJobsWithinGuaranteedQuota() {
        List<Job> byAge = new ArrayList<>(clusterState.jobs().values());
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
