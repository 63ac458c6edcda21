package org.meadowhollow.model;

import java.util.HashMap;
import java.util.Map;

/** Some tasks of a job, next to each other, whose progress is one record in the state service. */
public final class TaskShard {
    private final Job job;
    private final int index;
    private Revision recordRevision = Revision.ABSENT;
    private long latestChange;
    private long persisted;
    private boolean inFlight;
    private int highestAttempt;
    private Map<Integer, JobEventLog.TaskLocation> persistedLocations = Map.of();

    TaskShard(Job job, int index) {
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
     * Counts a change that is not in the record yet; the change is saved once {@link #isPersisted}
     * says so.
     */
    public long recordChange() {
        return ++latestChange;
    }

    public boolean isPersisted(long change) {
        return persisted >= change;
    }

    public boolean isDirty() {
        return persisted < latestChange;
    }

    public long latestChange() {
        return latestChange;
    }

    public void persisted(long change, Revision now) {
        persisted = Math.max(persisted, change);
        recordRevision = now;
    }

    public void adoptRevision(Revision found) {
        recordRevision = found;
    }

    public Revision recordRevision() {
        return recordRevision;
    }

    public boolean inFlight() {
        return inFlight;
    }

    public void inFlight(boolean now) {
        inFlight = now;
    }

    public int highestAttempt() {
        return highestAttempt;
    }

    public void recordAttempt(int attempt) {
        highestAttempt = Math.max(highestAttempt, attempt);
    }

    /** Where its tasks are by now. */
    public Map<Integer, JobEventLog.TaskLocation> currentLocations() {
        Map<Integer, JobEventLog.TaskLocation> placed = new HashMap<>();
        for (int task = firstTask(); task < endTaskExclusive(); task++) {
            Placement placement = job.placement(task);
            if (placement != null) {
                placed.put(
                        task,
                        new JobEventLog.TaskLocation(
                                placement.machineId(), placement.attemptNumber()));
            }
        }
        return placed;
    }

    /** All that is placed was read from the record. */
    public void markLocationsPersisted() {
        persistedLocations = currentLocations();
    }

    /** Tells what a record that was written says other than the one before it. */
    public void logLocationChanges(
            JobEventLog order, Revision revision, Map<Integer, JobEventLog.TaskLocation> now) {
        persistedLocations.forEach(
                (task, was) -> {
                    if (!was.equals(now.get(task))) {
                        order.logTaskEvent(
                                revision,
                                JobEventLog.EventType.GONE,
                                new TaskId(job.id(), task),
                                job.spec().team(),
                                was);
                    }
                });
        now.forEach(
                (task, is) -> {
                    if (!is.equals(persistedLocations.get(task))) {
                        order.logTaskEvent(
                                revision,
                                JobEventLog.EventType.PLACED,
                                new TaskId(job.id(), task),
                                job.spec().team(),
                                is);
                    }
                });
        persistedLocations = now;
    }

    public int firstTask() {
        return index * job.shardSize();
    }

    public int endTaskExclusive() {
        return Math.min(job.spec().taskCount(), firstTask() + job.shardSize());
    }
}
