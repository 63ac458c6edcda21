package org.meadowhollow.storage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a leader's records in batched compare-and-swap transactions. Every transaction requires
 * the revision of the leader key, so that a late one of a leader that lost its leadership fails,
 * and the revisions of the records that it changes.
 *
 * <p>Callers mark what has changed and {@link #flush}; records that fail to be written stay pending
 * and are written again after a pause.
 *
 * <p>There is no lock: all calls and all results of the store arrive on the thread of the {@link
 * EventLoop}. The listener is called on that thread, after the writer's own state is up to date.
 */
public final class RecordWriter {
    /** What the leader must know of its writes. */
    public interface Listener {
        /** The job's end is persisted. */
        void onJobEndPersisted(Job job);

        /** Changes of the job's tasks are persisted. */
        void onTasksPersisted(Job job);

        /** The job's record was changed by somebody else, mostly by a cancellation. */
        void onConcurrentJobChange(JobId job);

        /** The leader key is not this leader's any more; nothing is written from now on. */
        void onLeadershipLost();
    }

    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /** Transactions at a time: one being answered, one on its way. */
    private static final int MAX_TRANSACTIONS_IN_FLIGHT = 2;

    /** Short enough that users do not notice, long enough for a short disturbance to pass. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Listener listener;
    private final PersistedChangePublisher publisher;
    private final PendingRecords pending = new PendingRecords();
    private final AdaptiveWriteLimit writeLimit;
    private final WriteBatchBuilder batchBuilder;
    private final ObsoleteRecordCleaner cleaner;
    private int transactionsInFlight;
    private boolean isPaused;
    private boolean isClosed;

    /**
     * Creates the writer of one leadership.
     *
     * @param maxWrites the most writes that the store takes in one transaction
     * @param leaderKeyRevision the revision of the leader key as this leader wrote it
     * @param eventListeners where persisted changes are published
     * @param listener the leader, which is called on the event loop's thread
     */
    public RecordWriter(
            KeyValueStore store,
            EventLoop loop,
            int maxWrites,
            Revision leaderKeyRevision,
            JobEventListeners eventListeners,
            Listener listener) {
        this.store = store;
        this.loop = loop;
        this.listener = listener;
        this.publisher = new PersistedChangePublisher(eventListeners);
        this.writeLimit = new AdaptiveWriteLimit(maxWrites);
        this.batchBuilder =
                new WriteBatchBuilder(pending, writeLimit, publisher, loop, leaderKeyRevision);
        this.cleaner =
                new ObsoleteRecordCleaner(
                        store, loop, leaderKeyRevision, RETRY_DELAY, new CleanerListener());
    }

    private final class CleanerListener implements ObsoleteRecordCleaner.Listener {
        @Override
        public void onReady() {
            flush();
        }

        @Override
        public void onLeadershipLost() {
            handleLeadershipLost();
        }
    }

    /** Notes that a shard has changes; they are written with one of the next flushes. */
    public void markDirty(TaskShard shard) {
        pending.dirtyShards().add(shard);
    }

    /** Notes that nothing of the job is left to do, so that its final state is to be written. */
    public void markEndPending(Job job) {
        pending.addEndedJob(job);
    }

    /** Notes a record that belongs to no live job and is to be deleted. */
    public void addObsoleteKey(String key) {
        cleaner.add(key);
    }

    /** The number of shards that wait to be written. */
    public int dirtyShardCount() {
        return pending.dirtyShards().size();
    }

    /** The number of those that are written ahead of best-effort work. */
    public int urgentDirtyShardCount() {
        return pending.urgentDirtyShardCount();
    }

    /** Stops writing; transactions in flight are still handled. */
    public void close() {
        isClosed = true;
    }

    /** Notes that a predecessor's records of the job are all restored. */
    public void markRestored(Job job) {
        publisher.markRestored(job);
    }

    /**
     * Takes in that a transaction of this writer with the job's end was applied although its result
     * never arrived.
     */
    public void recordUnacknowledgedEnd(Job job) {
        publisher.traceJobEnd(
                job, PersistedChangePublisher.untracedEndedAttempts(job), loop.wallClockMillis());
        for (int at = 0; at < job.shardCount(); at++) {
            if (job.hasPersistedShard(at)) {
                addObsoleteKey(RecordKeys.taskShard(job.shard(at)));
            }
        }
        job.markEnded();
        listener.onJobEndPersisted(job);
    }

    // ---- sending ----

    /** Sends what is pending, as far as transactions may be in flight. */
    public void flush() {
        while (canSend()
                && transactionsInFlight < MAX_TRANSACTIONS_IN_FLIGHT
                && !pending.isEmpty()) {
            Optional<WriteBatchBuilder.BuiltBatch> next = batchBuilder.next();
            if (next.isEmpty()) {
                break;
            }
            send(next.get().batch(), next.get().isUrgent());
        }
        if (canSend()) {
            cleaner.deleteIfDue(transactionsInFlight == 0, writeLimit.current());
        }
    }

    private boolean canSend() {
        return !isClosed && !isPaused;
    }

    private void send(WriteBatch batch, boolean isUrgent) {
        transactionsInFlight++;
        // Best-effort work goes behind users' calls.
        RequestPriority requestPriority =
                isUrgent ? RequestPriority.PLACEMENT : RequestPriority.BACKGROUND;
        CompletableFuture<?> unused =
                store.commit(batch.transaction(), requestPriority)
                        .whenComplete(
                                (commitResult, failure) -> {
                                    transactionsInFlight--;
                                    handleResult(batch, commitResult, failure);
                                });
    }

    // ---- results ----

    private void handleResult(
            WriteBatch batch, KeyValueStore.CommitResult commitResult, Throwable failure) {
        if (failure != null) {
            handleFailure(batch, failure);
        } else if (commitResult.isApplied()) {
            handleApplied(batch, commitResult.revision());
        } else {
            handleConflict(batch, commitResult.conflictingKeys());
        }
    }

    private void handleApplied(WriteBatch batch, Revision revision) {
        for (WriteBatch.ShardWrite shardWrite : batch.shardWrites()) {
            TaskShard shard = shardWrite.shard();
            shard.setWriteInFlight(false);
            shard.markPersisted(shardWrite.change(), revision);
            publisher.publishShard(shardWrite, revision);
            if (shard.isDirty()) {
                markDirty(shard);
            }
        }
        for (WriteBatch.JobEndWrite jobEnd : batch.jobEnds()) {
            pending.completeEnd(jobEnd.job());
            publisher.publishJobEnd(jobEnd, revision);
            cleaner.addAll(jobEnd.obsoleteKeys());
            jobEnd.job().markEnded();
        }
        writeLimit.onApplied();
        batch.jobEnds().forEach(jobEnd -> listener.onJobEndPersisted(jobEnd.job()));
        batch.shardWrites()
                .forEach(shardWrite -> listener.onTasksPersisted(shardWrite.shard().job()));
        flush();
    }

    private void handleFailure(WriteBatch batch, Throwable failure) {
        returnToPending(batch);
        if (KeyValueStoreException.outcomeOf(failure) == Outcome.REJECTED) {
            writeLimit.onRejected();
        }
        LOG.info("a write failed and will be repeated: {}", failure.getMessage());
        pauseBeforeRetry();
    }

    private void handleConflict(WriteBatch batch, List<String> conflictingKeys) {
        returnToPending(batch);
        if (conflictingKeys.contains(RecordKeys.LEADER_KEY)) {
            handleLeadershipLost();
            return;
        }
        for (String key : conflictingKeys) {
            batch.jobAt(key).ifPresent(job -> listener.onConcurrentJobChange(job.id()));
            batch.shardAt(key).ifPresent(shard -> refreshShardRevision(key, shard));
        }
        pauseBeforeRetry();
    }

    private void returnToPending(WriteBatch batch) {
        for (WriteBatch.ShardWrite shardWrite : batch.shardWrites()) {
            shardWrite.shard().setWriteInFlight(false);
            if (shardWrite.shard().isDirty()) {
                markDirty(shardWrite.shard());
            }
        }
        batch.jobEnds().forEach(jobEnd -> pending.retryEnd(jobEnd.job()));
    }

    /**
     * Reads the revision of a shard's record after a conflict: an earlier transaction of this
     * writer was applied although its result never arrived, and the next one has to start from what
     * it left.
     */
    private void refreshShardRevision(String key, TaskShard shard) {
        shard.setWriteInFlight(true);
        CompletableFuture<?> unused =
                store.get(key, RequestPriority.PLACEMENT)
                        .whenComplete(
                                (entry, failure) -> {
                                    shard.setWriteInFlight(false);
                                    if (failure == null) {
                                        shard.adoptRevision(
                                                entry.map(KeyValueStore.Entry::revision)
                                                        .orElse(Revision.ABSENT));
                                    }
                                    flush();
                                });
    }

    private void pauseBeforeRetry() {
        isPaused = true;
        loop.schedule(
                RETRY_DELAY,
                () -> {
                    isPaused = false;
                    flush();
                });
    }

    private void handleLeadershipLost() {
        isClosed = true;
        listener.onLeadershipLost();
    }
}
