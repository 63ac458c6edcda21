package org.meadowhollow.model;

/**
 * An attempt of a task on a machine. The attempt may be running from the commit of its shard's
 * record until it is proven not to be running any more. Not thread-safe: guarded like its job.
 */
public final class Placement {
    private final Job job;
    private final TaskId taskId;
    private final AttemptNumber attemptNumber;
    private final MachineId machineId;
    private final WorkerIncarnation incarnation;
    private final long shardChange;
    private final MonotonicTime placedAt;
    private TaskState reportedState;
    private boolean isStartSent;
    private long startSentSequenceNumber;
    private boolean isStopping;
    private double graceSeconds;
    private MonotonicTime runningSince;

    /**
     * Creates a placement.
     *
     * @param shardChange the number of the change in the task's shard that records the placement
     * @param placedAt the time at which the placement was decided, or restored from a record
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

    /**
     * The incarnation of the worker on which the task was placed; a later incarnation cannot run
     * the attempt.
     */
    public WorkerIncarnation incarnation() {
        return incarnation;
    }

    /** The time at which the placement was decided, or restored from an earlier leader's record. */
    public MonotonicTime placedAt() {
        return placedAt;
    }

    /** Whether the placement is persisted; only then may it be sent to the worker. */
    public boolean isPersisted() {
        return job.shardOfTask(taskId.index()).isPersisted(shardChange);
    }

    /** The state that the worker last reported, or null while it has not reported the task. */
    public TaskState reportedState() {
        return reportedState;
    }

    /** Records the state that the worker reported. */
    public void reportedState(TaskState reported, MonotonicTime now) {
        job.onStateReported(this, reported);
        if (reported == TaskState.RUNNING && runningSince == null) {
            runningSince = now;
        }
        reportedState = reported;
    }

    /** The time at which the task was first reported as running, or null. */
    public MonotonicTime runningSince() {
        return runningSince;
    }

    /**
     * Records that the response to the heartbeat with this sequence number commands the worker to
     * start the task.
     */
    public void recordStartSent(long sequenceNumber) {
        isStartSent = true;
        startSentSequenceNumber = sequenceNumber;
    }

    /**
     * The sequence number of the last heartbeat whose response commanded the start; 0 while this
     * leader has sent none.
     */
    public long startSentSequenceNumber() {
        return startSentSequenceNumber;
    }

    /** Whether this leader has sent a command to start the task. */
    public boolean isStartSent() {
        return isStartSent;
    }

    /**
     * Whether a heartbeat proves that the worker has executed or dropped every start of this
     * placement that any leader has sent. It must carry this leader's fencing token, because a
     * worker that has seen the token rejects the responses of earlier leaders. This leader sends
     * starts only in the responses to the worker's requests, so if it has sent one, only a later
     * request proves it: the response to a direct command may overtake the response that contains
     * the start.
     */
    public boolean isStartSettledBy(Heartbeat heartbeat, FencingToken leaderToken) {
        if (!heartbeat.fencingToken().equals(leaderToken)
                || !heartbeat.incarnation().equals(incarnation)) {
            return false;
        }
        return !isStartSent()
                || (heartbeat.origin() == Heartbeat.Origin.REQUEST
                        && heartbeat.hasNumberAfter(startSentSequenceNumber));
    }

    /** Whether the attempt is being stopped. */
    public boolean isStopping() {
        return isStopping;
    }

    /** The time that the task has to save a checkpoint while it is being stopped, in seconds. */
    public double graceSeconds() {
        return graceSeconds;
    }

    /** Requests a stop; a later request can only shorten the grace period. */
    public void requestStop(double requestedGraceSeconds) {
        job.onStopRequested(this);
        graceSeconds =
                isStopping ? Math.min(graceSeconds, requestedGraceSeconds) : requestedGraceSeconds;
        isStopping = true;
    }
}
