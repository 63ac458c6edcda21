package org.meadowhollow.protocol;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.meadowhollow.protocol.jobs.JobApi;
import org.meadowhollow.protocol.workers.HeartbeatApi;

/**
 * Routes the requests of users and workers on a node's public address by path and method.
 * Stateless.
 */
public final class PublicApiRouter implements Http.SimpleRequestHandler {
    private static final String HEARTBEATS = "/hello";
    private static final String READINESS = "/ready";
    private static final String SUBMISSIONS = "/submissions";
    private static final String CANCEL_SUFFIX = "/cancel";

    private final JobApi jobApi;
    private final HeartbeatApi heartbeatApi;
    private final BooleanSupplier isReady;

    /**
     * @param isReady tells whether the node can serve users
     */
    public PublicApiRouter(JobApi jobApi, HeartbeatApi heartbeatApi, BooleanSupplier isReady) {
        this.jobApi = jobApi;
        this.heartbeatApi = heartbeatApi;
        this.isReady = isReady;
    }

    @Override
    public CompletableFuture<Http.Reply> handle(String method, String path, byte[] body) {
        if (path.equals(HEARTBEATS)) {
            return method.equals("POST") ? heartbeatApi.receiveHeartbeat(body) : methodNotAllowed();
        }
        if (path.equals(READINESS)) {
            return method.equals("GET") ? completed(readiness()) : methodNotAllowed();
        }
        if (path.equals(SUBMISSIONS)) {
            return method.equals("POST") ? jobApi.submit(body) : methodNotAllowed();
        }
        if (path.startsWith(SUBMISSIONS + "/")) {
            return routeJob(method, path.substring(SUBMISSIONS.length() + 1));
        }
        return completed(Http.Reply.error(404, "no such path"));
    }

    private CompletableFuture<Http.Reply> routeJob(String method, String rest) {
        if (rest.endsWith(CANCEL_SUFFIX)) {
            return method.equals("POST")
                    ? jobApi.cancel(rest.substring(0, rest.length() - CANCEL_SUFFIX.length()))
                    : methodNotAllowed();
        }
        return method.equals("GET") ? jobApi.poll(rest) : methodNotAllowed();
    }

    private Http.Reply readiness() {
        return isReady.getAsBoolean()
                ? Http.Reply.of(200, MessageReader.mapOf("ready", true))
                : Http.Reply.retryLater(503, 1, "not ready");
    }

    private static CompletableFuture<Http.Reply> completed(Http.Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static CompletableFuture<Http.Reply> methodNotAllowed() {
        return completed(Http.Reply.error(405, "wrong method"));
    }
}
