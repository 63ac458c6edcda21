package org.meadowhollow.coordination.admission;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.admission.JobRecordReader.StoredJob;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PortGuard;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskTracer;
import org.meadowhollow.storage.JobRecordCodec;
import org.meadowhollow.storage.JsonSize;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.TaskShardCodec;
import org.meadowhollow.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts jobs, shows their states and cancels them. Any node answers directly from the key-value
 * store, so that users are served while the leadership changes, and no response shows an older
 * state than another node has already shown. Submitting and cancelling are idempotent. Used by the
 * native job API and the TES API.
 *
 * <p>The returned futures fail with {@link TemporarilyUnavailableException} when the outcome is not
 * known in time, and with the store's exceptions when a read fails. Thread-safe; all state is in
 * caches, each with a lock of its own.
 */
public final class AdmissionService {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionService.class);

    /**
     * A job's state as users see it.
     *
     * @param completedTasks the number of tasks that have completed
     * @param runningTasks the number of tasks that are running
     */
    public record JobStatus(JobId id, Phase phase, int completedTasks, int runningTasks) {}

    /** The phases that users see. */
    public enum Phase {
        QUEUED,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** Provides the numbers of running and completed tasks of live jobs, as known to the leader. */
    public interface LiveStatusSource {
        /** The state of a live job; empty if this source does not know the job. */
        Optional<JobStatus> statusOf(JobId id);
    }

    /** Thrown when a request cannot be decided now; it may be repeated. */
    public static final class TemporarilyUnavailableException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /**
         * Creates the exception, without a stack trace.
         *
         * @param reason the reason, which is shown to the user
         */
        public TemporarilyUnavailableException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Thrown when a submitted job can never run. */
    public static final class UnschedulableJobException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /**
         * Creates the exception, without a stack trace.
         *
         * @param reason the reason, which is shown to the user
         */
        public UnschedulableJobException(String reason) {
            super(reason, null, false, false);
        }
    }

    /**
     * The outcome of a submission.
     *
     * @param isNew whether this request created the job, rather than an earlier one
     */
    public record SubmissionResult(JobStatus status, boolean isNew) {
        private static SubmissionResult existing(JobStatus status) {
            return new SubmissionResult(status, false);
        }
    }

    private final KeyValueStore store;
    private final EventLoop loop;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final JobEventListeners jobEventListeners;
    private final FeasibilityCheck feasibilityCheck;
    private final TransactionRetrier transactionRetrier;
    private final JobStatusCache statusCache;
    private final JobRecordReader jobRecordReader;
    private final JobStatusResolver statusResolver;

    /** Creates the service of one node. */
    public AdmissionService(
            KeyValueStore store,
            EventLoop loop,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            JobEventListeners jobEventListeners,
            LiveStatusSource liveStatusSource) {
        this.jobEventListeners = jobEventListeners;
        this.store = PortGuard.guard(store);
        this.loop = loop;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.feasibilityCheck = new FeasibilityCheck(machineTypeCatalog, deploymentSettings);
        this.transactionRetrier = new TransactionRetrier(this.store, loop);
        this.statusCache = new JobStatusCache(this.store, loop);
        this.jobRecordReader = new JobRecordReader(this.store, statusCache);
        this.statusResolver = new JobStatusResolver(liveStatusSource);
    }

    /**
     * Accepts a job, or returns the state of the job with the same id that was accepted before.
     *
     * @return a future that fails with {@link UnschedulableJobException} if the job is new and can
     *     never run
     */
    public CompletableFuture<SubmissionResult> submit(JobSpec spec) {
        return submit(spec, null, Map.of());
    }

    /**
     * Accepts a job and writes the records that a secondary interface keeps for it, atomically.
     *
     * @param secondaryRecord the record that is kept for as long as the job lives, or null
     * @param records further records to write in the same transaction, by key; the keys must belong
     *     to this job alone
     * @return as for {@link #submit(JobSpec)}
     */
    public CompletableFuture<SubmissionResult> submit(
            JobSpec spec,
            SecondaryRecord secondaryRecord,
            Map<String, Map<String, Object>> records) {
        Optional<JobStatus> finalStatus = statusResolver.cachedFinalStatus(spec.id());
        if (finalStatus.isPresent()) {
            return CompletableFuture.completedFuture(SubmissionResult.existing(finalStatus.get()));
        }
        if (machineTypeCatalog.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new TemporarilyUnavailableException("the machine types are not known yet"));
        }
        Optional<String> infeasibleReason = feasibilityCheck.infeasibleReason(spec);
        if (infeasibleReason.isPresent()) {
            return rejectUnlessAccepted(spec.id(), infeasibleReason.get());
        }
        if (store.seemsUnavailable()) {
            return CompletableFuture.failedFuture(
                    new TemporarilyUnavailableException("the state service is out"));
        }
        if (secondaryRecord == null && statusCache.cachedStatus(spec.id()).isPresent()) {
            return answerRepeatedSubmission(spec);
        }
        return writeNewJob(spec, secondaryRecord, records);
    }

    /**
     * Rejects a job that fails the feasibility check, unless the job was accepted before: the check
     * passed at that time.
     */
    private CompletableFuture<SubmissionResult> rejectUnlessAccepted(JobId id, String reason) {
        return jobRecordReader
                .read(id)
                .thenApply(
                        found -> {
                            if (found.isPresent()) {
                                return SubmissionResult.existing(
                                        statusResolver.toStatus(id, found.get()));
                            }
                            LOG.info("job rejected job={} reason={}", id, reason);
                            throw new UnschedulableJobException(reason);
                        });
    }

    /**
     * Reads the job to answer a submission that seems to be repeated: a transaction that is bound
     * to fail would consume the key-value store's budget for writes.
     */
    private CompletableFuture<SubmissionResult> answerRepeatedSubmission(JobSpec spec) {
        return getStatus(spec.id())
                .thenCompose(
                        found ->
                                found.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                SubmissionResult.existing(found.get()))
                                        : writeNewJob(spec, null, Map.of()));
    }

    private CompletableFuture<SubmissionResult> writeNewJob(
            JobSpec spec,
            SecondaryRecord secondaryRecord,
            Map<String, Map<String, Object>> records) {
        long acceptedAtMillis = loop.wallClockMillis();
        Map<String, Object> record = encodeJobRecord(spec, secondaryRecord, acceptedAtMillis);
        if (JsonSize.of(record) > deploymentSettings.maxValueBytes()) {
            return rejectUnlessAccepted(
                    spec.id(), "its names are too long to be stored in one record");
        }
        Transaction accept = buildAcceptTransaction(spec, secondaryRecord, record);
        records.forEach(accept::put);
        return transactionRetrier
                .commit(accept, loop.now())
                .thenCompose(
                        result -> {
                            if (!result.isApplied()) {
                                return readExistingJob(spec.id());
                            }
                            notifyAccepted(
                                    spec, secondaryRecord, acceptedAtMillis, result.revision());
                            JobStatus status = new JobStatus(spec.id(), Phase.QUEUED, 0, 0);
                            return CompletableFuture.completedFuture(
                                    new SubmissionResult(status, true));
                        });
    }

    private Map<String, Object> encodeJobRecord(
            JobSpec spec, SecondaryRecord secondaryRecord, long acceptedAtMillis) {
        return JobRecordCodec.encode(
                spec,
                acceptedAtMillis,
                TaskShardCodec.shardSizeFor(deploymentSettings.maxValueBytes()),
                false,
                secondaryRecord);
    }

    /**
     * Builds the transaction that accepts a job; it applies only if no job has this id, live or
     * finished.
     */
    private Transaction buildAcceptTransaction(
            JobSpec spec, SecondaryRecord secondaryRecord, Map<String, Object> record) {
        Transaction accept =
                new Transaction()
                        .requireRevision(RecordKeys.job(spec.id()), Revision.ABSENT)
                        .requireRevision(RecordKeys.endedJob(spec.id()), Revision.ABSENT)
                        .put(RecordKeys.job(spec.id()), record);
        if (secondaryRecord != null) {
            accept.put(secondaryRecord.key(), secondaryRecord.encodeAccepted());
        }
        return accept;
    }

    private void notifyAccepted(
            JobSpec spec,
            SecondaryRecord secondaryRecord,
            long acceptedAtMillis,
            Revision revision) {
        jobEventListeners
                .eventLog()
                .logJobEvent(revision, JobEventLog.EventType.ACCEPTED, spec.id(), spec.team());
        TaskTracer.TracedTask tracedTask =
                secondaryRecord == null ? null : secondaryRecord.tracedTask(spec.id(), spec.team());
        if (tracedTask != null) {
            jobEventListeners
                    .tracer()
                    .onTaskAccepted(tracedTask, acceptedAtMillis, loop.wallClockMillis());
        }
    }

    private CompletableFuture<SubmissionResult> readExistingJob(JobId id) {
        return jobRecordReader
                .read(id)
                .thenApply(
                        found ->
                                found.orElseThrow(
                                        () ->
                                                new TemporarilyUnavailableException(
                                                        "the job's record moved")))
                .thenApply(job -> SubmissionResult.existing(statusResolver.toStatus(id, job)));
    }

    /** Reads a job's state; empty if a read has confirmed that there is no such job. */
    public CompletableFuture<Optional<JobStatus>> getStatus(JobId id) {
        Optional<JobStatus> finalStatus = statusResolver.cachedFinalStatus(id);
        if (finalStatus.isPresent()) {
            return CompletableFuture.completedFuture(finalStatus);
        }
        if (statusCache.cachedStatus(id).isEmpty()) {
            return readStatus(id);
        }
        return statusCache.readBarrier().thenCompose(unused -> statusAfterBarrier(id));
    }

    private CompletableFuture<Optional<JobStatus>> readStatus(JobId id) {
        return jobRecordReader
                .read(id)
                .thenApply(found -> found.map(job -> statusResolver.toStatus(id, job)));
    }

    private CompletableFuture<Optional<JobStatus>> statusAfterBarrier(JobId id) {
        Optional<JobStatusCache.CachedStatus> cached = statusCache.cachedStatus(id);
        if (cached.isEmpty()) {
            return readStatus(id);
        }
        return switch (cached.get()) {
            case LIVE ->
                    CompletableFuture.completedFuture(
                            Optional.of(statusResolver.liveStatus(id, false)));
            case CANCELLED ->
                    CompletableFuture.completedFuture(
                            Optional.of(statusResolver.liveStatus(id, true)));
            case FINISHED ->
                    jobRecordReader
                            .readFinished(id)
                            .thenApply(found -> found.map(job -> statusResolver.toStatus(id, job)));
        };
    }

    /** Cancels a job, unless it has finished; empty if there is no such job. */
    public CompletableFuture<Optional<JobStatus>> cancel(JobId id) {
        Optional<JobStatus> finalStatus = statusResolver.cachedFinalStatus(id);
        if (finalStatus.isPresent()) {
            return CompletableFuture.completedFuture(finalStatus);
        }
        return cancel(id, loop.now());
    }

    private CompletableFuture<Optional<JobStatus>> cancel(JobId id, MonotonicTime requestBeganAt) {
        return jobRecordReader
                .read(id)
                .thenCompose(
                        found -> {
                            if (found.isEmpty()
                                    || found.get().finished()
                                    || found.get().isCancelled()) {
                                return CompletableFuture.completedFuture(
                                        found.map(job -> statusResolver.toStatus(id, job)));
                            }
                            return writeCancellation(id, found.get(), requestBeganAt);
                        });
    }

    private CompletableFuture<Optional<JobStatus>> writeCancellation(
            JobId id, StoredJob job, MonotonicTime requestBeganAt) {
        Transaction cancel =
                new Transaction()
                        .requireRevision(RecordKeys.job(id), job.revision())
                        .put(RecordKeys.job(id), JobRecordCodec.withCancellation(job.record()));
        return withSecondaryRecord(cancel, job.record())
                .thenCompose(transaction -> transactionRetrier.commit(transaction, requestBeganAt))
                .thenCompose(
                        result -> {
                            if (!result.isApplied()) {
                                return retryCancel(id, requestBeganAt);
                            }
                            LOG.info("job cancelled job={} requested_by=user", id);
                            jobEventListeners
                                    .eventLog()
                                    .logJobEvent(
                                            result.revision(),
                                            JobEventLog.EventType.CANCELLED,
                                            id,
                                            JobRecordCodec.teamOf(job.record()));
                            return CompletableFuture.completedFuture(
                                    Optional.of(new JobStatus(id, Phase.CANCELLED, 0, 0)));
                        });
    }

    /**
     * Retries a cancellation after a conflict: the leader has changed the job's record since it was
     * read.
     */
    private CompletableFuture<Optional<JobStatus>> retryCancel(
            JobId id, MonotonicTime requestBeganAt) {
        if (transactionRetrier.isPastDeadline(requestBeganAt)) {
            return CompletableFuture.failedFuture(
                    new TemporarilyUnavailableException("the job's record keeps changing"));
        }
        return cancel(id, requestBeganAt);
    }

    /**
     * Adds the cancellation of the job's secondary record to the transaction, so that the interface
     * that keeps the record shows no older state afterwards.
     */
    private CompletableFuture<Transaction> withSecondaryRecord(
            Transaction cancel, Map<String, Object> jobRecord) {
        String key = JobRecordCodec.secondaryRecordKeyOf(jobRecord);
        if (key == null) {
            return CompletableFuture.completedFuture(cancel);
        }
        return store.get(key, RequestPriority.USER)
                .thenApply(
                        found -> {
                            found.ifPresent(entry -> addCancellation(cancel, key, entry));
                            return cancel;
                        });
    }

    private static void addCancellation(
            Transaction cancel, String key, KeyValueStore.Entry secondary) {
        cancel.requireRevision(key, secondary.revision())
                .put(key, SecondaryRecord.withCancellationRequested(secondary.value()));
    }
}
