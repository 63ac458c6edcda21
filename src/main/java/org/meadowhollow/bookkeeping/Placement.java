package org.meadowhollow.bookkeeping;

/**
 * An attempt of a task on a machine: it may be running from its record's commit until proven gone.
 */
public final class Placement {
    private final Job job;
    private final TaskId task;
    private final Attempt attempt;
    private final MachineId machine;
    private final Session session;
    private final long change;
    private final Moment since;
    private TaskState state;
    private long startSentSeq = -1;
    private boolean stopping;
    private double graceS;
    private Moment runningSince;

    Placement(
            Job job,
            TaskId task,
            Attempt attempt,
            MachineId machine,
            Session session,
            long change,
            Moment since) {
        this.job = job;
        this.task = task;
        this.attempt = attempt;
        this.machine = machine;
        this.session = session;
        this.change = change;
        this.since = since;
    }

    public Job job() {
        return job;
    }

    public TaskId task() {
        return task;
    }

    public Attempt attempt() {
        return attempt;
    }

    public MachineId machine() {
        return machine;
    }

    public Session session() {
        return session;
    }

    /** When it was decided, or taken over from a predecessor. */
    public Moment since() {
        return since;
    }

    public boolean committed() {
        return job.chunkOf(task.index()).isSaved(change);
    }

    /** The last state that the worker reported, or null while it has not reported the task. */
    public TaskState state() {
        return state;
    }

    public void state(TaskState reported, Moment now) {
        if (reported == TaskState.RUNNING && runningSince == null) {
            runningSince = now;
        }
        state = reported;
    }

    /** When the task was first reported running, or null. */
    public Moment runningSince() {
        return runningSince;
    }

    /** Notes that the answer to the report with this number tells the worker to start the task. */
    public void startSent(long seq) {
        startSentSeq = seq;
    }

    /** Number of the last report whose answer held the start, or -1 while this leader sent none. */
    public long startSentSeq() {
        return startSentSeq;
    }

    public boolean stopping() {
        return stopping;
    }

    public double graceS() {
        return graceS;
    }

    /** Asks for a stop; a later call can only shorten the time to save. */
    public void stop(double grace) {
        graceS = stopping ? Math.min(graceS, grace) : grace;
        stopping = true;
    }
}
