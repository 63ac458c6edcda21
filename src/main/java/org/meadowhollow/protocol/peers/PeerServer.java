package org.meadowhollow.protocol.peers;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.peers.PeerMessages.LeaderMessage;
import org.meadowhollow.storage.RecordDigests;

/**
 * Responds to the requests of other controllers with the data of its sources; it has no other
 * state. The sources are set once, before the server listens, and are called on the thread that
 * reads the request. Until then, the responses say that nothing is known.
 */
public final class PeerServer implements Http.SimpleRequestHandler {
    private static final HandoverSource NOT_LEADING =
            new HandoverSource() {
                @Override
                public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
                    return Optional.empty();
                }

                @Override
                public Optional<RecordDigests> recordDigests() {
                    return Optional.empty();
                }
            };

    private final PeerMessageCodec codec;
    private volatile BooleanSupplier storeReachable = () -> false;
    private volatile BooleanSupplier isolated = () -> false;
    private volatile HandoverSource handoverSource = NOT_LEADING;
    private volatile RecentHeartbeatSource heartbeatSource = (machines, within) -> Set.of();
    private volatile BiConsumer<FencingToken, String> leaderListener = (fencingToken, member) -> {};

    /** Creates a server without sources. */
    public PeerServer(PeerMessageCodec codec) {
        this.codec = codec;
    }

    /** Sets the supplier that tells whether the key-value store serves this node. */
    public void setStoreReachable(BooleanSupplier source) {
        storeReachable = source;
    }

    /**
     * Sets the sources for the heartbeats of workers.
     *
     * @param isolatedSource tells whether this node leads and misses the heartbeats of many workers
     * @param recent tells which machines have sent a heartbeat recently
     */
    public void setHeartbeatSources(BooleanSupplier isolatedSource, RecentHeartbeatSource recent) {
        isolated = isolatedSource;
        heartbeatSource = recent;
    }

    /** Sets the source of the responses to standbys while this node leads. */
    public void setHandoverSource(HandoverSource source) {
        handoverSource = source;
    }

    /**
     * Sets the listener that is called with the leader's fencing token and name at each
     * announcement.
     */
    public void setLeaderListener(BiConsumer<FencingToken, String> listener) {
        leaderListener = listener;
    }

    @Override
    public CompletableFuture<Http.Reply> handle(String method, String path, byte[] body) {
        return CompletableFuture.completedFuture(route(method, path, body));
    }

    private Http.Reply route(String method, String path, byte[] body) {
        try {
            return switch (method + ' ' + path) {
                case "GET " + PeerPaths.STATUS -> statusReply();
                case "POST " + PeerPaths.RECENT_HEARTBEATS -> recentHeartbeatsReply(body);
                case "POST " + PeerPaths.RISK_TABLES -> riskTablesReply(body);
                case "GET " + PeerPaths.DIGESTS -> digestsReply();
                case "POST " + PeerPaths.LEADER -> receiveLeaderAnnouncement(body);
                default -> Http.Reply.error(404, "no such path");
            };
        } catch (MalformedMessageException malformed) {
            return Http.Reply.malformed(malformed);
        }
    }

    private Http.Reply statusReply() {
        return okReply(codec.encodeStatus(storeReachable.getAsBoolean(), isolated.getAsBoolean()));
    }

    private Http.Reply recentHeartbeatsReply(byte[] body) throws MalformedMessageException {
        PeerMessageCodec.RecentHeartbeatsQuery query = codec.decodeRecentHeartbeatsRequest(body);
        List<MachineId> machines = query.machines();
        Set<MachineId> recent = heartbeatSource.recentlyHeard(machines, query.within());
        return okReply(
                codec.encodeRecentHeartbeats(storeReachable.getAsBoolean(), machines, recent));
    }

    private Http.Reply riskTablesReply(byte[] body) throws MalformedMessageException {
        RiskTableRequest request = codec.decodeRiskTableRequest(body);
        return handoverSource
                .riskTableDelta(request)
                .map(delta -> okReply(codec.encodeRiskTables(delta)))
                .orElseGet(PeerServer::notLeadingReply);
    }

    private Http.Reply digestsReply() {
        return handoverSource
                .recordDigests()
                .map(digests -> okReply(codec.encodeDigests(digests)))
                .orElseGet(PeerServer::notLeadingReply);
    }

    private Http.Reply receiveLeaderAnnouncement(byte[] body) throws MalformedMessageException {
        LeaderMessage announcement = codec.decodeLeader(body);
        leaderListener.accept(new FencingToken(announcement.term()), announcement.member());
        return Http.Reply.of(200, MessageReader.mapOf());
    }

    private static Http.Reply okReply(byte[] body) {
        return new Http.Reply(200, body, 0);
    }

    private static Http.Reply notLeadingReply() {
        return Http.Reply.error(404, "this node does not lead");
    }
}
