package org.meadowhollow.bookkeeping;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a leader's records. Every transaction guards on the leader's key, so that a deposed
 * leader's late one fails, and on the versions of what it changes.
 */
public final class Ledger {
    /** What the leader must know of its writes. */
    public interface Listener {
        /** The job is over and its end is in the state service. */
        void ended(Job job);

        /** Changes of the job's tasks are in the state service. */
        void saved(Job job);

        /** The job's record was changed by somebody else. */
        void changedElsewhere(JobId job);

        /** The leader's key is not ours any more. */
        void deposed();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

    /** Bytes of a transaction's body: the protocol's 64 KiB less room for guards and framing. */
    private static final int MOST_BYTES = 40 * 1024;

    /** Transactions at a time: one being answered, one on its way. */
    private static final int MOST_IN_FLIGHT = 2;

    /** Short enough not to be felt, long enough to let a hiccup pass. */
    private static final Duration RETRY = Duration.ofMillis(300);

    private static final int ENTRY_BYTES = 48;

    /**
     * Records of ended jobs that may wait to be cleared away: a few minutes of a crowd of one-task
     * jobs.
     */
    private static final int MOST_LEFTOVERS = 2000;

    /** Writes that go together however short the budget is; the end of a job takes as many. */
    private static final int LEAST_WRITES = 4;

    private final StateStore store;
    private final EventLoop loop;
    private final int mostWrites;
    private final Version leaderVersion;
    private final Observers observers;
    private final Listener listener;
    private final Set<Chunk> dirty = new LinkedHashSet<>();
    private final Set<Job> ending = new LinkedHashSet<>();
    private final Set<JobId> endingInFlight = new LinkedHashSet<>();
    private final List<String> leftovers = new ArrayList<>();

    /**
     * Writes in one transaction: fewer after a refusal, for a large one finds no room in a budget
     * that others use up.
     */
    private int mostNow;

    private int inFlight;
    private boolean clearing;
    private boolean paused;
    private boolean closed;

    public Ledger(
            StateStore store,
            EventLoop loop,
            int mostWrites,
            Version leaderVersion,
            Observers observers,
            Listener listener) {
        this.observers = observers;
        this.store = store;
        this.loop = loop;
        this.mostWrites = mostWrites;
        this.mostNow = mostWrites;
        this.leaderVersion = leaderVersion;
        this.listener = listener;
    }

    /** Notes that a chunk has changes; they are written with the next {@link #flush}. */
    public void changed(Chunk chunk) {
        dirty.add(chunk);
    }

    /** Notes that nothing of the job is left to do, so that its final state can be written. */
    public void ending(Job job) {
        // A job ends once: a second try would fail for ever, and take the rest of its transaction
        // along.
        if (!job.ended() && !endingInFlight.contains(job.id())) {
            ending.add(job);
        }
    }

    /** Notes a record that belongs to no live job. */
    public void leftover(String key) {
        leftovers.add(key);
    }

    /** Records that wait to be written. */
    public int backlog() {
        return dirty.size();
    }

    /** Those of jobs that are not of the lowest priority, which are written first. */
    public int pressingBacklog() {
        int count = 0;
        for (Chunk chunk : dirty) {
            count += isPressing(chunk.job()) ? 1 : 0;
        }
        return count;
    }

    private static boolean isPressing(Job job) {
        return job.spec().priority() != Priority.LOW || job.cancelled();
    }

    public void close() {
        closed = true;
    }

    /** Takes in what a predecessor wrote of a job, all of which is loaded. */
    public void restored(Job job) {
        for (int at = 0; at < job.chunkCount() && observers.order().isOn(); at++) {
            job.chunk(at).restored();
        }
    }

    /** The job's end is in the state service, by a transaction of ours that was never answered. */
    public void endedUnanswered(Job job) {
        trace(job, untraced(job), loop.wallMillis());
        for (int at = 0; at < job.chunkCount(); at++) {
            if (job.hasChunk(at)) {
                leftover(Records.chunk(job.chunk(at)));
            }
        }
        job.end();
        listener.ended(job);
    }

    /**
     * @param placed where the chunk's tasks are in the record, null while nobody wants to know
     * @param over the attempts that the record shows as over, for those who trace the job
     */
    private record Saving(
            Chunk chunk,
            long change,
            Map<Integer, OrderLog.Placed> placed,
            List<Companion.Over> over) {}

    /**
     * @param left records of the job that its end does not clear away; only once that is written,
     *     for without them a successor would run what is done once more
     */
    private record Ending(Job job, List<Companion.Over> over, long millis, List<String> left) {}

    /** Sends what is waiting, as far as transactions may be in flight. */
    public void flush() {
        while (!closed
                && !paused
                && inFlight < MOST_IN_FLIGHT
                && !(dirty.isEmpty() && ending.isEmpty())) {
            Transaction transaction = new Transaction().guard(Records.LEADER, leaderVersion);
            List<Ending> ends = new ArrayList<>();
            List<Saving> saves = new ArrayList<>();
            Map<String, Object> touched = new HashMap<>();
            take(transaction, ends, saves, touched, true);
            boolean pressing = !transaction.writes().isEmpty();
            if (!pressing) {
                take(transaction, ends, saves, touched, false);
            }
            if (transaction.writes().isEmpty()) {
                break;
            }
            inFlight++;
            // What is of the lowest priority goes behind what users ask for.
            store.commit(transaction, pressing ? Urgency.PLACEMENT : Urgency.BACKGROUND)
                    .whenComplete(
                            (commit, failure) -> {
                                inFlight--;
                                settle(ends, saves, touched, commit, failure);
                            });
        }
        if (!closed
                && !paused
                && !clearing
                && !leftovers.isEmpty()
                && (inFlight == 0 || leftovers.size() > MOST_LEFTOVERS)) {
            clear();
        }
    }

    /**
     * Clears records of ended jobs away: behind all else, for it takes changes of a budget that
     * users' calls and starts wait for, and one transaction at a time, beside those in flight,
     * which it would hold up while it waits for its turn.
     */
    private void clear() {
        Transaction transaction = new Transaction().guard(Records.LEADER, leaderVersion);
        while (!leftovers.isEmpty() && transaction.writes().size() < mostNow) {
            transaction.delete(leftovers.remove(leftovers.size() - 1));
        }
        clearing = true;
        store.commit(transaction, Urgency.BACKGROUND)
                .whenComplete(
                        (commit, failure) -> {
                            if (failure == null && commit.applied()) {
                                clearing = false;
                                flush();
                                return;
                            }
                            leftovers.addAll(transaction.writes().keySet());
                            if (failure == null) {
                                deposed();
                                return;
                            }
                            loop.after(
                                    RETRY,
                                    () -> {
                                        clearing = false;
                                        flush();
                                    });
                        });
    }

    /** The leader's key is not ours any more. */
    private void deposed() {
        closed = true;
        listener.deposed();
    }

    private void take(
            Transaction transaction,
            List<Ending> ends,
            List<Saving> saves,
            Map<String, Object> touched,
            boolean pressing) {
        takeChunks(transaction, saves, touched, pressing, mostNow - roomForEnds(pressing));
        takeEnds(transaction, ends, touched, pressing);
        takeChunks(transaction, saves, touched, pressing, mostNow);
    }

    /**
     * Ends take half of a transaction while starts wait: hundreds of small jobs that end together
     * held up every start for a minute when they came first.
     */
    private int roomForEnds(boolean pressing) {
        return ending.stream().anyMatch(job -> isPressing(job) == pressing) ? mostNow / 2 : 0;
    }

    private void takeEnds(
            Transaction transaction,
            List<Ending> ends,
            Map<String, Object> touched,
            boolean pressing) {
        for (Iterator<Job> jobs = ending.iterator(); jobs.hasNext(); ) {
            Job job = jobs.next();
            if (isPressing(job) != pressing) {
                continue;
            }
            boolean pressed = ending.size() * 3 > mostWrites;
            int writes = (job.companion() == null ? 2 : 3) + (pressed ? 0 : 1);
            if (transaction.writes().size() + writes > mostNow && !transaction.writes().isEmpty()) {
                return;
            }
            if (chunkInFlight(job)) {
                continue;
            }
            jobs.remove();
            if (job.ended()) {
                continue;
            }
            endingInFlight.add(job.id());
            Ending end = new Ending(job, untraced(job), loop.wallMillis(), new ArrayList<>());
            ends.add(end);
            touched.put(Records.job(job.id()), job);
            transaction
                    .guard(Records.job(job.id()), job.version())
                    .put(Records.ended(job.id()), Records.ended(job))
                    .delete(Records.job(job.id()));
            putCompanion(transaction, job);
            for (int at = 0; at < job.chunkCount(); at++) {
                if (job.hasChunk(at)) {
                    String key = Records.chunk(job.chunk(at));
                    // A job's end is what its user waits for; what is left of it can go when less
                    // is to be written.
                    if (!pressed && transaction.writes().size() < mostNow) {
                        transaction.delete(key);
                    } else {
                        end.left().add(key);
                    }
                }
                dirty.remove(job.chunk(at));
            }
        }
    }

    private static int bytesOf(Chunk chunk) {
        return ENTRY_BYTES * (chunk.endTask() - chunk.firstTask() + 2);
    }

    private static boolean chunkInFlight(Job job) {
        for (int at = 0; at < job.chunkCount(); at++) {
            if (job.chunk(at).inFlight()) {
                return true;
            }
        }
        return false;
    }

    private void takeChunks(
            Transaction transaction,
            List<Saving> saves,
            Map<String, Object> touched,
            boolean pressing,
            int most) {
        int bytes = 0;
        for (Saving saving : saves) {
            bytes += bytesOf(saving.chunk());
        }
        for (Iterator<Chunk> chunks = dirty.iterator(); chunks.hasNext(); ) {
            Chunk chunk = chunks.next();
            Job job = chunk.job();
            if (job.ended() || !chunk.isDirty()) {
                chunks.remove();
                continue;
            }
            if (isPressing(job) != pressing
                    || chunk.inFlight()
                    || endingInFlight.contains(job.id())
                    || ending.contains(job)) {
                continue;
            }
            bytes += bytesOf(chunk);
            int writes = job.companion() == null ? 1 : 2;
            if (transaction.writes().size() + writes > Math.max(most, writes)
                    || bytes > MOST_BYTES && !saves.isEmpty()) {
                return;
            }
            chunks.remove();
            chunk.inFlight(true);
            saves.add(
                    new Saving(
                            chunk,
                            chunk.changed(),
                            observers.order().isOn() ? chunk.placed() : null,
                            untraced(job)));
            String key = Records.chunk(chunk);
            touched.put(key, chunk);
            touched.put(Records.job(job.id()), job);
            // A start must not be committed after the user was told of a cancellation.
            transaction
                    .guard(Records.job(job.id()), job.version())
                    .guard(key, chunk.version())
                    .put(key, Records.encode(chunk));
            putCompanion(transaction, job);
        }
    }

    /**
     * In the same transaction, so that nobody reads an entry that is older than the job's records.
     */
    private void putCompanion(Transaction transaction, Job job) {
        if (job.companion() != null) {
            transaction.put(job.companion().key(), job.companion().encode(job.progress()));
        }
    }

    // ---- what others are told ----

    private static List<Companion.Over> untraced(Job job) {
        return isTraced(job) ? job.companion().untraced(job.acceptedAtMillis()) : List.of();
    }

    private static boolean isTraced(Job job) {
        return job.companion() != null
                && job.companion().traced(job.id(), job.spec().team()) != null;
    }

    /**
     * @param endedMillis when the job ended, 0 if it has not
     */
    private void trace(Job job, List<Companion.Over> over, long endedMillis) {
        if (isTraced(job)) {
            TaskTraces.Traced task = job.companion().traced(job.id(), job.spec().team());
            job.companion().trace(observers.traces(), task, over);
            if (endedMillis > 0) {
                observers.traces().ended(task, job.progress(), job.acceptedAtMillis(), endedMillis);
            }
        }
    }

    // ---- answers ----

    private void settle(
            List<Ending> ends,
            List<Saving> saves,
            Map<String, Object> touched,
            StateStore.Commit commit,
            Throwable failure) {
        boolean applied = failure == null && commit.applied();
        for (Saving saving : saves) {
            saving.chunk().inFlight(false);
            if (applied) {
                saving.chunk().saved(saving.change(), commit.revision());
                if (saving.placed() != null) {
                    saving.chunk().tell(observers.order(), commit.revision(), saving.placed());
                }
                trace(saving.chunk().job(), saving.over(), 0);
            }
            if (saving.chunk().isDirty()) {
                dirty.add(saving.chunk());
            }
        }
        for (Ending ending : ends) {
            Job job = ending.job();
            endingInFlight.remove(job.id());
            if (applied) {
                for (int at = 0; at < job.chunkCount() && observers.order().isOn(); at++) {
                    job.chunk(at).tell(observers.order(), commit.revision(), Map.of());
                }
                observers
                        .order()
                        .job(commit.revision(), OrderLog.What.ENDED, job.id(), job.spec().team());
                trace(job, ending.over(), ending.millis());
                leftovers.addAll(ending.left());
                job.end();
            } else {
                this.ending.add(job);
            }
        }
        mostNow =
                applied
                        ? Math.min(mostWrites, mostNow + 1)
                        : failure != null && StateException.of(failure) == Outcome.REFUSED
                                ? Math.max(LEAST_WRITES, mostNow / 2)
                                : mostNow;
        if (applied) {
            ends.forEach(each -> listener.ended(each.job()));
            saves.forEach(saving -> listener.saved(saving.chunk().job()));
            flush();
            return;
        }
        if (failure != null) {
            LOG.info("a write failed and will be repeated: {}", failure.getMessage());
            pause();
            return;
        }
        if (commit.failed().contains(Records.LEADER)) {
            deposed();
            return;
        }
        for (String key : commit.failed()) {
            Object record = touched.get(key);
            if (record instanceof Job job) {
                listener.changedElsewhere(job.id());
            } else if (record instanceof Chunk chunk) {
                reread(key, chunk);
            }
        }
        pause();
    }

    /** An unanswered transaction of ours was applied after all: go on from the version it left. */
    private void reread(String key, Chunk chunk) {
        chunk.inFlight(true);
        store.get(key, Urgency.PLACEMENT)
                .whenComplete(
                        (entry, failure) -> {
                            chunk.inFlight(false);
                            if (failure == null) {
                                chunk.adopt(
                                        entry.map(StateStore.Entry::version)
                                                .orElse(Version.ABSENT));
                            }
                            flush();
                        });
    }

    private void pause() {
        paused = true;
        loop.after(
                RETRY,
                () -> {
                    paused = false;
                    flush();
                });
    }
}
