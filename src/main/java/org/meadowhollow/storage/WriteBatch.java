package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskShard;

/**
 * One transaction of a {@link RecordWriter} with the state needed to handle its result. Every
 * transaction requires the revision of the leader key, so that a delayed transaction of a former
 * leader fails (fencing). Confined to the writer's thread.
 */
final class WriteBatch {
    /**
     * Limit of the estimated size of a transaction's shards, in bytes: the protocol's 64 KiB less a
     * reserve for conditions and framing.
     */
    private static final int MAX_TRANSACTION_BYTES = 40 * 1024;

    private static final int BYTES_PER_TASK_ENTRY = 48;

    /**
     * The write of a shard's record.
     *
     * @param change the number of the latest change in the record
     * @param locations the locations of the shard's tasks in the record, or null if the event log
     *     is disabled
     * @param endedAttempts the attempts that have ended according to the record and are not traced
     *     yet
     */
    record ShardWrite(
            TaskShard shard,
            long change,
            Map<Integer, JobEventLog.TaskLocation> locations,
            List<SecondaryRecord.EndedAttempt> endedAttempts) {}

    /**
     * The write of a job's end.
     *
     * @param endedAttempts the attempts that have ended and are not traced yet
     * @param endedAtMillis when the job ended, in milliseconds of wall-clock time
     * @param obsoleteKeys the keys of the job's records that this transaction does not delete. They
     *     may be deleted only after the end is written: without them and without the end, the next
     *     leader would run completed tasks again.
     */
    record JobEndWrite(
            Job job,
            List<SecondaryRecord.EndedAttempt> endedAttempts,
            long endedAtMillis,
            List<String> obsoleteKeys) {}

    private final Transaction transaction;
    private final List<ShardWrite> shardWrites = new ArrayList<>();
    private final List<JobEndWrite> jobEnds = new ArrayList<>();
    private final Map<String, Job> jobsByKey = new HashMap<>();
    private final Map<String, TaskShard> shardsByKey = new HashMap<>();
    private int shardBytes;

    WriteBatch(Revision leaderKeyRevision) {
        this.transaction =
                new Transaction().requireRevision(RecordKeys.LEADER_KEY, leaderKeyRevision);
    }

    Transaction transaction() {
        return transaction;
    }

    List<ShardWrite> shardWrites() {
        return shardWrites;
    }

    /** The shards that the transaction writes, by job. */
    Map<Job, List<TaskShard>> shardsByJob() {
        Map<Job, List<TaskShard>> shards = new LinkedHashMap<>();
        for (ShardWrite write : shardWrites) {
            shards.computeIfAbsent(write.shard().job(), unused -> new ArrayList<>())
                    .add(write.shard());
        }
        return shards;
    }

    List<JobEndWrite> jobEnds() {
        return jobEnds;
    }

    int writeCount() {
        return transaction.writes().size();
    }

    boolean isEmpty() {
        return transaction.writes().isEmpty();
    }

    /** The job whose record the transaction requires under the given key, if there is one. */
    Optional<Job> jobForKey(String key) {
        return Optional.ofNullable(jobsByKey.get(key));
    }

    /** The shard that the transaction writes under the given key, if there is one. */
    Optional<TaskShard> shardForKey(String key) {
        return Optional.ofNullable(shardsByKey.get(key));
    }

    /** Whether a shard's record fits into the transaction; the first one always does. */
    boolean hasBytesFor(TaskShard shard) {
        return shardWrites.isEmpty()
                || shardBytes + estimatedBytesOf(shard) <= MAX_TRANSACTION_BYTES;
    }

    private static int estimatedBytesOf(TaskShard shard) {
        return BYTES_PER_TASK_ENTRY * (shard.endTaskExclusive() - shard.firstTask() + 2);
    }

    /**
     * Adds a shard's record. The transaction also requires the revision of the job's record,
     * because a start must not be committed after the user was told that the job is cancelled.
     */
    void addShard(ShardWrite shardWrite) {
        TaskShard shard = shardWrite.shard();
        Job job = shard.job();
        String shardKey = RecordKeys.taskShard(shard);
        String jobKey = RecordKeys.job(job.id());
        shardWrites.add(shardWrite);
        shardBytes += estimatedBytesOf(shard);
        shardsByKey.put(shardKey, shard);
        jobsByKey.put(jobKey, job);
        transaction
                .requireRevision(jobKey, job.recordRevision())
                .requireRevision(shardKey, shard.recordRevision())
                .put(shardKey, TaskShardCodec.encode(shard));
        putSecondaryRecord(job);
    }

    /**
     * Replaces a job's record by the record of its end. The records of its shards are not changed.
     */
    void addJobEnd(JobEndWrite jobEnd) {
        Job job = jobEnd.job();
        String jobKey = RecordKeys.job(job.id());
        jobEnds.add(jobEnd);
        jobsByKey.put(jobKey, job);
        transaction
                .requireRevision(jobKey, job.recordRevision())
                .put(RecordKeys.endedJob(job.id()), EndedJobCodec.encode(job))
                .delete(jobKey);
        putSecondaryRecord(job);
    }

    /**
     * Writes the secondary record of a job, if it has one, in the same transaction, so that no
     * reader sees a secondary record that is older than the job's own records.
     */
    private void putSecondaryRecord(Job job) {
        SecondaryRecord secondaryRecord = job.secondaryRecord();
        if (secondaryRecord != null) {
            transaction.put(secondaryRecord.key(), secondaryRecord.encode(job.phase()));
        }
    }
}
