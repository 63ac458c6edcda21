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
public final class AdmissionService {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionService.class);

    /** Users wait 5 s for an answer; by then a retry of ours must have ended. */
    private static final Duration RETRY_DEADLINE = Duration.ofMillis(3500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** Final states kept in memory; they never change, so they need no second look. */
    private static final int MAX_CACHED_FINAL_STATUSES = 4000;

    /** A job's state as users see it. */
    public record JobStatus(JobId id, Phase phase, int done, int running) {}

    /** The phases that users see. */
    public enum Phase {
        QUEUED,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** Counts of a live job, from whoever knows them. */
    public interface LiveStatusSource {
        Optional<JobStatus> statusOf(JobId id);
    }

    /** The request cannot be decided now. */
    public static final class TemporarilyUnavailableException extends RuntimeException {
        public TemporarilyUnavailableException(String why) {
            super(why, null, false, false);
        }
    }

    /** The job can never run. */
    public static final class UnschedulableJobException extends RuntimeException {
        public UnschedulableJobException(String why) {
            super(why, null, false, false);
        }
    }

    /** A submission's outcome: the job's state, and whether it is new. */
    public record SubmissionResult(JobStatus status, boolean isNew) {}

    private record StoredJob(Map<String, Object> record, Revision revision, boolean ended) {}

    private final KeyValueStore store;
    private final EventLoop loop;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final JobEventListeners jobEventListeners;
    private final LiveStatusSource liveStatusSource;
    private final JobStatusCache statusCache;
    private final Map<JobId, JobStatus> finalStatuses =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, JobStatus> eldest) {
                    return size() > MAX_CACHED_FINAL_STATUSES;
                }
            };

    public AdmissionService(
            KeyValueStore store,
            EventLoop loop,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            JobEventListeners jobEventListeners,
            LiveStatusSource liveStatusSource) {
        this.jobEventListeners = jobEventListeners;
        this.store = store;
        this.loop = loop;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.liveStatusSource = liveStatusSource;
        this.statusCache = new JobStatusCache(store, loop);
    }

    public CompletableFuture<SubmissionResult> submit(JobSpec spec) {
        return submit(spec, null, Map.of());
    }

    /**
     * Accepts a job together with what another interface keeps of it, all or nothing.
     *
     * @param secondaryRecord kept beside the job for as long as it lives, or null
     * @param records keys of this job alone, to write with it
     */
    public CompletableFuture<SubmissionResult> submit(
            JobSpec spec,
            SecondaryRecord secondaryRecord,
            Map<String, Map<String, Object>> records) {
        JobStatus known = cachedFinalStatus(spec.id());
        if (known != null) {
            return CompletableFuture.completedFuture(new SubmissionResult(known, false));
        }
        if (machineTypeCatalog.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new TemporarilyUnavailableException("the machine types are not known yet"));
        }
        String never = unschedulableReason(spec);
        if (never != null) {
            // The job may have been accepted before, when the answer was another one.
            return readJob(spec.id())
                    .thenApply(
                            found -> {
                                if (found.isPresent()) {
                                    return new SubmissionResult(
                                            toStatus(spec.id(), found.get()), false);
                                }
                                LOG.info("refused {}: {}", spec.id(), never);
                                throw new UnschedulableJobException(never);
                            });
        }
        if (store.seemsUnavailable()) {
            return CompletableFuture.failedFuture(
                    new TemporarilyUnavailableException("the state service is out"));
        }
        if (secondaryRecord == null && statusCache.cachedStatus(spec.id()) != null) {
            // Repeated while the job lives: a transaction that must fail would cost a change of the
            // state service's budget.
            return getStatus(spec.id())
                    .thenCompose(
                            found ->
                                    found.isPresent()
                                            ? CompletableFuture.completedFuture(
                                                    new SubmissionResult(found.get(), false))
                                            : writeNewJob(spec, null, Map.of()));
        }
        return writeNewJob(spec, secondaryRecord, records);
    }

    private CompletableFuture<SubmissionResult> writeNewJob(
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
        return commitWithRetry(accept, loop.now())
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
                                        new SubmissionResult(
                                                new JobStatus(spec.id(), Phase.QUEUED, 0, 0),
                                                true));
                            }
                            return readJob(spec.id())
                                    .thenApply(
                                            found ->
                                                    new SubmissionResult(
                                                            toStatus(
                                                                    spec.id(),
                                                                    found.orElseThrow(
                                                                            () ->
                                                                                    new TemporarilyUnavailableException(
                                                                                            "the job's record moved"))),
                                                            false));
                        });
    }

    /** Empty when a read has confirmed that there is no such job. */
    public CompletableFuture<Optional<JobStatus>> getStatus(JobId id) {
        JobStatus known = cachedFinalStatus(id);
        if (known != null) {
            return CompletableFuture.completedFuture(Optional.of(known));
        }
        if (statusCache.cachedStatus(id) == null) {
            return readJob(id).thenApply(found -> found.map(record -> toStatus(id, record)));
        }
        return statusCache
                .readBarrier()
                .thenCompose(
                        now -> {
                            JobStatusCache.CachedStatus cachedStatus = statusCache.cachedStatus(id);
                            return cachedStatus == JobStatusCache.CachedStatus.LIVE
                                            || cachedStatus == JobStatusCache.CachedStatus.CANCELLED
                                    ? CompletableFuture.completedFuture(
                                            Optional.of(
                                                    liveStatus(
                                                            id,
                                                            cachedStatus
                                                                    == JobStatusCache.CachedStatus
                                                                            .CANCELLED)))
                                    : (cachedStatus == JobStatusCache.CachedStatus.FINISHED
                                                    ? readFinishedJob(id)
                                                    : readJob(id))
                                            .thenApply(
                                                    found ->
                                                            found.map(
                                                                    record ->
                                                                            toStatus(id, record)));
                        });
    }

    /** Empty when there is no such job. */
    public CompletableFuture<Optional<JobStatus>> cancel(JobId id) {
        JobStatus known = cachedFinalStatus(id);
        if (known != null) {
            return CompletableFuture.completedFuture(Optional.of(known));
        }
        return cancel(id, loop.now());
    }

    private CompletableFuture<Optional<JobStatus>> cancel(JobId id, MonotonicTime begun) {
        return readJob(id)
                .thenCompose(
                        found -> {
                            if (found.isEmpty()
                                    || found.get().ended()
                                    || RecordCodec.isCancelled(found.get().record())) {
                                return CompletableFuture.completedFuture(
                                        found.map(record -> toStatus(id, record)));
                            }
                            Transaction cancel =
                                    new Transaction()
                                            .requireRevision(
                                                    RecordCodec.job(id), found.get().revision())
                                            .put(
                                                    RecordCodec.job(id),
                                                    RecordCodec.withCancellation(
                                                            found.get().record()));
                            return withSecondaryRecord(cancel, found.get().record())
                                    .thenCompose(whole -> commitWithRetry(whole, begun))
                                    .thenCompose(
                                            commitResult -> {
                                                if (!commitResult.isApplied()) {
                                                    if (loop.now()
                                                                    .elapsedSince(begun)
                                                                    .compareTo(RETRY_DEADLINE)
                                                            > 0) {
                                                        return CompletableFuture.failedFuture(
                                                                new TemporarilyUnavailableException(
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
                                                                new JobStatus(
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
    private CompletableFuture<Transaction> withSecondaryRecord(
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
    private CompletableFuture<KeyValueStore.CommitResult> commitWithRetry(
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
                                    || loop.now().elapsedSince(begun).compareTo(RETRY_DEADLINE)
                                            > 0) {
                                return CompletableFuture.<KeyValueStore.CommitResult>failedFuture(
                                        new TemporarilyUnavailableException(
                                                "the state service gave no answer"));
                            }
                            CompletableFuture<KeyValueStore.CommitResult> again =
                                    new CompletableFuture<>();
                            loop.schedule(
                                    RETRY_DELAY,
                                    () ->
                                            commitWithRetry(transaction, begun)
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
    private CompletableFuture<Optional<StoredJob>> readJob(JobId id) {
        JobStatusCache.CacheVersion sent = statusCache.beginRead();
        return store.get(RecordCodec.job(id), RequestPriority.USER)
                .thenCompose(
                        found -> {
                            if (found.isPresent()) {
                                KeyValueStore.Entry entry = found.get();
                                statusCache.recordRead(
                                        id,
                                        entry.revision(),
                                        RecordCodec.isCancelled(entry.value()),
                                        sent);
                                return CompletableFuture.completedFuture(
                                        Optional.of(
                                                new StoredJob(
                                                        entry.value(), entry.revision(), false)));
                            }
                            return readFinishedJob(id);
                        });
    }

    private CompletableFuture<Optional<StoredJob>> readFinishedJob(JobId id) {
        return store.get(RecordCodec.ended(id), RequestPriority.USER)
                .thenApply(
                        ended ->
                                ended.map(
                                        entry ->
                                                new StoredJob(
                                                        entry.value(), entry.revision(), true)));
    }

    private JobStatus toStatus(JobId id, StoredJob storedJob) {
        boolean cancelled = RecordCodec.isCancelled(storedJob.record());
        if (storedJob.ended()) {
            JobStatus state =
                    new JobStatus(
                            id,
                            cancelled ? Phase.CANCELLED : Phase.DONE,
                            RecordCodec.completedTaskCountOf(storedJob.record()),
                            0);
            synchronized (finalStatuses) {
                finalStatuses.put(id, state);
            }
            return state;
        }
        return liveStatus(id, cancelled);
    }

    private JobStatus liveStatus(JobId id, boolean cancelled) {
        if (cancelled) {
            return new JobStatus(id, Phase.CANCELLED, 0, 0);
        }
        // Only the record says whether the job is over; the counts beside it are for display.
        return liveStatusSource
                .statusOf(id)
                .filter(state -> state.phase() != Phase.DONE && state.phase() != Phase.CANCELLED)
                .orElse(new JobStatus(id, Phase.QUEUED, 0, 0));
    }

    private JobStatus cachedFinalStatus(JobId id) {
        synchronized (finalStatuses) {
            return finalStatuses.get(id);
        }
    }

    private String unschedulableReason(JobSpec spec) {
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
