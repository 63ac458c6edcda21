package org.meadowhollow.coordination.admission;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.CommitResult;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.Transaction;

/**
 * Commits a user's transaction and sends it again after failures, until the user's request times
 * out. Only for transactions with conditions: one that was applied although its response did not
 * arrive then has no effect when it is sent again. Stateless, and usable from any thread.
 */
final class TransactionRetrier {
    /**
     * The time after which nothing is retried: users wait 5 s for a response, and the last retry
     * must have ended by then.
     */
    private static final Duration RETRY_DEADLINE = Duration.ofMillis(3500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final KeyValueStore store;
    private final EventLoop loop;

    TransactionRetrier(KeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /** Whether a user's request has been in progress for too long for another attempt. */
    boolean isPastDeadline(MonotonicTime requestBeganAt) {
        return loop.now().elapsedSince(requestBeganAt).compareTo(RETRY_DEADLINE) > 0;
    }

    /**
     * Commits a transaction, with retries.
     *
     * @return the first result that arrives; fails with {@link
     *     AdmissionService.TemporarilyUnavailableException} if there is none in time
     */
    CompletableFuture<CommitResult> commit(Transaction transaction, MonotonicTime requestBeganAt) {
        return store.commit(transaction, RequestPriority.USER)
                .exceptionallyCompose(
                        failure ->
                                isPermanentFailure(failure) || isPastDeadline(requestBeganAt)
                                        ? CompletableFuture.failedFuture(
                                                new AdmissionService
                                                        .TemporarilyUnavailableException(
                                                        "the state service gave no answer"))
                                        : commitLater(transaction, requestBeganAt));
    }

    /** Whether a retry would fail in the same way. */
    private boolean isPermanentFailure(Throwable failure) {
        Outcome outcome = KeyValueStoreException.outcomeOf(failure);
        return outcome == Outcome.INVALID_REQUEST
                || (store.seemsUnavailable() && outcome == Outcome.REJECTED);
    }

    private CompletableFuture<CommitResult> commitLater(
            Transaction transaction, MonotonicTime requestBeganAt) {
        CompletableFuture<CommitResult> retried = new CompletableFuture<>();
        loop.schedule(RETRY_DELAY, () -> commitInto(retried, transaction, requestBeganAt));
        return retried;
    }

    private void commitInto(
            CompletableFuture<CommitResult> target,
            Transaction transaction,
            MonotonicTime requestBeganAt) {
        CompletableFuture<CommitResult> unusedHandled =
                commit(transaction, requestBeganAt)
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure == null) {
                                        target.complete(result);
                                    } else {
                                        target.completeExceptionally(failure);
                                    }
                                });
    }
}
