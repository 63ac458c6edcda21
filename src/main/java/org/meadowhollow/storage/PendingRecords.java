package org.meadowhollow.storage;

import java.util.LinkedHashSet;
import java.util.Set;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.TaskShard;

/**
 * The records that a leader still has to write: those of shards with unpersisted changes and of
 * ended jobs, each in the order in which they were added. Confined to the thread of its {@link
 * RecordWriter}.
 */
final class PendingRecords {
    private final Set<TaskShard> dirtyShards = new LinkedHashSet<>();
    private final Set<Job> endedJobs = new LinkedHashSet<>();
    private final Set<JobId> endsInFlight = new LinkedHashSet<>();

    /**
     * Whether a job's records are written before those of best-effort jobs: true for all jobs above
     * the lowest priority and for every cancelled job.
     */
    static boolean isUrgent(Job job) {
        return job.spec().priority() != Priority.LOW || job.isCancelled();
    }

    Set<TaskShard> dirtyShards() {
        return dirtyShards;
    }

    /** The jobs whose end is to be written and is not in a transaction yet. */
    Set<Job> endedJobs() {
        return endedJobs;
    }

    boolean isEmpty() {
        return dirtyShards.isEmpty() && endedJobs.isEmpty();
    }

    int urgentDirtyShardCount() {
        int count = 0;
        for (TaskShard shard : dirtyShards) {
            count += isUrgent(shard.job()) ? 1 : 0;
        }
        return count;
    }

    /**
     * Adds a job's end unless it is persisted or being written. A job ends only once: a transaction
     * that writes its end again would always fail, together with all other writes in it.
     */
    void addEndedJob(Job job) {
        if (!job.isEnded() && !isEndInFlight(job)) {
            endedJobs.add(job);
        }
    }

    boolean isEndInFlight(Job job) {
        return endsInFlight.contains(job.id());
    }

    /** Notes that a transaction with the job's end is being sent. */
    void markEndInFlight(Job job) {
        endsInFlight.add(job.id());
    }

    /** Notes that the transaction with the job's end was applied. */
    void markEndPersisted(Job job) {
        endsInFlight.remove(job.id());
    }

    /** Adds a job's end again after its transaction failed or its result never arrived. */
    void retryEnd(Job job) {
        endsInFlight.remove(job.id());
        endedJobs.add(job);
    }
}
