package org.meadowhollow.coordination.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.Change;
import org.meadowhollow.storage.KeyValueStore.ChangeBatch;
import org.meadowhollow.storage.KeyValueStore.Entry;
import org.meadowhollow.storage.KeyValueStore.Page;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.KeyspaceReplica;
import org.meadowhollow.storage.RecordDigests;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains a replica of the records under a prefix: reads them all once, then watches for changes.
 * It sends a watch at most every {@link #POLL_INTERVAL} while there are changes, and one every
 * {@link #WATCH_TIMEOUT} while there are none.
 */
final class ChangeFeedFollower {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeFeedFollower.class);

    /**
     * The pause between two watches. A leader writes thirty or more records a second; one watch for
     * each would use up the node's request limit.
     */
    static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(3);

    /** The pause before records that exceeded the memory limit are read again. */
    private static final Duration OVERSIZE_RETRY_DELAY = Duration.ofMinutes(5);

    /**
     * The number of failed watches after which all records are read again: the response may be too
     * large to be received.
     */
    private static final int MAX_FAILURES = 3;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final GenerationCounter generations;
    private final String prefix;
    private final long maxBytes;
    private KeyspaceReplica replica;
    private int consecutiveFailures;

    /**
     * Creates a follower that is idle until {@link #start}.
     *
     * @param maxBytes the estimated memory that the records may take; if they exceed it, they are
     *     not followed
     */
    ChangeFeedFollower(KeyValueStore store, EventLoop loop, String prefix, long maxBytes) {
        this.store = store;
        this.loop = loop;
        this.generations = new GenerationCounter(loop);
        this.prefix = prefix;
        this.maxBytes = maxBytes;
    }

    void start() {
        readPage(startNewGeneration(), null, null);
    }

    synchronized void stop() {
        generations.startNext();
        replica = null;
    }

    /** The revision of the replica, or null while there is none. */
    synchronized Revision revision() {
        return replica == null ? null : replica.revision();
    }

    private synchronized int startNewGeneration() {
        replica = null;
        consecutiveFailures = 0;
        return generations.startNext();
    }

    /**
     * Reads a page of the records and the pages after it, then begins to watch.
     *
     * @param after the last key of the page before, or null for the first page
     * @param partialReplica the replica with the pages before, or null for the first page
     */
    private void readPage(int generation, String after, KeyspaceReplica partialReplica) {
        Runnable readAgain =
                () ->
                        generations.runLater(
                                RETRY_DELAY,
                                generation,
                                () -> readPage(generation, after, partialReplica));
        RepeatingSteps.handle(
                loop,
                RepeatingStep.STANDBY_FEED,
                store.list(prefix, after, RequestPriority.BACKGROUND),
                (page, failure) -> {
                    if (!generations.isCurrent(generation)) {
                        return;
                    }
                    if (failure == null) {
                        addPage(generation, page, partialReplica);
                    } else {
                        readAgain.run();
                    }
                },
                readAgain);
    }

    private void addPage(int generation, Page page, KeyspaceReplica partialReplica) {
        KeyspaceReplica updatedReplica =
                partialReplica == null
                        ? new KeyspaceReplica(prefix, page.revision())
                        : partialReplica;
        updatedReplica.addPage(page.entries());
        if (abandonIfTooLarge(updatedReplica, generation)) {
            return;
        }
        if (page.hasMore()) {
            String lastKey = page.entries().get(page.entries().size() - 1).key();
            readPage(generation, lastKey, updatedReplica);
            return;
        }
        synchronized (this) {
            replica = updatedReplica;
            consecutiveFailures = 0;
        }
        generations.runLater(POLL_INTERVAL, generation, () -> watchChanges(generation));
    }

    private boolean abandonIfTooLarge(KeyspaceReplica updatedReplica, int generation) {
        if (updatedReplica.estimatedBytes() <= maxBytes) {
            return false;
        }
        LOG.info(
                "standby ignores records prefix={} max_bytes={} reason=records exceed memory limit",
                prefix,
                maxBytes);
        synchronized (this) {
            replica = null;
        }
        generations.runLater(
                OVERSIZE_RETRY_DELAY, generation, () -> readPage(generation, null, null));
        return true;
    }

    private void watchChanges(int generation) {
        KeyspaceReplica watchedReplica;
        synchronized (this) {
            watchedReplica = replica;
        }
        RepeatingSteps.handle(
                loop,
                RepeatingStep.STANDBY_FEED,
                store.watch(prefix, watchedReplica.revision(), WATCH_TIMEOUT),
                (changeBatch, failure) -> {
                    if (generations.isCurrent(generation)) {
                        onWatchEnded(generation, watchedReplica, changeBatch, failure);
                    }
                },
                () -> reload("changes could not be applied"));
    }

    private void onWatchEnded(
            int generation,
            KeyspaceReplica watchedReplica,
            ChangeBatch changeBatch,
            Throwable failure) {
        if (failure == null && !watchedReplica.revision().isAfter(changeBatch.revision())) {
            synchronized (this) {
                consecutiveFailures = 0;
                watchedReplica.apply(changeBatch);
            }
            if (!abandonIfTooLarge(watchedReplica, generation)) {
                generations.runLater(POLL_INTERVAL, generation, () -> watchChanges(generation));
            }
        } else if (failure == null) {
            reload("key-value store returned earlier revision " + changeBatch.revision());
        } else if (countFailureAndCheckReload(KeyValueStoreException.outcomeOf(failure))) {
            reload(failure.getMessage());
        } else {
            generations.runLater(RETRY_DELAY, generation, () -> watchChanges(generation));
        }
    }

    private void reload(String reason) {
        LOG.info("record reload started prefix={} reason={}", prefix, reason);
        generations.runLater(POLL_INTERVAL, startNewGeneration(), this::start);
    }

    /**
     * Counts a failed watch, and returns whether to read all records again instead of repeating the
     * watch. Failures during an outage of the store are not counted: no change is lost, and the
     * watch can continue afterwards.
     */
    private synchronized boolean countFailureAndCheckReload(Outcome outcome) {
        consecutiveFailures +=
                outcome == Outcome.INDETERMINATE && !store.seemsUnavailable() ? 1 : 0;
        return outcome == Outcome.COMPACTED || consecutiveFailures >= MAX_FAILURES;
    }

    /**
     * Stops following, and hands over the replica with the latest changes applied.
     *
     * @param atLeast the revision that the replica must cover
     * @return empty if there is no replica, or if it cannot be brought up to that revision
     */
    CompletableFuture<Optional<KeyspaceReplica>> handOver(Revision atLeast) {
        KeyspaceReplica finalReplica;
        synchronized (this) {
            finalReplica = replica;
            stop();
        }
        if (finalReplica == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return store.watch(prefix, finalReplica.revision(), Duration.ZERO)
                .handle(
                        (changeBatch, failure) -> {
                            // Rejects a replica older than the leader record, and one whose
                            // revision is above the store's: the store now has another history.
                            if (failure != null
                                    || atLeast.isAfter(changeBatch.revision())
                                    || finalReplica.revision().isAfter(changeBatch.revision())) {
                                return Optional.empty();
                            }
                            finalReplica.apply(changeBatch);
                            return Optional.of(finalReplica);
                        });
    }

    /** The digests of the replica's parts; none while there is no replica. */
    synchronized RecordDigests digests() {
        return replica == null ? RecordDigests.EMPTY : RecordDigests.of(replica);
    }

    /**
     * Reads one part of the records again, compares the replica with it, and replaces the part if
     * they differ. Records that changed in the meantime are not compared.
     *
     * @return the keys whose records differed; empty if none did, or the comparison was not
     *     possible
     */
    CompletableFuture<List<String>> verifyAndRepair(String part) {
        int generation;
        KeyspaceReplica auditedReplica;
        synchronized (this) {
            if (replica == null) {
                return CompletableFuture.completedFuture(List.of());
            }
            // Pauses the watch, so that all changes since the replica's revision arrive in the
            // request below.
            generation = generations.startNext();
            auditedReplica = replica;
        }
        return store.list(part, null, RequestPriority.BACKGROUND)
                .thenCombine(
                        store.watch(prefix, auditedReplica.revision(), Duration.ZERO),
                        (page, changeBatch) -> {
                            synchronized (this) {
                                boolean comparable =
                                        generations.isCurrent(generation)
                                                && !page.hasMore()
                                                && !auditedReplica
                                                        .revision()
                                                        .isAfter(changeBatch.revision());
                                List<String> mismatchedKeys =
                                        comparable
                                                ? findMismatches(
                                                        auditedReplica, page, changeBatch, part)
                                                : List.<String>of();
                                if (!mismatchedKeys.isEmpty()) {
                                    auditedReplica.replacePrefix(part, page.entries());
                                }
                                if (comparable) {
                                    auditedReplica.apply(changeBatch);
                                }
                                return mismatchedKeys;
                            }
                        })
                .handle(
                        (mismatchedKeys, failure) -> {
                            generations.runLater(
                                    POLL_INTERVAL, generation, () -> watchChanges(generation));
                            return failure == null ? mismatchedKeys : List.of();
                        });
    }

    private static List<String> findMismatches(
            KeyspaceReplica auditedReplica, Page storedPage, ChangeBatch changeBatch, String part) {
        Map<String, Entry> replicaEntries = new HashMap<>();
        auditedReplica.entries(part).forEach(entry -> replicaEntries.put(entry.key(), entry));
        List<String> mismatchedKeys = new ArrayList<>();
        for (Entry entry : storedPage.entries()) {
            if (!entry.equals(replicaEntries.remove(entry.key()))) {
                mismatchedKeys.add(entry.key());
            }
        }
        mismatchedKeys.addAll(replicaEntries.keySet());
        for (Change change : changeBatch.changes()) {
            mismatchedKeys.remove(change.key());
        }
        // A page that was read after the changes may contain later ones, which the next watch
        // delivers.
        Revision changesRevision = changeBatch.revision();
        mismatchedKeys.removeIf(key -> storedPage.revision().isAfter(changesRevision));
        return mismatchedKeys;
    }
}
