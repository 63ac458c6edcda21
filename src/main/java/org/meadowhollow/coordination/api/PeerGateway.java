package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.storage.RecordDigests;

/**
 * The connection to the other controllers. Information exchanged with them is a hint that saves
 * time; no decision that must be safe relies on it. All calls return immediately.
 */
public interface PeerGateway {
    /** Announces the leader and its fencing token to all peers. */
    void announceLeader(String leader, FencingToken fencingToken);

    /** Whether the key-value store serves any of the peers. */
    CompletableFuture<Boolean> anyPeerReachesStore();

    /** The result of probing a peer. */
    enum ProbeResult {
        /** The peer answers. */
        HEALTHY,
        /** The peer answers, leads, and misses the heartbeats of many workers. */
        ISOLATED,
        /** Only this peer refuses the connection, while some other peer answers. */
        CONNECTION_REFUSED,
        /** The peer does not answer, for an unknown reason. */
        UNRESPONSIVE
    }

    /** Probes a peer. */
    CompletableFuture<ProbeResult> probe(String member);

    /**
     * Asks all peers which of {@code machines} sent them a heartbeat within a time before their
     * response.
     */
    CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
            List<MachineId> machines, Duration within);

    /** Thrown when a response cannot be decoded: it is damaged, or of another version. */
    final class UnreadableResponseException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /** Creates an exception whose message says what is wrong with the response. */
        public UnreadableResponseException(String reason) {
            super(reason);
        }
    }

    /**
     * Requests new samples of a leader's risk tables, or full tables; empty if there is no response
     * or the node does not lead. Fails with {@link UnreadableResponseException}.
     */
    CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
            String leader, RiskTableRequest request);

    /**
     * Requests the digests of a leader's records; empty if there is no response or the node does
     * not lead. Fails with {@link UnreadableResponseException}.
     */
    CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader);
}
