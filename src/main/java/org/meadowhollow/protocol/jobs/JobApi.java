package org.meadowhollow.protocol.jobs;

import java.util.Map;
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

/** What users call: submit, poll and cancel. */
public final class JobApi {
    /** The protocol's shortest pause before a retry, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    private final AdmissionService admissionService;

    public JobApi(AdmissionService admissionService) {
        this.admissionService = admissionService;
    }

    public CompletableFuture<Http.Reply> submit(byte[] body) {
        JobSpec spec;
        try {
            spec = SubmissionCodec.decode(MessageReader.decode(body));
        } catch (MalformedMessageException broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, broken.getMessage()));
        }
        return mapFailuresToReplies(
                admissionService
                        .submit(spec)
                        .thenApply(
                                submissionResult ->
                                        Http.Reply.of(
                                                submissionResult.isNew() ? 201 : 200,
                                                encodeState(submissionResult.status()))));
    }

    public CompletableFuture<Http.Reply> poll(String ref) {
        return JobId.isWellFormed(ref)
                ? replyWithState(admissionService.getStatus(new JobId(ref)))
                : jobNotFound();
    }

    public CompletableFuture<Http.Reply> cancel(String ref) {
        return JobId.isWellFormed(ref)
                ? replyWithState(admissionService.cancel(new JobId(ref)))
                : jobNotFound();
    }

    private static CompletableFuture<Http.Reply> jobNotFound() {
        return CompletableFuture.completedFuture(Http.Reply.error(404, "no such job"));
    }

    private static CompletableFuture<Http.Reply> replyWithState(
            CompletableFuture<Optional<AdmissionService.JobStatus>> state) {
        return mapFailuresToReplies(
                state.thenApply(
                        job ->
                                job.map(known -> Http.Reply.of(200, encodeState(known)))
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

    private static Map<String, Object> encodeState(AdmissionService.JobStatus state) {
        String phase =
                switch (state.phase()) {
                    case QUEUED -> "pending";
                    case RUNNING -> "running";
                    case DONE -> "done";
                    case CANCELLED -> "aborted";
                };
        return MessageReader.mapOf(
                "ref",
                state.id().value(),
                "phase",
                phase,
                "done",
                (long) state.done(),
                "running",
                (long) state.running());
    }
}
