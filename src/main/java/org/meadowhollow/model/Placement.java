package org.meadowhollow.model;

/**
 * An attempt of a task on a machine. It may be running from the commit of its shard's record until
 * it is proven that it is not. Not thread-safe: guarded like its job.
 */
public final class Placement {
    /** The sequence number while this leader has sent no start. */
    private static final long NO_START_SENT = -1;

    private final Job job;
    private final TaskId taskId;
    private final AttemptNumber attemptNumber;
    private final MachineId machineId;
    private final WorkerIncarnation incarnation;
    private final long shardChange;
    private final MonotonicTime placedAt;
    private TaskState reportedState;
    private long startSentSequenceNumber = NO_START_SENT;
    private boolean isStopping;
    private double graceSeconds;
    private MonotonicTime runningSince;

    /**
     * Creates a placement.
     *
     * @param shardChange the change of the task's shard that holds the placement
     * @param placedAt when it was decided, or restored from a record
     */
    Placement(
            Job job,
            TaskId taskId,
            AttemptNumber attemptNumber,
            MachineId machineId,
            WorkerIncarnation incarnation,
            long shardChange,
            MonotonicTime placedAt) {
        this.job = job;
        this.taskId = taskId;
        this.attemptNumber = attemptNumber;
        this.machineId = machineId;
        this.incarnation = incarnation;
        this.shardChange = shardChange;
        this.placedAt = placedAt;
    }

    /** The job that the task belongs to. */
    public Job job() {
        return job;
    }

    /** The task that is placed. */
    public TaskId taskId() {
        return taskId;
    }

    /** The number of the attempt; all tasks of a gang's attempt share it. */
    public AttemptNumber attemptNumber() {
        return attemptNumber;
    }

    /** The machine that the task is placed on. */
    public MachineId machineId() {
        return machineId;
    }

    /** The worker's incarnation that the task was placed on; a later one cannot run it. */
    public WorkerIncarnation incarnation() {
        return incarnation;
    }

    /** When the placement was decided, or restored from a predecessor's record. */
    public MonotonicTime placedAt() {
        return placedAt;
    }

    /** Whether the placement is persisted; only then may the worker be told of it. */
    public boolean isCommitted() {
        return job.shardOfTask(taskId.index()).isPersisted(shardChange);
    }

    /** The state that the worker last reported, or null while it has not reported the task. */
    public TaskState reportedState() {
        return reportedState;
    }

    /** Notes the state that the worker reported. */
    public void reportedState(TaskState reported, MonotonicTime now) {
        if (reported == TaskState.RUNNING && runningSince == null) {
            runningSince = now;
        }
        reportedState = reported;
    }

    /** When the task was first reported as running, or null. */
    public MonotonicTime runningSince() {
        return runningSince;
    }

    /**
     * Notes that the response to the heartbeat with this sequence number commands the worker to
     * start the task.
     */
    public void recordStartSent(long sequenceNumber) {
        startSentSequenceNumber = sequenceNumber;
    }

    /**
     * The sequence number of the last heartbeat whose response commanded the start, or -1 while
     * this leader has sent none.
     */
    public long startSentSequenceNumber() {
        return startSentSequenceNumber;
    }

    /** Whether the attempt is being stopped. */
    public boolean isStopping() {
        return isStopping;
    }

    /** How long the task may take to save a checkpoint while it is being stopped, in seconds. */
    public double graceSeconds() {
        return graceSeconds;
    }

    /** Requests a stop; a later request can only shorten the grace period. */
    public void requestStop(double requestedGraceSeconds) {
        graceSeconds =
                isStopping ? Math.min(graceSeconds, requestedGraceSeconds) : requestedGraceSeconds;
        isStopping = true;
    }
}
