package org.meadowhollow.coordination.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordCodec;

/**
 * What this node has seen of live jobs, by which it answers users who ask again and again. What is
 * kept may be old, so nothing is answered from it until a look at the changes, begun after the
 * question came, has been taken in: then no other node can have told anybody anything newer before.
 * One look serves all who ask meanwhile, so that users who ask many times as often cost the state
 * service no more requests.
 *
 * <p>Guards against what was met: polls at a read or two each took the whole budget of the state
 * service, and the leader neither learned of cancellations nor got its own records written.
 */
final class JobStatusCache {
    /**
     * Between two looks of a node: unnoticed by a user, and a few requests a second of the state
     * service's budget.
     */
    private static final Duration MIN_SYNC_INTERVAL = Duration.ofMillis(200);

    /** Looks on their way at a time: one that hangs must not hold up those who ask later. */
    private static final int MAX_SYNCS_IN_FLIGHT = 4;

    /** Users wait 2 s for an answer; one that comes later is of no use, and they ask again. */
    private static final Duration READ_BARRIER_TIMEOUT = Duration.ofMillis(1850);

    /**
     * After so long without a question the changes since then may be many; it is cheaper to begin
     * anew.
     */
    private static final Duration IDLE_RESET_INTERVAL = Duration.ofSeconds(20);

    /** Jobs kept; a few times as many as live at once on the largest deployments seen. */
    private static final int MAX_CACHED_JOBS = 8000;

    /**
     * Questions that wait for a look; each holds a connection, of which a process has about as
     * many.
     */
    private static final int MAX_PENDING_READERS = 2000;

    /** Looks in a row without an answer after which those who ask are served by reads. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    /** What is known of a job that was seen alive. */
    enum CachedStatus {
        LIVE,
        CANCELLED,
        FINISHED
    }

    private record CacheEntry(CachedStatus status, Revision revision) {}

    private record PendingReader(CompletableFuture<Void> completion) {}

    /**
     * What was kept when a read was sent, so that its answer is told from what changed meanwhile.
     */
    record CacheVersion(int generation, long evictions) {}

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Map<JobId, CacheEntry> entries = new LinkedHashMap<>();
    private List<PendingReader> pendingReaders = new ArrayList<>();
    private Revision syncedRevision;
    private MonotonicTime lastSyncStartedAt;
    private int syncsInFlight;
    private boolean syncScheduled;
    private int generation;
    private long evictions;

    /** Looks without an answer, since the last one that had one. */
    private int consecutiveFailures;

    /** Until when jobs are read instead of followed, or null. */
    private MonotonicTime bypassUntil;

    JobStatusCache(KeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * What was last seen of a job, or null; not to be told to anybody before {@link #readBarrier}.
     */
    synchronized CachedStatus cachedStatus(JobId id) {
        CacheEntry seen = entries.get(id);
        return seen == null ? null : seen.status();
    }

    /**
     * Completes once all changes up to now are taken in; fails if that is not known within {@link
     * #READ_BARRIER_TIMEOUT}.
     */
    CompletableFuture<Void> readBarrier() {
        PendingReader pendingReader = new PendingReader(new CompletableFuture<>());
        synchronized (this) {
            if (pendingReaders.size() >= MAX_PENDING_READERS) {
                return CompletableFuture.failedFuture(
                        new AdmissionService.TemporarilyUnavailableException(
                                "too many ask at once"));
            }
            pendingReaders.add(pendingReader);
        }
        loop.schedule(
                READ_BARRIER_TIMEOUT,
                () ->
                        pendingReader
                                .completion()
                                .completeExceptionally(
                                        new AdmissionService.TemporarilyUnavailableException(
                                                "the state service gave no answer")));
        scheduleSync();
        return pendingReader.completion();
    }

    /** To be taken when a read of a job's record is sent, and given with its answer. */
    CacheVersion beginRead() {
        boolean begin;
        CacheVersion cacheVersion;
        synchronized (this) {
            if (syncedRevision != null
                    && syncsInFlight == 0
                    && loop.now().elapsedSince(lastSyncStartedAt).compareTo(IDLE_RESET_INTERVAL)
                            > 0) {
                reset();
            }
            begin = syncedRevision == null && isFollowingChanges();
            cacheVersion = new CacheVersion(generation, evictions);
        }
        if (begin) {
            scheduleSync();
        }
        return cacheVersion;
    }

    /**
     * Keeps what a read found, unless changes that were taken in since may have been forgotten
     * again.
     */
    synchronized void recordRead(
            JobId id, Revision revision, boolean cancelled, CacheVersion sent) {
        if (syncedRevision != null
                && isFollowingChanges()
                && sent.generation() == generation
                && sent.evictions() == evictions) {
            updateEntry(
                    id,
                    new CacheEntry(
                            cancelled ? CachedStatus.CANCELLED : CachedStatus.LIVE, revision));
        }
    }

    private void updateEntry(JobId id, CacheEntry now) {
        CacheEntry before = entries.get(id);
        if (before != null && !now.revision().isAfter(before.revision())) {
            return;
        }
        entries.put(id, now);
        if (entries.size() > MAX_CACHED_JOBS) {
            Iterator<JobId> eldest = entries.keySet().iterator();
            eldest.next();
            eldest.remove();
            evictions++;
        }
    }

    /**
     * Looks that get no answer while reads do (an answer may be larger than the client takes) would
     * leave all who ask about live jobs without one, for as long as that lasts: after two in a row
     * they are served by reads for a time.
     */
    private void onSyncFailure(Outcome outcome) {
        consecutiveFailures += outcome == Outcome.INDETERMINATE ? 1 : 0;
        if (outcome == Outcome.COMPACTED || consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            bypassUntil =
                    consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
                            ? loop.now().plus(IDLE_RESET_INTERVAL)
                            : bypassUntil;
            consecutiveFailures = 0;
            reset();
        }
    }

    private boolean isFollowingChanges() {
        return bypassUntil == null || bypassUntil.isBefore(loop.now());
    }

    private void reset() {
        entries.clear();
        syncedRevision = null;
        generation++;
    }

    private void scheduleSync() {
        Duration pause;
        synchronized (this) {
            if (syncsInFlight >= MAX_SYNCS_IN_FLIGHT
                    || syncScheduled
                    || syncedRevision == null && syncsInFlight > 0) {
                return;
            }
            Duration since =
                    lastSyncStartedAt == null
                            ? MIN_SYNC_INTERVAL
                            : loop.now().elapsedSince(lastSyncStartedAt);
            pause =
                    since.compareTo(MIN_SYNC_INTERVAL) >= 0
                            ? Duration.ZERO
                            : MIN_SYNC_INTERVAL.minus(since);
            syncScheduled = !pause.isZero();
        }
        if (pause.isZero()) {
            startSync();
        } else {
            loop.schedule(
                    pause,
                    () -> {
                        synchronized (this) {
                            syncScheduled = false;
                        }
                        startSync();
                    });
        }
    }

    private void startSync() {
        List<PendingReader> served;
        Revision from;
        int begun;
        synchronized (this) {
            syncsInFlight++;
            lastSyncStartedAt = loop.now();
            served = pendingReaders;
            pendingReaders = new ArrayList<>();
            from = syncedRevision;
            begun = generation;
        }
        if (from == null) {
            // Where to follow from; whoever asks is served by reads until then.
            store.list(RecordCodec.LEADER_KEY, null, 1, RequestPriority.USER)
                    .whenComplete(
                            (page, failure) ->
                                    onSyncCompleted(
                                            served,
                                            begun,
                                            failure == null
                                                    ? new KeyValueStore.ChangeBatch(
                                                            page.revision(), List.of())
                                                    : null,
                                            failure));
        } else {
            store.watch(RecordCodec.JOB_PREFIX, from, Duration.ZERO)
                    .whenComplete(
                            (changeBatch, failure) ->
                                    onSyncCompleted(served, begun, changeBatch, failure));
        }
    }

    private void onSyncCompleted(
            List<PendingReader> served,
            int begun,
            KeyValueStore.ChangeBatch changeBatch,
            Throwable failure) {
        boolean more;
        boolean current;
        synchronized (this) {
            syncsInFlight--;
            current = begun == generation;
            if (failure == null && current) {
                consecutiveFailures = 0;
                // A look that was sent before may be answered after it, when what it shows may have
                // been let go again.
                if (syncedRevision == null || changeBatch.revision().isAfter(syncedRevision)) {
                    for (KeyValueStore.Change change : changeBatch.changes()) {
                        updateEntry(
                                RecordCodec.jobIdOfKey(change.key()),
                                new CacheEntry(
                                        change.value() == null
                                                ? CachedStatus.FINISHED
                                                : RecordCodec.isCancelled(change.value())
                                                        ? CachedStatus.CANCELLED
                                                        : CachedStatus.LIVE,
                                        change.revision()));
                    }
                    syncedRevision = changeBatch.revision();
                }
            } else {
                if (failure != null && current) {
                    onSyncFailure(KeyValueStoreException.outcomeOf(failure));
                }
                served.stream()
                        .filter(pendingReader -> !pendingReader.completion().isDone())
                        .forEach(pendingReaders::add);
            }
            more = !pendingReaders.isEmpty();
        }
        if (failure == null && current) {
            served.forEach(pendingReader -> pendingReader.completion().complete(null));
        }
        if (more) {
            scheduleSync();
        }
    }
}
