package org.meadowhollow.protocol;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.meadowhollow.protocol.jobs.JobApi;
import org.meadowhollow.protocol.workers.HeartbeatApi;

/** The paths that a node answers on its public address. */
public final class PublicApiRouter implements Http.SimpleRequestHandler {
    private static final String SUBMISSIONS = "/submissions";
    private static final String CANCEL_SUFFIX = "/cancel";

    private final JobApi jobApi;
    private final HeartbeatApi heartbeatApi;
    private final BooleanSupplier isReady;

    public PublicApiRouter(JobApi users, HeartbeatApi workers, BooleanSupplier ready) {
        this.jobApi = users;
        this.heartbeatApi = workers;
        this.isReady = ready;
    }

    @Override
    public CompletableFuture<Http.Reply> handle(String method, String path, byte[] body) {
        if (path.equals("/hello")) {
            return method.equals("POST") ? heartbeatApi.receiveHeartbeat(body) : methodNotAllowed();
        }
        if (path.equals("/ready")) {
            return !method.equals("GET")
                    ? methodNotAllowed()
                    : completed(
                            isReady.getAsBoolean()
                                    ? Http.Reply.of(200, MessageReader.mapOf("ready", true))
                                    : Http.Reply.retryLater(503, 1, "not ready"));
        }
        if (path.equals(SUBMISSIONS)) {
            return method.equals("POST") ? jobApi.submit(body) : methodNotAllowed();
        }
        if (path.startsWith(SUBMISSIONS + "/")) {
            String rest = path.substring(SUBMISSIONS.length() + 1);
            if (rest.endsWith(CANCEL_SUFFIX)) {
                return method.equals("POST")
                        ? jobApi.cancel(rest.substring(0, rest.length() - CANCEL_SUFFIX.length()))
                        : methodNotAllowed();
            }
            return method.equals("GET") ? jobApi.poll(rest) : methodNotAllowed();
        }
        return completed(Http.Reply.error(404, "no such path"));
    }

    private static CompletableFuture<Http.Reply> completed(Http.Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static CompletableFuture<Http.Reply> methodNotAllowed() {
        return completed(Http.Reply.error(405, "wrong method"));
    }
}
