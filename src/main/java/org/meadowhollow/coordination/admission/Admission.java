package org.meadowhollow.coordination.admission;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskTracer;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.Transaction;
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

    private record Found(Map<String, Object> record, Revision version, boolean ended) {}

    private final KeyValueStore store;
    private final EventLoop loop;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final JobEventListeners jobEventListeners;
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
            KeyValueStore store,
            EventLoop loop,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            JobEventListeners jobEventListeners,
            Counts counts) {
        this.jobEventListeners = jobEventListeners;
        this.store = store;
        this.loop = loop;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.counts = counts;
        this.live = new LiveJobs(store, loop);
    }

    public CompletableFuture<Accepted> submit(JobSpec spec) {
        return submit(spec, null, Map.of());
    }

    /**
     * Accepts a job together with what another interface keeps of it, all or nothing.
     *
     * @param secondaryRecord kept beside the job for as long as it lives, or null
     * @param records keys of this job alone, to write with it
     */
    public CompletableFuture<Accepted> submit(
            JobSpec spec,
            SecondaryRecord secondaryRecord,
            Map<String, Map<String, Object>> records) {
        JobState known = cached(spec.id());
        if (known != null) {
            return CompletableFuture.completedFuture(new Accepted(known, false));
        }
        if (machineTypeCatalog.isEmpty()) {
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
        if (store.seemsUnavailable()) {
            return CompletableFuture.failedFuture(new TryLater("the state service is out"));
        }
        if (secondaryRecord == null && live.sight(spec.id()) != null) {
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
        return accept(spec, secondaryRecord, records);
    }

    private CompletableFuture<Accepted> accept(
            JobSpec spec,
            SecondaryRecord secondaryRecord,
            Map<String, Map<String, Object>> records) {
        long now = loop.wallClockMillis();
        Map<String, Object> record =
                RecordCodec.job(
                        spec,
                        now,
                        RecordCodec.shardSize(deploymentSettings.maxValueBytes()),
                        false,
                        secondaryRecord);
        Transaction accept =
                new Transaction()
                        .requireRevision(RecordCodec.job(spec.id()), Revision.ABSENT)
                        .requireRevision(RecordCodec.ended(spec.id()), Revision.ABSENT)
                        .put(RecordCodec.job(spec.id()), record);
        if (secondaryRecord != null) {
            accept.put(secondaryRecord.key(), secondaryRecord.encodeAccepted());
        }
        records.forEach(accept::put);
        return commit(accept, loop.now())
                .thenCompose(
                        commitResult -> {
                            if (commitResult.isApplied()) {
                                jobEventListeners
                                        .eventLog()
                                        .logJobEvent(
                                                commitResult.revision(),
                                                JobEventLog.EventType.ACCEPTED,
                                                spec.id(),
                                                spec.team());
                                TaskTracer.TracedTask task =
                                        secondaryRecord == null
                                                ? null
                                                : secondaryRecord.tracedTask(
                                                        spec.id(), spec.team());
                                if (task != null) {
                                    jobEventListeners
                                            .tracer()
                                            .onTaskAccepted(task, now, loop.wallClockMillis());
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

    private CompletableFuture<Optional<JobState>> cancel(JobId id, MonotonicTime begun) {
        return find(id).thenCompose(
                        found -> {
                            if (found.isEmpty()
                                    || found.get().ended()
                                    || RecordCodec.isCancelled(found.get().record())) {
                                return CompletableFuture.completedFuture(
                                        found.map(record -> state(id, record)));
                            }
                            Transaction cancel =
                                    new Transaction()
                                            .requireRevision(
                                                    RecordCodec.job(id), found.get().version())
                                            .put(
                                                    RecordCodec.job(id),
                                                    RecordCodec.withCancellation(
                                                            found.get().record()));
                            return withCompanion(cancel, found.get().record())
                                    .thenCompose(whole -> commit(whole, begun))
                                    .thenCompose(
                                            commitResult -> {
                                                if (!commitResult.isApplied()) {
                                                    if (loop.now()
                                                                    .elapsedSince(begun)
                                                                    .compareTo(PATIENCE)
                                                            > 0) {
                                                        return CompletableFuture.failedFuture(
                                                                new TryLater(
                                                                        "the job's record keeps changing"));
                                                    }
                                                    return cancel(id, begun);
                                                }
                                                LOG.info("cancelled {} for its user", id);
                                                jobEventListeners
                                                        .eventLog()
                                                        .logJobEvent(
                                                                commitResult.revision(),
                                                                JobEventLog.EventType.CANCELLED,
                                                                id,
                                                                RecordCodec.teamOf(
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
        String key = RecordCodec.secondaryRecordKey(jobRecord);
        if (key == null) {
            return CompletableFuture.completedFuture(cancel);
        }
        return store.get(key, RequestPriority.USER)
                .thenApply(
                        entry ->
                                entry.map(
                                                found ->
                                                        cancel.requireRevision(
                                                                        key, found.revision())
                                                                .put(
                                                                        key,
                                                                        SecondaryRecord
                                                                                .withCancellationRequested(
                                                                                        found
                                                                                                .value())))
                                        .orElse(cancel));
    }

    /**
     * A transaction that may have been applied unanswered is guarded, so it can be sent once more.
     */
    private CompletableFuture<KeyValueStore.CommitResult> commit(
            Transaction transaction, MonotonicTime begun) {
        return store.commit(transaction, RequestPriority.USER)
                .handle(
                        (commitResult, failure) -> {
                            if (failure == null) {
                                return CompletableFuture.completedFuture(commitResult);
                            }
                            if (KeyValueStoreException.outcomeOf(failure) == Outcome.INVALID_REQUEST
                                    || store.seemsUnavailable()
                                            && KeyValueStoreException.outcomeOf(failure)
                                                    == Outcome.REJECTED
                                    || loop.now().elapsedSince(begun).compareTo(PATIENCE) > 0) {
                                return CompletableFuture.<KeyValueStore.CommitResult>failedFuture(
                                        new TryLater("the state service gave no answer"));
                            }
                            CompletableFuture<KeyValueStore.CommitResult> again =
                                    new CompletableFuture<>();
                            loop.schedule(
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
        return store.get(RecordCodec.job(id), RequestPriority.USER)
                .thenCompose(
                        found -> {
                            if (found.isPresent()) {
                                KeyValueStore.Entry entry = found.get();
                                live.read(
                                        id,
                                        entry.revision(),
                                        RecordCodec.isCancelled(entry.value()),
                                        sent);
                                return CompletableFuture.completedFuture(
                                        Optional.of(
                                                new Found(entry.value(), entry.revision(), false)));
                            }
                            return findEnded(id);
                        });
    }

    private CompletableFuture<Optional<Found>> findEnded(JobId id) {
        return store.get(RecordCodec.ended(id), RequestPriority.USER)
                .thenApply(
                        ended ->
                                ended.map(
                                        entry -> new Found(entry.value(), entry.revision(), true)));
    }

    private JobState state(JobId id, Found found) {
        boolean cancelled = RecordCodec.isCancelled(found.record());
        if (found.ended()) {
            JobState state =
                    new JobState(
                            id,
                            cancelled ? Phase.CANCELLED : Phase.DONE,
                            RecordCodec.completedTaskCountOf(found.record()),
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
        DeploymentSettings.TeamQuota teamQuota = deploymentSettings.teamQuotas().get(spec.team());
        if (teamQuota == null) {
            return "there is no team " + spec.team();
        }
        Resources atOnce =
                spec.kind() == JobKind.ARRAY
                        ? spec.resourcesPerTask()
                        : spec.resourcesPerTask().times(spec.taskCount());
        if (teamQuota.limit().cpu() > 0 && atOnce.cpu() > teamQuota.limit().cpu()
                || teamQuota.limit().gpu() > 0 && atOnce.gpu() > teamQuota.limit().gpu()) {
            return "the job needs more than the limit of team " + spec.team();
        }
        Set<String> zones = new HashSet<>();
        for (MachineType type : machineTypeCatalog.types()) {
            if (spec.allowsMachineType(type.name())
                    && spec.resourcesPerTask().fitsIn(type.capacity())) {
                type.zones().stream().filter(spec::allowsZone).forEach(zones::add);
            }
        }
        if (zones.isEmpty()) {
            return spec.requiredZone() == null
                            || deploymentSettings.zones().contains(spec.requiredZone())
                    ? "a task fits no machine type that the job allows"
                    : "there is no zone " + spec.requiredZone();
        }
        // All of a gang's tasks run at the same time; an array's or a service's may run half by
        // half.
        boolean inOneZone = spec.requiresSingleZone() || zones.size() == 1;
        return spec.kind() == JobKind.GANG && inOneZone && spec.taskCount() > spec.maxTasksPerZone()
                ? "its tasks run together, may only be in one zone, and only half of them may be in one"
                : null;
    }
}
