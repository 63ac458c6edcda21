package org.meadowhollow.protocol.jobs;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.KeyValueStoreException;

/**
 * The users' HTTP interface to jobs: submit, poll and cancel. Stateless; all decisions are made by
 * {@link AdmissionService}. Submission is idempotent: a repeated submission of a job gets status
 * 200 instead of 201.
 */
public final class JobApi {
    /** The value of the Retry-After header, in seconds; the protocol allows no shorter pause. */
    private static final int RETRY_AFTER_SECONDS = 1;

    private final AdmissionService admissionService;

    /** Creates an interface to the jobs that {@code admissionService} admits. */
    public JobApi(AdmissionService admissionService) {
        this.admissionService = admissionService;
    }

    /**
     * Submits the job in the request body; replies 400 if the body is malformed, 422 if the job can
     * never run.
     */
    public CompletableFuture<Http.Reply> submit(byte[] body) {
        JobSpec spec;
        try {
            spec = SubmissionCodec.decode(MessageReader.decodeRequest(body));
        } catch (MalformedMessageException malformed) {
            return CompletableFuture.completedFuture(Http.Reply.malformed(malformed));
        }
        return mapFailuresToReplies(
                admissionService
                        .submit(spec)
                        .thenApply(
                                result ->
                                        statusReply(result.isNew() ? 201 : 200, result.status())));
    }

    /** Replies with the status of a job; 404 if no job has this id. */
    public CompletableFuture<Http.Reply> poll(String id) {
        return JobId.isWellFormed(id)
                ? replyWithStatus(admissionService.getStatus(new JobId(id)))
                : jobNotFound();
    }

    /** Cancels a job and replies with its status; 404 if no job has this id. */
    public CompletableFuture<Http.Reply> cancel(String id) {
        return JobId.isWellFormed(id)
                ? replyWithStatus(admissionService.cancel(new JobId(id)))
                : jobNotFound();
    }

    private static Http.Reply statusReply(int status, AdmissionService.JobStatus job) {
        return new Http.Reply(status, JobStatusCodec.encode(job), 0);
    }

    private static CompletableFuture<Http.Reply> jobNotFound() {
        return CompletableFuture.completedFuture(Http.Reply.error(404, "no such job"));
    }

    private static CompletableFuture<Http.Reply> replyWithStatus(
            CompletableFuture<Optional<AdmissionService.JobStatus>> status) {
        return mapFailuresToReplies(
                status.thenApply(
                        job ->
                                job.map(found -> statusReply(200, found))
                                        .orElseGet(() -> Http.Reply.error(404, "no such job"))));
    }

    private static CompletableFuture<Http.Reply> mapFailuresToReplies(
            CompletableFuture<Http.Reply> reply) {
        return reply.exceptionally(
                failure -> {
                    Throwable cause =
                            failure instanceof CompletionException ? failure.getCause() : failure;
                    if (cause instanceof AdmissionService.UnschedulableJobException) {
                        return Http.Reply.error(422, cause.getMessage());
                    }
                    if (cause instanceof AdmissionService.TemporarilyUnavailableException
                            || cause instanceof KeyValueStoreException) {
                        return Http.Reply.retryLater(503, RETRY_AFTER_SECONDS, cause.getMessage());
                    }
                    throw new CompletionException(cause);
                });
    }
}
