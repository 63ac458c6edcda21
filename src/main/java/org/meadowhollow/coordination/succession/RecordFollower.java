package org.meadowhollow.coordination.succession;

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
 * every {@link #PAUSE} while there are changes and every {@link #WATCH} while there are none.
 */
final class RecordFollower {
    private static final Logger LOG = LoggerFactory.getLogger(RecordFollower.class);

    /**
     * A leader writes thirty records a second and more; answered one by one they would take all
     * requests there are.
     */
    static final Duration PAUSE = Duration.ofSeconds(2);

    private static final Duration WATCH = Duration.ofSeconds(20);
    private static final Duration RETRY = Duration.ofSeconds(3);

    /** Records that do not fit are not tried again soon. */
    private static final Duration TOO_LARGE_FOR = Duration.ofMinutes(5);

    /**
     * Changes asked for in vain before the records are read anew: their answer may be too large to
     * come.
     */
    private static final int MOST_FAILURES = 3;

    private final KeyValueStore store;
    private final Lives lives;
    private final String prefix;
    private final long mostBytes;
    private KeyspaceReplica image;
    private int failures;

    /**
     * @param mostBytes of memory that the records may take, about; more are not followed
     */
    RecordFollower(KeyValueStore store, EventLoop loop, String prefix, long mostBytes) {
        this.store = store;
        this.lives = new Lives(loop);
        this.prefix = prefix;
        this.mostBytes = mostBytes;
    }

    void start() {
        page(begin(), null, null);
    }

    synchronized void stop() {
        lives.next();
        image = null;
    }

    /** The revision that the image stands at, or null while there is none. */
    synchronized Revision revision() {
        return image == null ? null : image.revision();
    }

    private synchronized int begin() {
        image = null;
        failures = 0;
        return lives.next();
    }

    /**
     * Reads a page of the records, and then the next; {@code after} and {@code begun} are null for
     * the first.
     */
    private void page(int mine, String after, KeyspaceReplica begun) {
        store.list(prefix, after, RequestPriority.BACKGROUND)
                .whenComplete(
                        (page, failure) -> {
                            if (!lives.isCurrent(mine)) {
                                return;
                            }
                            if (failure != null) {
                                lives.later(RETRY, mine, () -> page(mine, after, begun));
                                return;
                            }
                            KeyspaceReplica growing =
                                    begun == null
                                            ? new KeyspaceReplica(prefix, page.revision())
                                            : begun;
                            growing.addPage(page.entries());
                            if (isTooLarge(growing, mine)) {
                                return;
                            }
                            if (page.hasMore()) {
                                page(
                                        mine,
                                        page.entries().get(page.entries().size() - 1).key(),
                                        growing);
                                return;
                            }
                            synchronized (this) {
                                image = growing;
                                failures = 0;
                            }
                            lives.later(PAUSE, mine, () -> follow(mine));
                        });
    }

    private boolean isTooLarge(KeyspaceReplica growing, int mine) {
        if (growing.estimatedBytes() <= mostBytes) {
            return false;
        }
        LOG.info(
                "the records under {} take more than {} bytes and are not followed",
                prefix,
                mostBytes);
        synchronized (this) {
            image = null;
        }
        lives.later(TOO_LARGE_FOR, mine, () -> page(mine, null, null));
        return true;
    }

    private void follow(int mine) {
        KeyspaceReplica followed;
        synchronized (this) {
            followed = image;
        }
        store.watch(prefix, followed.revision(), WATCH)
                .whenComplete(
                        (changeBatch, failure) -> {
                            if (!lives.isCurrent(mine)) {
                                return;
                            }
                            if (failure == null
                                    && !followed.revision().isAfter(changeBatch.revision())) {
                                synchronized (this) {
                                    failures = 0;
                                    followed.apply(changeBatch);
                                }
                                if (!isTooLarge(followed, mine)) {
                                    lives.later(PAUSE, mine, () -> follow(mine));
                                }
                            } else if (failure == null
                                    || isLost(KeyValueStoreException.outcomeOf(failure))) {
                                LOG.info(
                                        "the records under {} are read anew: {}",
                                        prefix,
                                        failure == null
                                                ? "the state service went back to "
                                                        + changeBatch.revision().value()
                                                : failure.getMessage());
                                lives.later(PAUSE, begin(), this::start);
                            } else {
                                lives.later(RETRY, mine, () -> follow(mine));
                            }
                        });
    }

    /**
     * Whether to read anew rather than to ask again; an outage in which every request is refused
     * loses nothing.
     */
    private synchronized boolean isLost(Outcome outcome) {
        failures += outcome == Outcome.INDETERMINATE && !store.seemsUnavailable() ? 1 : 0;
        return outcome == Outcome.COMPACTED || failures >= MOST_FAILURES;
    }

    /**
     * Ends the following and hands the image over, with all changes up to a revision.
     *
     * @return empty if there is no image, or none as late as that
     */
    CompletableFuture<Optional<KeyspaceReplica>> handOver(Revision atLeast) {
        KeyspaceReplica last;
        synchronized (this) {
            last = image;
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
        return image == null ? RecordDigests.EMPTY : RecordDigests.of(image);
    }

    /**
     * Reads one part of the records again and judges the image by it. What changed in between is
     * not judged.
     *
     * @return the keys that were wrong in the image; empty if it was right, or nothing could be
     *     told
     */
    CompletableFuture<List<String>> readAgain(String part) {
        int mine;
        KeyspaceReplica judged;
        synchronized (this) {
            if (image == null) {
                return CompletableFuture.completedFuture(List.of());
            }
            // The following rests meanwhile, so that all changes since the image's revision come by
            // here.
            mine = lives.next();
            judged = image;
        }
        return store.list(part, null, RequestPriority.BACKGROUND)
                .thenCombine(
                        store.watch(prefix, judged.revision(), Duration.ZERO),
                        (page, changeBatch) -> {
                            synchronized (this) {
                                boolean comparable =
                                        lives.isCurrent(mine)
                                                && !page.hasMore()
                                                && !judged.revision()
                                                        .isAfter(changeBatch.revision());
                                List<String> wrong =
                                        comparable
                                                ? wrong(judged, page, changeBatch, part)
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
                            lives.later(PAUSE, mine, () -> follow(mine));
                            return failure == null ? wrong : List.of();
                        });
    }

    private static List<String> wrong(
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
