package org.meadowhollow.storage;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.Revision;

/**
 * The consensus-backed key-value store that holds all state that must outlive a node. Values are
 * maps of field names to numbers, strings, booleans, lists and nested maps; the codecs of this
 * package define their fields.
 *
 * <p>No call blocks. A returned future is completed on the event loop's thread; if it fails, it
 * fails with a {@link KeyValueStoreException}.
 */
public interface KeyValueStore {
    /**
     * The priority of a request while the rate limit is exhausted, in general from highest to
     * lowest.
     */
    enum RequestPriority {
        /** Granting, renewing and revoking the leader's lease, on which leadership depends. */
        LEASE,
        /** Requests on whose result a user waits. */
        USER,
        /** Requests that the leader needs to start and end tasks. */
        PLACEMENT,
        /** Best-effort work and housekeeping. */
        BACKGROUND
    }

    /**
     * A key and its value.
     *
     * @param revision the revision of the key's last change
     */
    record Entry(String key, Map<String, Object> value, Revision revision) {}

    /**
     * A page of entries in the order of their keys.
     *
     * @param hasMore whether there are entries after the last one of this page
     * @param revision the revision of the store when the page was read
     */
    record Page(List<Entry> entries, boolean hasMore, Revision revision) {}

    /** A change under a watched prefix; {@code value} is null when the key was deleted. */
    record Change(String key, Map<String, Object> value, Revision revision) {}

    /**
     * The changes under a watched prefix after a given revision, in the order of their revisions.
     *
     * @param revision the revision up to which the changes are complete
     */
    record ChangeBatch(Revision revision, List<Change> changes) {}

    /**
     * The result of a transaction.
     *
     * @param isApplied whether all conditions held and the writes were applied
     * @param revision the revision of the store after the transaction and, if it was applied, of
     *     all keys that it wrote
     * @param conflictingKeys the keys that did not have their required revision
     */
    record CommitResult(boolean isApplied, Revision revision, List<String> conflictingKeys) {}

    /**
     * The largest number of entries to request in a page; the store's own limits can make a page
     * smaller.
     */
    int MAX_PAGE_SIZE = 1000;

    /** Reads a key; the result is empty if the key does not exist. */
    CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority);

    /**
     * Reads a page of up to {@link #MAX_PAGE_SIZE} entries.
     *
     * @param after the key after which the page begins, or null for the first page
     */
    default CompletableFuture<Page> list(
            String prefix, String after, RequestPriority requestPriority) {
        return list(prefix, after, MAX_PAGE_SIZE, requestPriority);
    }

    /**
     * Reads a page of the entries whose keys begin with a prefix.
     *
     * @param after the key after which the page begins, or null for the first page
     * @param maxEntries the largest number of entries in the page, up to {@link #MAX_PAGE_SIZE}
     */
    CompletableFuture<Page> list(
            String prefix, String after, int maxEntries, RequestPriority requestPriority);

    /** Applies a transaction if all its conditions hold, and changes nothing otherwise. */
    CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority);

    /** Grants a lease that expires unless it is renewed within {@code timeToLive}. */
    CompletableFuture<LeaseId> grantLease(Duration timeToLive);

    /** Renews a lease; fails with {@link LeaseExpiredException} if the lease no longer exists. */
    CompletableFuture<Void> renewLease(LeaseId lease);

    /** Revokes a lease, which deletes the keys attached to it. */
    CompletableFuture<Void> revokeLease(LeaseId lease);

    /**
     * Waits for changes under a prefix, as a long poll.
     *
     * @param after only changes after this revision are returned; fails with {@link
     *     WatchCompactedException} if the store no longer has all of them
     * @param maxWait the longest time that the store waits for the first change; zero returns at
     *     once
     */
    CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration maxWait);

    /** Whether requests failed recently because the store did not answer or was unavailable. */
    boolean seemsUnavailable();
}
