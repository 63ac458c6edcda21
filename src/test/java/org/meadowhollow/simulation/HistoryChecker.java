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
 * Holds what workers and users saw against the protocol's rules, and against what is promised for
 * the time after all troubles. It knows nothing of records, nor of what any node believes.
 */
final class HistoryChecker {
    /** A job about which no question is answered for so long, after all troubles, is forgotten. */
    private static final Duration MAX_UNANSWERED = Duration.ofSeconds(75);

    /**
     * No job waits for so long, after all troubles, while a machine that fits has room and its team
     * is under its limit.
     */
    private static final Duration MAX_NEGLECTED = Duration.ofSeconds(90);

    /**
     * The largest jobs of a class begin within this time, counted from when all troubles were over.
     */
    private static final Duration MAX_LARGEST_START = Duration.ofMinutes(4);

    private static final double MIN_SERVED_SHARE = 0.5;

    /** A machine as it is, whatever anybody believes. */
    interface Machine {
        String zone();

        MachineType machineType();

        /** Whether it runs, reports and hears. */
        boolean isReachable();

        /** The tasks that take room on it. */
        List<TaskId> heldTasks();

        /** Tasks that are on it in the protocol's sense. */
        List<TaskId> runningTasks();
    }

    private record ReportedPhase(Phase phase, MonotonicTime at) {}

    private final Duration cancelWithin;
    private final Map<String, DeploymentSettings.TeamQuota> teams;
    private final Function<JobId, JobSpec> specs;
    private final Supplier<? extends Collection<? extends Machine>> places;
    private final List<MachineType> types;
    private final Set<JobId> submitted = new HashSet<>();
    private final Set<JobId> cancelAsked = new HashSet<>();
    private final Map<JobId, MonotonicTime> accepted = new LinkedHashMap<>();
    private final Map<JobId, ReportedPhase> ends = new HashMap<>();
    private final Set<TaskId> completed = new HashSet<>();
    private final Map<JobId, MonotonicTime> begunAt = new HashMap<>();
    private final Map<JobId, MonotonicTime> answeredAt = new HashMap<>();
    private final Map<JobId, MonotonicTime> neglectedSince = new HashMap<>();
    private MonotonicTime calmSince;
    private int startsAfterCancellation;

    HistoryChecker(
            Duration cancelWithin,
            Map<String, DeploymentSettings.TeamQuota> teams,
            List<MachineType> types,
            Function<JobId, JobSpec> specs,
            Supplier<? extends Collection<? extends Machine>> places) {
        this.cancelWithin = cancelWithin;
        this.teams = teams;
        this.types = types;
        this.specs = specs;
        this.places = places;
    }

    // ---- what users do and are told ----

    void recordSubmission(JobId id) {
        submitted.add(id);
    }

    void recordCancelRequest(JobId id) {
        cancelAsked.add(id);
    }

    /**
     * The protocol's own words on what can never run: team, types, limit, and what a gang's own
     * fields rule out.
     */
    boolean canRun(JobSpec spec) {
        DeploymentSettings.TeamQuota teamQuota = teams.get(spec.team());
        Resources atOnce =
                spec.kind() == JobKind.ARRAY
                        ? spec.resourcesPerTask()
                        : spec.resourcesPerTask().times(spec.taskCount());
        if (teamQuota == null || !fitsLimit(atOnce, teamQuota.limit())) {
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
        return !zones.isEmpty()
                && !(spec.kind() == JobKind.GANG
                        && spec.spreadsAcrossZones()
                        && inOneZone
                        && spec.taskCount() > 1);
    }

    private static boolean fitsLimit(Resources used, Resources most) {
        return (most.cpu() == 0 || used.cpu() <= most.cpu())
                && (most.gpu() == 0 || used.gpu() <= most.gpu());
    }

    /**
     * An answer has come.
     *
     * @param phase null if there is no such job
     * @param sentAt when the question was sent: what was told only after that may be newer than the
     *     answer
     */
    void checkAnswer(JobId id, Phase phase, MonotonicTime sentAt, MonotonicTime now) {
        answeredAt.put(id, now);
        MonotonicTime since = accepted.get(id);
        if (phase == null) {
            assertTrue(since == null || !since.isBefore(sentAt), "forgotten: " + id);
            return;
        }
        assertTrue(submitted.contains(id), "invented: " + id);
        ReportedPhase end = ends.get(id);
        boolean isEnd = phase == Phase.DONE || phase == Phase.CANCELLED;
        if (end != null && (isEnd || end.at().isBefore(sentAt))) {
            assertTrue(
                    phase == end.phase(),
                    "went_back: " + id + " was " + end.phase() + " and is " + phase);
        }
        assertTrue(
                phase != Phase.CANCELLED || cancelAsked.contains(id),
                "went_back: " + id + " cancelled by nobody");
        if (phase == Phase.DONE) {
            for (int task = 0; task < specs.apply(id).taskCount(); task++) {
                assertTrue(
                        completed.contains(new TaskId(id, task)),
                        "not_done: task " + task + " of " + id);
            }
        }
        if (since == null) {
            assertTrue(canRun(specs.apply(id)), "wrongly accepted: " + specs.apply(id));
            accepted.put(id, now);
        }
        if (isEnd) {
            ends.putIfAbsent(id, new ReportedPhase(phase, now));
        }
    }

    /** Whether a user was told that a job is over. */
    boolean isReportedEnded(JobId id) {
        return ends.containsKey(id);
    }

    // ---- what workers do ----

    boolean isCompleted(TaskId task) {
        return completed.contains(task);
    }

    boolean recordCompletion(TaskId task) {
        return completed.add(task);
    }

    boolean isCancelled(JobId id) {
        ReportedPhase end = ends.get(id);
        return end != null && end.phase() == Phase.CANCELLED;
    }

    /** A worker has taken an order to start a task. */
    void recordStartCommand(TaskId task) {
        startsAfterCancellation += isCancelled(task.jobId()) ? 1 : 0;
    }

    /**
     * Orders to start that workers took after the job's cancellation was confirmed; each had been
     * under way by then.
     */
    int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** A task has its image now and is on its machine. */
    void checkStart(Machine machine, TaskId task, MonotonicTime now) {
        JobSpec spec = specs.apply(task.jobId());
        begunAt.putIfAbsent(task.jobId(), now);
        assertTrue(
                spec.allowsZone(machine.zone())
                        && spec.allowsMachineType(machine.machineType().name()),
                "wrong_place: " + task);
        int inZone = 0;
        for (Machine other : places.get()) {
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

    void checkStep(MonotonicTime now) {
        Map<String, Resources> used = new HashMap<>();
        for (Machine machine : places.get()) {
            for (TaskId task : machine.runningTasks()) {
                JobSpec spec = specs.apply(task.jobId());
                used.merge(spec.team(), spec.resourcesPerTask(), Resources::plus);
                assertTrue(
                        !isCancelled(task.jobId())
                                || now.elapsedSince(ends.get(task.jobId()).at())
                                                .compareTo(cancelWithin)
                                        <= 0,
                        "ran_cancelled: " + task);
            }
        }
        used.forEach(
                (team, sum) ->
                        assertTrue(fitsLimit(sum, teams.get(team).limit()), "quota: team " + team));
        if (calmSince != null) {
            unfinished().forEach(id -> checkProgress(id, used, now));
        }
    }

    // ---- once all troubles are over ----

    /** All troubles are over. */
    void beginFaultFreePhase(MonotonicTime now) {
        calmSince = now;
    }

    /** What was accepted and is not known to be over. */
    List<JobId> unfinished() {
        return accepted.keySet().stream().filter(id -> !isReportedEnded(id)).toList();
    }

    private void checkProgress(JobId id, Map<String, Resources> used, MonotonicTime now) {
        MonotonicTime answered = answeredAt.getOrDefault(id, calmSince);
        MonotonicTime since = MonotonicTime.latestOf(answered, calmSince);
        assertTrue(
                now.elapsedSince(since).compareTo(MAX_UNANSWERED) <= 0,
                "forgotten: no answer about " + id);
        if (!hasRoom(specs.apply(id), used)) {
            neglectedSince.remove(id);
            return;
        }
        MonotonicTime neglected = neglectedSince.computeIfAbsent(id, unused -> now);
        assertTrue(
                now.elapsedSince(neglected).compareTo(MAX_NEGLECTED) <= 0,
                "neglected: " + id + " waits beside room for it");
    }

    /**
     * Whether a task of the job, or all of a gang's, waits although machines that fit have room and
     * the team may use it.
     */
    private boolean hasRoom(JobSpec spec, Map<String, Resources> used) {
        Map<String, Integer> zones = new HashMap<>();
        int held = 0;
        int done = 0;
        for (int task = 0; task < spec.taskCount(); task++) {
            done += completed.contains(new TaskId(spec.id(), task)) ? 1 : 0;
        }
        for (Machine machine : places.get()) {
            int here =
                    (int)
                            machine.heldTasks().stream()
                                    .filter(task -> task.jobId().equals(spec.id()))
                                    .count();
            held += here;
            if (here > 0) {
                zones.merge(machine.zone(), here, Integer::sum);
            }
        }
        boolean gang = spec.kind() == JobKind.GANG;
        int needed = gang ? spec.taskCount() : 1;
        if (held + done >= spec.taskCount()
                || gang && held > 0
                || !fitsLimit(
                        used.getOrDefault(spec.team(), Resources.NONE)
                                .plus(spec.resourcesPerTask().times(needed)),
                        teams.get(spec.team()).limit())) {
            return false;
        }
        Map<String, Integer> room = new HashMap<>();
        for (Machine machine : places.get()) {
            boolean elsewhere =
                    spec.requiresSingleZone()
                            && zones.keySet().stream()
                                    .anyMatch(zone -> !zone.equals(machine.zone()));
            if (machine.isReachable()
                    && spec.allowsMachineType(machine.machineType().name())
                    && spec.allowsZone(machine.zone())
                    && !elsewhere) {
                Resources free = machine.machineType().capacity();
                for (TaskId task : machine.heldTasks()) {
                    free = free.minus(specs.apply(task.jobId()).resourcesPerTask());
                }
                int most = spec.maxTasksPerZone() - zones.getOrDefault(machine.zone(), 0);
                room.merge(
                        machine.zone(),
                        spec.resourcesPerTask().maxCopiesIn(free, spec.taskCount()),
                        (one, other) -> Math.min(most, one + other));
                room.computeIfPresent(machine.zone(), (zone, count) -> Math.min(most, count));
            }
        }
        return (spec.requiresSingleZone()
                        ? room.values().stream().mapToInt(Integer::intValue).max().orElse(0)
                        : room.values().stream().mapToInt(Integer::intValue).sum())
                >= needed;
    }

    /**
     * At the end: of what was accepted and is wanted, who was served, by class, team and the
     * largest of each class.
     */
    void checkFairness() {
        Map<String, List<JobId>> groups = new LinkedHashMap<>();
        Map<String, Integer> largest = new HashMap<>();
        List<JobId> wanted =
                accepted.keySet().stream().filter(id -> !cancelAsked.contains(id)).toList();
        wanted.forEach(
                id ->
                        largest.merge(
                                specs.apply(id).jobClass(),
                                specs.apply(id).taskCount(),
                                Math::max));
        for (JobId id : wanted) {
            JobSpec spec = specs.apply(id);
            groups.computeIfAbsent("class " + spec.jobClass(), unused -> new ArrayList<>()).add(id);
            groups.computeIfAbsent("team " + spec.team(), unused -> new ArrayList<>()).add(id);
            if (spec.taskCount() == largest.get(spec.jobClass())) {
                groups.computeIfAbsent("largest of " + spec.jobClass(), unused -> new ArrayList<>())
                        .add(id);
                MonotonicTime from =
                        calmSince == null
                                ? accepted.get(id)
                                : MonotonicTime.latestOf(calmSince, accepted.get(id));
                assertTrue(
                        begunAt.containsKey(id)
                                && begunAt.get(id).isBefore(from.plus(MAX_LARGEST_START)),
                        "the largest have to begin in time: " + id);
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

    private boolean isServed(JobId id) {
        return specs.apply(id).kind() == JobKind.SERVICE
                ? begunAt.containsKey(id)
                : isReportedEnded(id) && ends.get(id).phase() == Phase.DONE;
    }
}
