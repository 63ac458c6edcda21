package org.meadowhollow.protocol.tes;

import java.util.Map;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.KeyValueStoreException;

/** Creates the responses of the task execution API, in JSON. Stateless. */
final class TesReplies {
    private static final String JSON_TYPE = "application/json";
    private static final int RETRY_AFTER_SECONDS = 1;

    private TesReplies() {}

    /**
     * Returns the response to a request that failed.
     *
     * @throws CompletionException with the failure as its cause if the failure is a defect
     */
    static Http.Reply failure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof HttpStatusException httpStatusException) {
            return error(httpStatusException.status(), httpStatusException.getMessage());
        }
        if (cause instanceof MalformedMessageException malformed) {
            return error(400, malformed.getMessage()).refusedFor(malformed);
        }
        if (cause instanceof AdmissionService.UnschedulableJobException) {
            return error(400, cause.getMessage());
        }
        if (cause instanceof AdmissionService.TemporarilyUnavailableException
                || cause instanceof KeyValueStoreException) {
            return retryLater(cause.getMessage());
        }
        throw new CompletionException(cause);
    }

    /**
     * Returns status 503 for a request that cannot be answered at present and should be retried.
     */
    static Http.Reply retryLater(String reason) {
        return new Http.Reply(
                503,
                JsonCodec.encode(MessageReader.mapOf("status_code", 503, "msg", reason)),
                RETRY_AFTER_SECONDS,
                JSON_TYPE);
    }

    /** Returns the response to a request that was rejected. */
    static Http.Reply error(int status, String reason) {
        return new Http.Reply(
                status,
                JsonCodec.encode(MessageReader.mapOf("status_code", status, "msg", reason)),
                0,
                JSON_TYPE);
    }

    /** Returns status 200 with a JSON body. */
    static Http.Reply ok(Map<String, Object> body) {
        return new Http.Reply(200, JsonCodec.encode(body), 0, JSON_TYPE);
    }
}
