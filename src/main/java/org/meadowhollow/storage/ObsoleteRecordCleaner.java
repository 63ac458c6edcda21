package org.meadowhollow.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * Deletes records that belong to no live job.
 *
 * <p>Deletions have the lowest request priority, because they use up the rate limit for changes
 * that user requests and task starts wait for. One deletion transaction is sent at a time. It does
 * not count among the writer's transactions in flight, because it would delay them while it waits
 * behind requests of higher priority.
 *
 * <p>Confined to the thread of its {@link RecordWriter}.
 */
final class ObsoleteRecordCleaner {
    /** Receives the results of deletion transactions. */
    interface Listener {
        /** Called when the next transaction can be sent. */
        void onReady();

        /** Called when the leader key no longer has this leader's revision. */
        void onLeadershipLost();
    }

    /**
     * The number of obsolete records up to which deletions wait for an idle writer: as many as a
     * surge of one-task jobs leaves behind in a few minutes.
     */
    private static final int MAX_WAITING_KEYS = 2000;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Revision leaderKeyRevision;
    private final Duration retryDelay;
    private final Listener listener;
    private final List<String> obsoleteKeys = new ArrayList<>();

    /**
     * Whether a deletion transaction is in flight, or one failed and the retry delay has not
     * passed.
     */
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
     * Sends the next deletion transaction if there are obsolete records and no other writes take
     * precedence.
     *
     * @param isWriterIdle whether no other transaction of the writer is in flight; if one is,
     *     deletions wait until more than {@link #MAX_WAITING_KEYS} records are obsolete
     * @param maxWrites the largest number of deletions in the transaction
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
        RepeatingSteps.handle(
                loop,
                RepeatingStep.RECORD_DELETION,
                store.commit(transaction, RequestPriority.BACKGROUND),
                (commitResult, failure) -> handleResult(transaction, commitResult, failure),
                () -> retryLater(transaction));
    }

    private void handleResult(
            Transaction transaction, KeyValueStore.CommitResult commitResult, Throwable failure) {
        if (failure == null && commitResult.isApplied()) {
            resume();
            return;
        }
        if (failure == null) {
            // The leader key is the only condition.
            listener.onLeadershipLost();
        } else {
            retryLater(transaction);
        }
    }

    private void retryLater(Transaction transaction) {
        obsoleteKeys.addAll(transaction.writes().keySet());
        loop.schedule(retryDelay, this::resume);
    }

    private void resume() {
        isBusy = false;
        listener.onReady();
    }
}
