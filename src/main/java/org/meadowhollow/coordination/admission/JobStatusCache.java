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
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.JobRecordCodec;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordKeys;

/**
 * The states of live jobs as this node last saw them, for users who poll. A cached state may be
 * stale, so it is answered only behind a read barrier: a sync with the store's change feed that
 * began after the request arrived. No other node can then have answered anything newer before. One
 * sync serves all readers that wait for it, so polling more often costs the key-value store no more
 * requests.
 *
 * <p>Without this cache each poll took a read or two, which once consumed the whole request budget
 * of the key-value store, so that the leader neither learned of cancellations nor got its own
 * records written.
 *
 * <p>Thread-safe: guarded by its own monitor. Requests are sent and readers completed outside it.
 */
final class JobStatusCache {
    /**
     * Between the starts of two syncs of a node: unnoticeable to a user, and a few requests a
     * second of the key-value store's budget.
     */
    private static final Duration MIN_SYNC_INTERVAL = Duration.ofMillis(200);

    /** One sync that hangs must not delay those who ask later. */
    private static final int MAX_SYNCS_IN_FLIGHT = 4;

    /** Users wait 2 s for an answer; one that arrives later is of no use, and they ask again. */
    private static final Duration READ_BARRIER_TIMEOUT = Duration.ofMillis(1850);

    /**
     * After so long without a request, the changes since the last sync may be many; it is cheaper
     * to start with an empty cache.
     */
    private static final Duration IDLE_RESET_INTERVAL = Duration.ofSeconds(20);

    /**
     * Readers that wait for a sync; each occupies a connection, of which a process has about as
     * many.
     */
    private static final int MAX_PENDING_READERS = 2000;

    /** Syncs in a row without a response after which requests are served by reads. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    /** What is known of a job that was live when it was first seen. */
    enum CachedStatus {
        LIVE,
        CANCELLED,
        FINISHED
    }

    /**
     * The state of the cache when a read was sent, so that its result is not cached if anything was
     * dropped from the cache meanwhile.
     */
    record CacheVersion(int generation, long evictions) {}

    /**
     * One request to the change feed.
     *
     * @param from the revision after which changes are asked for, or null to find out the current
     *     one
     * @param generation of the cache when the request was sent
     * @param readers those that its result completes
     */
    private record Sync(Revision from, int generation, List<CompletableFuture<Void>> readers) {}

    private final KeyValueStore store;
    private final EventLoop loop;

    @GuardedBy("this")
    private final JobStatusEntries entries = new JobStatusEntries();

    @GuardedBy("this")
    private List<CompletableFuture<Void>> pendingReaders = new ArrayList<>();

    /** All changes up to this revision are applied; null while changes are not followed. */
    @GuardedBy("this")
    private Revision syncedRevision;

    /** Null before the first sync. */
    @GuardedBy("this")
    private MonotonicTime lastSyncStartedAt;

    @GuardedBy("this")
    private int syncsInFlight;

    @GuardedBy("this")
    private boolean syncScheduled;

    /** Syncs without a response since the last one that had one. */
    @GuardedBy("this")
    private int consecutiveFailures;

    /** Until when jobs are read instead of followed, or null. */
    @GuardedBy("this")
    private MonotonicTime bypassUntil;

    JobStatusCache(KeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * The last known state of a job; empty if it is not cached. Not to be answered to anybody
     * before a {@link #readBarrier}.
     */
    synchronized Optional<CachedStatus> cachedStatus(JobId id) {
        return entries.find(id);
    }

    /**
     * Completes once all changes up to now are applied; fails with {@link
     * AdmissionService.TemporarilyUnavailableException} if that takes longer than {@link
     * #READ_BARRIER_TIMEOUT} or too many readers wait.
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
     * Call this before a read of a job's record is sent, and pass the result to {@link
     * #recordRead}.
     */
    CacheVersion beginRead() {
        boolean startsFollowing;
        CacheVersion version;
        synchronized (this) {
            if (isIdleTooLong()) {
                reset();
            }
            startsFollowing = syncedRevision == null && isFollowingChanges();
            version = entries.version();
        }
        if (startsFollowing) {
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

    /**
     * Caches the state of a live job that a read found. Not if anything was dropped from the cache
     * since the read was sent: that may have been a later state of the same job.
     */
    synchronized void recordRead(
            JobId id, Revision revision, boolean cancelled, CacheVersion versionAtRead) {
        if (syncedRevision != null
                && isFollowingChanges()
                && versionAtRead.equals(entries.version())) {
            CachedStatus status = cancelled ? CachedStatus.CANCELLED : CachedStatus.LIVE;
            entries.update(id, status, revision);
        }
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

    /** Starts a sync now, or as soon as the interval allows, unless enough are under way. */
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
                        .whenComplete(
                                (changes, failure) -> onSyncCompleted(sync, changes, failure));
    }

    /** Without a revision to follow from, asks for the current one; the batch is empty then. */
    private CompletableFuture<KeyValueStore.ChangeBatch> requestChanges(Revision from) {
        if (from != null) {
            return store.watch(RecordKeys.JOB_PREFIX, from, Duration.ZERO);
        }
        return store.list(RecordKeys.LEADER_KEY, null, 1, RequestPriority.USER)
                .thenApply(page -> new KeyValueStore.ChangeBatch(page.revision(), List.of()));
    }

    private void onSyncCompleted(Sync sync, KeyValueStore.ChangeBatch changes, Throwable failure) {
        boolean applied;
        boolean hasPendingReaders;
        synchronized (this) {
            syncsInFlight--;
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
     * what these changes show may have been evicted since, and would come back stale.
     */
    @GuardedBy("this")
    private void applyChanges(KeyValueStore.ChangeBatch changes) {
        consecutiveFailures = 0;
        if (syncedRevision != null && !changes.revision().isAfter(syncedRevision)) {
            return;
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
