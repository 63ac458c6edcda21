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
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

/** Direct commands to workers. */
public final class WorkerClient implements WorkerGateway {
    /** A worker answers at once; a hung one answers much later or never. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);

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
                MessagePackCodec.encode(
                        MessageReader.mapOf(
                                "baton",
                                token.value(),
                                "tenure",
                                workerIncarnation.value(),
                                "orders",
                                WorkerCodec.encodeCommands(orders)));
        return http.send(address, "POST", "/orders", body, RESPONSE_TIMEOUT)
                .thenApply(
                        reply -> {
                            if (reply.status() != 200 && reply.status() != 409) {
                                throw new CompletionException(
                                        new MalformedMessageException(
                                                "the worker answered " + reply.status()));
                            }
                            try {
                                return WorkerCodec.decodeHeartbeat(
                                        MessageReader.decode(reply.body()));
                            } catch (MalformedMessageException broken) {
                                throw new CompletionException(broken);
                            }
                        });
    }
}
