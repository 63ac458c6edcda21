package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.storage.RecordDigests;

/**
 * The other controllers. What they tell and are told is a hint that saves time; nothing is
 * concluded from it that must be certain. All calls return at once.
 */
public interface PeerGateway {
    /** Tells all peers who leads, and with which token. */
    void announceLeader(String leader, FencingToken fencingToken);

    /** Whether the key-value store serves any of the peers. */
    CompletableFuture<Boolean> anyPeerReachesStore();

    /** How a peer answers a probe. */
    enum ProbeResult {
        /** It answers. */
        HEALTHY,
        /** It answers, leads, and misses the heartbeats of many workers. */
        ISOLATED,
        /** It alone refuses the connection, while some other peer answers. */
        CONNECTION_REFUSED,
        /** There is no answer, for whatever reason. */
        UNRESPONSIVE
    }

    /** Probes a peer. */
    CompletableFuture<ProbeResult> probe(String member);

    /**
     * Asks all peers from which machines they received a heartbeat within a time before their
     * answer.
     */
    CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
            List<MachineId> machines, Duration within);

    /** An answer could not be decoded: it is damaged, or of another version. */
    final class UnreadableResponseException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /** Creates it with what is wrong with the answer. */
        public UnreadableResponseException(String reason) {
            super(reason);
        }
    }

    /**
     * What a leader's risk tables have learned; empty if there is no answer or the node does not
     * lead. Fails with {@link UnreadableResponseException}.
     */
    CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
            String leader, RiskTableRequest request);

    /**
     * The digests of a leader's records; empty if there is no answer or the node does not lead.
     * Fails with {@link UnreadableResponseException}.
     */
    CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader);
}
