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
 * Follows the records under a prefix: reads them once, then asks for what has changed, at most
 * every {@link #POLL_INTERVAL} while there are changes and every {@link #WATCH_TIMEOUT} while there
 * are none.
 */
final class ChangeFeedFollower {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeFeedFollower.class);

    /**
     * A leader writes thirty records a second and more; answered one by one they would take all
     * requests there are.
     */
    static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(3);

    /** Records that do not fit are not tried again soon. */
    private static final Duration OVERSIZE_RETRY_DELAY = Duration.ofMinutes(5);

    /**
     * Changes asked for in vain before the records are read anew: their answer may be too large to
     * come.
     */
    private static final int MAX_FAILURES = 3;

    private final KeyValueStore store;
    private final GenerationCounter generations;
    private final String prefix;
    private final long maxBytes;
    private KeyspaceReplica replica;
    private int failures;

    /**
     * @param mostBytes of memory that the records may take, about; more are not followed
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

    /** The revision that the image stands at, or null while there is none. */
    synchronized Revision revision() {
        return replica == null ? null : replica.revision();
    }

    private synchronized int startNewGeneration() {
        replica = null;
        failures = 0;
        return generations.startNext();
    }

    /**
     * Reads a page of the records, and then the next; {@code after} and {@code begun} are null for
     * the first.
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
                "the records under {} take more than {} bytes and are not followed",
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
                                        "the records under {} are read anew: {}",
                                        prefix,
                                        failure == null
                                                ? "the state service went back to "
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
     * Whether to read anew rather than to ask again; an outage in which every request is refused
     * loses nothing.
     */
    private synchronized boolean countFailureAndCheckReload(Outcome outcome) {
        failures += outcome == Outcome.INDETERMINATE && !store.seemsUnavailable() ? 1 : 0;
        return outcome == Outcome.COMPACTED || failures >= MAX_FAILURES;
    }

    /**
     * Ends the following and hands the image over, with all changes up to a revision.
     *
     * @return empty if there is no image, or none as late as that
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
                            // Guards against an image that is older than the key, and against one
                            // of a history that is not served now.
                            if (failure != null
                                    || atLeast.isAfter(changeBatch.revision())
                                    || last.revision().isAfter(changeBatch.revision())) {
                                return Optional.empty();
                            }
                            last.apply(changeBatch);
                            return Optional.of(last);
                        });
    }

    /** The digests of the image's parts, or none while there is no image. */
    synchronized RecordDigests digests() {
        return replica == null ? RecordDigests.EMPTY : RecordDigests.of(replica);
    }

    /**
     * Reads one part of the records again and judges the image by it. What changed in between is
     * not judged.
     *
     * @return the keys that were wrong in the image; empty if it was right, or nothing could be
     *     told
     */
    CompletableFuture<List<String>> verifyAndRepair(String part) {
        int mine;
        KeyspaceReplica judged;
        synchronized (this) {
            if (replica == null) {
                return CompletableFuture.completedFuture(List.of());
            }
            // The following rests meanwhile, so that all changes since the image's revision come by
            // here.
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
        // A page that was read after the changes may have later ones in it; they will come by
        // themselves.
        Revision seen = changeBatch.revision();
        wrong.removeIf(key -> truth.revision().isAfter(seen));
        return wrong;
    }
}
