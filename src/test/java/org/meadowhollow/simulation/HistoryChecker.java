package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.TaskId;

/**
 * Checks what workers and users observe against the protocol's rules, and against the guarantees
 * that hold once all faults have ended. It reads neither records nor the state of any controller.
 * Not thread-safe: everything runs on the virtual event loop.
 */
final class HistoryChecker {
    /**
     * Once all faults have ended, a job counts as forgotten if polls of it get no answer for longer
     * than this.
     */
    private static final Duration MAX_UNANSWERED_TIME = Duration.ofSeconds(75);

    /**
     * Once all faults have ended, no job waits longer than this while suitable machines have free
     * capacity and its team is under its limit.
     */
    private static final Duration MAX_NEGLECTED_TIME = Duration.ofSeconds(90);

    /** The largest jobs of a class start within this time, counted from the end of all faults. */
    private static final Duration MAX_START_DELAY_OF_LARGEST = Duration.ofMinutes(4);

    private static final double MIN_SERVED_SHARE = 0.5;

    /** The actual state of a machine, which a controller's view of it may differ from. */
    interface Machine {
        String zone();

        MachineType machineType();

        /** Whether the machine runs and messages pass in both directions. */
        boolean isReachable();

        /** The tasks that use capacity of the machine: all except those that have exited. */
        List<TaskId> heldTasks();

        /** The running tasks as the protocol defines them: image pulled and not exited. */
        List<TaskId> runningTasks();
    }

    private record ReportedPhase(Phase phase, MonotonicTime at) {}

    private final Duration cancelTimeout;
    private final Map<String, DeploymentSettings.TeamQuota> teams;
    private final Function<JobId, JobSpec> specs;
    private final Supplier<? extends Collection<? extends Machine>> machines;
    private final List<MachineType> types;
    private final Set<JobId> submitted = new HashSet<>();
    private final Set<JobId> cancelRequested = new HashSet<>();
    private final Map<JobId, MonotonicTime> acceptedAt = new LinkedHashMap<>();
    private final Map<JobId, ReportedPhase> ends = new HashMap<>();
    private final Set<TaskId> completed = new HashSet<>();
    private final Map<JobId, MonotonicTime> startedAt = new HashMap<>();
    private final Map<JobId, MonotonicTime> answeredAt = new HashMap<>();
    private final Map<JobId, MonotonicTime> neglectedSince = new HashMap<>();

    /** Null while faults may happen. */
    private MonotonicTime faultFreeSince;

    private int startsAfterCancellation;

    /**
     * @param cancelTimeout after which no task of a cancelled job may run
     * @param teams quotas by team; may change later
     * @param types machine types that can be rented
     * @param specs returns the job specification of an id
     * @param machines returns the machines that exist now
     */
    HistoryChecker(
            Duration cancelTimeout,
            Map<String, DeploymentSettings.TeamQuota> teams,
            List<MachineType> types,
            Function<JobId, JobSpec> specs,
            Supplier<? extends Collection<? extends Machine>> machines) {
        this.cancelTimeout = cancelTimeout;
        this.teams = teams;
        this.types = types;
        this.specs = specs;
        this.machines = machines;
    }

    // ---- requests and answers of users ----

    void recordSubmission(JobId id) {
        submitted.add(id);
    }

    void recordCancelRequest(JobId id) {
        cancelRequested.add(id);
    }

    /**
     * Whether a job can ever run by the protocol's definition: its team exists and has a sufficient
     * limit, a machine type fits, and the zone policies of a gang do not contradict each other.
     */
    boolean canRun(JobSpec spec) {
        DeploymentSettings.TeamQuota quota = teams.get(spec.team());
        Resources concurrentResources =
                spec.kind() == JobKind.ARRAY
                        ? spec.resourcesPerTask()
                        : spec.resourcesPerTask().times(spec.taskCount());
        if (quota == null || !fitsLimit(concurrentResources, quota.limit())) {
            return false;
        }
        Set<String> zones = new HashSet<>();
        for (MachineType type : types) {
            if (spec.allowsMachineType(type.name())
                    && spec.resourcesPerTask().fitsIn(type.capacity())) {
                type.zones().stream().filter(spec::allowsZone).forEach(zones::add);
            }
        }
        boolean inOneZone = spec.requiresSingleZone() || zones.size() == 1;
        boolean contradictoryGang =
                spec.kind() == JobKind.GANG
                        && spec.spreadsAcrossZones()
                        && inOneZone
                        && spec.taskCount() > 1;
        return !zones.isEmpty() && !contradictoryGang;
    }

    /** Whether resources are within a limit; a limit of 0 means unlimited. */
    static boolean fitsLimit(Resources used, Resources limit) {
        return (limit.cpu() == 0 || used.cpu() <= limit.cpu())
                && (limit.gpu() == 0 || used.gpu() <= limit.gpu());
    }

    /**
     * Checks an answer that a user has received.
     *
     * @param phase null if there is no such job
     * @param sentAt when the request was sent; an answer that was received after this time may be
     *     newer than this one
     */
    void checkAnswer(JobId id, Phase phase, MonotonicTime sentAt, MonotonicTime now) {
        answeredAt.put(id, now);
        MonotonicTime firstAccepted = acceptedAt.get(id);
        if (phase == null) {
            assertTrue(
                    firstAccepted == null || !firstAccepted.isBefore(sentAt), "forgotten: " + id);
            return;
        }
        assertTrue(submitted.contains(id), "invented: " + id);
        boolean isEnd = phase == Phase.DONE || phase == Phase.CANCELLED;
        checkNotReverted(id, phase, isEnd, sentAt);
        if (phase == Phase.DONE) {
            checkAllCompleted(id);
        }
        if (firstAccepted == null) {
            assertTrue(canRun(specs.apply(id)), "wrongly accepted: " + specs.apply(id));
            acceptedAt.put(id, now);
        }
        if (isEnd) {
            ends.putIfAbsent(id, new ReportedPhase(phase, now));
        }
    }

    private void checkNotReverted(JobId id, Phase phase, boolean isEnd, MonotonicTime sentAt) {
        ReportedPhase end = ends.get(id);
        if (end != null && (isEnd || end.at().isBefore(sentAt))) {
            assertTrue(
                    phase == end.phase(),
                    "went_back: " + id + " was " + end.phase() + " and is " + phase);
        }
        assertTrue(
                phase != Phase.CANCELLED || cancelRequested.contains(id),
                "went_back: " + id + " was cancelled without a request");
    }

    private void checkAllCompleted(JobId id) {
        for (int task = 0; task < specs.apply(id).taskCount(); task++) {
            assertTrue(
                    completed.contains(new TaskId(id, task)),
                    "not_done: task " + task + " of " + id);
        }
    }

    /** Whether a job's end was reported to a user. */
    boolean isReportedEnded(JobId id) {
        return ends.containsKey(id);
    }

    // ---- starts and completions on workers ----

    boolean isCompleted(TaskId task) {
        return completed.contains(task);
    }

    /**
     * Records that a task has completed.
     *
     * @return whether it had not completed before
     */
    boolean recordCompletion(TaskId task) {
        return completed.add(task);
    }

    /** Whether a job's cancellation was reported to a user. */
    boolean isCancelled(JobId id) {
        ReportedPhase end = ends.get(id);
        return end != null && end.phase() == Phase.CANCELLED;
    }

    /** Records that a worker has executed a command to start a task. */
    void recordStartCommand(TaskId task) {
        startsAfterCancellation += isCancelled(task.jobId()) ? 1 : 0;
    }

    /**
     * Returns the number of start commands that workers executed after the job's cancellation was
     * confirmed; each command was already in flight at that time.
     */
    int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** Checks that a task, whose image is pulled, may run on the machine where it has started. */
    void checkStart(Machine machine, TaskId task, MonotonicTime now) {
        JobSpec spec = specs.apply(task.jobId());
        startedAt.putIfAbsent(task.jobId(), now);
        assertTrue(
                spec.allowsZone(machine.zone())
                        && spec.allowsMachineType(machine.machineType().name()),
                "wrong_place: " + task);
        int inZone = 0;
        for (Machine other : machines.get()) {
            for (TaskId running : other.runningTasks()) {
                assertTrue(other == machine || !running.equals(task), "ran_twice: " + task);
                if (running.jobId().equals(task.jobId())) {
                    inZone += other.zone().equals(machine.zone()) ? 1 : 0;
                    assertTrue(
                            !spec.requiresSingleZone() || other.zone().equals(machine.zone()),
                            "wrong_place: " + task);
                }
            }
        }
        assertTrue(
                !spec.spreadsAcrossZones() || inZone <= spec.maxTasksPerZone(),
                "wrong_place: too many in a zone: " + task);
    }

    // ---- checks after each step ----

    /** Checks quotas and cancellations, and progress once all faults have ended. */
    void checkStep(MonotonicTime now) {
        Map<String, Resources> used = new HashMap<>();
        for (Machine machine : machines.get()) {
            for (TaskId task : machine.runningTasks()) {
                JobSpec spec = specs.apply(task.jobId());
                used.merge(spec.team(), spec.resourcesPerTask(), Resources::plus);
                checkNotCancelled(task, now);
            }
        }
        used.forEach(
                (team, sum) ->
                        assertTrue(fitsLimit(sum, teams.get(team).limit()), "quota: team " + team));
        if (faultFreeSince != null) {
            unfinished().forEach(id -> checkProgress(id, used, now));
        }
    }

    private void checkNotCancelled(TaskId task, MonotonicTime now) {
        assertTrue(
                !isCancelled(task.jobId())
                        || now.elapsedSince(ends.get(task.jobId()).at()).compareTo(cancelTimeout)
                                <= 0,
                "ran_cancelled: " + task);
    }

    // ---- checks once all faults have ended ----

    /** Records that all faults have ended: progress is checked from now on. */
    void beginFaultFreePhase(MonotonicTime now) {
        faultFreeSince = now;
    }

    /** Returns the accepted jobs whose end was not reported to any user. */
    List<JobId> unfinished() {
        return acceptedAt.keySet().stream().filter(id -> !isReportedEnded(id)).toList();
    }

    private void checkProgress(JobId id, Map<String, Resources> used, MonotonicTime now) {
        MonotonicTime lastAnswer = answeredAt.getOrDefault(id, faultFreeSince);
        MonotonicTime waitingFrom = MonotonicTime.latestOf(lastAnswer, faultFreeSince);
        assertTrue(
                now.elapsedSince(waitingFrom).compareTo(MAX_UNANSWERED_TIME) <= 0,
                "forgotten: no answer about " + id);
        if (!couldRunMore(specs.apply(id), used)) {
            neglectedSince.remove(id);
            return;
        }
        MonotonicTime neglectedFrom = neglectedSince.computeIfAbsent(id, unused -> now);
        assertTrue(
                now.elapsedSince(neglectedFrom).compareTo(MAX_NEGLECTED_TIME) <= 0,
                "neglected: " + id + " waits while machines have capacity for it");
    }

    private boolean couldRunMore(JobSpec spec, Map<String, Resources> used) {
        int completedTasks = 0;
        for (int task = 0; task < spec.taskCount(); task++) {
            completedTasks += completed.contains(new TaskId(spec.id(), task)) ? 1 : 0;
        }
        return new FreeCapacity(machines.get(), specs)
                .couldRunMore(
                        spec,
                        completedTasks,
                        used.getOrDefault(spec.team(), Resources.NONE),
                        teams.get(spec.team()).limit());
    }

    /**
     * Checks at the end that enough of the accepted jobs without a cancel request were served in
     * each class, in each team and among the largest jobs of each class. The largest jobs must also
     * have started in time.
     */
    void checkFairness() {
        Map<String, List<JobId>> groups = new LinkedHashMap<>();
        List<JobId> notCancelled =
                acceptedAt.keySet().stream().filter(id -> !cancelRequested.contains(id)).toList();
        Map<String, Integer> largest = largestTaskCounts(notCancelled);
        for (JobId id : notCancelled) {
            JobSpec spec = specs.apply(id);
            addToGroup(groups, "class " + spec.jobClass(), id);
            addToGroup(groups, "team " + spec.team(), id);
            if (spec.taskCount() == largest.get(spec.jobClass())) {
                addToGroup(groups, "largest of " + spec.jobClass(), id);
                checkStartedInTime(id);
            }
        }
        groups.forEach(
                (group, jobs) -> {
                    long served = jobs.stream().filter(this::isServed).count();
                    assertTrue(
                            served >= MIN_SERVED_SHARE * jobs.size(),
                            group + ": " + served + " served of " + jobs.size());
                });
    }

    private Map<String, Integer> largestTaskCounts(List<JobId> jobs) {
        Map<String, Integer> largest = new HashMap<>();
        for (JobId id : jobs) {
            largest.merge(specs.apply(id).jobClass(), specs.apply(id).taskCount(), Math::max);
        }
        return largest;
    }

    private static void addToGroup(Map<String, List<JobId>> groups, String group, JobId id) {
        groups.computeIfAbsent(group, unused -> new ArrayList<>()).add(id);
    }

    private void checkStartedInTime(JobId id) {
        MonotonicTime from =
                faultFreeSince == null
                        ? acceptedAt.get(id)
                        : MonotonicTime.latestOf(faultFreeSince, acceptedAt.get(id));
        assertTrue(
                startedAt.containsKey(id)
                        && startedAt.get(id).isBefore(from.plus(MAX_START_DELAY_OF_LARGEST)),
                "largest job not started in time: " + id);
    }

    private boolean isServed(JobId id) {
        return specs.apply(id).kind() == JobKind.SERVICE
                ? startedAt.containsKey(id)
                : isReportedEnded(id) && ends.get(id).phase() == Phase.DONE;
    }
}
