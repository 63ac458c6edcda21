package org.meadowhollow.bookkeeping;

import java.util.HashMap;
import java.util.Map;

/** Some tasks of a job, next to each other, whose progress is one record in the state service. */
public final class Chunk {
    private final Job job;
    private final int index;
    private Version version = Version.ABSENT;
    private long changed;
    private long saved;
    private boolean inFlight;
    private int lastAttempt;
    private Map<Integer, OrderLog.Placed> savedPlaced = Map.of();

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

    /**
     * Counts a change that is not in the record yet; the change is saved once {@link #isSaved} says
     * so.
     */
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

    /** Where its tasks are by now. */
    Map<Integer, OrderLog.Placed> placed() {
        Map<Integer, OrderLog.Placed> placed = new HashMap<>();
        for (int task = firstTask(); task < endTask(); task++) {
            Placement placement = job.placement(task);
            if (placement != null) {
                placed.put(task, new OrderLog.Placed(placement.machine(), placement.attempt()));
            }
        }
        return placed;
    }

    /** All that is placed was read from the record. */
    void restored() {
        savedPlaced = placed();
    }

    /** Tells what a record that was written says other than the one before it. */
    void tell(OrderLog order, Version revision, Map<Integer, OrderLog.Placed> now) {
        savedPlaced.forEach(
                (task, was) -> {
                    if (!was.equals(now.get(task))) {
                        order.task(
                                revision,
                                OrderLog.What.GONE,
                                new TaskId(job.id(), task),
                                job.spec().team(),
                                was);
                    }
                });
        now.forEach(
                (task, is) -> {
                    if (!is.equals(savedPlaced.get(task))) {
                        order.task(
                                revision,
                                OrderLog.What.PLACED,
                                new TaskId(job.id(), task),
                                job.spec().team(),
                                is);
                    }
                });
        savedPlaced = now;
    }

    int firstTask() {
        return index * job.chunkSize();
    }

    int endTask() {
        return Math.min(job.spec().tasks(), firstTask() + job.chunkSize());
    }
}
