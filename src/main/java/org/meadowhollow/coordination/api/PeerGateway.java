package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.storage.RecordDigests;

/** The other controllers. What they are told saves time and proves nothing. */
public interface PeerGateway {
    void announceLeader(String leader, FencingToken fencingToken);

    /** Whether the state service serves any of the others. */
    CompletableFuture<Boolean> anyPeerReachesStore();

    /**
     * How another controller takes a question: REFUSES if it alone does, while some other one
     * answers; DEAF if it answers, leads, and misses the reports of many workers.
     */
    enum ProbeResult {
        HEALTHY,
        ISOLATED,
        CONNECTION_REFUSED,
        UNRESPONSIVE
    }

    CompletableFuture<ProbeResult> probe(String member);

    /**
     * What each of the others says of machines: which have reported to it within a time before its
     * answer.
     */
    CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
            List<MachineId> machines, Duration within);

    /** An answer was not understood: it is damaged, or of another version. */
    final class UnreadableResponseException extends RuntimeException {
        private static final long serialVersionUID = 1;

        public UnreadableResponseException(String why) {
            super(why);
        }
    }

    /**
     * What a leader's risk tables have come to know; empty if there is no answer or the node does
     * not lead. Fails with {@link UnreadableResponseException}.
     */
    CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
            String leader, RiskTableRequest question);

    /**
     * The digests of a leader's records; empty if there is no answer or the node does not lead.
     * Fails with {@link UnreadableResponseException}.
     */
    CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader);
}
