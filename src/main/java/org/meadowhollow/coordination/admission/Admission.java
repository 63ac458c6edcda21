package org.meadowhollow.coordination.admission;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.bookkeeping.Catalog;
import org.meadowhollow.bookkeeping.Companion;
import org.meadowhollow.bookkeeping.EventLoop;
import org.meadowhollow.bookkeeping.JobId;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.bookkeeping.MachineType;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Observers;
import org.meadowhollow.bookkeeping.OrderLog;
import org.meadowhollow.bookkeeping.Records;
import org.meadowhollow.bookkeeping.Resources;
import org.meadowhollow.bookkeeping.StateException;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.TaskTraces;
import org.meadowhollow.bookkeeping.Transaction;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.coordination.platform.Platform;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What users ask for, answered by any node straight from the state service, so that it goes on
 * while the leadership changes and no answer is older than another node's.
 */
public final class Admission {
    private static final Logger LOG = LoggerFactory.getLogger(Admission.class);

    /** Users wait 5 s for an answer; by then a retry of ours must have ended. */
    private static final Duration PATIENCE = Duration.ofMillis(3500);

    private static final Duration RETRY = Duration.ofMillis(200);

    /** Final states kept in memory; they never change, so they need no second look. */
    private static final int MOST_CACHED = 4000;

    /** A job's state as users see it. */
    public record JobState(JobId id, Phase phase, int done, int running) {}

    /** The phases that users see. */
    public enum Phase {
        QUEUED,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** Counts of a live job, from whoever knows them. */
    public interface Counts {
        Optional<JobState> of(JobId id);
    }

    /** The request cannot be decided now. */
    public static final class TryLater extends RuntimeException {
        public TryLater(String why) {
            super(why, null, false, false);
        }
    }

    /** The job can never run. */
    public static final class NeverRuns extends RuntimeException {
        public NeverRuns(String why) {
            super(why, null, false, false);
        }
    }

    /** A submission's outcome: the job's state, and whether it is new. */
    public record Accepted(JobState state, boolean isNew) {}

    private record Found(Map<String, Object> record, Version version, boolean ended) {}

    private final StateStore store;
    private final EventLoop loop;
    private final Catalog catalog;
    private final Platform platform;
    private final Observers observers;
    private final Counts counts;
    private final LiveJobs live;
    private final Map<JobId, JobState> over =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, JobState> eldest) {
                    return size() > MOST_CACHED;
                }
            };

    public Admission(
            StateStore store,
            EventLoop loop,
            Catalog catalog,
            Platform platform,
            Observers observers,
            Counts counts) {
        this.observers = observers;
        this.store = store;
        this.loop = loop;
        this.catalog = catalog;
        this.platform = platform;
        this.counts = counts;
        this.live = new LiveJobs(store, loop);
    }

    public CompletableFuture<Accepted> submit(JobSpec spec) {
        return submit(spec, null, Map.of());
    }

    /**
     * Accepts a job together with what another interface keeps of it, all or nothing.
     *
     * @param companion kept beside the job for as long as it lives, or null
     * @param records keys of this job alone, to write with it
     */
    public CompletableFuture<Accepted> submit(
            JobSpec spec, Companion companion, Map<String, Map<String, Object>> records) {
        JobState known = cached(spec.id());
        if (known != null) {
            return CompletableFuture.completedFuture(new Accepted(known, false));
        }
        if (catalog.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new TryLater("the machine types are not known yet"));
        }
        String never = whyNever(spec);
        if (never != null) {
            // The job may have been accepted before, when the answer was another one.
            return find(spec.id())
                    .thenApply(
                            found -> {
                                if (found.isPresent()) {
                                    return new Accepted(state(spec.id(), found.get()), false);
                                }
                                LOG.info("refused {}: {}", spec.id(), never);
                                throw new NeverRuns(never);
                            });
        }
        if (store.seemsOut()) {
            return CompletableFuture.failedFuture(new TryLater("the state service is out"));
        }
        if (companion == null && live.sight(spec.id()) != null) {
            // Repeated while the job lives: a transaction that must fail would cost a change of the
            // state service's budget.
            return poll(spec.id())
                    .thenCompose(
                            found ->
                                    found.isPresent()
                                            ? CompletableFuture.completedFuture(
                                                    new Accepted(found.get(), false))
                                            : accept(spec, null, Map.of()));
        }
        return accept(spec, companion, records);
    }

    private CompletableFuture<Accepted> accept(
            JobSpec spec, Companion companion, Map<String, Map<String, Object>> records) {
        long now = loop.wallMillis();
        Map<String, Object> record =
                Records.job(spec, now, Records.chunkSize(platform.valueBytes()), false, companion);
        Transaction accept =
                new Transaction()
                        .guard(Records.job(spec.id()), Version.ABSENT)
                        .guard(Records.ended(spec.id()), Version.ABSENT)
                        .put(Records.job(spec.id()), record);
        if (companion != null) {
            accept.put(companion.key(), companion.accepted());
        }
        records.forEach(accept::put);
        return commit(accept, loop.now())
                .thenCompose(
                        commit -> {
                            if (commit.applied()) {
                                observers
                                        .order()
                                        .job(
                                                commit.revision(),
                                                OrderLog.What.ACCEPTED,
                                                spec.id(),
                                                spec.team());
                                TaskTraces.Traced task =
                                        companion == null
                                                ? null
                                                : companion.traced(spec.id(), spec.team());
                                if (task != null) {
                                    observers.traces().accepted(task, now, loop.wallMillis());
                                }
                                return CompletableFuture.completedFuture(
                                        new Accepted(
                                                new JobState(spec.id(), Phase.QUEUED, 0, 0), true));
                            }
                            return find(spec.id())
                                    .thenApply(
                                            found ->
                                                    new Accepted(
                                                            state(
                                                                    spec.id(),
                                                                    found.orElseThrow(
                                                                            () ->
                                                                                    new TryLater(
                                                                                            "the job's record moved"))),
                                                            false));
                        });
    }

    /** Empty when a read has confirmed that there is no such job. */
    public CompletableFuture<Optional<JobState>> poll(JobId id) {
        JobState known = cached(id);
        if (known != null) {
            return CompletableFuture.completedFuture(Optional.of(known));
        }
        if (live.sight(id) == null) {
            return find(id).thenApply(found -> found.map(record -> state(id, record)));
        }
        return live.readBarrier()
                .thenCompose(
                        now -> {
                            LiveJobs.Sight sight = live.sight(id);
                            return sight == LiveJobs.Sight.LIVE || sight == LiveJobs.Sight.CANCELLED
                                    ? CompletableFuture.completedFuture(
                                            Optional.of(
                                                    alive(id, sight == LiveJobs.Sight.CANCELLED)))
                                    : (sight == LiveJobs.Sight.MOVED ? findEnded(id) : find(id))
                                            .thenApply(
                                                    found ->
                                                            found.map(record -> state(id, record)));
                        });
    }

    /** Empty when there is no such job. */
    public CompletableFuture<Optional<JobState>> cancel(JobId id) {
        JobState known = cached(id);
        if (known != null) {
            return CompletableFuture.completedFuture(Optional.of(known));
        }
        return cancel(id, loop.now());
    }

    private CompletableFuture<Optional<JobState>> cancel(JobId id, Moment begun) {
        return find(id).thenCompose(
                        found -> {
                            if (found.isEmpty()
                                    || found.get().ended()
                                    || Records.isCancelled(found.get().record())) {
                                return CompletableFuture.completedFuture(
                                        found.map(record -> state(id, record)));
                            }
                            Transaction cancel =
                                    new Transaction()
                                            .guard(Records.job(id), found.get().version())
                                            .put(
                                                    Records.job(id),
                                                    Records.cancelled(found.get().record()));
                            return withCompanion(cancel, found.get().record())
                                    .thenCompose(whole -> commit(whole, begun))
                                    .thenCompose(
                                            commit -> {
                                                if (!commit.applied()) {
                                                    if (loop.now().since(begun).compareTo(PATIENCE)
                                                            > 0) {
                                                        return CompletableFuture.failedFuture(
                                                                new TryLater(
                                                                        "the job's record keeps changing"));
                                                    }
                                                    return cancel(id, begun);
                                                }
                                                LOG.info("cancelled {} for its user", id);
                                                observers
                                                        .order()
                                                        .job(
                                                                commit.revision(),
                                                                OrderLog.What.CANCELLED,
                                                                id,
                                                                Records.teamOf(
                                                                        found.get().record()));
                                                return CompletableFuture.completedFuture(
                                                        Optional.of(
                                                                new JobState(
                                                                        id,
                                                                        Phase.CANCELLED,
                                                                        0,
                                                                        0)));
                                            });
                        });
    }

    /**
     * Notes the cancellation beside the job as well, so that nobody is told an older state
     * afterwards.
     */
    private CompletableFuture<Transaction> withCompanion(
            Transaction cancel, Map<String, Object> jobRecord) {
        String key = Records.companionKey(jobRecord);
        if (key == null) {
            return CompletableFuture.completedFuture(cancel);
        }
        return store.get(key, Urgency.USER)
                .thenApply(
                        entry ->
                                entry.map(
                                                found ->
                                                        cancel.guard(key, found.version())
                                                                .put(
                                                                        key,
                                                                        Companion.canceling(
                                                                                found.value())))
                                        .orElse(cancel));
    }

    /**
     * A transaction that may have been applied unanswered is guarded, so it can be sent once more.
     */
    private CompletableFuture<StateStore.Commit> commit(Transaction transaction, Moment begun) {
        return store.commit(transaction, Urgency.USER)
                .handle(
                        (commit, failure) -> {
                            if (failure == null) {
                                return CompletableFuture.completedFuture(commit);
                            }
                            if (StateException.of(failure) == Outcome.INVALID
                                    || store.seemsOut()
                                            && StateException.of(failure) == Outcome.REFUSED
                                    || loop.now().since(begun).compareTo(PATIENCE) > 0) {
                                return CompletableFuture.<StateStore.Commit>failedFuture(
                                        new TryLater("the state service gave no answer"));
                            }
                            CompletableFuture<StateStore.Commit> again = new CompletableFuture<>();
                            loop.after(
                                    RETRY,
                                    () ->
                                            commit(transaction, begun)
                                                    .whenComplete(
                                                            (later, lost) -> {
                                                                if (lost == null) {
                                                                    again.complete(later);
                                                                } else {
                                                                    again.completeExceptionally(
                                                                            lost);
                                                                }
                                                            }));
                            return again;
                        })
                .thenCompose(outcome -> outcome);
    }

    /**
     * A job moves only from its live record to its final one, so this order of reads misses
     * nothing.
     */
    private CompletableFuture<Optional<Found>> find(JobId id) {
        LiveJobs.Mark sent = live.mark();
        return store.get(Records.job(id), Urgency.USER)
                .thenCompose(
                        found -> {
                            if (found.isPresent()) {
                                StateStore.Entry entry = found.get();
                                live.read(
                                        id,
                                        entry.version(),
                                        Records.isCancelled(entry.value()),
                                        sent);
                                return CompletableFuture.completedFuture(
                                        Optional.of(
                                                new Found(entry.value(), entry.version(), false)));
                            }
                            return findEnded(id);
                        });
    }

    private CompletableFuture<Optional<Found>> findEnded(JobId id) {
        return store.get(Records.ended(id), Urgency.USER)
                .thenApply(
                        ended ->
                                ended.map(
                                        entry -> new Found(entry.value(), entry.version(), true)));
    }

    private JobState state(JobId id, Found found) {
        boolean cancelled = Records.isCancelled(found.record());
        if (found.ended()) {
            JobState state =
                    new JobState(
                            id,
                            cancelled ? Phase.CANCELLED : Phase.DONE,
                            Records.doneOf(found.record()),
                            0);
            synchronized (over) {
                over.put(id, state);
            }
            return state;
        }
        return alive(id, cancelled);
    }

    private JobState alive(JobId id, boolean cancelled) {
        if (cancelled) {
            return new JobState(id, Phase.CANCELLED, 0, 0);
        }
        // Only the record says whether the job is over; the counts beside it are for display.
        return counts.of(id)
                .filter(state -> state.phase() != Phase.DONE && state.phase() != Phase.CANCELLED)
                .orElse(new JobState(id, Phase.QUEUED, 0, 0));
    }

    private JobState cached(JobId id) {
        synchronized (over) {
            return over.get(id);
        }
    }

    private String whyNever(JobSpec spec) {
        Platform.Team team = platform.teams().get(spec.team());
        if (team == null) {
            return "there is no team " + spec.team();
        }
        Resources atOnce =
                spec.kind() == Kind.ARRAY ? spec.perTask() : spec.perTask().times(spec.tasks());
        if (team.most().cpu() > 0 && atOnce.cpu() > team.most().cpu()
                || team.most().gpu() > 0 && atOnce.gpu() > team.most().gpu()) {
            return "the job needs more than the limit of team " + spec.team();
        }
        Set<String> zones = new HashSet<>();
        for (MachineType type : catalog.types()) {
            if (spec.allowsType(type.name()) && spec.perTask().fitsIn(type.room())) {
                type.zones().stream().filter(spec::allowsZone).forEach(zones::add);
            }
        }
        if (zones.isEmpty()) {
            return spec.zone() == null || platform.zones().contains(spec.zone())
                    ? "a task fits no machine type that the job allows"
                    : "there is no zone " + spec.zone();
        }
        // All of a gang's tasks run at the same time; an array's or a service's may run half by
        // half.
        boolean inOneZone = spec.oneZone() || zones.size() == 1;
        return spec.kind() == Kind.GANG && inOneZone && spec.tasks() > spec.mostPerZone()
                ? "its tasks run together, may only be in one zone, and only half of them may be in one"
                : null;
    }
}
