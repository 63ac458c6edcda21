package org.meadowhollow.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectRBTreeMap;
import java.util.BitSet;
import java.util.Collection;
import java.util.Set;

/**
 * The leader's state of a live job: its specification, its completed tasks, and the placements of
 * tasks that may be running. Changes of tasks are numbered in the job's {@link TaskShard shards},
 * which track what is persisted. Not thread-safe: guarded by the leader's lock.
 */
public final class Job {
    private final JobSpec spec;
    private final long acceptedAtMillis;
    private final int shardSize;

    /** The shards that have been used, by index. */
    private final Int2ObjectRBTreeMap<TaskShard> shards = new Int2ObjectRBTreeMap<>();

    private final BitSet completedTasks = new BitSet();
    private final Int2ObjectOpenHashMap<Placement> placements = new Int2ObjectOpenHashMap<>();
    private final FailureHistory failures = new FailureHistory();
    private final SecondaryRecord secondaryRecord;
    private Revision recordRevision;
    private boolean isCancelled;
    private boolean isEnded;

    // Counts, so that no caller has to visit all tasks of a job to learn them.
    private int completedTaskCount;
    private int runningTaskCount;
    private int startedTaskCount;
    private int stoppingTaskCount;
    private int shardsWithUnpersistedPlacements;

    private MonotonicTime cancelObservedAt;
    private MonotonicTime pendingSince;
    private MonotonicTime backoffUntil;
    private MonotonicTime lastPreemptionAt;

    /** Creates a job without a secondary record. */
    public Job(JobSpec spec, long acceptedAtMillis, int shardSize, Revision recordRevision) {
        this(spec, acceptedAtMillis, shardSize, recordRevision, null);
    }

    /**
     * Creates a job without placed or completed tasks.
     *
     * @param acceptedAtMillis the wall-clock time at which the job was admitted, in milliseconds
     * @param shardSize the number of tasks in each shard; the last shard can have fewer
     * @param recordRevision the revision of the job's own record
     * @param secondaryRecord the record that a secondary interface keeps for the job, or null
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
    }

    // ---- the job and its record ----

    /** The job's specification, as its user submitted it. */
    public JobSpec spec() {
        return spec;
    }

    /** The job's identifier. */
    public JobId id() {
        return spec.id();
    }

    /** The wall-clock time at which the job was admitted, in milliseconds. */
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

    /** The record that a secondary interface keeps for the job, or null. */
    public SecondaryRecord secondaryRecord() {
        return secondaryRecord;
    }

    // ---- lifecycle ----

    /** The phase that interfaces with a secondary record show to their users. */
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

    /** Whether all tasks are completed; always false for a service. */
    public boolean isComplete() {
        return spec.kind() != JobKind.SERVICE && completedTaskCount == spec.taskCount();
    }

    /** Whether the job has used up the attempts that its user allowed. */
    public boolean hasExhaustedAttempts() {
        return secondaryRecord != null && secondaryRecord.terminalFailure() != null;
    }

    /** Whether the user cancelled the job. */
    public boolean isCancelled() {
        return isCancelled;
    }

    /**
     * Marks the job as cancelled by its user, and {@code now} as the time at which this leader
     * learned of it.
     */
    public void cancel(MonotonicTime now) {
        isCancelled = true;
        cancelObservedAt = now;
    }

    /**
     * The time at which this leader learned of the cancellation, or null if the job is not
     * cancelled.
     */
    public MonotonicTime cancelObservedAt() {
        return cancelObservedAt;
    }

    /** Whether the job's end is persisted. */
    public boolean isEnded() {
        return isEnded;
    }

    /** Records that the job's end is persisted. */
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
        return (spec.taskCount() + shardSize - 1) / shardSize;
    }

    /**
     * The shards that have been used, in their order; callers must not modify the collection.
     * Others have neither a record nor changes.
     */
    public Collection<TaskShard> usedShards() {
        return shards.values();
    }

    /**
     * The shard with an index from 0 to {@link #shardCount} - 1, which is created when first used.
     */
    public TaskShard shard(int index) {
        TaskShard shard = shards.get(index);
        if (shard == null) {
            shard = new TaskShard(this, index);
            shards.put(index, shard);
        }
        return shard;
    }

    /** The shard that a task belongs to. */
    public TaskShard shardOfTask(int task) {
        return shard(task / shardSize);
    }

    // ---- completed tasks ----

    /** Whether a task is completed. */
    public boolean isTaskComplete(int task) {
        return completedTasks.get(task);
    }

    /** The number of completed tasks. */
    public int completedTaskCount() {
        return completedTaskCount;
    }

    /** The indices of the completed tasks; callers must not modify the set. */
    public BitSet completedTasks() {
        return completedTasks;
    }

    /** Records that a task is completed; the caller records the change in the task's shard. */
    public void markTaskComplete(int task) {
        if (!completedTasks.get(task)) {
            completedTasks.set(task);
            completedTaskCount++;
        }
    }

    /** Records that all tasks are completed, as those of a gang are once one of them is. */
    public void markAllTasksComplete() {
        completedTasks.set(0, spec.taskCount());
        completedTaskCount = spec.taskCount();
    }

    /** Restores a range of consecutive completed tasks from a record. */
    public void restoreCompletedTasks(int firstTask, int count) {
        for (int task = firstTask; task < firstTask + count; task++) {
            markTaskComplete(task);
        }
    }

    // ---- placements ----

    /** All placements, in no particular order; callers must not modify them. */
    public Collection<Placement> placements() {
        return placements.values();
    }

    /** The placement of a task, or null. */
    public Placement placement(int task) {
        return placements.get(task);
    }

    /**
     * Whether a task of a gang's current attempt has started to run or is being stopped, so that no
     * further task may join the attempt.
     */
    public boolean hasAttemptStarted() {
        return startedTaskCount > 0 || stoppingTaskCount > 0;
    }

    /** The number of tasks that their workers last reported as running. */
    public int runningTaskCount() {
        return runningTaskCount;
    }

    /** The number of placements that are being stopped. */
    public int stoppingTaskCount() {
        return stoppingTaskCount;
    }

    /** Whether all tasks are placed and all placements persisted. */
    public boolean isWhollyCommitted() {
        return placements.size() == spec.taskCount() && shardsWithUnpersistedPlacements == 0;
    }

    /** Whether a task is neither completed nor placed. */
    public boolean isTaskPending(int task) {
        return task < spec.taskCount()
                && !completedTasks.get(task)
                && !placements.containsKey(task);
    }

    /** The number of tasks that are waiting to be placed. */
    public int pendingTaskCount() {
        return isCancelled || isEnded || hasExhaustedAttempts()
                ? 0
                : spec.taskCount() - completedTaskCount - placements.size();
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

    /** The number of the next attempt of a task that does not belong to a gang. */
    public AttemptNumber nextAttemptNumber(int task) {
        return new AttemptNumber(shardOfTask(task).highestAttempt() + 1);
    }

    /**
     * The attempt number for the unplaced tasks of a gang: that of the current attempt if some of
     * its tasks are placed, otherwise the next unused one.
     */
    public AttemptNumber gangAttemptNumber() {
        if (!placements.isEmpty()) {
            return placements.values().iterator().next().attemptNumber();
        }
        int highest = 0;
        for (TaskShard shard : shards.values()) {
            highest = Math.max(highest, shard.highestAttempt());
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
        shard.recordAttempt(attemptNumber.issuedValue());
        return putPlacement(
                task, attemptNumber, machineId, incarnation, shard.recordPlacement(), now);
    }

    /** Restores a placement that an earlier leader committed. */
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
        Placement replaced = placements.put(task, placement);
        if (replaced != null) {
            uncount(replaced);
        }
        return placement;
    }

    /**
     * Removes a placement whose attempt is proven not to be running any more.
     *
     * @return the number of the change in the task's shard, which must be persisted before the
     *     worker may forget the exit
     */
    public long removePlacement(Placement placement) {
        if (placements.remove(placement.taskId().index(), placement)) {
            uncount(placement);
        }
        return shardOfTask(placement.taskId().index()).recordChange();
    }

    /** Subtracts a placement that was removed from the counts. */
    private void uncount(Placement removed) {
        runningTaskCount -= removed.reportedState() == TaskState.RUNNING ? 1 : 0;
        startedTaskCount -= removed.runningSince() != null ? 1 : 0;
        stoppingTaskCount -= removed.isStopping() ? 1 : 0;
    }

    private boolean isCurrent(Placement placement) {
        return placements.get(placement.taskId().index()) == placement;
    }

    /** Counts a change of the state that a worker reports, before the placement takes it over. */
    void onStateReported(Placement placement, TaskState reported) {
        if (isCurrent(placement)) {
            runningTaskCount += reported == TaskState.RUNNING ? 1 : 0;
            runningTaskCount -= placement.reportedState() == TaskState.RUNNING ? 1 : 0;
            startedTaskCount +=
                    reported == TaskState.RUNNING && placement.runningSince() == null ? 1 : 0;
        }
    }

    /** Counts a placement that is going to be stopped. */
    void onStopRequested(Placement placement) {
        if (isCurrent(placement) && !placement.isStopping()) {
            stoppingTaskCount++;
        }
    }

    /** Counts the shards with placements that are not persisted. */
    void onShardPlacementsChanged(boolean unpersisted) {
        shardsWithUnpersistedPlacements += unpersisted ? 1 : -1;
    }

    // ---- scheduling ----

    /**
     * The time since which the job has been waiting for a placement, or null if it is not waiting.
     */
    public MonotonicTime pendingSince() {
        return pendingSince;
    }

    /**
     * Sets the time since which the job has been waiting for a placement; null if it is not
     * waiting.
     */
    public void pendingSince(MonotonicTime since) {
        pendingSince = since;
    }

    /** The time until which no new attempt is made after failures, or null. */
    public MonotonicTime backoffUntil() {
        return backoffUntil;
    }

    /** Sets the time until which no new attempt is made after failures. */
    public void backoffUntil(MonotonicTime until) {
        backoffUntil = until;
    }

    /** The time at which tasks were last preempted for this job, or null. */
    public MonotonicTime lastPreemptionAt() {
        return lastPreemptionAt;
    }

    /** Records that tasks were preempted for this job at {@code now}. */
    public void lastPreemptionAt(MonotonicTime now) {
        lastPreemptionAt = now;
    }

    // ---- failures ----

    /**
     * Records a failure that a task caused itself, and returns the number of such failures since a
     * task last completed.
     */
    public int recordTaskFailure(MachineId machineId) {
        return failures.record(machineId);
    }

    /**
     * Resets the number of failures and the backoff because a task completed, which shows that
     * earlier failures were not the job's fault.
     */
    public void resetFailures() {
        failures.resetCount();
        backoffUntil = null;
    }

    /**
     * Whether the job itself seems to be at fault: its tasks failed on several machines, and none
     * was ever completed. Only one task of such a job is tried at a time, because all of them would
     * fail in the same way and each would take resources and an image pull from other jobs.
     */
    public boolean isSuspectedFaulty() {
        return failures.suggestsFaultyJob() && completedTasks.isEmpty();
    }

    /** The last few machines on which the job's tasks failed. */
    public Set<MachineId> recentlyFailedMachines() {
        return failures.machines();
    }
}
