package org.meadowhollow.model;

/** The priority of a job, declared from the highest to the lowest. */
public enum Priority implements StoredWord {
    /** The highest priority. */
    PRODUCTION("PRODUCTION"),
    /** Above {@link #NORMAL}. */
    HIGH("HIGH"),
    /** The priority of ordinary work. */
    NORMAL("NORMAL"),
    /** Best-effort work, whose records are also written last. */
    LOW("LOW");

    private final String storedName;

    Priority(String storedName) {
        this.storedName = storedName;
    }

    @Override
    public String storedName() {
        return storedName;
    }

    /**
     * The priority that a stored name stands for.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Priority fromStoredName(String storedName) {
        return StoredWord.find(values(), storedName);
    }

    /** Whether this priority comes strictly before the other one. */
    public boolean isHigherThan(Priority other) {
        return compareTo(other) < 0;
    }
}
