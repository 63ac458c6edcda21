package org.meadowhollow.storage;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.Revision;

/**
 * The consensus-backed key-value store in which everything that must outlive a node is kept. Values
 * are maps of field names to numbers, texts, truth values, lists and such maps; the codecs of this
 * package give them their meaning.
 *
 * <p>No call blocks. A returned future fails with a {@link KeyValueStoreException}, and is
 * completed on the event loop's thread.
 */
public interface KeyValueStore {
    /** Which requests go first when the rate limit is short; in general from first to last. */
    enum RequestPriority {
        /** Granting, renewing and revoking the leader's lease, on which leadership depends. */
        LEASE,
        /** A user waits for the result. */
        USER,
        /** What the leader needs to start and end tasks. */
        PLACEMENT,
        /** Best-effort work and housekeeping. */
        BACKGROUND
    }

    /**
     * A key and its value.
     *
     * @param revision of the key's last change
     */
    record Entry(String key, Map<String, Object> value, Revision revision) {}

    /**
     * Some entries in the order of their keys.
     *
     * @param hasMore whether entries after the last one are left out
     * @param revision of the store when the page was read
     */
    record Page(List<Entry> entries, boolean hasMore, Revision revision) {}

    /** A change under a watched prefix; {@code value} is null when the key was deleted. */
    record Change(String key, Map<String, Object> value, Revision revision) {}

    /**
     * The changes under a watched prefix after some revision, in their order.
     *
     * @param revision up to which the changes are complete
     */
    record ChangeBatch(Revision revision, List<Change> changes) {}

    /**
     * The result of a transaction: applied, or the keys whose revision was not the required one.
     *
     * @param revision of the store after the transaction, and of all keys that it wrote if it was
     *     applied
     */
    record CommitResult(boolean isApplied, Revision revision, List<String> conflictingKeys) {}

    /** The most entries to ask for in a page; the store's own limits can end a page earlier. */
    int MAX_PAGE_SIZE = 1000;

    /** Reads a key; the result is empty if the key does not exist. */
    CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority);

    /**
     * Reads a page of up to {@link #MAX_PAGE_SIZE} entries.
     *
     * @param after the key to begin after, or null
     */
    default CompletableFuture<Page> list(
            String prefix, String after, RequestPriority requestPriority) {
        return list(prefix, after, MAX_PAGE_SIZE, requestPriority);
    }

    /**
     * Reads a page of the entries whose keys begin with a prefix.
     *
     * @param after the key to begin after, or null
     * @param maxEntries entries in the page at most, up to {@link #MAX_PAGE_SIZE}
     */
    CompletableFuture<Page> list(
            String prefix, String after, int maxEntries, RequestPriority requestPriority);

    /** Applies a transaction if all its conditions hold, and else changes nothing. */
    CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority);

    /** Grants a lease that expires when it is not renewed for so long. */
    CompletableFuture<LeaseId> grantLease(Duration timeToLive);

    /** Renews a lease; fails with {@link LeaseExpiredException} if there is none any more. */
    CompletableFuture<Void> renewLease(LeaseId lease);

    /** Ends a lease at once, and with it deletes the keys attached to it. */
    CompletableFuture<Void> revokeLease(LeaseId lease);

    /**
     * Waits for changes under a prefix, as a long poll.
     *
     * @param after only changes after this revision are returned; fails with {@link
     *     WatchCompactedException} if the store no longer has all of them
     * @param wait how long the store waits for the first change at most; zero returns at once
     */
    CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration wait);

    /** Whether requests failed lately because the store did not answer or was unavailable. */
    boolean seemsUnavailable();
}
