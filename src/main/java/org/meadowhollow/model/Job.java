package org.meadowhollow.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/** A live job as the leader keeps it. */
public final class Job {
    private final JobSpec spec;
    private final long acceptedAtMillis;
    private final int shardSize;
    private final TaskShard[] shards;
    private final BitSet completedTasks = new BitSet();
    private final Int2ObjectOpenHashMap<Placement> placements = new Int2ObjectOpenHashMap<>();
    private Revision recordRevision;
    private boolean isCancelled;
    private boolean isEnded;
    private MonotonicTime cancelObservedAt;
    private MonotonicTime pendingSince;
    private MonotonicTime backoffUntil;
    private MonotonicTime lastPreemptionAt;

    /**
     * Failures of different tasks, or of one again and again, after which a job is tried with one
     * task.
     */
    private static final int FAILURES_BEFORE_SUSPECTED = 3;

    private static final int MAX_RECENTLY_FAILED_MACHINES = 8;
    private int consecutiveFailures;
    private final Set<MachineId> recentlyFailedMachines = new LinkedHashSet<>();
    private final SecondaryRecord secondaryRecord;

    public Job(JobSpec spec, long acceptedAtMillis, int chunkSize, Revision revision) {
        this(spec, acceptedAtMillis, chunkSize, revision, null);
    }

    /**
     * @param secondaryRecord what another interface keeps beside the job, or null
     */
    public Job(
            JobSpec spec,
            long acceptedAtMillis,
            int chunkSize,
            Revision revision,
            SecondaryRecord secondaryRecord) {
        this.secondaryRecord = secondaryRecord;
        this.spec = spec;
        this.acceptedAtMillis = acceptedAtMillis;
        this.shardSize = chunkSize;
        this.recordRevision = revision;
        this.shards = new TaskShard[(spec.taskCount() + chunkSize - 1) / chunkSize];
    }

    /** What another interface keeps beside the job, or null. */
    public SecondaryRecord secondaryRecord() {
        return secondaryRecord;
    }

    /** Whether the job has used up the attempts that its user allowed. */
    public boolean hasExhaustedAttempts() {
        return secondaryRecord != null && secondaryRecord.terminalFailure() != null;
    }

    /** How far the job has come. */
    public JobPhase phase() {
        if (isComplete()) {
            return JobPhase.DONE;
        }
        if (isCancelled) {
            return placements.isEmpty() ? JobPhase.CANCELLED : JobPhase.CANCELING;
        }
        if (placements.isEmpty()) {
            return hasExhaustedAttempts() ? secondaryRecord.terminalFailure() : JobPhase.QUEUED;
        }
        return placements.values().iterator().next().runningSince() != null
                ? JobPhase.RUNNING
                : JobPhase.PREPARING;
    }

    public JobSpec spec() {
        return spec;
    }

    public JobId id() {
        return spec.id();
    }

    public long acceptedAtMillis() {
        return acceptedAtMillis;
    }

    public int shardSize() {
        return shardSize;
    }

    public Revision recordRevision() {
        return recordRevision;
    }

    public void recordRevision(Revision now) {
        recordRevision = now;
    }

    public boolean isCancelled() {
        return isCancelled;
    }

    public void cancel(MonotonicTime now) {
        isCancelled = true;
        cancelObservedAt = now;
    }

    public MonotonicTime cancelObservedAt() {
        return cancelObservedAt;
    }

    /** Whether the job's end is in the state service. */
    public boolean isEnded() {
        return isEnded;
    }

    public void markEnded() {
        isEnded = true;
    }

    public TaskShard shard(int index) {
        if (shards[index] == null) {
            shards[index] = new TaskShard(this, index);
        }
        return shards[index];
    }

    public int shardCount() {
        return shards.length;
    }

    public boolean hasPersistedShard(int index) {
        return shards[index] != null && !shards[index].recordRevision().equals(Revision.ABSENT);
    }

    public TaskShard shardOfTask(int task) {
        return shard(task / shardSize);
    }

    public boolean isTaskComplete(int task) {
        return completedTasks.get(task);
    }

    public boolean isComplete() {
        return spec.kind() != JobKind.SERVICE && completedTasks.cardinality() == spec.taskCount();
    }

    public int completedTaskCount() {
        return completedTasks.cardinality();
    }

    public Collection<Placement> placements() {
        return placements.values();
    }

    /**
     * Whether a gang's attempt has run or is being stopped, so that it cannot be completed any
     * more.
     */
    public boolean hasAttemptStarted() {
        for (Placement placement : placements.values()) {
            if (placement.runningSince() != null || placement.isStopping()) {
                return true;
            }
        }
        return false;
    }

    public Placement placement(int task) {
        return placements.get(task);
    }

    /** The first task from {@code from} on that is neither done nor placed, or -1. */
    public int nextPendingTask(int from) {
        if (hasExhaustedAttempts()) {
            return -1;
        }
        for (int task = completedTasks.nextClearBit(from);
                task < spec.taskCount();
                task = completedTasks.nextClearBit(task + 1)) {
            if (!placements.containsKey(task)) {
                return task;
            }
        }
        return -1;
    }

    public int pendingTaskCount() {
        return isCancelled || isEnded || hasExhaustedAttempts()
                ? 0
                : spec.taskCount() - completedTasks.cardinality() - placements.size();
    }

    /** The number for the next attempt of a task. */
    public AttemptNumber nextAttemptNumber(int task) {
        return new AttemptNumber(shardOfTask(task).highestAttempt() + 1);
    }

    /**
     * The number for the tasks of a gang: that of the attempt which they complete, or else the next
     * one.
     */
    public AttemptNumber gangAttemptNumber() {
        if (!placements.isEmpty()) {
            return placements.values().iterator().next().attemptNumber();
        }
        int last = 0;
        for (TaskShard taskShard : shards) {
            last = Math.max(last, taskShard == null ? 0 : taskShard.highestAttempt());
        }
        return new AttemptNumber(last + 1);
    }

    public Placement addPlacement(
            int task,
            AttemptNumber attemptNumber,
            MachineId machine,
            WorkerIncarnation workerIncarnation,
            MonotonicTime now) {
        TaskShard taskShard = shardOfTask(task);
        taskShard.recordAttempt(attemptNumber.value());
        Placement placement =
                new Placement(
                        this,
                        new TaskId(id(), task),
                        attemptNumber,
                        machine,
                        workerIncarnation,
                        taskShard.recordChange(),
                        now);
        placements.put(task, placement);
        return placement;
    }

    /** Takes in a placement that a predecessor committed. */
    public Placement restorePlacement(
            int task,
            AttemptNumber attemptNumber,
            MachineId machine,
            WorkerIncarnation workerIncarnation,
            MonotonicTime now) {
        Placement placement =
                new Placement(
                        this,
                        new TaskId(id(), task),
                        attemptNumber,
                        machine,
                        workerIncarnation,
                        0,
                        now);
        placements.put(task, placement);
        return placement;
    }

    /**
     * Removes a placement that is proven gone; the returned change must be saved before it is
     * forgotten.
     */
    public long removePlacement(Placement placement) {
        placements.remove(placement.taskId().index(), placement);
        return shardOfTask(placement.taskId().index()).recordChange();
    }

    public void markTaskComplete(int task) {
        completedTasks.set(task);
    }

    public void restoreCompletedTasks(int from, int count) {
        completedTasks.set(from, from + count);
    }

    public BitSet completedTasks() {
        return completedTasks;
    }

    public MonotonicTime pendingSince() {
        return pendingSince;
    }

    public void pendingSince(MonotonicTime since) {
        pendingSince = since;
    }

    /** Until when no new attempt is made after failures; null for no such time. */
    public MonotonicTime backoffUntil() {
        return backoffUntil;
    }

    public void backoffUntil(MonotonicTime until) {
        backoffUntil = until;
    }

    /** When others were last stopped for this job, or null. */
    public MonotonicTime lastPreemptionAt() {
        return lastPreemptionAt;
    }

    public void lastPreemptionAt(MonotonicTime at) {
        lastPreemptionAt = at;
    }

    /** Counts a task's own failure and says how many there were since one was done. */
    public int recordTaskFailure(MachineId machine) {
        recentlyFailedMachines.add(machine);
        if (recentlyFailedMachines.size() > MAX_RECENTLY_FAILED_MACHINES) {
            recentlyFailedMachines.remove(recentlyFailedMachines.iterator().next());
        }
        return ++consecutiveFailures;
    }

    /** A task was done, so what failed before was not the job's fault. */
    public void resetFailures() {
        consecutiveFailures = 0;
        backoffUntil = null;
    }

    /**
     * Whether the job itself seems to be the mistake: its tasks failed on several machines, and
     * none was done. Then one task alone tries, for all would fail alike, each on a place and with
     * a fetch that others could have.
     */
    public boolean isSuspectedFaulty() {
        return consecutiveFailures >= FAILURES_BEFORE_SUSPECTED
                && recentlyFailedMachines.size() > 1
                && completedTasks.isEmpty();
    }

    /** Machines on which its tasks failed, the latest few. */
    public Set<MachineId> recentlyFailedMachines() {
        return recentlyFailedMachines;
    }
}
