package org.meadowhollow.protocol.workers;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.protocol.Wire;

/** Direct commands to workers. */
public final class WorkerClient implements WorkerGateway {
    /** A worker answers at once; a hung one answers much later or never. */
    private static final Duration ANSWER = Duration.ofSeconds(3);

    private final Http.Client http;

    public WorkerClient(Http.Client http) {
        this.http = http;
    }

    @Override
    public CompletableFuture<Heartbeat> sendCommands(
            String address,
            FencingToken token,
            WorkerIncarnation workerIncarnation,
            List<WorkerCommand> orders) {
        byte[] body =
                Wire.encode(
                        Fields.of(
                                "baton",
                                token.value(),
                                "tenure",
                                workerIncarnation.value(),
                                "orders",
                                WorkerCodec.orders(orders)));
        return http.send(address, "POST", "/orders", body, ANSWER)
                .thenApply(
                        reply -> {
                            if (reply.status() != 200 && reply.status() != 409) {
                                throw new CompletionException(
                                        new Malformed("the worker answered " + reply.status()));
                            }
                            try {
                                return WorkerCodec.report(Fields.decode(reply.body()));
                            } catch (Malformed broken) {
                                throw new CompletionException(broken);
                            }
                        });
    }
}
