package org.meadowhollow.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * Deletes records that belong to no live job: behind all other requests, because deletions use up
 * the rate limit for changes that users' calls and starts wait for, and one transaction at a time,
 * beside those in flight, which it would delay while it waits for its turn. Confined to the thread
 * of its {@link RecordWriter}.
 */
final class ObsoleteRecordCleaner {
    /** What a finished transaction leads to. */
    interface Listener {
        /** The next transaction can be sent. */
        void onReady();

        /** The leader key has another revision than this leader's. */
        void onLeadershipLost();
    }

    /** Obsolete records that may wait: a few minutes of a surge of one-task jobs. */
    private static final int MAX_WAITING_KEYS = 2000;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Revision leaderKeyRevision;
    private final Duration retryDelay;
    private final Listener listener;
    private final List<String> obsoleteKeys = new ArrayList<>();

    /** Whether a transaction is in flight, or one failed a short time ago. */
    private boolean isBusy;

    ObsoleteRecordCleaner(
            KeyValueStore store,
            EventLoop loop,
            Revision leaderKeyRevision,
            Duration retryDelay,
            Listener listener) {
        this.store = store;
        this.loop = loop;
        this.leaderKeyRevision = leaderKeyRevision;
        this.retryDelay = retryDelay;
        this.listener = listener;
    }

    void add(String key) {
        obsoleteKeys.add(key);
    }

    void addAll(List<String> keys) {
        obsoleteKeys.addAll(keys);
    }

    /**
     * Sends the next transaction if there is something to delete and the leader's own writes allow
     * it.
     *
     * @param isWriterIdle whether no other transaction is in flight; others are waited for until
     *     too much is obsolete
     * @param maxWrites the most deletions in the transaction
     */
    void deleteIfDue(boolean isWriterIdle, int maxWrites) {
        if (isBusy
                || obsoleteKeys.isEmpty()
                || (!isWriterIdle && obsoleteKeys.size() <= MAX_WAITING_KEYS)) {
            return;
        }
        Transaction transaction =
                new Transaction().requireRevision(RecordKeys.LEADER_KEY, leaderKeyRevision);
        while (!obsoleteKeys.isEmpty() && transaction.writes().size() < maxWrites) {
            transaction.delete(obsoleteKeys.remove(obsoleteKeys.size() - 1));
        }
        isBusy = true;
        CompletableFuture<?> unused =
                store.commit(transaction, RequestPriority.BACKGROUND)
                        .whenComplete(
                                (commitResult, failure) ->
                                        handleResult(transaction, commitResult, failure));
    }

    private void handleResult(
            Transaction transaction, KeyValueStore.CommitResult commitResult, Throwable failure) {
        if (failure == null && commitResult.isApplied()) {
            resume();
            return;
        }
        obsoleteKeys.addAll(transaction.writes().keySet());
        if (failure == null) {
            // The leader key is the only condition.
            listener.onLeadershipLost();
        } else {
            loop.schedule(retryDelay, this::resume);
        }
    }

    private void resume() {
        isBusy = false;
        listener.onReady();
    }
}
