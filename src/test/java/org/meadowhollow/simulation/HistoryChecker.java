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
 * Checks what workers and users observe against the protocol's rules, and against what is
 * guaranteed once all faults have ended. It knows nothing of records, nor of what any controller
 * believes. Not thread-safe: everything runs on the virtual event loop.
 */
final class HistoryChecker {
    /** After all faults, a job whose polls get no answer for so long counts as forgotten. */
    private static final Duration MAX_UNANSWERED = Duration.ofSeconds(75);

    /**
     * After all faults, no job waits for so long while a machine that fits has free capacity and
     * its team is under its limit.
     */
    private static final Duration MAX_NEGLECTED = Duration.ofSeconds(90);

    /** The largest jobs of a class start within this time, counted from the end of all faults. */
    private static final Duration MAX_LARGEST_START = Duration.ofMinutes(4);

    private static final double MIN_SERVED_SHARE = 0.5;

    /** A machine as it is, whatever any controller believes. */
    interface Machine {
        String zone();

        MachineType machineType();

        /** Whether it runs, and messages pass in both directions. */
        boolean isReachable();

        /** The tasks that take capacity on it: all but those that have exited. */
        List<TaskId> heldTasks();

        /** The tasks that are on it in the protocol's sense: with image, and not exited. */
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
     * @param teams with their quotas; may change later
     * @param types of the machines that can be rented
     * @param specs the job specification of an id
     * @param machines that exist now
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

    // ---- what users do and observe ----

    void recordSubmission(JobId id) {
        submitted.add(id);
    }

    void recordCancelRequest(JobId id) {
        cancelRequested.add(id);
    }

    /**
     * Whether a job can ever run by the protocol's definition: its team, types, limit, and what a
     * gang's own fields exclude.
     */
    boolean canRun(JobSpec spec) {
        DeploymentSettings.TeamQuota quota = teams.get(spec.team());
        Resources atOnce =
                spec.kind() == JobKind.ARRAY
                        ? spec.resourcesPerTask()
                        : spec.resourcesPerTask().times(spec.taskCount());
        if (quota == null || !fitsLimit(atOnce, quota.limit())) {
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

    /** Whether resources are within a limit, of which 0 stands for no limit. */
    static boolean fitsLimit(Resources used, Resources limit) {
        return (limit.cpu() == 0 || used.cpu() <= limit.cpu())
                && (limit.gpu() == 0 || used.gpu() <= limit.gpu());
    }

    /**
     * Checks an answer that a user has received.
     *
     * @param phase null if there is no such job
     * @param sentAt when the request was sent: what was answered only after that may be newer than
     *     the answer
     */
    void checkAnswer(JobId id, Phase phase, MonotonicTime sentAt, MonotonicTime now) {
        answeredAt.put(id, now);
        MonotonicTime since = acceptedAt.get(id);
        if (phase == null) {
            assertTrue(since == null || !since.isBefore(sentAt), "forgotten: " + id);
            return;
        }
        assertTrue(submitted.contains(id), "invented: " + id);
        boolean isEnd = phase == Phase.DONE || phase == Phase.CANCELLED;
        checkNotReverted(id, phase, isEnd, sentAt);
        if (phase == Phase.DONE) {
            checkAllCompleted(id);
        }
        if (since == null) {
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
                "went_back: " + id + " cancelled by nobody");
    }

    private void checkAllCompleted(JobId id) {
        for (int task = 0; task < specs.apply(id).taskCount(); task++) {
            assertTrue(
                    completed.contains(new TaskId(id, task)),
                    "not_done: task " + task + " of " + id);
        }
    }

    /** Whether a user was told that a job has ended. */
    boolean isReportedEnded(JobId id) {
        return ends.containsKey(id);
    }

    // ---- what workers do ----

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

    /** Whether a user was told that a job is cancelled. */
    boolean isCancelled(JobId id) {
        ReportedPhase end = ends.get(id);
        return end != null && end.phase() == Phase.CANCELLED;
    }

    /** A worker has executed a command to start a task. */
    void recordStartCommand(TaskId task) {
        startsAfterCancellation += isCancelled(task.jobId()) ? 1 : 0;
    }

    /**
     * Start commands that workers executed after the job's cancellation was confirmed; each had
     * been under way by then.
     */
    int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** Checks that a task may run where it has started, with its image. */
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

    // ---- at each step ----

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

    // ---- once all faults have ended ----

    /** All faults have ended: progress is checked from now on. */
    void beginFaultFreePhase(MonotonicTime now) {
        faultFreeSince = now;
    }

    /** The jobs that were accepted and that no user was told to have ended. */
    List<JobId> unfinished() {
        return acceptedAt.keySet().stream().filter(id -> !isReportedEnded(id)).toList();
    }

    private void checkProgress(JobId id, Map<String, Resources> used, MonotonicTime now) {
        MonotonicTime answered = answeredAt.getOrDefault(id, faultFreeSince);
        MonotonicTime since = MonotonicTime.latestOf(answered, faultFreeSince);
        assertTrue(
                now.elapsedSince(since).compareTo(MAX_UNANSWERED) <= 0,
                "forgotten: no answer about " + id);
        if (!couldRunMore(specs.apply(id), used)) {
            neglectedSince.remove(id);
            return;
        }
        MonotonicTime neglected = neglectedSince.computeIfAbsent(id, unused -> now);
        assertTrue(
                now.elapsedSince(neglected).compareTo(MAX_NEGLECTED) <= 0,
                "neglected: " + id + " waits beside room for it");
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
     * Checks at the end that enough of the accepted jobs that nobody cancelled were served: of each
     * class, of each team and of the largest jobs of each class, which also started in time.
     */
    void checkFairness() {
        Map<String, List<JobId>> groups = new LinkedHashMap<>();
        List<JobId> wanted =
                acceptedAt.keySet().stream().filter(id -> !cancelRequested.contains(id)).toList();
        Map<String, Integer> largest = largestTaskCounts(wanted);
        for (JobId id : wanted) {
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
                        && startedAt.get(id).isBefore(from.plus(MAX_LARGEST_START)),
                "the largest have to begin in time: " + id);
    }

    private boolean isServed(JobId id) {
        return specs.apply(id).kind() == JobKind.SERVICE
                ? startedAt.containsKey(id)
                : isReportedEnded(id) && ends.get(id).phase() == Phase.DONE;
    }
}
