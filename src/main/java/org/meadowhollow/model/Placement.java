package org.meadowhollow.model;

/**
 * An attempt of a task on a machine: it may be running from its record's commit until proven gone.
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
    private long startSentSequenceNumber = -1;
    private boolean isStopping;
    private double graceSeconds;
    private MonotonicTime runningSince;

    Placement(
            Job job,
            TaskId task,
            AttemptNumber attemptNumber,
            MachineId machine,
            WorkerIncarnation workerIncarnation,
            long change,
            MonotonicTime since) {
        this.job = job;
        this.taskId = task;
        this.attemptNumber = attemptNumber;
        this.machineId = machine;
        this.incarnation = workerIncarnation;
        this.shardChange = change;
        this.placedAt = since;
    }

    public Job job() {
        return job;
    }

    public TaskId taskId() {
        return taskId;
    }

    public AttemptNumber attemptNumber() {
        return attemptNumber;
    }

    public MachineId machineId() {
        return machineId;
    }

    public WorkerIncarnation incarnation() {
        return incarnation;
    }

    /** When it was decided, or taken over from a predecessor. */
    public MonotonicTime placedAt() {
        return placedAt;
    }

    public boolean isCommitted() {
        return job.shardOfTask(taskId.index()).isPersisted(shardChange);
    }

    /** The last state that the worker reported, or null while it has not reported the task. */
    public TaskState reportedState() {
        return reportedState;
    }

    public void reportedState(TaskState reported, MonotonicTime now) {
        if (reported == TaskState.RUNNING && runningSince == null) {
            runningSince = now;
        }
        reportedState = reported;
    }

    /** When the task was first reported running, or null. */
    public MonotonicTime runningSince() {
        return runningSince;
    }

    /** Notes that the answer to the report with this number tells the worker to start the task. */
    public void recordStartSent(long seq) {
        startSentSequenceNumber = seq;
    }

    /** Number of the last report whose answer held the start, or -1 while this leader sent none. */
    public long startSentSequenceNumber() {
        return startSentSequenceNumber;
    }

    public boolean isStopping() {
        return isStopping;
    }

    public double graceSeconds() {
        return graceSeconds;
    }

    /** Asks for a stop; a later call can only shorten the time to save. */
    public void requestStop(double grace) {
        graceSeconds = isStopping ? Math.min(graceSeconds, grace) : grace;
        isStopping = true;
    }
}
