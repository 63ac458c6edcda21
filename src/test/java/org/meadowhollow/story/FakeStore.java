package org.meadowhollow.story;

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
import org.meadowhollow.bookkeeping.EventLoop;
import org.meadowhollow.bookkeeping.LeaseId;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Records;
import org.meadowhollow.bookkeeping.StateException;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.Transaction;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.protocol.Wire;

/**
 * The state service in memory; each node has its own line to it, which can be cut or lose answers.
 */
final class FakeStore {
    private static final Duration LATENCY = Duration.ofMillis(3);

    /** Changes that a watch can go back, as the protocol has it. */
    private static final int MOST_LOG = 10_000;

    private static final Duration TIMEOUT = Duration.ofMillis(1500);
    private static final Duration SLOW_TIMEOUT = Duration.ofMillis(3200);

    private record Stored(byte[] value, long version, long lease) {}

    private final EventLoop loop;
    private final Duration usual;
    private Duration latency;
    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final Map<Long, Moment> leases = new HashMap<>();
    private final Map<Long, Duration> ttls = new HashMap<>();
    private final List<StateStore.Change> log = new ArrayList<>();
    private long revision;
    private long nextLease;
    private boolean out;
    private String awaitedKey;
    private Runnable onPut;
    private int limit;
    private double room;
    private Moment roomAt;
    private int changes;
    private int refused;

    FakeStore(EventLoop loop) {
        this(loop, LATENCY);
    }

    FakeStore(EventLoop loop, Duration latency) {
        this.loop = loop;
        this.usual = latency;
        this.latency = latency;
    }

    /** Begins or ends an outage; after one, all leases have their full time again. */
    void out(boolean now) {
        out = now;
        leases.replaceAll((lease, end) -> loop.now().plus(ttls.get(lease)));
    }

    /**
     * From now on the state service takes so many changes a second, with bursts of a second's
     * worth; 0 ends it.
     */
    void limit(int changesPerS) {
        limit = changesPerS;
        room = changesPerS;
        roomAt = loop.now();
    }

    /** Changes that were made, and transactions that found no room in the limit. */
    int changes() {
        return changes;
    }

    int refused() {
        return refused;
    }

    private void spend(int writes) {
        if (limit > 0) {
            room = Math.min(limit, room + loop.now().secondsSince(roomAt) * limit);
            roomAt = loop.now();
            if (room < writes) {
                refused++;
                throw new StateException(Outcome.REFUSED, "too many changes");
            }
            room -= writes;
        }
        changes += writes;
    }

    /**
     * From now on each call takes so long one way, and is waited for longer, as the client does;
     * null ends it.
     */
    void slow(Duration oneWay) {
        latency = oneWay == null ? usual : oneWay;
    }

    private Duration timeout() {
        return latency.equals(usual) ? TIMEOUT : SLOW_TIMEOUT;
    }

    /** What happens just after a key is put, once whoever put it has its answer. */
    void whenPut(String key, Runnable then) {
        awaitedKey = key;
        onPut = then;
    }

    Map<String, Object> value(String key) {
        Stored stored = keys.get(key);
        return stored == null ? null : decode(stored.value());
    }

    /** Writes a record as an earlier node would have left it. */
    void put(String key, Map<String, Object> value) {
        commit(new Transaction().put(key, value));
    }

    int size(String prefix) {
        return (int) keys.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    int largestValue() {
        return keys.values().stream().mapToInt(stored -> stored.value().length).max().orElse(0);
    }

    private void expire() {
        if (out) {
            return;
        }
        for (Map.Entry<Long, Moment> lease : Map.copyOf(leases).entrySet()) {
            if (lease.getValue().isBefore(loop.now())) {
                end(lease.getKey());
            }
        }
    }

    private void end(long lease) {
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
            log.add(new StateStore.Change(key, null, new Version(revision)));
        }
    }

    private StateStore.Commit commit(Transaction transaction) {
        expire();
        spend(transaction.writes().size());
        List<String> failed = new ArrayList<>();
        transaction
                .guards()
                .forEach(
                        (key, version) -> {
                            Stored stored = keys.get(key);
                            if ((stored == null ? 0 : stored.version()) != version.value()) {
                                failed.add(key);
                            }
                        });
        for (Transaction.Write write : transaction.writes().values()) {
            if (write.lease() != null && !leases.containsKey(write.lease().value())) {
                throw new StateException(Outcome.NO_SUCH_LEASE, "no such lease");
            }
        }
        if (!failed.isEmpty()) {
            return new StateStore.Commit(false, new Version(revision), failed);
        }
        revision++;
        transaction
                .writes()
                .forEach(
                        (key, write) -> {
                            if (write.value() != null && key.equals(awaitedKey)) {
                                loop.after(latency.multipliedBy(2), onPut);
                            }
                            if (write.value() == null) {
                                remove(key);
                            } else {
                                keys.put(
                                        key,
                                        new Stored(
                                                Wire.encode(write.value()),
                                                revision,
                                                write.lease() == null ? 0 : write.lease().value()));
                                log.add(
                                        new StateStore.Change(
                                                key,
                                                decode(Wire.encode(write.value())),
                                                new Version(revision)));
                            }
                        });
        return new StateStore.Commit(true, new Version(revision), List.of());
    }

    private static Map<String, Object> decode(byte[] value) {
        try {
            return Wire.decode(value);
        } catch (Malformed impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** One node's line to the store. */
    final class Line implements StateStore {
        private boolean cut;
        private boolean losesAnswers;
        private String hidden = "/";
        private boolean dead;
        private String blindTo;
        private String skipped;
        private boolean failsWatches;
        private boolean goesBack;
        private int mostWrites;
        private int reads;
        private int pages;
        private int watches;
        private final List<Runnable> held = new ArrayList<>();
        private boolean holding;
        private boolean holdsCommits;
        private Random late;
        private double lateShare;
        private Random unanswered;
        private double unansweredShare;
        private int lostCommits;
        private int lateCommits;
        private Duration lateBy;
        private int waitingCommits;
        private Executor process = Runnable::run;
        private Consumer<Runnable> copies = late -> {};

        /** Answers are taken in by a process that may stand still. */
        Line readBy(Executor reader) {
            process = reader;
            return this;
        }

        /**
         * What becomes of each request once more: late copies are executed, and nobody hears of
         * them.
         */
        Line copied(Consumer<Runnable> again) {
            copies = again;
            return this;
        }

        /** Refuses everything, as a node that alone gets 503 sees it. */
        void cut(boolean now) {
            cut = now;
        }

        /** Refuses to list the keys under a prefix, until it is told another one. */
        void hide(String prefix) {
            hidden = prefix;
        }

        /** Watches show nothing, however long they wait. */
        void blind(boolean now) {
            blindTo = now ? "" : null;
        }

        /** Watches of a prefix show nothing, however long they wait; null ends it. */
        void blindTo(String prefix) {
            blindTo = prefix;
        }

        /** Watches of records fail, all but those of the leader's key. */
        void failWatches(boolean now) {
            failsWatches = now;
        }

        /**
         * Watches of records answer with a revision below the one asked from, and no changes, as no
         * store that is right would.
         */
        void goBack(boolean now) {
            goesBack = now;
        }

        /** Watches leave the changes of a key out, as no store that is right would. */
        void skip(String key) {
            skipped = key;
        }

        /** Executes requests but loses the answers. */
        void loseAnswers(boolean now) {
            losesAnswers = now;
        }

        /** Keeps requests back, to deliver them when released, long after the caller gave up. */
        void hold(boolean now) {
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
        void lateWrites(double share, long seed) {
            late = new Random(seed);
            lateShare = share;
        }

        /**
         * From now on no transaction gets an answer, and each is executed so much later; null ends
         * it.
         */
        void lateWritesBy(Duration by) {
            lateBy = by;
        }

        /** Transactions that are to be executed late. */
        int waitingCommits() {
            return waitingCommits;
        }

        /** So many of the transactions are executed at once, and their answers alone are lost. */
        void loseCommitAnswers(double share, long seed) {
            unanswered = new Random(seed);
            unansweredShare = share;
        }

        /** Transactions that were executed, and whose answers were lost for that alone. */
        int lostCommits() {
            return lostCommits;
        }

        /**
         * Transactions that were executed late, whether or not their guards let them change
         * anything.
         */
        int lateCommits() {
            return lateCommits;
        }

        /** The process behind the line is gone: nothing comes back any more. */
        void die() {
            dead = true;
        }

        /** Pages of records read so far, but for the leader's key. */
        int pages() {
            return pages;
        }

        /** Watches opened so far. */
        int watches() {
            return watches;
        }

        /** Keys read one by one so far. */
        int reads() {
            return reads;
        }

        int mostWrites() {
            return mostWrites;
        }

        private <T> CompletableFuture<T> call(Supplier<T> work) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            Runnable execute =
                    () -> {
                        expire();
                        if (cut || out) {
                            fail(answer, Outcome.REFUSED);
                            return;
                        }
                        try {
                            T result = work.get();
                            if (!losesAnswers) {
                                loop.after(latency, () -> complete(answer, result));
                            }
                        } catch (StateException refused) {
                            fail(answer, refused.outcome());
                        }
                    };
            if (holding) {
                held.add(execute);
            } else {
                loop.after(latency, execute);
            }
            copies.accept(
                    () -> {
                        expire();
                        if (!cut && !out) {
                            try {
                                T unused = work.get();
                            } catch (StateException refused) {
                                // Nobody waits for it.
                            }
                        }
                    });
            loop.after(timeout(), () -> fail(answer, Outcome.UNKNOWN));
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
                                    new StateException(outcome, "the fake store says " + outcome));
                        }
                    });
        }

        @Override
        public CompletableFuture<Optional<Entry>> get(String key, Urgency urgency) {
            reads++;
            return call(
                    () ->
                            Optional.ofNullable(keys.get(key))
                                    .map(
                                            stored ->
                                                    new Entry(
                                                            key,
                                                            decode(stored.value()),
                                                            new Version(stored.version()))));
        }

        @Override
        public CompletableFuture<Page> list(
                String prefix, String after, int most, Urgency urgency) {
            pages += prefix.equals(Records.LEADER) ? 0 : 1;
            return call(
                    () -> {
                        if (prefix.startsWith(hidden)) {
                            throw new StateException(Outcome.REFUSED, "hidden");
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
                                            new Version(each.getValue().version())));
                        }
                        return new Page(
                                List.copyOf(entries.subList(0, Math.min(most, entries.size()))),
                                entries.size() > most,
                                new Version(revision));
                    });
        }

        @Override
        public CompletableFuture<Commit> commit(Transaction transaction, Urgency urgency) {
            mostWrites = Math.max(mostWrites, transaction.writes().size());
            if (lateBy != null || lateShare > 0 && late.nextDouble() < lateShare) {
                CompletableFuture<Commit> never = new CompletableFuture<>();
                loop.after(timeout(), () -> fail(never, Outcome.UNKNOWN));
                waitingCommits++;
                loop.after(
                        lateBy != null ? lateBy : Duration.ofMillis(2000 + late.nextInt(10_000)),
                        () -> {
                            waitingCommits--;
                            try {
                                FakeStore.this.commit(transaction);
                                lateCommits++;
                            } catch (StateException refused) {
                                // Nobody hears of it.
                            }
                        });
                return never;
            }
            if (unansweredShare > 0 && unanswered.nextDouble() < unansweredShare) {
                CompletableFuture<Commit> never = new CompletableFuture<>();
                call(() -> FakeStore.this.commit(transaction))
                        .thenAccept(done -> lostCommits += done.applied() ? 1 : 0);
                loop.after(timeout(), () -> fail(never, Outcome.UNKNOWN));
                return never;
            }
            boolean heldBefore = holding;
            holding |= holdsCommits;
            try {
                return call(() -> FakeStore.this.commit(transaction));
            } finally {
                holding = heldBefore;
            }
        }

        @Override
        public CompletableFuture<LeaseId> grant(Duration ttl) {
            return call(
                    () -> {
                        leases.put(++nextLease, loop.now().plus(ttl));
                        ttls.put(nextLease, ttl);
                        return new LeaseId(nextLease);
                    });
        }

        @Override
        public CompletableFuture<Void> renew(LeaseId lease) {
            return call(
                    () -> {
                        if (!leases.containsKey(lease.value())) {
                            throw new StateException(Outcome.NO_SUCH_LEASE, "the lease has ended");
                        }
                        leases.put(lease.value(), loop.now().plus(ttls.get(lease.value())));
                        return null;
                    });
        }

        @Override
        public CompletableFuture<Void> revoke(LeaseId lease) {
            return call(
                    () -> {
                        leases.computeIfPresent(lease.value(), (id, until) -> loop.now());
                        expire();
                        return null;
                    });
        }

        @Override
        public CompletableFuture<Changes> watch(String prefix, Version after, Duration wait) {
            watches++;
            CompletableFuture<Changes> answer = new CompletableFuture<>();
            if (cut || out) {
                loop.after(latency, () -> fail(answer, Outcome.REFUSED));
            } else {
                look(answer, prefix, after, loop.now().plus(wait));
            }
            return answer;
        }

        private void look(
                CompletableFuture<Changes> answer, String prefix, Version after, Moment until) {
            expire();
            if (failsWatches && !prefix.equals(Records.LEADER)) {
                loop.after(latency, () -> fail(answer, Outcome.UNKNOWN));
                return;
            }
            if (goesBack && !prefix.equals(Records.LEADER)) {
                loop.after(
                        latency,
                        () ->
                                complete(
                                        answer,
                                        new Changes(new Version(after.value() - 1), List.of())));
                return;
            }
            List<Change> found = new ArrayList<>();
            boolean blind = blindTo != null && prefix.startsWith(blindTo);
            if (!cut
                    && !out
                    && !blind
                    && !log.isEmpty()
                    && log.size() > MOST_LOG
                    && log.get(log.size() - MOST_LOG)
                            .version()
                            .isAfter(new Version(after.value() + 1))) {
                loop.after(latency, () -> fail(answer, Outcome.TOO_OLD));
                return;
            }
            if (!cut && !out && !blind) {
                // The log is in the order of versions, and a watcher is mostly near its end.
                int from = log.size();
                while (from > 0 && log.get(from - 1).version().isAfter(after)) {
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
                Changes changes =
                        new Changes(cut || out || blind ? after : new Version(revision), found);
                loop.after(latency, () -> complete(answer, changes));
            } else if (!dead) {
                loop.after(Duration.ofMillis(50), () -> look(answer, prefix, after, until));
            }
        }

        @Override
        public boolean seemsOut() {
            return out || cut;
        }
    }
}
