package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.ints.IntSet;
import it.unimi.dsi.fastutil.ints.IntSets;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntMaps;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * The input of a scheduling round: the machines that can take tasks, the waiting jobs in their
 * order, and the quota usage of the teams. Built from {@link ClusterState} under the leader's lock.
 * It is not a copy: it shares objects with the cluster state, and is valid only during its round,
 * while the lock is held. The round changes the candidates and the usage.
 */
public final class SchedulingSnapshot {
    /**
     * The maximum number of tasks of one array or service job that a round considers; more than fit
     * on any cluster. A gang is always considered whole.
     */
    public static final int MAX_TASKS_PER_JOB = 2000;

    /**
     * The maximum number of placements on all machines together, which bounds the memory that they
     * take and the steps of loops over them.
     */
    static final int MAX_PLACEMENTS = 100_000;

    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final MonotonicTime now;
    private final List<MachineCandidate> candidates = new ArrayList<>();
    private final List<PlacementRound.PendingJob> pendingJobs = new ArrayList<>();

    /**
     * Tasks that a machine listed in its heartbeat without a recorded placement there, by job. They
     * must not be placed until they have exited.
     */
    private final Map<JobId, IntSet> orphanedTasks = new HashMap<>();

    private int placementCount;
    private final Map<JobId, Boolean> withinGuaranteedQuota;
    private final Map<String, TeamUsage> usageByTeam;

    /** Takes the snapshot; the caller holds the leader's lock. */
    public SchedulingSnapshot(
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            ServiceLevelObjectives objectives,
            MonotonicTime now) {
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.now = now;
        this.withinGuaranteedQuota = findJobsWithinGuaranteedQuota();
        this.usageByTeam = computeUsageByTeam();
        addCandidates(objectives);
        addPendingJobs();
    }

    /** The machines that can take tasks, in the order of their ids. */
    public List<MachineCandidate> candidates() {
        return candidates;
    }

    /**
     * The jobs with tasks that may be placed now, in their order. A round places the best-effort
     * jobs among them after all others, each of the two groups in this order.
     */
    public List<PlacementRound.PendingJob> pendingJobs() {
        return pendingJobs;
    }

    /** The usage and the limit of each team by its name. */
    public Map<String, TeamUsage> usageByTeam() {
        return usageByTeam;
    }

    /**
     * Whether a job fits into its team's guaranteed quota together with the team's earlier
     * unfinished jobs.
     */
    public boolean isWithinGuaranteedQuota(JobId job) {
        return withinGuaranteedQuota.getOrDefault(job, false);
    }

    /** The number of tasks that may still be placed on all machines together. */
    public int maxMorePlacements() {
        return Math.max(0, MAX_PLACEMENTS - placementCount);
    }

    private void addCandidates(ServiceLevelObjectives objectives) {
        for (Machine machine : clusterState.machines().values()) {
            placementCount += machine.placements().size();
            for (TaskId task : machine.orphanedTasks()) {
                orphanedTasks
                        .computeIfAbsent(task.jobId(), unused -> new IntOpenHashSet())
                        .add(task.index());
            }
            if (clusterState.isSchedulable(machine, now)) {
                candidates.add(createCandidate(machine, objectives));
            }
        }
    }

    private MachineCandidate createCandidate(Machine machine, ServiceLevelObjectives objectives) {
        MachineCandidate.Profile profile =
                new MachineCandidate.Profile(
                        machine.id(),
                        machine.type().name(),
                        machine.zone(),
                        machine.isSpot(),
                        machine.type().capacity(),
                        machine.type().imagePullGbPerSecond());
        MachineCandidate.Load load =
                new MachineCandidate.Load(
                        machine.freeCapacity(),
                        machine.placements().size(),
                        countServiceReplicas(machine),
                        machine.imageCache(),
                        remainingPullSecondsByImage(machine));
        return new MachineCandidate(
                        candidates.size(),
                        profile,
                        load,
                        clusterState.riskTables().get(machine.id()),
                        objectives.hasLargeTasksFor(machine.type()))
                .withReservationLimit(clusterState.reservationView().limitFor(machine.id()))
                .heldForGang(machine.heldForGang(now));
    }

    /** Returns the images being pulled to a machine with the seconds that each pull still takes. */
    private Object2DoubleOpenHashMap<String> remainingPullSecondsByImage(Machine machine) {
        Object2DoubleOpenHashMap<String> remainingSeconds = new Object2DoubleOpenHashMap<>(0);
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (!machine.imageCache().contains(spec.image())) {
                double remaining =
                        spec.imageSizeGb() / machine.type().imagePullGbPerSecond()
                                - now.secondsSince(placement.placedAt());
                remainingSeconds.put(spec.image(), Math.max(0, remaining));
            }
        }
        return remainingSeconds;
    }

    private static int countServiceReplicas(Machine machine) {
        int count = 0;
        for (Placement placement : machine.placements()) {
            count += placement.job().spec().kind() == JobKind.SERVICE ? 1 : 0;
        }
        return count;
    }

    private void addPendingJobs() {
        List<Job> jobsToPlace = new ArrayList<>();
        for (Job job : clusterState.jobs().values()) {
            if (job.pendingTaskCount() > 0 && !job.isComplete() && !isBackingOff(job)) {
                jobsToPlace.add(job);
            }
        }
        jobsToPlace.sort(jobOrder());
        for (Job job : jobsToPlace) {
            int tasks = countPlaceableTasks(job);
            if (tasks > 0) {
                pendingJobs.add(createPendingJob(job, tasks));
            }
        }
    }

    private boolean isBackingOff(Job job) {
        return job.backoffUntil() != null && !job.backoffUntil().isBefore(now);
    }

    /**
     * Returns the order of the jobs, in which a round places its regular jobs and then its
     * best-effort jobs. The criteria are, from the most to the least significant: a reservation
     * slot that has begun, the guaranteed quota of the team, the priority, the deadline, the time
     * of acceptance (oldest first) and the id.
     */
    private Comparator<Job> jobOrder() {
        return Comparator.comparing(
                        (Job job) ->
                                !clusterState.reservationView().hasActiveReservation(job.spec()))
                .thenComparing(job -> !isWithinGuaranteedQuota(job.id()))
                .thenComparing(job -> job.spec().priority())
                .thenComparingDouble(SchedulingSnapshot::deadlineEpochSeconds)
                .thenComparing(Job::acceptedAtMillis)
                .thenComparing(Job::id);
    }

    private PlacementRound.PendingJob createPendingJob(Job job, int taskCount) {
        boolean ignoresRisk =
                now.elapsedSince(job.pendingSince())
                                .compareTo(ServiceLevelObjectives.RISK_IGNORED_AFTER)
                        > 0;
        return new PlacementRound.PendingJob(
                job.spec(),
                taskCount,
                count -> firstPlaceableTasks(job, count),
                countTasksByZone(job),
                ignoresRisk,
                job.recentlyFailedMachines());
    }

    /** Counts the tasks of a job by zone, if the zones of its tasks limit further placements. */
    private Object2IntMap<String> countTasksByZone(Job job) {
        return job.spec().requiresSingleZone() || job.spec().spreadsAcrossZones()
                ? clusterState.countTasksByZone(job)
                : Object2IntMaps.emptyMap();
    }

    /**
     * Counts the waiting tasks that may be placed now; none for a gang that cannot be placed as a
     * whole now.
     */
    private int countPlaceableTasks(Job job) {
        boolean gang = job.spec().kind() == JobKind.GANG;
        if (gang && (job.hasAttemptStarted() || job.completedTaskCount() > 0)) {
            return 0;
        }
        int waitingOrphans = 0;
        for (int task : orphanedTasksOf(job)) {
            waitingOrphans += job.isTaskPending(task) ? 1 : 0;
        }
        if (gang && waitingOrphans > 0) {
            return 0;
        }
        return Math.min(maxPlaceableTasks(job), job.pendingTaskCount() - waitingOrphans);
    }

    private int[] firstPlaceableTasks(Job job, int count) {
        IntSet orphans = orphanedTasksOf(job);
        int[] tasks = new int[count];
        int found = 0;
        for (int task = job.nextPendingTask(0);
                task >= 0 && found < count;
                task = job.nextPendingTask(task + 1)) {
            if (!orphans.contains(task)) {
                tasks[found++] = task;
            }
        }
        return found == count ? tasks : Arrays.copyOf(tasks, found);
    }

    private IntSet orphanedTasksOf(Job job) {
        return orphanedTasks.getOrDefault(job.id(), IntSets.EMPTY_SET);
    }

    private static int maxPlaceableTasks(Job job) {
        if (job.spec().kind() == JobKind.GANG) {
            return Integer.MAX_VALUE;
        }
        // All tasks of a faulty job would fail alike and take capacity from other jobs, so only one
        // is tried at a time.
        return job.isSuspectedFaulty()
                ? Math.max(0, 1 - job.placements().size())
                : MAX_TASKS_PER_JOB;
    }

    private static double deadlineEpochSeconds(Job job) {
        return Double.isNaN(job.spec().deadlineSeconds())
                ? Double.MAX_VALUE
                : job.acceptedAtMillis() / 1000.0 + job.spec().deadlineSeconds();
    }

    private Map<String, TeamUsage> computeUsageByTeam() {
        Map<String, Resources> used = clusterState.usageByTeam();
        Map<String, TeamUsage> usage = new HashMap<>();
        for (DeploymentSettings.TeamQuota quota : deploymentSettings.teamQuotas().values()) {
            usage.put(
                    quota.name(),
                    new TeamUsage(used.getOrDefault(quota.name(), Resources.NONE), quota.limit()));
        }
        return usage;
    }

    private Map<JobId, Boolean> findJobsWithinGuaranteedQuota() {
        List<Job> oldestFirst = new ArrayList<>(clusterState.jobs().values());
        oldestFirst.sort(Comparator.comparingLong(Job::acceptedAtMillis).thenComparing(Job::id));
        Map<String, Resources> demandByTeam = new HashMap<>();
        Map<JobId, Boolean> withinQuotaByJob = new HashMap<>();
        for (Job job : oldestFirst) {
            if (job.isCancelled()) {
                continue;
            }
            JobSpec spec = job.spec();
            int unfinishedTasks = spec.taskCount() - job.completedTaskCount();
            Resources demand =
                    demandByTeam.merge(
                            spec.team(),
                            spec.resourcesPerTask().times(unfinishedTasks),
                            Resources::plus);
            Resources guaranteed = deploymentSettings.teamQuotas().get(spec.team()).guaranteed();
            withinQuotaByJob.put(job.id(), isWithinGuarantee(demand, guaranteed));
        }
        return withinQuotaByJob;
    }

    /**
     * Whether a demand is covered by a guaranteed quota. An amount of 0 is not checked; a quota
     * with only zeros guarantees nothing.
     */
    private static boolean isWithinGuarantee(Resources demand, Resources guaranteed) {
        return (guaranteed.cpu() > 0 || guaranteed.gpu() > 0)
                && (guaranteed.cpu() == 0 || demand.cpu() <= guaranteed.cpu())
                && (guaranteed.gpu() == 0 || demand.gpu() <= guaranteed.gpu());
    }
}
