package org.meadowhollow.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.JobEventLog.EventType;
import org.meadowhollow.model.JobEventLog.TaskLocation;

/**
 * A range of consecutive tasks of a job, whose state is stored as one record in the key-value
 * store. Changes of the tasks are numbered in order to track which of them are persisted. Not
 * thread-safe: guarded like its job.
 */
public final class TaskShard {
    /**
     * The change number that stands for everything persisted before this leader loaded the shard.
     */
    static final long PERSISTED_CHANGE = 0;

    private final Job job;
    private final int index;
    private Revision recordRevision = Revision.ABSENT;
    private long latestChange = PERSISTED_CHANGE;
    private long latestPersistedChange = PERSISTED_CHANGE;
    private long latestPlacementChange = PERSISTED_CHANGE;
    private boolean isWriteInFlight;
    private int highestAttempt;
    private Map<Integer, TaskLocation> persistedLocations = Map.of();

    TaskShard(Job job, int index) {
        this.job = job;
        this.index = index;
    }

    /** The job that the tasks belong to. */
    public Job job() {
        return job;
    }

    /** The shard's index among the job's shards, from 0. */
    public int index() {
        return index;
    }

    /** The index of the shard's first task. */
    public int firstTask() {
        return index * job.shardSize();
    }

    /** The index after that of the shard's last task. */
    public int endTaskExclusive() {
        return Math.min(job.spec().taskCount(), firstTask() + job.shardSize());
    }

    // ---- changes ----

    /**
     * Assigns the next number to a change that is not in the record yet.
     *
     * @return the number of the change, to be passed to {@link #isPersisted}
     */
    public long recordChange() {
        return ++latestChange;
    }

    /**
     * Assigns the next number to a change that places a task.
     *
     * @return the number of the change
     */
    long recordPlacement() {
        if (isPersisted(latestPlacementChange)) {
            job.onShardPlacementsChanged(true);
        }
        latestPlacementChange = recordChange();
        return latestPlacementChange;
    }

    /** Whether the change with this number is in the record. */
    public boolean isPersisted(long change) {
        return latestPersistedChange >= change;
    }

    /** Whether there are changes that are not in the record. */
    public boolean isDirty() {
        return latestPersistedChange < latestChange;
    }

    /** The number of the last change. */
    public long latestChange() {
        return latestChange;
    }

    /**
     * Records that the record was written.
     *
     * @param change the number of the last change that is in the record
     * @param revision the revision of the record
     */
    public void markPersisted(long change, Revision revision) {
        boolean hadUnpersistedPlacements = !isPersisted(latestPlacementChange);
        latestPersistedChange = Math.max(latestPersistedChange, change);
        if (hadUnpersistedPlacements && isPersisted(latestPlacementChange)) {
            job.onShardPlacementsChanged(false);
        }
        recordRevision = revision;
    }

    // ---- the record ----

    /** Whether the shard has a record in the key-value store, as far as this leader knows. */
    public boolean hasRecord() {
        return !recordRevision.equals(Revision.ABSENT);
    }

    /** The revision of the record, or {@link Revision#ABSENT} while there is none. */
    public Revision recordRevision() {
        return recordRevision;
    }

    /** Sets the revision of the record to the one that was read. */
    public void adoptRevision(Revision current) {
        recordRevision = current;
    }

    /** Whether a write or read of the record is in flight; only one request at a time writes it. */
    public boolean isWriteInFlight() {
        return isWriteInFlight;
    }

    /** Sets whether a write or read of the record is in flight. */
    public void setWriteInFlight(boolean inFlight) {
        isWriteInFlight = inFlight;
    }

    // ---- placements and attempts ----

    /** The placements of the shard's tasks, in the order of the tasks. */
    public List<Placement> placements() {
        List<Placement> placements = new ArrayList<>();
        for (int task = firstTask(); task < endTaskExclusive(); task++) {
            Placement placement = job.placement(task);
            if (placement != null) {
                placements.add(placement);
            }
        }
        return placements;
    }

    /** The highest attempt number that any task of the shard was given; 0 if none was. */
    public int highestAttempt() {
        return highestAttempt;
    }

    /** Records that a task of the shard was given an attempt number. */
    public void recordAttempt(int attempt) {
        highestAttempt = Math.max(highestAttempt, attempt);
    }

    // ---- locations, for the event log ----

    /** The current locations of the placed tasks, by task index. */
    public Map<Integer, TaskLocation> currentLocations() {
        Map<Integer, TaskLocation> locations = new HashMap<>();
        for (Placement placement : placements()) {
            locations.put(
                    placement.taskId().index(),
                    new TaskLocation(placement.machineId(), placement.attemptNumber()));
        }
        return locations;
    }

    /**
     * Marks the current locations as persisted, after all placements were restored from the record.
     */
    public void markLocationsPersisted() {
        persistedLocations = currentLocations();
    }

    /**
     * Logs the differences between the locations in a record that was written and those in the one
     * before it.
     *
     * @param revision the revision of the record
     * @param locations the locations of the placed tasks according to the record, by task index
     */
    public void logLocationChanges(
            JobEventLog eventLog, Revision revision, Map<Integer, TaskLocation> locations) {
        persistedLocations.forEach(
                (task, location) -> {
                    if (!location.equals(locations.get(task))) {
                        logTaskEvent(eventLog, revision, EventType.GONE, task, location);
                    }
                });
        locations.forEach(
                (task, location) -> {
                    if (!location.equals(persistedLocations.get(task))) {
                        logTaskEvent(eventLog, revision, EventType.PLACED, task, location);
                    }
                });
        persistedLocations = locations;
    }

    private void logTaskEvent(
            JobEventLog eventLog,
            Revision revision,
            EventType eventType,
            int task,
            TaskLocation location) {
        eventLog.logTaskEvent(
                revision, eventType, new TaskId(job.id(), task), job.spec().team(), location);
    }
}
