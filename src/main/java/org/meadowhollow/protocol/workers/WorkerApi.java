package org.meadowhollow.protocol.workers;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;

/** Takes workers' reports and answers them. */
public final class WorkerApi {
    private final Function<Heartbeat, CompletableFuture<HeartbeatResponse>> reports;

    public WorkerApi(Function<Heartbeat, CompletableFuture<HeartbeatResponse>> reports) {
        this.reports = reports;
    }

    public CompletableFuture<Http.Reply> hello(byte[] body) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.report(Fields.decode(body));
        } catch (Malformed broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, broken.getMessage()));
        }
        return reports.apply(heartbeat).thenApply(WorkerApi::reply);
    }

    private static Http.Reply reply(HeartbeatResponse heartbeatResponse) {
        if (heartbeatResponse instanceof HeartbeatResponse.Commands commands) {
            return Http.Reply.of(
                    200,
                    Fields.of(
                            "baton",
                            commands.token().value(),
                            "orders",
                            WorkerCodec.orders(commands.commands())));
        }
        String member = ((HeartbeatResponse.Redirect) heartbeatResponse).member();
        return Http.Reply.of(421, member == null ? Fields.of() : Fields.of("herder", member));
    }
}
