package org.meadowhollow.model;

/** The way in which the tasks of a job depend on each other at run time. */
public enum JobKind implements StoredWord {
    /** A job array: independent tasks, each of which runs to completion. */
    ARRAY("ARRAY"),
    /** Gang scheduling: all tasks run at the same time or none does. */
    GANG("GANG"),
    /** Replicas that run until the job is cancelled. */
    SERVICE("SERVICE");

    private final String storedName;

    JobKind(String storedName) {
        this.storedName = storedName;
    }

    @Override
    public String storedName() {
        return storedName;
    }

    /**
     * The kind that a stored name stands for.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static JobKind fromStoredName(String storedName) {
        return StoredWord.find(values(), storedName);
    }
}
