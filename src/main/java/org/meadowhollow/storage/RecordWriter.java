package org.meadowhollow.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.TaskTracer;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a leader's records. Every transaction guards on the leader's key, so that a deposed
 * leader's late one fails, and on the versions of what it changes.
 */
public final class RecordWriter {
    /** What the leader must know of its writes. */
    public interface Listener {
        /** The job is over and its end is in the state service. */
        void onJobEndPersisted(Job job);

        /** Changes of the job's tasks are in the state service. */
        void onTasksPersisted(Job job);

        /** The job's record was changed by somebody else. */
        void onConcurrentJobChange(JobId job);

        /** The leader's key is not ours any more. */
        void onLeadershipLost();
    }

    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /** Bytes of a transaction's body: the protocol's 64 KiB less room for guards and framing. */
    private static final int MAX_TRANSACTION_BYTES = 40 * 1024;

    /** Transactions at a time: one being answered, one on its way. */
    private static final int MAX_TRANSACTIONS_IN_FLIGHT = 2;

    /** Short enough not to be felt, long enough to let a hiccup pass. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private static final int BYTES_PER_TASK_ENTRY = 48;

    /**
     * Records of ended jobs that may wait to be cleared away: a few minutes of a crowd of one-task
     * jobs.
     */
    private static final int MAX_OBSOLETE_KEYS = 2000;

    /** Writes that go together however short the budget is; the end of a job takes as many. */
    private static final int MIN_WRITES_PER_TRANSACTION = 4;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final int maxWritesPerTransaction;
    private final Revision leaderKeyRevision;
    private final JobEventListeners eventListeners;
    private final Listener listener;
    private final Set<TaskShard> dirtyShards = new LinkedHashSet<>();
    private final Set<Job> endPending = new LinkedHashSet<>();
    private final Set<JobId> endsInFlight = new LinkedHashSet<>();
    private final List<String> obsoleteKeys = new ArrayList<>();

    /**
     * Writes in one transaction: fewer after a refusal, for a large one finds no room in a budget
     * that others use up.
     */
    private int currentWriteLimit;

    private int inFlight;
    private boolean isDeletingObsoleteKeys;
    private boolean isPaused;
    private boolean isClosed;

    public RecordWriter(
            KeyValueStore store,
            EventLoop loop,
            int mostWrites,
            Revision leaderVersion,
            JobEventListeners jobEventListeners,
            Listener listener) {
        this.eventListeners = jobEventListeners;
        this.store = store;
        this.loop = loop;
        this.maxWritesPerTransaction = mostWrites;
        this.currentWriteLimit = mostWrites;
        this.leaderKeyRevision = leaderVersion;
        this.listener = listener;
    }

    /** Notes that a chunk has changes; they are written with the next {@link #flush}. */
    public void markDirty(TaskShard taskShard) {
        dirtyShards.add(taskShard);
    }

    /** Notes that nothing of the job is left to do, so that its final state can be written. */
    public void endPending(Job job) {
        // A job ends once: a second try would fail for ever, and take the rest of its transaction
        // along.
        if (!job.isEnded() && !endsInFlight.contains(job.id())) {
            endPending.add(job);
        }
    }

    /** Notes a record that belongs to no live job. */
    public void addObsoleteKey(String key) {
        obsoleteKeys.add(key);
    }

    /** Records that wait to be written. */
    public int dirtyShardCount() {
        return dirtyShards.size();
    }

    /** Those of jobs that are not of the lowest priority, which are written first. */
    public int urgentDirtyShardCount() {
        int count = 0;
        for (TaskShard taskShard : dirtyShards) {
            count += isUrgent(taskShard.job()) ? 1 : 0;
        }
        return count;
    }

    private static boolean isUrgent(Job job) {
        return job.spec().priority() != Priority.LOW || job.isCancelled();
    }

    public void close() {
        isClosed = true;
    }

    /** Takes in what a predecessor wrote of a job, all of which is loaded. */
    public void markRestored(Job job) {
        for (int at = 0; at < job.shardCount() && eventListeners.eventLog().isEnabled(); at++) {
            job.shard(at).markLocationsPersisted();
        }
    }

    /** The job's end is in the state service, by a transaction of ours that was never answered. */
    public void recordUnacknowledgedEnd(Job job) {
        traceEndedAttempts(job, untracedEndedAttempts(job), loop.wallClockMillis());
        for (int at = 0; at < job.shardCount(); at++) {
            if (job.hasPersistedShard(at)) {
                addObsoleteKey(RecordKeys.taskShard(job.shard(at)));
            }
        }
        job.markEnded();
        listener.onJobEndPersisted(job);
    }

    /**
     * @param locations where the chunk's tasks are in the record, null while nobody wants to know
     * @param endedAttempts the attempts that the record shows as over, for those who trace the job
     */
    private record ShardWrite(
            TaskShard shard,
            long change,
            Map<Integer, JobEventLog.TaskLocation> locations,
            List<SecondaryRecord.EndedAttempt> endedAttempts) {}

    /**
     * @param obsoleteKeys records of the job that its end does not clear away; only once that is
     *     written, for without them a successor would run what is done once more
     */
    private record JobEndWrite(
            Job job,
            List<SecondaryRecord.EndedAttempt> endedAttempts,
            long endedAtMillis,
            List<String> obsoleteKeys) {}

    /** Sends what is waiting, as far as transactions may be in flight. */
    public void flush() {
        while (!isClosed
                && !isPaused
                && inFlight < MAX_TRANSACTIONS_IN_FLIGHT
                && !(dirtyShards.isEmpty() && endPending.isEmpty())) {
            Transaction transaction =
                    new Transaction().requireRevision(RecordKeys.LEADER_KEY, leaderKeyRevision);
            List<JobEndWrite> ends = new ArrayList<>();
            List<ShardWrite> saves = new ArrayList<>();
            Map<String, Object> touched = new HashMap<>();
            collectWrites(transaction, ends, saves, touched, true);
            boolean pressing = !transaction.writes().isEmpty();
            if (!pressing) {
                collectWrites(transaction, ends, saves, touched, false);
            }
            if (transaction.writes().isEmpty()) {
                break;
            }
            inFlight++;
            // What is of the lowest priority goes behind what users ask for.
            store.commit(
                            transaction,
                            pressing ? RequestPriority.PLACEMENT : RequestPriority.BACKGROUND)
                    .whenComplete(
                            (commitResult, failure) -> {
                                inFlight--;
                                handleCommitResult(ends, saves, touched, commitResult, failure);
                            });
        }
        if (!isClosed
                && !isPaused
                && !isDeletingObsoleteKeys
                && !obsoleteKeys.isEmpty()
                && (inFlight == 0 || obsoleteKeys.size() > MAX_OBSOLETE_KEYS)) {
            deleteObsoleteKeys();
        }
    }

    /**
     * Clears records of ended jobs away: behind all else, for it takes changes of a budget that
     * users' calls and starts wait for, and one transaction at a time, beside those in flight,
     * which it would hold up while it waits for its turn.
     */
    private void deleteObsoleteKeys() {
        Transaction transaction =
                new Transaction().requireRevision(RecordKeys.LEADER_KEY, leaderKeyRevision);
        while (!obsoleteKeys.isEmpty() && transaction.writes().size() < currentWriteLimit) {
            transaction.delete(obsoleteKeys.remove(obsoleteKeys.size() - 1));
        }
        isDeletingObsoleteKeys = true;
        store.commit(transaction, RequestPriority.BACKGROUND)
                .whenComplete(
                        (commitResult, failure) -> {
                            if (failure == null && commitResult.isApplied()) {
                                isDeletingObsoleteKeys = false;
                                flush();
                                return;
                            }
                            obsoleteKeys.addAll(transaction.writes().keySet());
                            if (failure == null) {
                                handleLeadershipLost();
                                return;
                            }
                            loop.schedule(
                                    RETRY_DELAY,
                                    () -> {
                                        isDeletingObsoleteKeys = false;
                                        flush();
                                    });
                        });
    }

    /** The leader's key is not ours any more. */
    private void handleLeadershipLost() {
        isClosed = true;
        listener.onLeadershipLost();
    }

    private void collectWrites(
            Transaction transaction,
            List<JobEndWrite> ends,
            List<ShardWrite> saves,
            Map<String, Object> touched,
            boolean pressing) {
        collectShardWrites(
                transaction,
                saves,
                touched,
                pressing,
                currentWriteLimit - writesReservedForEnds(pressing));
        collectJobEnds(transaction, ends, touched, pressing);
        collectShardWrites(transaction, saves, touched, pressing, currentWriteLimit);
    }

    /**
     * Ends take half of a transaction while starts wait: hundreds of small jobs that end together
     * held up every start for a minute when they came first.
     */
    private int writesReservedForEnds(boolean pressing) {
        return endPending.stream().anyMatch(job -> isUrgent(job) == pressing)
                ? currentWriteLimit / 2
                : 0;
    }

    private void collectJobEnds(
            Transaction transaction,
            List<JobEndWrite> ends,
            Map<String, Object> touched,
            boolean pressing) {
        for (Iterator<Job> jobs = endPending.iterator(); jobs.hasNext(); ) {
            Job job = jobs.next();
            if (isUrgent(job) != pressing) {
                continue;
            }
            boolean pressed = endPending.size() * 3 > maxWritesPerTransaction;
            int writes = (job.secondaryRecord() == null ? 2 : 3) + (pressed ? 0 : 1);
            if (transaction.writes().size() + writes > currentWriteLimit
                    && !transaction.writes().isEmpty()) {
                return;
            }
            if (hasShardInFlight(job)) {
                continue;
            }
            jobs.remove();
            if (job.isEnded()) {
                continue;
            }
            endsInFlight.add(job.id());
            JobEndWrite end =
                    new JobEndWrite(
                            job,
                            untracedEndedAttempts(job),
                            loop.wallClockMillis(),
                            new ArrayList<>());
            ends.add(end);
            touched.put(RecordKeys.job(job.id()), job);
            transaction
                    .requireRevision(RecordKeys.job(job.id()), job.recordRevision())
                    .put(RecordKeys.endedJob(job.id()), EndedJobCodec.encode(job))
                    .delete(RecordKeys.job(job.id()));
            putSecondaryRecord(transaction, job);
            for (int at = 0; at < job.shardCount(); at++) {
                if (job.hasPersistedShard(at)) {
                    String key = RecordKeys.taskShard(job.shard(at));
                    // A job's end is what its user waits for; what is left of it can go when less
                    // is to be written.
                    if (!pressed && transaction.writes().size() < currentWriteLimit) {
                        transaction.delete(key);
                    } else {
                        end.obsoleteKeys().add(key);
                    }
                }
                dirtyShards.remove(job.shard(at));
            }
        }
    }

    private static int estimatedBytesOf(TaskShard taskShard) {
        return BYTES_PER_TASK_ENTRY * (taskShard.endTaskExclusive() - taskShard.firstTask() + 2);
    }

    private static boolean hasShardInFlight(Job job) {
        for (int at = 0; at < job.shardCount(); at++) {
            if (job.shard(at).inFlight()) {
                return true;
            }
        }
        return false;
    }

    private void collectShardWrites(
            Transaction transaction,
            List<ShardWrite> saves,
            Map<String, Object> touched,
            boolean pressing,
            int most) {
        int bytes = 0;
        for (ShardWrite shardWrite : saves) {
            bytes += estimatedBytesOf(shardWrite.shard());
        }
        for (Iterator<TaskShard> chunks = dirtyShards.iterator(); chunks.hasNext(); ) {
            TaskShard taskShard = chunks.next();
            Job job = taskShard.job();
            if (job.isEnded() || !taskShard.isDirty()) {
                chunks.remove();
                continue;
            }
            if (isUrgent(job) != pressing
                    || taskShard.inFlight()
                    || endsInFlight.contains(job.id())
                    || endPending.contains(job)) {
                continue;
            }
            bytes += estimatedBytesOf(taskShard);
            int writes = job.secondaryRecord() == null ? 1 : 2;
            if (transaction.writes().size() + writes > Math.max(most, writes)
                    || bytes > MAX_TRANSACTION_BYTES && !saves.isEmpty()) {
                return;
            }
            chunks.remove();
            taskShard.inFlight(true);
            saves.add(
                    new ShardWrite(
                            taskShard,
                            taskShard.latestChange(),
                            eventListeners.eventLog().isEnabled()
                                    ? taskShard.currentLocations()
                                    : null,
                            untracedEndedAttempts(job)));
            String key = RecordKeys.taskShard(taskShard);
            touched.put(key, taskShard);
            touched.put(RecordKeys.job(job.id()), job);
            // A start must not be committed after the user was told of a cancellation.
            transaction
                    .requireRevision(RecordKeys.job(job.id()), job.recordRevision())
                    .requireRevision(key, taskShard.recordRevision())
                    .put(key, TaskShardCodec.encode(taskShard));
            putSecondaryRecord(transaction, job);
        }
    }

    /**
     * In the same transaction, so that nobody reads an entry that is older than the job's records.
     */
    private void putSecondaryRecord(Transaction transaction, Job job) {
        if (job.secondaryRecord() != null) {
            transaction.put(job.secondaryRecord().key(), job.secondaryRecord().encode(job.phase()));
        }
    }

    // ---- what others are told ----

    private static List<SecondaryRecord.EndedAttempt> untracedEndedAttempts(Job job) {
        return isTraced(job)
                ? job.secondaryRecord().untracedEndedAttempts(job.acceptedAtMillis())
                : List.of();
    }

    private static boolean isTraced(Job job) {
        return job.secondaryRecord() != null
                && job.secondaryRecord().tracedTask(job.id(), job.spec().team()) != null;
    }

    /**
     * @param endedMillis when the job ended, 0 if it has not
     */
    private void traceEndedAttempts(
            Job job, List<SecondaryRecord.EndedAttempt> over, long endedMillis) {
        if (isTraced(job)) {
            TaskTracer.TracedTask task =
                    job.secondaryRecord().tracedTask(job.id(), job.spec().team());
            job.secondaryRecord().trace(eventListeners.tracer(), task, over);
            if (endedMillis > 0) {
                eventListeners
                        .tracer()
                        .onTaskEnded(task, job.phase(), job.acceptedAtMillis(), endedMillis);
            }
        }
    }

    // ---- answers ----

    private void handleCommitResult(
            List<JobEndWrite> ends,
            List<ShardWrite> saves,
            Map<String, Object> touched,
            KeyValueStore.CommitResult commitResult,
            Throwable failure) {
        boolean applied = failure == null && commitResult.isApplied();
        for (ShardWrite shardWrite : saves) {
            shardWrite.shard().inFlight(false);
            if (applied) {
                shardWrite.shard().persisted(shardWrite.change(), commitResult.revision());
                if (shardWrite.locations() != null) {
                    shardWrite
                            .shard()
                            .logLocationChanges(
                                    eventListeners.eventLog(),
                                    commitResult.revision(),
                                    shardWrite.locations());
                }
                traceEndedAttempts(shardWrite.shard().job(), shardWrite.endedAttempts(), 0);
            }
            if (shardWrite.shard().isDirty()) {
                dirtyShards.add(shardWrite.shard());
            }
        }
        for (JobEndWrite jobEndWrite : ends) {
            Job job = jobEndWrite.job();
            endsInFlight.remove(job.id());
            if (applied) {
                for (int at = 0;
                        at < job.shardCount() && eventListeners.eventLog().isEnabled();
                        at++) {
                    job.shard(at)
                            .logLocationChanges(
                                    eventListeners.eventLog(), commitResult.revision(), Map.of());
                }
                eventListeners
                        .eventLog()
                        .logJobEvent(
                                commitResult.revision(),
                                JobEventLog.EventType.ENDED,
                                job.id(),
                                job.spec().team());
                traceEndedAttempts(job, jobEndWrite.endedAttempts(), jobEndWrite.endedAtMillis());
                obsoleteKeys.addAll(jobEndWrite.obsoleteKeys());
                job.markEnded();
            } else {
                this.endPending.add(job);
            }
        }
        currentWriteLimit =
                applied
                        ? Math.min(maxWritesPerTransaction, currentWriteLimit + 1)
                        : failure != null
                                        && KeyValueStoreException.outcomeOf(failure)
                                                == Outcome.REJECTED
                                ? Math.max(MIN_WRITES_PER_TRANSACTION, currentWriteLimit / 2)
                                : currentWriteLimit;
        if (applied) {
            ends.forEach(each -> listener.onJobEndPersisted(each.job()));
            saves.forEach(shardWrite -> listener.onTasksPersisted(shardWrite.shard().job()));
            flush();
            return;
        }
        if (failure != null) {
            LOG.info("a write failed and will be repeated: {}", failure.getMessage());
            pauseBeforeRetry();
            return;
        }
        if (commitResult.conflictingKeys().contains(RecordKeys.LEADER_KEY)) {
            handleLeadershipLost();
            return;
        }
        for (String key : commitResult.conflictingKeys()) {
            Object record = touched.get(key);
            if (record instanceof Job job) {
                listener.onConcurrentJobChange(job.id());
            } else if (record instanceof TaskShard taskShard) {
                refreshShardRevision(key, taskShard);
            }
        }
        pauseBeforeRetry();
    }

    /** An unanswered transaction of ours was applied after all: go on from the version it left. */
    private void refreshShardRevision(String key, TaskShard taskShard) {
        taskShard.inFlight(true);
        store.get(key, RequestPriority.PLACEMENT)
                .whenComplete(
                        (entry, failure) -> {
                            taskShard.inFlight(false);
                            if (failure == null) {
                                taskShard.adoptRevision(
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
}
