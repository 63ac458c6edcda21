package org.meadowhollow.protocol;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.meadowhollow.protocol.users.UserApi;
import org.meadowhollow.protocol.workers.WorkerApi;

/** The paths that a node answers on its public address. */
public final class NodeApi implements Http.Handler {
    private static final String SUBMISSIONS = "/submissions";
    private static final String CANCEL = "/cancel";

    private final UserApi users;
    private final WorkerApi workers;
    private final BooleanSupplier ready;

    public NodeApi(UserApi users, WorkerApi workers, BooleanSupplier ready) {
        this.users = users;
        this.workers = workers;
        this.ready = ready;
    }

    @Override
    public CompletableFuture<Http.Reply> handle(String method, String path, byte[] body) {
        if (path.equals("/hello")) {
            return method.equals("POST") ? workers.hello(body) : wrongMethod();
        }
        if (path.equals("/ready")) {
            return !method.equals("GET")
                    ? wrongMethod()
                    : now(
                            ready.getAsBoolean()
                                    ? Http.Reply.of(200, Fields.of("ready", true))
                                    : Http.Reply.comeBack(503, 1, "not ready"));
        }
        if (path.equals(SUBMISSIONS)) {
            return method.equals("POST") ? users.submit(body) : wrongMethod();
        }
        if (path.startsWith(SUBMISSIONS + "/")) {
            String rest = path.substring(SUBMISSIONS.length() + 1);
            if (rest.endsWith(CANCEL)) {
                return method.equals("POST")
                        ? users.cancel(rest.substring(0, rest.length() - CANCEL.length()))
                        : wrongMethod();
            }
            return method.equals("GET") ? users.poll(rest) : wrongMethod();
        }
        return now(Http.Reply.error(404, "no such path"));
    }

    private static CompletableFuture<Http.Reply> now(Http.Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static CompletableFuture<Http.Reply> wrongMethod() {
        return now(Http.Reply.error(405, "wrong method"));
    }
}
