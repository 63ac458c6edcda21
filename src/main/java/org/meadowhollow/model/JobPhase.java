package org.meadowhollow.model;

/**
 * The lifecycle phase of a job that was submitted through a secondary interface; each of these
 * interfaces maps the phase to terms of its own.
 */
public enum JobPhase implements StoredWord {
    /** Admitted, but not placed on a machine. */
    QUEUED("QUEUED"),
    /** Placed on a machine, which may still be pulling the container image. */
    PREPARING("PREPARING"),
    /** Reported as running by the worker. */
    RUNNING("RUNNING"),
    /** Cancelled by its user while an attempt may still be running. */
    CANCELING("CANCELING"),
    /** Completed. */
    DONE("DONE"),
    /** Cancelled by its user, and no attempt is running. */
    CANCELLED("CANCELLED"),
    /** Out of attempts, the last of which exited with an error of its own. */
    FAILED("FAILED"),
    /** Out of attempts, the last of which was lost with its machine. */
    LOST("LOST"),
    /** Out of attempts, the last of which was preempted or ended with its preempted machine. */
    PREEMPTED("PREEMPTED");

    private final String storedName;

    JobPhase(String storedName) {
        this.storedName = storedName;
    }

    @Override
    public String storedName() {
        return storedName;
    }

    /**
     * The phase that a stored name stands for.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static JobPhase fromStoredName(String storedName) {
        return StoredWord.find(values(), storedName);
    }
}
