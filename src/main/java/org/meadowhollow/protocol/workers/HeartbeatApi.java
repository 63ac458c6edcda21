package org.meadowhollow.protocol.workers;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;

/** Receives the heartbeats of workers and responds with commands or a redirect. Stateless. */
public final class HeartbeatApi {
    /** The status that sends a worker to another controller. */
    private static final int MISDIRECTED_REQUEST = 421;

    private final Function<Heartbeat, CompletableFuture<HeartbeatResponse>> heartbeatHandler;

    /**
     * @param heartbeatHandler called on the thread that reads the request
     */
    public HeartbeatApi(
            Function<Heartbeat, CompletableFuture<HeartbeatResponse>> heartbeatHandler) {
        this.heartbeatHandler = heartbeatHandler;
    }

    /** Handles the body of one heartbeat; a malformed one gets status 400. */
    public CompletableFuture<Http.Reply> receiveHeartbeat(byte[] body) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.decodeHeartbeat(body, Heartbeat.Origin.REQUEST);
        } catch (MalformedMessageException malformed) {
            return CompletableFuture.completedFuture(Http.Reply.malformed(malformed));
        }
        return heartbeatHandler.apply(heartbeat).thenApply(HeartbeatApi::toReply);
    }

    private static Http.Reply toReply(HeartbeatResponse response) {
        if (response instanceof HeartbeatResponse.Commands commands) {
            return new Http.Reply(
                    200,
                    WorkerCodec.encodeHeartbeatResponse(commands.token(), commands.commands()),
                    0);
        }
        String leader = ((HeartbeatResponse.Redirect) response).member();
        return new Http.Reply(MISDIRECTED_REQUEST, WorkerCodec.encodeRedirect(leader), 0);
    }
}
