package org.meadowhollow.storage;

import java.util.LinkedHashSet;
import java.util.Set;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.TaskShard;

/**
 * What a leader still has to write: shards with unwritten changes and jobs that ended, both in the
 * order in which they were added. Confined to the thread of its {@link RecordWriter}.
 */
final class PendingRecords {
    private final Set<TaskShard> dirtyShards = new LinkedHashSet<>();
    private final Set<Job> endedJobs = new LinkedHashSet<>();
    private final Set<JobId> endsInFlight = new LinkedHashSet<>();

    /**
     * Whether a job's records are written ahead of best-effort work: all but those of the lowest
     * priority, and every cancellation.
     */
    static boolean isUrgent(Job job) {
        return job.spec().priority() != Priority.LOW || job.isCancelled();
    }

    Set<TaskShard> dirtyShards() {
        return dirtyShards;
    }

    /** Jobs whose end is to be written and in no transaction yet. */
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
     * Adds a job's end unless it is written or being written: a job ends once, and the transaction
     * of a second attempt would fail every time, together with all else in it.
     */
    void addEndedJob(Job job) {
        if (!job.isEnded() && !isEndInFlight(job)) {
            endedJobs.add(job);
        }
    }

    boolean isEndInFlight(Job job) {
        return endsInFlight.contains(job.id());
    }

    /** A transaction with the job's end is being sent. */
    void markEndInFlight(Job job) {
        endsInFlight.add(job.id());
    }

    /** The transaction with the job's end was applied. */
    void completeEnd(Job job) {
        endsInFlight.remove(job.id());
    }

    /** The transaction with the job's end was not applied, as far as is known. */
    void retryEnd(Job job) {
        endsInFlight.remove(job.id());
        endedJobs.add(job);
    }
}
