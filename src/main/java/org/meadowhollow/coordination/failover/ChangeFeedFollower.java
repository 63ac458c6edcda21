package org.meadowhollow.coordination.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
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
     * Failed watches after which all records are read again: the answer may be too large to be
     * received.
     */
    private static final int MAX_FAILURES = 3;

    private final KeyValueStore store;
    private final GenerationCounter generations;
    private final String prefix;
    private final long maxBytes;
    private KeyspaceReplica replica;
    private int failures;

    /**
     * Creates a follower that is idle until {@link #start}.
     *
     * @param mostBytes the estimated memory that the records may take; if they exceed it, they are
     *     not followed
     */
    ChangeFeedFollower(KeyValueStore store, EventLoop loop, String prefix, long mostBytes) {
        this.store = store;
        this.generations = new GenerationCounter(loop);
        this.prefix = prefix;
        this.maxBytes = mostBytes;
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
        failures = 0;
        return generations.startNext();
    }

    /**
     * Reads a page of the records and the pages after it, then begins to watch.
     *
     * @param after the last key of the page before, or null for the first page
     * @param begun the replica with the pages before, or null for the first page
     */
    // The chain handles success and failure itself; a failed read is repeated.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void readPage(int mine, String after, KeyspaceReplica begun) {
        store.list(prefix, after, RequestPriority.BACKGROUND)
                .whenComplete(
                        (page, failure) -> {
                            if (!generations.isCurrent(mine)) {
                                return;
                            }
                            if (failure != null) {
                                generations.runLater(
                                        RETRY_DELAY, mine, () -> readPage(mine, after, begun));
                                return;
                            }
                            KeyspaceReplica growing =
                                    begun == null
                                            ? new KeyspaceReplica(prefix, page.revision())
                                            : begun;
                            growing.addPage(page.entries());
                            if (abandonIfTooLarge(growing, mine)) {
                                return;
                            }
                            if (page.hasMore()) {
                                readPage(
                                        mine,
                                        page.entries().get(page.entries().size() - 1).key(),
                                        growing);
                                return;
                            }
                            synchronized (this) {
                                replica = growing;
                                failures = 0;
                            }
                            generations.runLater(POLL_INTERVAL, mine, () -> watchChanges(mine));
                        });
    }

    private boolean abandonIfTooLarge(KeyspaceReplica growing, int mine) {
        if (growing.estimatedBytes() <= maxBytes) {
            return false;
        }
        LOG.info(
                "records exceed memory limit and are not followed prefix={} max_bytes={}",
                prefix,
                maxBytes);
        synchronized (this) {
            replica = null;
        }
        generations.runLater(OVERSIZE_RETRY_DELAY, mine, () -> readPage(mine, null, null));
        return true;
    }

    // The chain handles success and failure itself, and watches or reads again.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void watchChanges(int mine) {
        KeyspaceReplica followed;
        synchronized (this) {
            followed = replica;
        }
        store.watch(prefix, followed.revision(), WATCH_TIMEOUT)
                .whenComplete(
                        (changeBatch, failure) -> {
                            if (!generations.isCurrent(mine)) {
                                return;
                            }
                            if (failure == null
                                    && !followed.revision().isAfter(changeBatch.revision())) {
                                synchronized (this) {
                                    failures = 0;
                                    followed.apply(changeBatch);
                                }
                                if (!abandonIfTooLarge(followed, mine)) {
                                    generations.runLater(
                                            POLL_INTERVAL, mine, () -> watchChanges(mine));
                                }
                            } else if (failure == null
                                    || countFailureAndCheckReload(
                                            KeyValueStoreException.outcomeOf(failure))) {
                                LOG.info(
                                        "standby reloads records prefix={} reason={}",
                                        prefix,
                                        failure == null
                                                ? "key-value store returned an earlier revision="
                                                        + changeBatch.revision().value()
                                                : failure.getMessage());
                                generations.runLater(
                                        POLL_INTERVAL, startNewGeneration(), this::start);
                            } else {
                                generations.runLater(RETRY_DELAY, mine, () -> watchChanges(mine));
                            }
                        });
    }

    /**
     * Counts a failed watch, and returns whether to read all records again instead of repeating the
     * watch. Failures during an outage of the store are not counted: no change is lost, and the
     * watch can continue afterwards.
     */
    private synchronized boolean countFailureAndCheckReload(Outcome outcome) {
        failures += outcome == Outcome.INDETERMINATE && !store.seemsUnavailable() ? 1 : 0;
        return outcome == Outcome.COMPACTED || failures >= MAX_FAILURES;
    }

    /**
     * Stops following, and hands over the replica with the latest changes applied.
     *
     * @param atLeast the revision that the replica must cover
     * @return empty if there is no replica, or if it cannot be brought up to that revision
     */
    CompletableFuture<Optional<KeyspaceReplica>> handOver(Revision atLeast) {
        KeyspaceReplica last;
        synchronized (this) {
            last = replica;
            stop();
        }
        if (last == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return store.watch(prefix, last.revision(), Duration.ZERO)
                .handle(
                        (changeBatch, failure) -> {
                            // Rejects a replica older than the leader record, and one from a
                            // history that the store does not serve now (its revision went back).
                            if (failure != null
                                    || atLeast.isAfter(changeBatch.revision())
                                    || last.revision().isAfter(changeBatch.revision())) {
                                return Optional.empty();
                            }
                            last.apply(changeBatch);
                            return Optional.of(last);
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
        int mine;
        KeyspaceReplica judged;
        synchronized (this) {
            if (replica == null) {
                return CompletableFuture.completedFuture(List.of());
            }
            // Pauses the watch, so that all changes since the replica's revision arrive in the
            // request below.
            mine = generations.startNext();
            judged = replica;
        }
        return store.list(part, null, RequestPriority.BACKGROUND)
                .thenCombine(
                        store.watch(prefix, judged.revision(), Duration.ZERO),
                        (page, changeBatch) -> {
                            synchronized (this) {
                                boolean comparable =
                                        generations.isCurrent(mine)
                                                && !page.hasMore()
                                                && !judged.revision()
                                                        .isAfter(changeBatch.revision());
                                List<String> wrong =
                                        comparable
                                                ? findMismatches(judged, page, changeBatch, part)
                                                : List.<String>of();
                                if (!wrong.isEmpty()) {
                                    judged.replacePrefix(part, page.entries());
                                }
                                if (comparable) {
                                    judged.apply(changeBatch);
                                }
                                return wrong;
                            }
                        })
                .handle(
                        (wrong, failure) -> {
                            generations.runLater(POLL_INTERVAL, mine, () -> watchChanges(mine));
                            return failure == null ? wrong : List.of();
                        });
    }

    private static List<String> findMismatches(
            KeyspaceReplica judged, Page truth, ChangeBatch changeBatch, String part) {
        Map<String, Entry> have = new HashMap<>();
        judged.entries(part).forEach(entry -> have.put(entry.key(), entry));
        List<String> wrong = new ArrayList<>();
        for (Entry entry : truth.entries()) {
            if (!entry.equals(have.remove(entry.key()))) {
                wrong.add(entry.key());
            }
        }
        wrong.addAll(have.keySet());
        for (Change change : changeBatch.changes()) {
            wrong.remove(change.key());
        }
        // A page that was read after the changes may contain later ones, which the next watch
        // delivers.
        Revision seen = changeBatch.revision();
        wrong.removeIf(key -> truth.revision().isAfter(seen));
        return wrong;
    }
}
