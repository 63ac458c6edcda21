package org.meadowhollow.bookkeeping;

/** Some tasks of a job, next to each other, whose progress is one record in the state service. */
public final class Chunk {
    private final Job job;
    private final int index;
    private Version version = Version.ABSENT;
    private long changed;
    private long saved;
    private boolean inFlight;
    private int lastAttempt;

    Chunk(Job job, int index) {
        this.job = job;
        this.index = index;
    }

    public Job job() {
        return job;
    }

    public int index() {
        return index;
    }

    /** Counts a change that is not in the record yet; the change is saved once {@link #isSaved} says so. */
    public long touch() {
        return ++changed;
    }

    public boolean isSaved(long change) {
        return saved >= change;
    }

    public boolean isDirty() {
        return saved < changed;
    }

    long changed() {
        return changed;
    }

    void saved(long change, Version now) {
        saved = Math.max(saved, change);
        version = now;
    }

    void adopt(Version found) {
        version = found;
    }

    Version version() {
        return version;
    }

    boolean inFlight() {
        return inFlight;
    }

    void inFlight(boolean now) {
        inFlight = now;
    }

    public int lastAttempt() {
        return lastAttempt;
    }

    void attempted(int attempt) {
        lastAttempt = Math.max(lastAttempt, attempt);
    }

    int firstTask() {
        return index * job.chunkSize();
    }

    int endTask() {
        return Math.min(job.spec().tasks(), firstTask() + job.chunkSize());
    }
}
