package org.meadowhollow.bookkeeping;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The small consistent store in which everything that must last is kept. Calls fail with a {@link
 * StateException}.
 */
public interface StateStore {
    /** Who goes first when the request budget is short. */
    enum Urgency {
        LEASE,
        USER,
        PLACEMENT,
        BACKGROUND
    }

    record Entry(String key, Map<String, Object> value, Version version) {}

    record Page(List<Entry> entries, boolean more, Version revision) {}

    /** A change under a watched prefix; {@code value} is null when the key was removed. */
    record Change(String key, Map<String, Object> value, Version version) {}

    record Changes(Version revision, List<Change> changes) {}

    /**
     * The outcome of a transaction: applied, or the keys that did not have the version expected.
     */
    record Commit(boolean applied, Version revision, List<String> failed) {}

    CompletableFuture<Optional<Entry>> get(String key, Urgency urgency);

    /**
     * The longest page that is asked for; a page ends earlier where the service's own limits end
     * it.
     */
    int MOST_LISTED = 1000;

    default CompletableFuture<Page> list(String prefix, String after, Urgency urgency) {
        return list(prefix, after, MOST_LISTED, urgency);
    }

    /**
     * @param after the key to begin after, or null
     * @param most entries in the page, up to {@link #MOST_LISTED}
     */
    CompletableFuture<Page> list(String prefix, String after, int most, Urgency urgency);

    CompletableFuture<Commit> commit(Transaction transaction, Urgency urgency);

    CompletableFuture<LeaseId> grant(Duration ttl);

    CompletableFuture<Void> renew(LeaseId lease);

    /** Ends a lease at once, and with it the keys under it. */
    CompletableFuture<Void> revoke(LeaseId lease);

    CompletableFuture<Changes> watch(String prefix, Version after, Duration wait);

    /** Whether the store has lately given no answer, or an answer of being out. */
    boolean seemsOut();
}
