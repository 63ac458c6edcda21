package org.meadowhollow.protocol.workers;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/** Takes workers' reports and answers them. */
public final class HeartbeatApi {
    private final Function<Heartbeat, CompletableFuture<HeartbeatResponse>> heartbeatHandler;

    public HeartbeatApi(Function<Heartbeat, CompletableFuture<HeartbeatResponse>> reports) {
        this.heartbeatHandler = reports;
    }

    public CompletableFuture<Http.Reply> receiveHeartbeat(byte[] body) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.decodeHeartbeat(MessageReader.decode(body));
        } catch (MalformedMessageException broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, broken.getMessage()));
        }
        return heartbeatHandler.apply(heartbeat).thenApply(HeartbeatApi::toReply);
    }

    private static Http.Reply toReply(HeartbeatResponse heartbeatResponse) {
        if (heartbeatResponse instanceof HeartbeatResponse.Commands commands) {
            return Http.Reply.of(
                    200,
                    MessageReader.mapOf(
                            "baton",
                            commands.token().value(),
                            "orders",
                            WorkerCodec.encodeCommands(commands.commands())));
        }
        String member = ((HeartbeatResponse.Redirect) heartbeatResponse).member();
        return Http.Reply.of(
                421,
                member == null ? MessageReader.mapOf() : MessageReader.mapOf("herder", member));
    }
}
