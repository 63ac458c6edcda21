package org.meadowhollow.coordination.admission;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.IndeterminateOutcomeException;
import org.meadowhollow.storage.JobRecordCodec;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Caches the states of live jobs as this node last saw them, for users who poll. A cached state may
 * be stale, so it is returned only after a read barrier: a sync with the store's change feed that
 * began after the request arrived. No node can then have returned a newer state before the request.
 * One sync serves all readers that wait for it, so polling more often costs the key-value store no
 * more requests.
 *
 * <p>Without this cache, each poll takes one or two reads. Polling can then consume the whole
 * request budget of the key-value store, so that the leader neither learns of cancellations nor
 * gets its own records written.
 *
 * <p>Thread-safe: guarded by its own monitor. Requests are sent and readers completed outside it.
 */
final class JobStatusCache {
    private static final Logger LOG = LoggerFactory.getLogger(JobStatusCache.class);

    /**
     * The minimum time between the starts of two syncs of a node: too short for a user to notice,
     * and long enough that syncs take only a few requests per second of the key-value store's
     * budget.
     */
    private static final Duration MIN_SYNC_INTERVAL = Duration.ofMillis(200);

    /**
     * The maximum number of syncs in flight: more than one, so that a sync that hangs does not
     * delay later readers.
     */
    private static final int MAX_SYNCS_IN_FLIGHT = 4;

    /**
     * The time limit of a read barrier. Users wait 2 s for a response; a later one is of no use,
     * because they repeat the request.
     */
    private static final Duration READ_BARRIER_TIMEOUT = Duration.ofMillis(1850);

    /**
     * The time since the last sync after which the cache is cleared: the changes since then may be
     * many, and starting with an empty cache is cheaper. Also the time for which the cache is
     * bypassed after repeated failures.
     */
    private static final Duration IDLE_RESET_INTERVAL = Duration.ofSeconds(20);

    /**
     * The maximum number of readers that wait for a sync. Each occupies a connection, and a process
     * has about as many connections.
     */
    private static final int MAX_PENDING_READERS = 2000;

    /** The number of consecutive syncs without a response after which the cache is bypassed. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    /** The last known state of a job that was live when this node first saw it. */
    enum CachedStatus {
        LIVE,
        CANCELLED,
        FINISHED
    }

    /**
     * Identifies the contents of the cache when a read was sent. The result of the read is not
     * cached if anything was dropped from the cache in the meantime, or if changes were not
     * followed yet.
     *
     * @param isFollowed whether all changes after the read are going to be applied: the store
     *     executes the read after it returned the revision from which changes are followed
     */
    record CacheVersion(int generation, long evictions, boolean isFollowed) {}

    /**
     * One request to the change feed.
     *
     * @param from the revision after which changes are requested, or null to request the current
     *     revision
     * @param generation the generation of the cache when the request was sent
     * @param readers the readers that the result completes
     */
    private record Sync(Revision from, int generation, List<CompletableFuture<Void>> readers) {}

    private final KeyValueStore store;
    private final EventLoop loop;

    @GuardedBy("this")
    private final JobStatusEntries entries = new JobStatusEntries();

    @GuardedBy("this")
    private List<CompletableFuture<Void>> pendingReaders = new ArrayList<>();

    /** The revision up to which all changes are applied; null while changes are not followed. */
    @GuardedBy("this")
    private Revision syncedRevision;

    /** The time at which the last sync was sent; null before the first one. */
    @GuardedBy("this")
    private MonotonicTime lastSyncStartedAt;

    @GuardedBy("this")
    private int syncsInFlight;

    @GuardedBy("this")
    private boolean syncScheduled;

    /** The number of syncs without a response since the last successful one. */
    @GuardedBy("this")
    private int consecutiveFailures;

    /** The time until which the cache is bypassed and jobs are read from the store, or null. */
    @GuardedBy("this")
    private MonotonicTime bypassUntil;

    JobStatusCache(KeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * The last known state of a job; empty if it is not cached. Must not be shown to users before a
     * {@link #readBarrier} has completed.
     */
    synchronized Optional<CachedStatus> cachedStatus(JobId id) {
        return entries.find(id);
    }

    /**
     * Returns a future that completes once all changes up to now are applied, and fails with {@link
     * AdmissionService.TemporarilyUnavailableException} if that takes longer than {@link
     * #READ_BARRIER_TIMEOUT} or too many readers are waiting.
     */
    CompletableFuture<Void> readBarrier() {
        CompletableFuture<Void> reader = new CompletableFuture<>();
        synchronized (this) {
            if (pendingReaders.size() >= MAX_PENDING_READERS) {
                return CompletableFuture.failedFuture(
                        new AdmissionService.TemporarilyUnavailableException(
                                "too many ask at once"));
            }
            pendingReaders.add(reader);
        }
        loop.schedule(
                READ_BARRIER_TIMEOUT,
                () ->
                        reader.completeExceptionally(
                                new AdmissionService.TemporarilyUnavailableException(
                                        "the state service gave no answer")));
        scheduleSync();
        return reader;
    }

    /**
     * Returns the current version of the cache. Must be called before a read of a job's record is
     * sent; the result is passed to {@link #recordRead}. Starts following changes if necessary, and
     * clears the cache first if it has been idle for too long.
     */
    CacheVersion beginRead() {
        boolean shouldStartFollowing;
        CacheVersion version;
        synchronized (this) {
            if (isIdleTooLong()) {
                reset();
            }
            shouldStartFollowing = syncedRevision == null && isFollowingChanges();
            version = version();
        }
        if (shouldStartFollowing) {
            scheduleSync();
        }
        return version;
    }

    @GuardedBy("this")
    private boolean isIdleTooLong() {
        return syncedRevision != null
                && syncsInFlight == 0
                && loop.now().elapsedSince(lastSyncStartedAt).compareTo(IDLE_RESET_INTERVAL) > 0;
    }

    @GuardedBy("this")
    private CacheVersion version() {
        return new CacheVersion(
                entries.generation(),
                entries.evictions(),
                syncedRevision != null && isFollowingChanges());
    }

    /**
     * Caches the state of a live job that a read found. The state is not cached if anything was
     * dropped from the cache since the read was sent, which may have been a later state of the same
     * job; nor if changes were not followed when the read was sent. Such a read may be older than
     * the revision from which changes are followed, and a change in between, such as the job's end,
     * would never be applied.
     *
     * @return whether the job should be read again to be cached: changes are followed by now, but
     *     were not when the read was sent
     */
    synchronized boolean recordRead(
            JobId id, Revision revision, boolean cancelled, CacheVersion versionAtRead) {
        CacheVersion current = version();
        if (versionAtRead.isFollowed() && versionAtRead.equals(current)) {
            CachedStatus status = cancelled ? CachedStatus.CANCELLED : CachedStatus.LIVE;
            LOG.debug(
                    "job status cached job={} status={} revision={} followed_revision={}",
                    id,
                    status,
                    revision,
                    syncedRevision);
            entries.update(id, status, revision);
        }
        return current.isFollowed() && !versionAtRead.isFollowed();
    }

    /**
     * Bypasses the cache for a time after repeated syncs without a response. Syncs may fail while
     * reads succeed, for instance when a response is larger than the client accepts; without the
     * bypass, requests about live jobs would go unanswered for as long as that lasts.
     */
    @GuardedBy("this")
    private void onSyncFailure(Outcome outcome) {
        if (outcome == Outcome.INDETERMINATE) {
            consecutiveFailures++;
        }
        boolean tooManyFailures = consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
        if (tooManyFailures) {
            bypassUntil = loop.now().plus(IDLE_RESET_INTERVAL);
        }
        if (tooManyFailures || outcome == Outcome.COMPACTED) {
            consecutiveFailures = 0;
            reset();
        }
    }

    @GuardedBy("this")
    private boolean isFollowingChanges() {
        return bypassUntil == null || bypassUntil.isBefore(loop.now());
    }

    @GuardedBy("this")
    private void reset() {
        entries.clear();
        syncedRevision = null;
    }

    /** Starts a sync now, or as soon as the interval allows, unless enough syncs are in flight. */
    private void scheduleSync() {
        Duration delay;
        synchronized (this) {
            boolean awaitsFirstRevision = syncedRevision == null && syncsInFlight > 0;
            if (syncsInFlight >= MAX_SYNCS_IN_FLIGHT || syncScheduled || awaitsFirstRevision) {
                return;
            }
            delay = delayUntilNextSync();
            syncScheduled = !delay.isZero();
        }
        if (delay.isZero()) {
            startSync();
        } else {
            loop.schedule(delay, this::startScheduledSync);
        }
    }

    @GuardedBy("this")
    private Duration delayUntilNextSync() {
        if (lastSyncStartedAt == null) {
            return Duration.ZERO;
        }
        Duration elapsed = loop.now().elapsedSince(lastSyncStartedAt);
        return elapsed.compareTo(MIN_SYNC_INTERVAL) >= 0
                ? Duration.ZERO
                : MIN_SYNC_INTERVAL.minus(elapsed);
    }

    private void startScheduledSync() {
        synchronized (this) {
            syncScheduled = false;
        }
        startSync();
    }

    private void startSync() {
        Sync sync;
        synchronized (this) {
            syncsInFlight++;
            lastSyncStartedAt = loop.now();
            sync = new Sync(syncedRevision, entries.generation(), pendingReaders);
            pendingReaders = new ArrayList<>();
        }
        CompletableFuture<KeyValueStore.ChangeBatch> unusedHandled =
                requestChanges(sync.from())
                        .whenComplete((changes, failure) -> onSyncAnswered(sync, changes, failure));
    }

    /**
     * Requests the changes after a revision; if that is null, only the current revision, with an
     * empty batch.
     */
    private CompletableFuture<KeyValueStore.ChangeBatch> requestChanges(Revision from) {
        if (from != null) {
            return store.watch(RecordKeys.JOB_PREFIX, from, Duration.ZERO);
        }
        return store.list(RecordKeys.LEADER_KEY, null, 1, RequestPriority.USER)
                .thenApply(page -> new KeyValueStore.ChangeBatch(page.revision(), List.of()));
    }

    /** Applies the result of a sync; one that can't be applied counts as failed. */
    private void onSyncAnswered(Sync sync, KeyValueStore.ChangeBatch changes, Throwable failure) {
        synchronized (this) {
            syncsInFlight--;
        }
        RepeatingSteps.run(
                loop,
                RepeatingStep.JOB_STATUS_SYNC,
                () -> onSyncCompleted(sync, changes, failure),
                () ->
                        onSyncCompleted(
                                sync,
                                null,
                                new IndeterminateOutcomeException("changes were not applied")));
    }

    private void onSyncCompleted(Sync sync, KeyValueStore.ChangeBatch changes, Throwable failure) {
        boolean applied;
        boolean hasPendingReaders;
        synchronized (this) {
            boolean isCurrent = sync.generation() == entries.generation();
            applied = failure == null && isCurrent;
            if (applied) {
                applyChanges(changes);
            } else {
                if (failure != null && isCurrent) {
                    onSyncFailure(KeyValueStoreException.outcomeOf(failure));
                }
                requeueReaders(sync);
            }
            hasPendingReaders = !pendingReaders.isEmpty();
        }
        if (applied) {
            sync.readers().forEach(reader -> reader.complete(null));
        }
        if (hasPendingReaders) {
            scheduleSync();
        }
    }

    /** Lets the readers of a sync that was not applied wait for the next one. */
    @GuardedBy("this")
    private void requeueReaders(Sync sync) {
        for (CompletableFuture<Void> reader : sync.readers()) {
            if (!reader.isDone()) {
                pendingReaders.add(reader);
            }
        }
    }

    /**
     * Applies the changes of a sync, unless a sync that was sent later has been applied already:
     * newer states of the same jobs may have been evicted since, and these changes would restore
     * stale ones.
     */
    @GuardedBy("this")
    private void applyChanges(KeyValueStore.ChangeBatch changes) {
        consecutiveFailures = 0;
        if (syncedRevision != null && !changes.revision().isAfter(syncedRevision)) {
            return;
        }
        if (syncedRevision == null) {
            LOG.debug("job changes followed from_revision={}", changes.revision());
        }
        for (KeyValueStore.Change change : changes.changes()) {
            entries.update(
                    RecordKeys.jobIdOfKey(change.key()), statusAfter(change), change.revision());
        }
        syncedRevision = changes.revision();
    }

    private static CachedStatus statusAfter(KeyValueStore.Change change) {
        if (change.value() == null) {
            return CachedStatus.FINISHED;
        }
        return JobRecordCodec.isCancelled(change.value())
                ? CachedStatus.CANCELLED
                : CachedStatus.LIVE;
    }
}
