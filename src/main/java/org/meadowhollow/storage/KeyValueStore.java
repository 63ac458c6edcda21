package org.meadowhollow.storage;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.Revision;

/**
 * The small consistent store in which everything that must last is kept. Calls fail with a {@link
 * KeyValueStoreException}.
 */
public interface KeyValueStore {
    /** Who goes first when the request budget is short. */
    enum RequestPriority {
        LEASE,
        USER,
        PLACEMENT,
        BACKGROUND
    }

    record Entry(String key, Map<String, Object> value, Revision revision) {}

    record Page(List<Entry> entries, boolean hasMore, Revision revision) {}

    /** A change under a watched prefix; {@code value} is null when the key was removed. */
    record Change(String key, Map<String, Object> value, Revision revision) {}

    record ChangeBatch(Revision revision, List<Change> changes) {}

    /**
     * The outcome of a transaction: applied, or the keys that did not have the version expected.
     */
    record CommitResult(boolean isApplied, Revision revision, List<String> conflictingKeys) {}

    CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority);

    /**
     * The longest page that is asked for; a page ends earlier where the service's own limits end
     * it.
     */
    int MAX_PAGE_SIZE = 1000;

    default CompletableFuture<Page> list(
            String prefix, String after, RequestPriority requestPriority) {
        return list(prefix, after, MAX_PAGE_SIZE, requestPriority);
    }

    /**
     * @param after the key to begin after, or null
     * @param most entries in the page, up to {@link #MAX_PAGE_SIZE}
     */
    CompletableFuture<Page> list(
            String prefix, String after, int most, RequestPriority requestPriority);

    CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority);

    CompletableFuture<LeaseId> grantLease(Duration ttl);

    CompletableFuture<Void> renewLease(LeaseId lease);

    /** Ends a lease at once, and with it the keys under it. */
    CompletableFuture<Void> revokeLease(LeaseId lease);

    CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration wait);

    /** Whether the store has lately given no answer, or an answer of being out. */
    boolean seemsUnavailable();
}
