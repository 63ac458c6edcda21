package org.meadowhollow.model;

/** The reason for a task's exit, as its worker reported it. */
public enum ExitReason implements StoredWord {
    /** The task completed. */
    DONE("DONE"),
    /** The task was stopped by a command of the controller. */
    STOPPED("STOPPED"),
    /** Another task of its gang failed or was lost. */
    PEERS("PEERS"),
    /** The task's gang was not complete on its machines in time, so none of its tasks ran. */
    ALONE("ALONE"),
    /** The task failed by itself. */
    ERROR("ERROR"),
    /** The machine did not have enough free resources to start the task. */
    NO_ROOM("NO_ROOM"),
    /** The worker reported that something the task needs was still in use. */
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
