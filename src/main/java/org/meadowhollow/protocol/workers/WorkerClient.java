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

/** Sends commands to workers directly, without waiting for their next heartbeat. Stateless. */
public final class WorkerClient implements WorkerGateway {
    private static final String COMMANDS_PATH = "/orders";

    /** The timeout of a response: a worker responds immediately, a hung one much later or never. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);

    private final Http.Client http;

    /** Creates a client that sends its requests with {@code http}. */
    public WorkerClient(Http.Client http) {
        this.http = http;
    }

    @Override
    public CompletableFuture<Heartbeat> sendCommands(
            String address,
            FencingToken token,
            WorkerIncarnation incarnation,
            List<WorkerCommand.Direct> commands) {
        byte[] body = WorkerCodec.encodeCommandRequest(token, incarnation, commands);
        return http.send(address, "POST", COMMANDS_PATH, body, RESPONSE_TIMEOUT)
                .thenApply(WorkerClient::decodeResponse);
    }

    /**
     * Decodes the state of the worker, which it returns whether it has executed the commands (200)
     * or refused them (409).
     */
    private static Heartbeat decodeResponse(Http.Reply reply) {
        try {
            if (reply.status() != 200 && reply.status() != 409) {
                throw new MalformedMessageException("the worker answered " + reply.status());
            }
            return WorkerCodec.decodeHeartbeat(reply.body(), Heartbeat.Origin.COMMAND_RESPONSE);
        } catch (MalformedMessageException malformed) {
            throw new CompletionException(malformed);
        }
    }
}
