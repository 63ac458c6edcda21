package org.meadowhollow.storage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a leader's records in batched compare-and-swap transactions. Every transaction requires
 * the revision of the leader key, so that a delayed transaction of a former leader fails (fencing),
 * and the revisions of the records that it changes.
 *
 * <p>Callers mark changed records and call {@link #flush}. Records whose write fails stay pending
 * and are written again after a pause.
 *
 * <p>There is no lock: all calls and all results of the store arrive on the thread of the {@link
 * EventLoop}. The listener is called on that thread, after the writer has updated its own state.
 */
public final class RecordWriter {
    /** Receives the results of a leader's writes. */
    public interface Listener {
        /** Called when the job's end is persisted. */
        void onJobEndPersisted(Job job);

        /**
         * Called when changes of the job's tasks are persisted.
         *
         * @param shards the shards whose records were written
         */
        void onTasksPersisted(Job job, List<TaskShard> shards);

        /**
         * Called when another writer has changed the job's record, in most cases to cancel the job.
         */
        void onConcurrentJobChange(JobId job);

        /** Called when the leader key no longer belongs to this leader; nothing more is written. */
        void onLeadershipLost();
    }

    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /**
     * The maximum number of transactions in flight: a second one is sent while the store processes
     * the first.
     */
    private static final int MAX_TRANSACTIONS_IN_FLIGHT = 2;

    /**
     * Pause before a retry: short enough that users do not notice, long enough for a brief
     * disturbance to pass.
     */
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
     * @param maxWrites the largest number of writes that the store accepts in one transaction
     * @param leaderKeyRevision the revision of the leader key as this leader wrote it
     * @param eventListeners the event log and tracer to which persisted changes are published
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

    /** Marks a shard as changed; one of the next flushes writes it. */
    public void markDirty(TaskShard shard) {
        pending.dirtyShards().add(shard);
    }

    /** Marks a job whose work has ended, so that its final state is written. */
    public void markEndPending(Job job) {
        pending.addEndedJob(job);
    }

    /** Adds the key of a record to delete because it belongs to no live job. */
    public void addObsoleteKey(String key) {
        cleaner.add(key);
    }

    /** The number of shards with changes that wait to be written. */
    public int dirtyShardCount() {
        return pending.dirtyShards().size();
    }

    /** The number of shards that wait to be written, without those of best-effort jobs. */
    public int urgentDirtyShardCount() {
        return pending.urgentDirtyShardCount();
    }

    /** Stops writing; transactions in flight are still handled. */
    public void close() {
        isClosed = true;
    }

    /** Whether this leadership writes no more. */
    public boolean isClosed() {
        return isClosed;
    }

    /** Notes that all records of the job that a previous leader wrote are restored. */
    public void markRestored(Job job) {
        publisher.markRestored(job);
    }

    /**
     * Handles a job's end that a transaction of this writer persisted although the result of the
     * transaction never arrived.
     */
    public void recordUnacknowledgedEnd(Job job) {
        publisher.traceJobEnd(
                job, PersistedChangePublisher.untracedEndedAttempts(job), loop.wallClockMillis());
        for (TaskShard shard : job.usedShards()) {
            if (shard.hasRecord()) {
                addObsoleteKey(RecordKeys.taskShard(shard));
            }
        }
        job.markEnded();
        listener.onJobEndPersisted(job);
    }

    // ---- sending ----

    /** Sends pending records, up to the limit of transactions in flight, and then obsolete keys. */
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
        // Writes of best-effort jobs must not delay user requests.
        RequestPriority requestPriority =
                isUrgent ? RequestPriority.PLACEMENT : RequestPriority.BACKGROUND;
        RepeatingSteps.handle(
                loop,
                RepeatingStep.RECORD_WRITE,
                store.commit(batch.transaction(), requestPriority),
                (commitResult, failure) -> {
                    transactionsInFlight--;
                    handleResult(batch, commitResult, failure);
                },
                this::handleDefect);
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
            pending.markEndPersisted(jobEnd.job());
            publisher.publishJobEnd(jobEnd, revision);
            cleaner.addAll(jobEnd.obsoleteKeys());
            jobEnd.job().markEnded();
        }
        writeLimit.onApplied();
        batch.jobEnds().forEach(jobEnd -> listener.onJobEndPersisted(jobEnd.job()));
        batch.shardsByJob().forEach(listener::onTasksPersisted);
        flush();
    }

    private void handleFailure(WriteBatch batch, Throwable failure) {
        returnToPending(batch);
        if (KeyValueStoreException.outcomeOf(failure) == Outcome.REJECTED) {
            writeLimit.onRejected();
        }
        LOG.info("transaction retry scheduled reason={}", failure.getMessage());
        pauseBeforeRetry();
    }

    private void handleConflict(WriteBatch batch, List<String> conflictingKeys) {
        returnToPending(batch);
        if (conflictingKeys.contains(RecordKeys.LEADER_KEY)) {
            handleLeadershipLost();
            return;
        }
        for (String key : conflictingKeys) {
            batch.jobForKey(key).ifPresent(job -> listener.onConcurrentJobChange(job.id()));
            batch.shardForKey(key).ifPresent(shard -> refreshShardRevision(key, shard));
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
     * writer was applied although its result never arrived, so the next one must require the
     * revision that it wrote.
     */
    private void refreshShardRevision(String key, TaskShard shard) {
        shard.setWriteInFlight(true);
        RepeatingSteps.handle(
                loop,
                RepeatingStep.RECORD_WRITE,
                store.get(key, RequestPriority.PLACEMENT),
                (entry, failure) -> {
                    shard.setWriteInFlight(false);
                    if (failure == null) {
                        shard.adoptRevision(
                                entry.map(KeyValueStore.Entry::revision).orElse(Revision.ABSENT));
                    }
                    flush();
                },
                this::handleDefect);
    }

    private void pauseBeforeRetry() {
        isPaused = true;
        loop.schedule(
                RETRY_DELAY,
                () -> {
                    isPaused = false;
                    // A failed flush is repeated by the next round or heartbeat.
                    loop.runRepeating(RepeatingStep.RECORD_WRITE, this::flush);
                });
    }

    /**
     * Ends the leadership after the result of a transaction was applied only in part: the memory of
     * this leader may differ from its records, and the next leader reads these.
     */
    private void handleDefect() {
        if (isClosed) {
            // This leadership is over already; the node may hold a later one.
            return;
        }
        LOG.info("leadership ended reason=the result of a transaction could not be applied");
        handleLeadershipLost();
    }

    private void handleLeadershipLost() {
        isClosed = true;
        listener.onLeadershipLost();
    }
}
