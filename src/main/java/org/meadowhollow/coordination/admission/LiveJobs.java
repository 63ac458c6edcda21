package org.meadowhollow.coordination.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordCodec;

/**
 * What this node has seen of live jobs, by which it answers users who ask again and again. What is
 * kept may be old, so nothing is answered from it until a look at the changes, begun after the
 * question came, has been taken in: then no other node can have told anybody anything newer before.
 * One look serves all who ask meanwhile, so that users who ask many times as often cost the state
 * service no more requests.
 *
 * <p>Guards against what was met: polls at a read or two each took the whole budget of the state
 * service, and the leader neither learned of cancellations nor got its own records written.
 */
final class LiveJobs {
    /**
     * Between two looks of a node: unnoticed by a user, and a few requests a second of the state
     * service's budget.
     */
    private static final Duration PACE = Duration.ofMillis(200);

    /** Looks on their way at a time: one that hangs must not hold up those who ask later. */
    private static final int MOST_LOOKS = 4;

    /** Users wait 2 s for an answer; one that comes later is of no use, and they ask again. */
    private static final Duration PATIENCE = Duration.ofMillis(1850);

    /**
     * After so long without a question the changes since then may be many; it is cheaper to begin
     * anew.
     */
    private static final Duration IDLE = Duration.ofSeconds(20);

    /** Jobs kept; a few times as many as live at once on the largest deployments seen. */
    private static final int MOST_KEPT = 8000;

    /**
     * Questions that wait for a look; each holds a connection, of which a process has about as
     * many.
     */
    private static final int MOST_ASKING = 2000;

    /** Looks in a row without an answer after which those who ask are served by reads. */
    private static final int MOST_FAILURES = 2;

    /** What is known of a job that was seen alive. */
    enum Sight {
        LIVE,
        CANCELLED,
        MOVED
    }

    private record Known(Sight sight, Revision version) {}

    private record Asker(CompletableFuture<Void> answer) {}

    /**
     * What was kept when a read was sent, so that its answer is told from what changed meanwhile.
     */
    record Mark(int epoch, long dropped) {}

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Map<JobId, Known> known = new LinkedHashMap<>();
    private List<Asker> asking = new ArrayList<>();
    private Revision reached;
    private MonotonicTime lookedAt;
    private int looks;
    private boolean lookSet;
    private int epoch;
    private long dropped;

    /** Looks without an answer, since the last one that had one. */
    private int failures;

    /** Until when jobs are read instead of followed, or null. */
    private MonotonicTime readUntil;

    LiveJobs(KeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * What was last seen of a job, or null; not to be told to anybody before {@link #readBarrier}.
     */
    synchronized Sight sight(JobId id) {
        Known seen = known.get(id);
        return seen == null ? null : seen.sight();
    }

    /**
     * Completes once all changes up to now are taken in; fails if that is not known within {@link
     * #PATIENCE}.
     */
    CompletableFuture<Void> readBarrier() {
        Asker asker = new Asker(new CompletableFuture<>());
        synchronized (this) {
            if (asking.size() >= MOST_ASKING) {
                return CompletableFuture.failedFuture(
                        new Admission.TryLater("too many ask at once"));
            }
            asking.add(asker);
        }
        loop.schedule(
                PATIENCE,
                () ->
                        asker.answer()
                                .completeExceptionally(
                                        new Admission.TryLater(
                                                "the state service gave no answer")));
        schedule();
        return asker.answer();
    }

    /** To be taken when a read of a job's record is sent, and given with its answer. */
    Mark mark() {
        boolean begin;
        Mark mark;
        synchronized (this) {
            if (reached != null
                    && looks == 0
                    && loop.now().elapsedSince(lookedAt).compareTo(IDLE) > 0) {
                forget();
            }
            begin = reached == null && isFollowed();
            mark = new Mark(epoch, dropped);
        }
        if (begin) {
            schedule();
        }
        return mark;
    }

    /**
     * Keeps what a read found, unless changes that were taken in since may have been forgotten
     * again.
     */
    synchronized void read(JobId id, Revision revision, boolean cancelled, Mark sent) {
        if (reached != null && isFollowed() && sent.epoch() == epoch && sent.dropped() == dropped) {
            keep(id, new Known(cancelled ? Sight.CANCELLED : Sight.LIVE, revision));
        }
    }

    private void keep(JobId id, Known now) {
        Known before = known.get(id);
        if (before != null && !now.version().isAfter(before.version())) {
            return;
        }
        known.put(id, now);
        if (known.size() > MOST_KEPT) {
            Iterator<JobId> eldest = known.keySet().iterator();
            eldest.next();
            eldest.remove();
            dropped++;
        }
    }

    /**
     * Looks that get no answer while reads do (an answer may be larger than the client takes) would
     * leave all who ask about live jobs without one, for as long as that lasts: after two in a row
     * they are served by reads for a time.
     */
    private void failed(Outcome outcome) {
        failures += outcome == Outcome.INDETERMINATE ? 1 : 0;
        if (outcome == Outcome.COMPACTED || failures >= MOST_FAILURES) {
            readUntil = failures >= MOST_FAILURES ? loop.now().plus(IDLE) : readUntil;
            failures = 0;
            forget();
        }
    }

    private boolean isFollowed() {
        return readUntil == null || readUntil.isBefore(loop.now());
    }

    private void forget() {
        known.clear();
        reached = null;
        epoch++;
    }

    private void schedule() {
        Duration pause;
        synchronized (this) {
            if (looks >= MOST_LOOKS || lookSet || reached == null && looks > 0) {
                return;
            }
            Duration since = lookedAt == null ? PACE : loop.now().elapsedSince(lookedAt);
            pause = since.compareTo(PACE) >= 0 ? Duration.ZERO : PACE.minus(since);
            lookSet = !pause.isZero();
        }
        if (pause.isZero()) {
            look();
        } else {
            loop.schedule(
                    pause,
                    () -> {
                        synchronized (this) {
                            lookSet = false;
                        }
                        look();
                    });
        }
    }

    private void look() {
        List<Asker> served;
        Revision from;
        int begun;
        synchronized (this) {
            looks++;
            lookedAt = loop.now();
            served = asking;
            asking = new ArrayList<>();
            from = reached;
            begun = epoch;
        }
        if (from == null) {
            // Where to follow from; whoever asks is served by reads until then.
            store.list(RecordCodec.LEADER_KEY, null, 1, RequestPriority.USER)
                    .whenComplete(
                            (page, failure) ->
                                    looked(
                                            served,
                                            begun,
                                            failure == null
                                                    ? new KeyValueStore.ChangeBatch(
                                                            page.revision(), List.of())
                                                    : null,
                                            failure));
        } else {
            store.watch(RecordCodec.JOB_PREFIX, from, Duration.ZERO)
                    .whenComplete(
                            (changeBatch, failure) -> looked(served, begun, changeBatch, failure));
        }
    }

    private void looked(
            List<Asker> served,
            int begun,
            KeyValueStore.ChangeBatch changeBatch,
            Throwable failure) {
        boolean more;
        boolean current;
        synchronized (this) {
            looks--;
            current = begun == epoch;
            if (failure == null && current) {
                failures = 0;
                // A look that was sent before may be answered after it, when what it shows may have
                // been let go again.
                if (reached == null || changeBatch.revision().isAfter(reached)) {
                    for (KeyValueStore.Change change : changeBatch.changes()) {
                        keep(
                                RecordCodec.jobIdOfKey(change.key()),
                                new Known(
                                        change.value() == null
                                                ? Sight.MOVED
                                                : RecordCodec.isCancelled(change.value())
                                                        ? Sight.CANCELLED
                                                        : Sight.LIVE,
                                        change.revision()));
                    }
                    reached = changeBatch.revision();
                }
            } else {
                if (failure != null && current) {
                    failed(KeyValueStoreException.outcomeOf(failure));
                }
                served.stream().filter(asker -> !asker.answer().isDone()).forEach(asking::add);
            }
            more = !asking.isEmpty();
        }
        if (failure == null && current) {
            served.forEach(asker -> asker.answer().complete(null));
        }
        if (more) {
            schedule();
        }
    }
}
