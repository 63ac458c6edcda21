package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.Transaction;

/**
 * The state service in memory; each node has its own line to it, which can be cut or lose answers.
 */
final class FakeKeyValueStore {
    private static final Duration DEFAULT_LATENCY = Duration.ofMillis(3);

    /** Changes that a watch can go back, as the protocol has it. */
    private static final int MAX_LOG_ENTRIES = 10_000;

    private static final Duration TIMEOUT = Duration.ofMillis(1500);
    private static final Duration SLOW_TIMEOUT = Duration.ofMillis(3200);

    private record Stored(byte[] value, long version, long lease) {}

    private final EventLoop loop;
    private final Duration usual;
    private Duration latency;
    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final Map<Long, MonotonicTime> leases = new HashMap<>();
    private final Map<Long, Duration> ttls = new HashMap<>();
    private final List<KeyValueStore.Change> log = new ArrayList<>();
    private long revision;
    private long nextLease;
    private boolean setOutage;
    private String awaitedKey;
    private Runnable onPut;
    private int limitWriteRate;
    private double room;
    private MonotonicTime roomAt;
    private int writeCount;
    private int rejectedCount;

    FakeKeyValueStore(EventLoop loop) {
        this(loop, DEFAULT_LATENCY);
    }

    FakeKeyValueStore(EventLoop loop, Duration latency) {
        this.loop = loop;
        this.usual = latency;
        this.latency = latency;
    }

    /** Begins or ends an outage; after one, all leases have their full time again. */
    void setOutage(boolean now) {
        setOutage = now;
        leases.replaceAll((lease, end) -> loop.now().plus(ttls.get(lease)));
    }

    /**
     * From now on the state service takes so many changes a second, with bursts of a second's
     * worth; 0 ends it.
     */
    void limitWriteRate(int changesPerS) {
        limitWriteRate = changesPerS;
        room = changesPerS;
        roomAt = loop.now();
    }

    /** Changes that were made, and transactions that found no room in the limit. */
    int writeCount() {
        return writeCount;
    }

    int rejectedCount() {
        return rejectedCount;
    }

    private void consumeWriteBudget(int writes) {
        if (limitWriteRate > 0) {
            room =
                    Math.min(
                            limitWriteRate,
                            room + loop.now().secondsSince(roomAt) * limitWriteRate);
            roomAt = loop.now();
            if (room < writes) {
                rejectedCount++;
                throw new KeyValueStoreException(Outcome.REJECTED, "too many changes");
            }
            room -= writes;
        }
        writeCount += writes;
    }

    /**
     * From now on each call takes so long one way, and is waited for longer, as the client does;
     * null ends it.
     */
    void setLatency(Duration oneWay) {
        latency = oneWay == null ? usual : oneWay;
    }

    private Duration timeout() {
        return latency.equals(usual) ? TIMEOUT : SLOW_TIMEOUT;
    }

    /** What happens just after a key is put, once whoever put it has its answer. */
    void onPut(String key, Runnable then) {
        awaitedKey = key;
        onPut = then;
    }

    Map<String, Object> valueOf(String key) {
        Stored stored = keys.get(key);
        return stored == null ? null : decode(stored.value());
    }

    /** Writes a record as an earlier node would have left it. */
    void put(String key, Map<String, Object> value) {
        commit(new Transaction().put(key, value));
    }

    int recordCount(String prefix) {
        return (int) keys.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    int largestValueBytes() {
        return keys.values().stream().mapToInt(stored -> stored.value().length).max().orElse(0);
    }

    private void expire() {
        if (setOutage) {
            return;
        }
        for (Map.Entry<Long, MonotonicTime> lease : Map.copyOf(leases).entrySet()) {
            if (lease.getValue().isBefore(loop.now())) {
                expireLease(lease.getKey());
            }
        }
    }

    private void expireLease(long lease) {
        leases.remove(lease);
        for (String key : List.copyOf(keys.keySet())) {
            if (keys.get(key).lease() == lease) {
                revision++;
                remove(key);
            }
        }
    }

    private void remove(String key) {
        if (keys.remove(key) != null) {
            log.add(new KeyValueStore.Change(key, null, new Revision(revision)));
        }
    }

    private KeyValueStore.CommitResult commit(Transaction transaction) {
        expire();
        consumeWriteBudget(transaction.writes().size());
        List<String> failed = new ArrayList<>();
        transaction
                .conditions()
                .forEach(
                        (key, version) -> {
                            Stored stored = keys.get(key);
                            if ((stored == null ? 0 : stored.version()) != version.value()) {
                                failed.add(key);
                            }
                        });
        for (Transaction.Write write : transaction.writes().values()) {
            if (write.lease() != null && !leases.containsKey(write.lease().value())) {
                throw new KeyValueStoreException(Outcome.LEASE_EXPIRED, "no such lease");
            }
        }
        if (!failed.isEmpty()) {
            return new KeyValueStore.CommitResult(false, new Revision(revision), failed);
        }
        revision++;
        transaction
                .writes()
                .forEach(
                        (key, write) -> {
                            if (write.value() != null && key.equals(awaitedKey)) {
                                loop.schedule(latency.multipliedBy(2), onPut);
                            }
                            if (write.value() == null) {
                                remove(key);
                            } else {
                                keys.put(
                                        key,
                                        new Stored(
                                                MessagePackCodec.encode(write.value()),
                                                revision,
                                                write.lease() == null ? 0 : write.lease().value()));
                                log.add(
                                        new KeyValueStore.Change(
                                                key,
                                                decode(MessagePackCodec.encode(write.value())),
                                                new Revision(revision)));
                            }
                        });
        return new KeyValueStore.CommitResult(true, new Revision(revision), List.of());
    }

    private static Map<String, Object> decode(byte[] value) {
        try {
            return MessagePackCodec.decode(value);
        } catch (MalformedMessageException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** One node's line to the store. */
    final class Connection implements KeyValueStore {
        private boolean refuseRequests;
        private boolean losesAnswers;
        private String hidden = "/";
        private boolean dead;
        private String hideChanges;
        private String skipped;
        private boolean failsWatches;
        private boolean goesBack;
        private int largestCommitWrites;
        private int readCount;
        private int pageReadCount;
        private int watchCount;
        private final List<Runnable> held = new ArrayList<>();
        private boolean holding;
        private boolean holdsCommits;
        private Random late;
        private double lateShare;
        private Random unanswered;
        private double unansweredShare;
        private int lostCommitCount;
        private int lateCommitCount;
        private Duration lateBy;
        private int delayedCommitCount;
        private Executor process = Runnable::run;
        private Consumer<Runnable> copies = late -> {};

        /** Answers are taken in by a process that may stand still. */
        Connection deliverResponsesOn(Executor reader) {
            process = reader;
            return this;
        }

        /**
         * What becomes of each request once more: late copies are executed, and nobody hears of
         * them.
         */
        Connection duplicateRequestsTo(Consumer<Runnable> again) {
            copies = again;
            return this;
        }

        /** Refuses everything, as a node that alone gets 503 sees it. */
        void refuseRequests(boolean now) {
            refuseRequests = now;
        }

        /** Refuses to list the keys under a prefix, until it is told another one. */
        void hidePrefix(String prefix) {
            hidden = prefix;
        }

        /** Watches show nothing, however long they wait. */
        void hideAllChanges(boolean now) {
            hideChanges = now ? "" : null;
        }

        /** Watches of a prefix show nothing, however long they wait; null ends it. */
        void hideChanges(String prefix) {
            hideChanges = prefix;
        }

        /** Watches of records fail, all but those of the leader's key. */
        void failWatches(boolean now) {
            failsWatches = now;
        }

        /**
         * Watches of records answer with a revision below the one asked from, and no changes, as no
         * store that is right would.
         */
        void returnOlderRevisions(boolean now) {
            goesBack = now;
        }

        /** Watches leave the changes of a key out, as no store that is right would. */
        void skipChangesOf(String key) {
            skipped = key;
        }

        /** Executes requests but loses the answers. */
        void loseResponses(boolean now) {
            losesAnswers = now;
        }

        /** Keeps requests back, to deliver them when released, long after the caller gave up. */
        void holdRequests(boolean now) {
            holding = now;
            if (!now) {
                holdsCommits = false;
                List.copyOf(held).forEach(Runnable::run);
                held.clear();
            }
        }

        /** Keeps back transactions alone, until all that is held is released. */
        void holdCommits() {
            holdsCommits = true;
        }

        /**
         * So many of the transactions get no answer, and are executed 2 to 12 s later, after newer
         * ones.
         */
        void delayCommits(double share, long seed) {
            late = new Random(seed);
            lateShare = share;
        }

        /**
         * From now on no transaction gets an answer, and each is executed so much later; null ends
         * it.
         */
        void delayAllCommits(Duration by) {
            lateBy = by;
        }

        /** Transactions that are to be executed late. */
        int delayedCommitCount() {
            return delayedCommitCount;
        }

        /** So many of the transactions are executed at once, and their answers alone are lost. */
        void loseCommitResponses(double share, long seed) {
            unanswered = new Random(seed);
            unansweredShare = share;
        }

        /** Transactions that were executed, and whose answers were lost for that alone. */
        int lostCommitCount() {
            return lostCommitCount;
        }

        /**
         * Transactions that were executed late, whether or not their guards let them change
         * anything.
         */
        int lateCommitCount() {
            return lateCommitCount;
        }

        /** The process behind the line is gone: nothing comes back any more. */
        void close() {
            dead = true;
        }

        /** Pages of records read so far, but for the leader's key. */
        int pageReadCount() {
            return pageReadCount;
        }

        /** Watches opened so far. */
        int watchCount() {
            return watchCount;
        }

        /** Keys read one by one so far. */
        int readCount() {
            return readCount;
        }

        int largestCommitWrites() {
            return largestCommitWrites;
        }

        private <T> CompletableFuture<T> call(Supplier<T> work) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            Runnable execute =
                    () -> {
                        expire();
                        if (refuseRequests || setOutage) {
                            fail(answer, Outcome.REJECTED);
                            return;
                        }
                        try {
                            T result = work.get();
                            if (!losesAnswers) {
                                loop.schedule(latency, () -> complete(answer, result));
                            }
                        } catch (KeyValueStoreException refused) {
                            fail(answer, refused.outcome());
                        }
                    };
            if (holding) {
                held.add(execute);
            } else {
                loop.schedule(latency, execute);
            }
            copies.accept(
                    () -> {
                        expire();
                        if (!refuseRequests && !setOutage) {
                            try {
                                T unused = work.get();
                            } catch (KeyValueStoreException refused) {
                                // Nobody waits for it.
                            }
                        }
                    });
            loop.schedule(timeout(), () -> fail(answer, Outcome.INDETERMINATE));
            return answer;
        }

        private <T> void complete(CompletableFuture<T> answer, T result) {
            process.execute(
                    () -> {
                        if (!dead) {
                            answer.complete(result);
                        }
                    });
        }

        private void fail(CompletableFuture<?> answer, Outcome outcome) {
            process.execute(
                    () -> {
                        if (!dead) {
                            answer.completeExceptionally(
                                    new KeyValueStoreException(
                                            outcome, "the fake store says " + outcome));
                        }
                    });
        }

        @Override
        public CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority) {
            readCount++;
            return call(
                    () ->
                            Optional.ofNullable(keys.get(key))
                                    .map(
                                            stored ->
                                                    new Entry(
                                                            key,
                                                            decode(stored.value()),
                                                            new Revision(stored.version()))));
        }

        @Override
        public CompletableFuture<Page> list(
                String prefix, String after, int most, RequestPriority requestPriority) {
            pageReadCount += prefix.equals(RecordCodec.LEADER_KEY) ? 0 : 1;
            return call(
                    () -> {
                        if (prefix.startsWith(hidden)) {
                            throw new KeyValueStoreException(Outcome.REJECTED, "hidden");
                        }
                        List<Entry> entries = new ArrayList<>();
                        for (Map.Entry<String, Stored> each :
                                keys.tailMap(after == null ? prefix : after, after == null)
                                        .entrySet()) {
                            if (!each.getKey().startsWith(prefix) || entries.size() > most) {
                                break;
                            }
                            entries.add(
                                    new Entry(
                                            each.getKey(),
                                            decode(each.getValue().value()),
                                            new Revision(each.getValue().version())));
                        }
                        return new Page(
                                List.copyOf(entries.subList(0, Math.min(most, entries.size()))),
                                entries.size() > most,
                                new Revision(revision));
                    });
        }

        @Override
        public CompletableFuture<CommitResult> commit(
                Transaction transaction, RequestPriority requestPriority) {
            largestCommitWrites = Math.max(largestCommitWrites, transaction.writes().size());
            if (lateBy != null || lateShare > 0 && late.nextDouble() < lateShare) {
                CompletableFuture<CommitResult> never = new CompletableFuture<>();
                loop.schedule(timeout(), () -> fail(never, Outcome.INDETERMINATE));
                delayedCommitCount++;
                loop.schedule(
                        lateBy != null ? lateBy : Duration.ofMillis(2000 + late.nextInt(10_000)),
                        () -> {
                            delayedCommitCount--;
                            try {
                                FakeKeyValueStore.this.commit(transaction);
                                lateCommitCount++;
                            } catch (KeyValueStoreException refused) {
                                // Nobody hears of it.
                            }
                        });
                return never;
            }
            if (unansweredShare > 0 && unanswered.nextDouble() < unansweredShare) {
                CompletableFuture<CommitResult> never = new CompletableFuture<>();
                call(() -> FakeKeyValueStore.this.commit(transaction))
                        .thenAccept(done -> lostCommitCount += done.isApplied() ? 1 : 0);
                loop.schedule(timeout(), () -> fail(never, Outcome.INDETERMINATE));
                return never;
            }
            boolean heldBefore = holding;
            holding |= holdsCommits;
            try {
                return call(() -> FakeKeyValueStore.this.commit(transaction));
            } finally {
                holding = heldBefore;
            }
        }

        @Override
        public CompletableFuture<LeaseId> grantLease(Duration ttl) {
            return call(
                    () -> {
                        leases.put(++nextLease, loop.now().plus(ttl));
                        ttls.put(nextLease, ttl);
                        return new LeaseId(nextLease);
                    });
        }

        @Override
        public CompletableFuture<Void> renewLease(LeaseId lease) {
            return call(
                    () -> {
                        if (!leases.containsKey(lease.value())) {
                            throw new KeyValueStoreException(
                                    Outcome.LEASE_EXPIRED, "the lease has ended");
                        }
                        leases.put(lease.value(), loop.now().plus(ttls.get(lease.value())));
                        return null;
                    });
        }

        @Override
        public CompletableFuture<Void> revokeLease(LeaseId lease) {
            return call(
                    () -> {
                        leases.computeIfPresent(lease.value(), (id, until) -> loop.now());
                        expire();
                        return null;
                    });
        }

        @Override
        public CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration wait) {
            watchCount++;
            CompletableFuture<ChangeBatch> answer = new CompletableFuture<>();
            if (refuseRequests || setOutage) {
                loop.schedule(latency, () -> fail(answer, Outcome.REJECTED));
            } else {
                pollChanges(answer, prefix, after, loop.now().plus(wait));
            }
            return answer;
        }

        private void pollChanges(
                CompletableFuture<ChangeBatch> answer,
                String prefix,
                Revision after,
                MonotonicTime until) {
            expire();
            if (failsWatches && !prefix.equals(RecordCodec.LEADER_KEY)) {
                loop.schedule(latency, () -> fail(answer, Outcome.INDETERMINATE));
                return;
            }
            if (goesBack && !prefix.equals(RecordCodec.LEADER_KEY)) {
                loop.schedule(
                        latency,
                        () ->
                                complete(
                                        answer,
                                        new ChangeBatch(
                                                new Revision(after.value() - 1), List.of())));
                return;
            }
            List<Change> found = new ArrayList<>();
            boolean blind = hideChanges != null && prefix.startsWith(hideChanges);
            if (!refuseRequests
                    && !setOutage
                    && !blind
                    && !log.isEmpty()
                    && log.size() > MAX_LOG_ENTRIES
                    && log.get(log.size() - MAX_LOG_ENTRIES)
                            .revision()
                            .isAfter(new Revision(after.value() + 1))) {
                loop.schedule(latency, () -> fail(answer, Outcome.COMPACTED));
                return;
            }
            if (!refuseRequests && !setOutage && !blind) {
                // The log is in the order of versions, and a watcher is mostly near its end.
                int from = log.size();
                while (from > 0 && log.get(from - 1).revision().isAfter(after)) {
                    from--;
                }
                for (Change change : log.subList(from, log.size())) {
                    if (change.key().startsWith(prefix) && !change.key().equals(skipped)) {
                        found.add(change);
                    }
                }
            }
            if (!found.isEmpty() || until.isBefore(loop.now())) {
                // Who sees nothing cannot be told how far the store has come.
                ChangeBatch changeBatch =
                        new ChangeBatch(
                                refuseRequests || setOutage || blind
                                        ? after
                                        : new Revision(revision),
                                found);
                loop.schedule(latency, () -> complete(answer, changeBatch));
            } else if (!dead) {
                loop.schedule(
                        Duration.ofMillis(50), () -> pollChanges(answer, prefix, after, until));
            }
        }

        @Override
        public boolean seemsUnavailable() {
            return setOutage || refuseRequests;
        }
    }
}
