package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.RequestRejectedException;
import org.meadowhollow.storage.Transaction;

/**
 * One client's connection to the {@link FakeKeyValueStore}. It adds latency and timeouts, and can
 * refuse, hold, delay or lose requests and responses of this client alone. Not thread-safe:
 * everything runs on the event loop.
 */
final class FakeStoreConnection implements KeyValueStore {
    /** Interval at which an open watch polls the change log. */
    private static final Duration WATCH_POLL_INTERVAL = Duration.ofMillis(50);

    private static final int MIN_COMMIT_DELAY_MILLIS = 2000;
    private static final int COMMIT_DELAY_RANGE_MILLIS = 10_000;

    /** Stands for the key of a request that concerns no single key or prefix. */
    private static final String NO_KEY = "";

    private final FakeKeyValueStore store;
    private final EventLoop loop;
    private final MessageDelays messageDelays = new MessageDelays();

    /** Delivers responses to the client's process, which may be paused. */
    private Executor responseExecutor = Runnable::run;

    /** Receives each request a second time, as the network may duplicate it. */
    private Consumer<Runnable> requestDuplicator = duplicate -> {};

    private boolean isClosed;
    private boolean refusesRequests;
    private boolean losesResponses;
    private String hiddenPrefix = "/";

    /** The prefix whose watches deliver no changes; null if no changes are hidden. */
    private String hiddenChangesPrefix;

    /** The prefix whose watches get no answer; null if all do. */
    private String unansweredPrefix;

    private String skippedKey;
    private boolean failsWatches;
    private boolean returnsOlderRevisions;
    private final List<Runnable> heldRequests = new ArrayList<>();
    private boolean holdsRequests;
    private boolean holdsCommits;
    private Random delayRandom;
    private double delayedShare;

    /** The delay of every commit; null unless all commits are delayed. */
    private Duration delayOfAllCommits;

    private Random lossRandom;
    private double lostResponseShare;
    private int delayedCommitCount;
    private int lateCommitCount;
    private int lostCommitCount;
    private int largestCommitWrites;
    private int readCount;
    private int pageReadCount;
    private int watchCount;

    FakeStoreConnection(FakeKeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /** Sets the executor that delivers responses to the client's process, which may be paused. */
    FakeStoreConnection deliverResponsesOn(Executor executor) {
        responseExecutor = executor;
        return this;
    }

    /**
     * Sets the consumer that receives a duplicate of each request; duplicates are executed without
     * a response.
     */
    FakeStoreConnection duplicateRequestsTo(Consumer<Runnable> duplicator) {
        requestDuplicator = duplicator;
        return this;
    }

    // ---- faults ----

    /** Refuses every request, as the store does when it answers a single node with status 503. */
    void refuseRequests(boolean refuse) {
        refusesRequests = refuse;
    }

    /**
     * Refuses to list the keys under a prefix, and no longer under the prefix that was hidden
     * before.
     */
    void hidePrefix(String prefix) {
        hiddenPrefix = prefix;
    }

    /** Makes all watches deliver no changes. */
    void hideAllChanges(boolean hide) {
        hiddenChangesPrefix = hide ? "" : null;
    }

    /** Makes the watches of a prefix deliver no changes; null ends the fault. */
    void hideChanges(String prefix) {
        hiddenChangesPrefix = prefix;
    }

    /** Leaves the watches of a prefix without an answer; null ends the fault. */
    void leaveWatchesUnanswered(String prefix) {
        unansweredPrefix = prefix;
    }

    /** Makes watches fail, except those of the leader key. */
    void failWatches(boolean fail) {
        failsWatches = fail;
    }

    /**
     * Makes watches answer with a revision below the requested one and without changes, which no
     * correct store does.
     */
    void returnOlderRevisions(boolean older) {
        returnsOlderRevisions = older;
    }

    /**
     * Makes watches omit the changes of a key, which no correct store does; null ends the fault.
     */
    void skipChangesOf(String key) {
        skippedKey = key;
    }

    /** Executes requests, but loses their responses. */
    void loseResponses(boolean lose) {
        losesResponses = lose;
    }

    /**
     * Holds requests back. When the fault ends, long after the callers' timeouts, they are
     * executed. The end also ends {@link #holdCommits}.
     */
    void holdRequests(boolean hold) {
        holdsRequests = hold;
        if (!hold) {
            holdsCommits = false;
            List.copyOf(heldRequests).forEach(Runnable::run);
            heldRequests.clear();
        }
    }

    /** Holds back only transactions, until the held requests are released. */
    void holdCommits() {
        holdsCommits = true;
    }

    /**
     * Delays a share of the transactions: they get no response and are executed 2 to 12 s later.
     */
    void delayCommits(double share, long seed) {
        delayRandom = new Random(seed);
        delayedShare = share;
    }

    /**
     * Delays all transactions: they get no response and are executed after the delay; null ends the
     * fault.
     */
    void delayAllCommits(Duration delay) {
        delayOfAllCommits = delay;
    }

    /** Loses the responses of a share of the transactions, which are executed at once. */
    void loseCommitResponses(double share, long seed) {
        lossRandom = new Random(seed);
        lostResponseShare = share;
    }

    /** Returns the delays with which messages overtake one another; none at first. */
    MessageDelays messageDelays() {
        return messageDelays;
    }

    /** Closes the connection when the client's process ends: no response is delivered any more. */
    void close() {
        isClosed = true;
    }

    // ---- counters ----

    /** Returns the number of transactions that wait for their delayed execution. */
    int delayedCommitCount() {
        return delayedCommitCount;
    }

    /**
     * Returns the number of transactions that were executed late and not rejected, whether or not
     * their conditions held.
     */
    int lateCommitCount() {
        return lateCommitCount;
    }

    /**
     * Returns the number of transactions that were applied and whose responses {@link
     * #loseCommitResponses} lost.
     */
    int lostCommitCount() {
        return lostCommitCount;
    }

    /** Returns the number of pages of records that were read, except those of the leader key. */
    int pageReadCount() {
        return pageReadCount;
    }

    /** Returns the number of watches that were opened. */
    int watchCount() {
        return watchCount;
    }

    /** Returns the number of reads of single keys. */
    int readCount() {
        return readCount;
    }

    /** Returns the number of writes in the largest transaction. */
    int largestCommitWrites() {
        return largestCommitWrites;
    }

    // ---- KeyValueStore ----

    @Override
    public CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority) {
        readCount++;
        return call(key, () -> store.get(key));
    }

    @Override
    public CompletableFuture<Page> list(
            String prefix, String after, int limit, RequestPriority requestPriority) {
        pageReadCount += prefix.equals(RecordKeys.LEADER_KEY) ? 0 : 1;
        return call(
                prefix,
                () -> {
                    if (prefix.startsWith(hiddenPrefix)) {
                        throw new RequestRejectedException("listing of a hidden prefix");
                    }
                    return store.list(prefix, after, limit);
                });
    }

    @Override
    public CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority) {
        largestCommitWrites = Math.max(largestCommitWrites, transaction.writes().size());
        if (delayOfAllCommits != null
                || (delayedShare > 0 && delayRandom.nextDouble() < delayedShare)) {
            return commitLate(transaction);
        }
        if (lostResponseShare > 0 && lossRandom.nextDouble() < lostResponseShare) {
            return commitWithoutResponse(transaction);
        }
        boolean previouslyHeld = holdsRequests;
        holdsRequests |= holdsCommits;
        try {
            return call(NO_KEY, () -> store.commit(transaction));
        } finally {
            holdsRequests = previouslyHeld;
        }
    }

    private CompletableFuture<CommitResult> commitLate(Transaction transaction) {
        CompletableFuture<CommitResult> answer = new CompletableFuture<>();
        loop.schedule(store.requestTimeout(), () -> fail(answer, Outcome.INDETERMINATE));
        delayedCommitCount++;
        Duration delay =
                delayOfAllCommits != null
                        ? delayOfAllCommits
                        : Duration.ofMillis(
                                MIN_COMMIT_DELAY_MILLIS
                                        + delayRandom.nextInt(COMMIT_DELAY_RANGE_MILLIS));
        loop.schedule(
                delay,
                () -> {
                    delayedCommitCount--;
                    try {
                        store.commit(transaction);
                        lateCommitCount++;
                    } catch (KeyValueStoreException failure) {
                        // The caller's request has timed out long before.
                    }
                });
        return answer;
    }

    private CompletableFuture<CommitResult> commitWithoutResponse(Transaction transaction) {
        CompletableFuture<CommitResult> answer = new CompletableFuture<>();
        CompletableFuture<Void> unused =
                call(NO_KEY, () -> store.commit(transaction))
                        .thenAccept(result -> lostCommitCount += result.isApplied() ? 1 : 0);
        loop.schedule(store.requestTimeout(), () -> fail(answer, Outcome.INDETERMINATE));
        return answer;
    }

    @Override
    public CompletableFuture<LeaseId> grantLease(Duration ttl) {
        return call(NO_KEY, () -> store.grantLease(ttl));
    }

    @Override
    public CompletableFuture<Void> renewLease(LeaseId lease) {
        return call(
                NO_KEY,
                () -> {
                    store.renewLease(lease);
                    return null;
                });
    }

    @Override
    public CompletableFuture<Void> revokeLease(LeaseId lease) {
        return call(
                NO_KEY,
                () -> {
                    store.revokeLease(lease);
                    return null;
                });
    }

    @Override
    public CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration maxWait) {
        watchCount++;
        CompletableFuture<ChangeBatch> answer = new CompletableFuture<>();
        if (seemsUnavailable()) {
            loop.schedule(store.latency(), () -> fail(answer, Outcome.REJECTED));
        } else {
            openWatch(answer, prefix, after, maxWait);
        }
        return answer;
    }

    private void openWatch(
            CompletableFuture<ChangeBatch> answer,
            String prefix,
            Revision after,
            Duration maxWait) {
        Duration delay = messageDelays.nextRequestDelay(prefix);
        if (delay.isZero()) {
            pollChanges(answer, prefix, after, loop.now().plus(maxWait));
            return;
        }
        loop.schedule(delay, () -> pollChanges(answer, prefix, after, loop.now().plus(maxWait)));
    }

    @Override
    public boolean seemsUnavailable() {
        return store.hasOutage() || refusesRequests;
    }

    private <T> CompletableFuture<T> call(String key, Supplier<T> operation) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        Runnable request = () -> execute(key, operation, answer);
        if (holdsRequests) {
            heldRequests.add(request);
        } else {
            loop.schedule(store.latency().plus(messageDelays.nextRequestDelay(key)), request);
        }
        requestDuplicator.accept(() -> executeDuplicate(operation));
        loop.schedule(store.requestTimeout(), () -> fail(answer, Outcome.INDETERMINATE));
        return answer;
    }

    private <T> void execute(String key, Supplier<T> operation, CompletableFuture<T> answer) {
        store.expireLeases();
        if (seemsUnavailable()) {
            fail(answer, Outcome.REJECTED);
            return;
        }
        try {
            T result = operation.get();
            if (!losesResponses) {
                loop.schedule(responseDelay(key), () -> complete(answer, result));
            }
        } catch (KeyValueStoreException failure) {
            fail(answer, failure.outcome());
        }
    }

    private Duration responseDelay(String key) {
        return store.latency().plus(messageDelays.nextResponseDelay(key));
    }

    private <T> void executeDuplicate(Supplier<T> operation) {
        store.expireLeases();
        if (seemsUnavailable()) {
            return;
        }
        try {
            T unused = operation.get();
        } catch (KeyValueStoreException failure) {
            // A duplicate has no caller.
        }
    }

    private <T> void complete(CompletableFuture<T> answer, T result) {
        responseExecutor.execute(
                () -> {
                    if (!isClosed) {
                        answer.complete(store.transmit(result));
                    }
                });
    }

    private void fail(CompletableFuture<?> answer, Outcome outcome) {
        responseExecutor.execute(
                () -> {
                    if (!isClosed) {
                        answer.completeExceptionally(
                                KeyValueStoreException.of(
                                        outcome, "fake store outcome " + outcome));
                    }
                });
    }

    private void pollChanges(
            CompletableFuture<ChangeBatch> answer,
            String prefix,
            Revision after,
            MonotonicTime deadline) {
        store.expireLeases();
        if (prefix.equals(unansweredPrefix)) {
            return;
        }
        boolean isLeaderWatch = prefix.equals(RecordKeys.LEADER_KEY);
        if (failsWatches && !isLeaderWatch) {
            loop.schedule(store.latency(), () -> fail(answer, Outcome.INDETERMINATE));
            return;
        }
        if (returnsOlderRevisions && !isLeaderWatch) {
            ChangeBatch older = new ChangeBatch(new Revision(after.value() - 1), List.of());
            loop.schedule(store.latency(), () -> complete(answer, older));
            return;
        }
        boolean hidesChanges =
                seemsUnavailable()
                        || (hiddenChangesPrefix != null && prefix.startsWith(hiddenChangesPrefix));
        if (!hidesChanges && store.isCompacted(after)) {
            loop.schedule(store.latency(), () -> fail(answer, Outcome.COMPACTED));
            return;
        }
        List<Change> changes = hidesChanges ? List.of() : visibleChanges(prefix, after);
        if (!changes.isEmpty() || deadline.isBefore(loop.now())) {
            // A client whose changes are hidden does not learn the store's revision either.
            ChangeBatch batch = new ChangeBatch(hidesChanges ? after : store.revision(), changes);
            loop.schedule(responseDelay(prefix), () -> complete(answer, batch));
        } else if (!isClosed) {
            loop.schedule(WATCH_POLL_INTERVAL, () -> pollChanges(answer, prefix, after, deadline));
        }
    }

    private List<Change> visibleChanges(String prefix, Revision after) {
        List<Change> visible = new ArrayList<>();
        for (Change change : store.changesAfter(after)) {
            if (change.key().startsWith(prefix) && !change.key().equals(skippedKey)) {
                visible.add(change);
            }
        }
        return visible;
    }
}
