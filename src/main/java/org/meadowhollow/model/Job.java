package org.meadowhollow.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.Collection;
import java.util.Set;

/**
 * A live job as the leader keeps it: the specification, which tasks are completed, and which may be
 * running where. Changes of tasks are counted in the job's {@link TaskShard shards} until they are
 * persisted. Not thread-safe: its leader guards it.
 */
public final class Job {
    private final JobSpec spec;
    private final long acceptedAtMillis;
    private final int shardSize;
    private final TaskShard[] shards;
    private final BitSet completedTasks = new BitSet();
    private final Int2ObjectOpenHashMap<Placement> placements = new Int2ObjectOpenHashMap<>();
    private final FailureHistory failures = new FailureHistory();
    private final SecondaryRecord secondaryRecord;
    private Revision recordRevision;
    private boolean isCancelled;
    private boolean isEnded;
    private MonotonicTime cancelObservedAt;
    private MonotonicTime pendingSince;
    private MonotonicTime backoffUntil;
    private MonotonicTime lastPreemptionAt;

    /** Creates a job without a secondary record. */
    public Job(JobSpec spec, long acceptedAtMillis, int shardSize, Revision recordRevision) {
        this(spec, acceptedAtMillis, shardSize, recordRevision, null);
    }

    /**
     * Creates a job none of whose tasks is placed or completed.
     *
     * @param acceptedAtMillis when the job was admitted, in milliseconds of wall-clock time
     * @param shardSize tasks in each shard; the last shard can have fewer
     * @param recordRevision of the job's own record
     * @param secondaryRecord what another interface keeps beside the job, or null
     */
    public Job(
            JobSpec spec,
            long acceptedAtMillis,
            int shardSize,
            Revision recordRevision,
            SecondaryRecord secondaryRecord) {
        this.secondaryRecord = secondaryRecord;
        this.spec = spec;
        this.acceptedAtMillis = acceptedAtMillis;
        this.shardSize = shardSize;
        this.recordRevision = recordRevision;
        this.shards = new TaskShard[(spec.taskCount() + shardSize - 1) / shardSize];
    }

    // ---- the job and its record ----

    /** What the user asked for. */
    public JobSpec spec() {
        return spec;
    }

    /** The job's identifier. */
    public JobId id() {
        return spec.id();
    }

    /** When the job was admitted, in milliseconds of wall-clock time. */
    public long acceptedAtMillis() {
        return acceptedAtMillis;
    }

    /** The revision of the job's own record, as this leader last saw it. */
    public Revision recordRevision() {
        return recordRevision;
    }

    /** Sets the revision of the job's own record. */
    public void recordRevision(Revision current) {
        recordRevision = current;
    }

    /** What another interface keeps beside the job, or null. */
    public SecondaryRecord secondaryRecord() {
        return secondaryRecord;
    }

    // ---- life cycle ----

    /** The phase that interfaces with a secondary record show. */
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

    /** Whether all tasks are completed; never so for a service. */
    public boolean isComplete() {
        return spec.kind() != JobKind.SERVICE && completedTasks.cardinality() == spec.taskCount();
    }

    /** Whether the job has used up the attempts that its user allowed. */
    public boolean hasExhaustedAttempts() {
        return secondaryRecord != null && secondaryRecord.terminalFailure() != null;
    }

    /** Whether the user cancelled the job. */
    public boolean isCancelled() {
        return isCancelled;
    }

    /** Notes that the user cancelled the job and that this leader learned of it now. */
    public void cancel(MonotonicTime now) {
        isCancelled = true;
        cancelObservedAt = now;
    }

    /** When this leader learned of the cancellation, or null while the job is not cancelled. */
    public MonotonicTime cancelObservedAt() {
        return cancelObservedAt;
    }

    /** Whether the job's end is persisted. */
    public boolean isEnded() {
        return isEnded;
    }

    /** Notes that the job's end is persisted. */
    public void markEnded() {
        isEnded = true;
    }

    // ---- shards ----

    /** The number of tasks in each shard; the last shard can have fewer. */
    public int shardSize() {
        return shardSize;
    }

    /** The number of shards. */
    public int shardCount() {
        return shards.length;
    }

    /** The shard with an index from 0 to {@link #shardCount} - 1; created when first used. */
    public TaskShard shard(int index) {
        if (shards[index] == null) {
            shards[index] = new TaskShard(this, index);
        }
        return shards[index];
    }

    /** The shard that a task belongs to. */
    public TaskShard shardOfTask(int task) {
        return shard(task / shardSize);
    }

    /** Whether a shard has a record in the key-value store, as far as this leader knows. */
    public boolean hasPersistedShard(int index) {
        return shards[index] != null && !shards[index].recordRevision().equals(Revision.ABSENT);
    }

    // ---- completed tasks ----

    /** Whether a task is completed. */
    public boolean isTaskComplete(int task) {
        return completedTasks.get(task);
    }

    /** The number of completed tasks. */
    public int completedTaskCount() {
        return completedTasks.cardinality();
    }

    /** The completed tasks; not to be changed by callers. */
    public BitSet completedTasks() {
        return completedTasks;
    }

    /** Notes that a task is completed; the caller counts the change in the task's shard. */
    public void markTaskComplete(int task) {
        completedTasks.set(task);
    }

    /** Restores a run of completed tasks from a record. */
    public void restoreCompletedTasks(int firstTask, int count) {
        completedTasks.set(firstTask, firstTask + count);
    }

    // ---- placements ----

    /** All placements, in no particular order; not to be changed by callers. */
    public Collection<Placement> placements() {
        return placements.values();
    }

    /** The placement of a task, or null. */
    public Placement placement(int task) {
        return placements.get(task);
    }

    /** Whether an attempt of a gang has run or is being stopped and so cannot be completed. */
    public boolean hasAttemptStarted() {
        for (Placement placement : placements.values()) {
            if (placement.runningSince() != null || placement.isStopping()) {
                return true;
            }
        }
        return false;
    }

    /** The number of tasks that wait to be placed. */
    public int pendingTaskCount() {
        return isCancelled || isEnded || hasExhaustedAttempts()
                ? 0
                : spec.taskCount() - completedTasks.cardinality() - placements.size();
    }

    /** The first task from {@code from} on that is neither completed nor placed, or -1. */
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

    /** The number for the next attempt of a task that is in no gang. */
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
        int highest = 0;
        for (TaskShard shard : shards) {
            highest = Math.max(highest, shard == null ? 0 : shard.highestAttempt());
        }
        return new AttemptNumber(highest + 1);
    }

    /** Places a task; the placement is committed once its shard is persisted. */
    public Placement addPlacement(
            int task,
            AttemptNumber attemptNumber,
            MachineId machineId,
            WorkerIncarnation incarnation,
            MonotonicTime now) {
        TaskShard shard = shardOfTask(task);
        shard.recordAttempt(attemptNumber.value());
        return putPlacement(task, attemptNumber, machineId, incarnation, shard.recordChange(), now);
    }

    /** Restores a placement that a predecessor committed. */
    public Placement restorePlacement(
            int task,
            AttemptNumber attemptNumber,
            MachineId machineId,
            WorkerIncarnation incarnation,
            MonotonicTime now) {
        return putPlacement(
                task, attemptNumber, machineId, incarnation, TaskShard.PERSISTED_CHANGE, now);
    }

    private Placement putPlacement(
            int task,
            AttemptNumber attemptNumber,
            MachineId machineId,
            WorkerIncarnation incarnation,
            long shardChange,
            MonotonicTime now) {
        Placement placement =
                new Placement(
                        this,
                        new TaskId(id(), task),
                        attemptNumber,
                        machineId,
                        incarnation,
                        shardChange,
                        now);
        placements.put(task, placement);
        return placement;
    }

    /**
     * Removes a placement that is proven not to be running any more.
     *
     * @return the change of the task's shard, which must be persisted before the worker may forget
     *     the exit
     */
    public long removePlacement(Placement placement) {
        placements.remove(placement.taskId().index(), placement);
        return shardOfTask(placement.taskId().index()).recordChange();
    }

    // ---- scheduling ----

    /** Since when the job waits for a placement, or null. */
    public MonotonicTime pendingSince() {
        return pendingSince;
    }

    /** Sets since when the job waits for a placement; null if it does not. */
    public void pendingSince(MonotonicTime since) {
        pendingSince = since;
    }

    /** Until when no new attempt is made after failures, or null. */
    public MonotonicTime backoffUntil() {
        return backoffUntil;
    }

    /** Sets until when no new attempt is made after failures. */
    public void backoffUntil(MonotonicTime until) {
        backoffUntil = until;
    }

    /** When tasks were last preempted for this job, or null. */
    public MonotonicTime lastPreemptionAt() {
        return lastPreemptionAt;
    }

    /** Notes that tasks were preempted for this job. */
    public void lastPreemptionAt(MonotonicTime now) {
        lastPreemptionAt = now;
    }

    // ---- failures ----

    /** Counts a task's own failure and returns how many there were since a task last completed. */
    public int recordTaskFailure(MachineId machineId) {
        return failures.record(machineId);
    }

    /** A task completed, so earlier failures were not the job's fault. */
    public void resetFailures() {
        failures.resetCount();
        backoffUntil = null;
    }

    /**
     * Whether the job itself seems to be at fault: its tasks failed on several machines, and none
     * was ever completed. Then a single task is tried at a time, for all would fail alike, and each
     * would take resources and an image pull from other jobs.
     */
    public boolean isSuspectedFaulty() {
        return failures.suggestsFaultyJob() && completedTasks.isEmpty();
    }

    /** The last few machines on which the job's tasks failed. */
    public Set<MachineId> recentlyFailedMachines() {
        return failures.machines();
    }
}
