package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.Optional;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskShard;

/**
 * Selects the pending records for the next transaction: urgent ones before those of best-effort
 * jobs, and a mix of task starts and job ends while both are pending. Selected records are removed
 * from the pending ones and marked as in flight. Confined to the thread of its {@link
 * RecordWriter}.
 */
final class WriteBatchBuilder {
    private final PendingRecords pending;
    private final AdaptiveWriteLimit writeLimit;
    private final PersistedChangePublisher publisher;
    private final EventLoop loop;
    private final Revision leaderKeyRevision;

    WriteBatchBuilder(
            PendingRecords pending,
            AdaptiveWriteLimit writeLimit,
            PersistedChangePublisher publisher,
            EventLoop loop,
            Revision leaderKeyRevision) {
        this.pending = pending;
        this.writeLimit = writeLimit;
        this.publisher = publisher;
        this.loop = loop;
        this.leaderKeyRevision = leaderKeyRevision;
    }

    /**
     * A batch and its urgency.
     *
     * @param isUrgent whether the batch holds records of urgent jobs; a batch never mixes urgent
     *     and other jobs
     */
    record BuiltBatch(WriteBatch batch, boolean isUrgent) {}

    /** The next batch, or empty if nothing that is pending can be written now. */
    Optional<BuiltBatch> next() {
        WriteBatch batch = new WriteBatch(leaderKeyRevision);
        collect(batch, true);
        if (!batch.isEmpty()) {
            return Optional.of(new BuiltBatch(batch, true));
        }
        collect(batch, false);
        return batch.isEmpty() ? Optional.empty() : Optional.of(new BuiltBatch(batch, false));
    }

    private void collect(WriteBatch batch, boolean urgent) {
        collectShards(batch, urgent, writeLimit.current() - writesReservedForEnds(urgent));
        collectJobEnds(batch, urgent);
        collectShards(batch, urgent, writeLimit.current());
    }

    /**
     * The number of writes reserved for job ends: half of a transaction while ends are pending. If
     * ends were written first, hundreds of small jobs that end together would delay every start for
     * a minute.
     */
    private int writesReservedForEnds(boolean urgent) {
        return pending.endedJobs().stream().anyMatch(job -> PendingRecords.isUrgent(job) == urgent)
                ? writeLimit.current() / 2
                : 0;
    }

    // ---- shards ----

    private void collectShards(WriteBatch batch, boolean urgent, int maxWrites) {
        for (Iterator<TaskShard> shards = pending.dirtyShards().iterator(); shards.hasNext(); ) {
            TaskShard shard = shards.next();
            if (shard.job().isEnded() || !shard.isDirty()) {
                shards.remove();
                continue;
            }
            if (!canBeWritten(shard, urgent)) {
                continue;
            }
            if (!hasRoomFor(shard, batch, maxWrites)) {
                return;
            }
            shards.remove();
            addShard(shard, batch);
        }
    }

    private boolean canBeWritten(TaskShard shard, boolean urgent) {
        Job job = shard.job();
        return PendingRecords.isUrgent(job) == urgent
                && !shard.isWriteInFlight()
                && !pending.isEndInFlight(job)
                && !pending.endedJobs().contains(job);
    }

    private static boolean hasRoomFor(TaskShard shard, WriteBatch batch, int maxWrites) {
        int writes = shard.job().secondaryRecord() == null ? 1 : 2;
        return batch.writeCount() + writes <= Math.max(maxWrites, writes)
                && batch.hasBytesFor(shard);
    }

    private void addShard(TaskShard shard, WriteBatch batch) {
        shard.setWriteInFlight(true);
        batch.addShard(
                new WriteBatch.ShardWrite(
                        shard,
                        shard.latestChange(),
                        publisher.isEventLogEnabled() ? shard.currentLocations() : null,
                        PersistedChangePublisher.untracedEndedAttempts(shard.job())));
    }

    // ---- ends of jobs ----

    private void collectJobEnds(WriteBatch batch, boolean urgent) {
        for (Iterator<Job> jobs = pending.endedJobs().iterator(); jobs.hasNext(); ) {
            Job job = jobs.next();
            if (PendingRecords.isUrgent(job) != urgent) {
                continue;
            }
            // Users wait for the ends of their jobs. While many ends are pending, the deletion of
            // obsolete shards is deferred until fewer writes are pending.
            boolean manyEndsPending = pending.endedJobs().size() * 3 > writeLimit.maximum();
            int writes = (job.secondaryRecord() == null ? 2 : 3) + (manyEndsPending ? 0 : 1);
            if (batch.writeCount() + writes > writeLimit.current() && !batch.isEmpty()) {
                return;
            }
            if (hasShardInFlight(job)) {
                continue;
            }
            jobs.remove();
            if (!job.isEnded()) {
                addJobEnd(job, batch, !manyEndsPending);
            }
        }
    }

    private static boolean hasShardInFlight(Job job) {
        for (TaskShard shard : job.usedShards()) {
            if (shard.isWriteInFlight()) {
                return true;
            }
        }
        return false;
    }

    private void addJobEnd(Job job, WriteBatch batch, boolean deletesShards) {
        pending.markEndInFlight(job);
        WriteBatch.JobEndWrite jobEnd =
                new WriteBatch.JobEndWrite(
                        job,
                        PersistedChangePublisher.untracedEndedAttempts(job),
                        loop.wallClockMillis(),
                        new ArrayList<>());
        batch.addJobEnd(jobEnd);
        for (TaskShard shard : job.usedShards()) {
            if (shard.hasRecord()) {
                String key = RecordKeys.taskShard(shard);
                if (deletesShards && batch.writeCount() < writeLimit.current()) {
                    batch.transaction().delete(key);
                } else {
                    jobEnd.obsoleteKeys().add(key);
                }
            }
            pending.dirtyShards().remove(shard);
        }
    }
}
