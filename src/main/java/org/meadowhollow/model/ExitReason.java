package org.meadowhollow.model;

/**
 * The reason for a task's exit, as its worker reported it. {@code WorkerCodec} decodes it from a
 * heartbeat; {@code TaskLifecycle} decides by it whether the task has completed, and whether the
 * exit counts as a failure: {@link #ERROR}, {@link #NO_ROOM} and {@link #UNKNOWN} do, unless the
 * task is being stopped or its job is cancelled.
 *
 * <p>If the job has a {@link SecondaryRecord}, the reason is stored there as the end reason of the
 * attempt, except that {@link #STOPPED} is stored as {@link SecondaryRecord#PREEMPTED_REASON}. The
 * stored name equals the name of the constant. It is compared with stored reasons, but never
 * converted back to a constant.
 */
public enum ExitReason implements StoredWord {
    /** The task completed. */
    DONE("DONE"),
    /** The task was stopped by a command of the controller; stored as a preemption. */
    STOPPED("STOPPED"),
    /** Another task of its gang failed or was lost. */
    PEERS("PEERS"),
    /**
     * The task's gang was not complete on its machines in time, so none of its tasks ran. The
     * controller starts the task again in the same attempt, unless the task is being stopped or its
     * job is cancelled.
     */
    ALONE("ALONE"),
    /**
     * The task failed by itself. Also stands for a missing reason, and for one that this version
     * does not know.
     */
    ERROR("ERROR"),
    /** The machine did not have enough free resources to start the task. */
    NO_ROOM("NO_ROOM"),
    /**
     * The worker reported that something the task needs was still in use. Not counted as a failure.
     */
    BUSY("BUSY"),
    /** The worker does not know the task. */
    UNKNOWN("UNKNOWN");

    private final String storedName;

    ExitReason(String storedName) {
        this.storedName = storedName;
    }

    @Override
    public String storedName() {
        return storedName;
    }
}
