package org.meadowhollow.protocol.users;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.storage.KeyValueStoreException;

/** What users call: submit, poll and cancel. */
public final class UserApi {
    /** The protocol's shortest pause before a retry, in seconds. */
    private static final int COME_BACK_S = 1;

    private final AdmissionService admissionService;

    public UserApi(AdmissionService admissionService) {
        this.admissionService = admissionService;
    }

    public CompletableFuture<Http.Reply> submit(byte[] body) {
        JobSpec spec;
        try {
            spec = SubmissionCodec.decode(Fields.decode(body));
        } catch (Malformed broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, broken.getMessage()));
        }
        return answered(
                admissionService
                        .submit(spec)
                        .thenApply(
                                submissionResult ->
                                        Http.Reply.of(
                                                submissionResult.isNew() ? 201 : 200,
                                                body(submissionResult.status()))));
    }

    public CompletableFuture<Http.Reply> poll(String ref) {
        return JobId.isWellFormed(ref)
                ? found(admissionService.getStatus(new JobId(ref)))
                : unknown();
    }

    public CompletableFuture<Http.Reply> cancel(String ref) {
        return JobId.isWellFormed(ref) ? found(admissionService.cancel(new JobId(ref))) : unknown();
    }

    private static CompletableFuture<Http.Reply> unknown() {
        return CompletableFuture.completedFuture(Http.Reply.error(404, "no such job"));
    }

    private static CompletableFuture<Http.Reply> found(
            CompletableFuture<Optional<AdmissionService.JobStatus>> state) {
        return answered(
                state.thenApply(
                        job ->
                                job.map(known -> Http.Reply.of(200, body(known)))
                                        .orElseGet(() -> Http.Reply.error(404, "no such job"))));
    }

    private static CompletableFuture<Http.Reply> answered(CompletableFuture<Http.Reply> reply) {
        return reply.exceptionally(
                failure -> {
                    Throwable cause =
                            failure instanceof CompletionException ? failure.getCause() : failure;
                    if (cause instanceof AdmissionService.UnschedulableJobException) {
                        return Http.Reply.error(422, cause.getMessage());
                    }
                    if (cause instanceof AdmissionService.TemporarilyUnavailableException
                            || cause instanceof KeyValueStoreException) {
                        return Http.Reply.comeBack(503, COME_BACK_S, cause.getMessage());
                    }
                    throw new CompletionException(cause);
                });
    }

    private static Map<String, Object> body(AdmissionService.JobStatus state) {
        String phase =
                switch (state.phase()) {
                    case QUEUED -> "pending";
                    case RUNNING -> "running";
                    case DONE -> "done";
                    case CANCELLED -> "aborted";
                };
        return Fields.of(
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
