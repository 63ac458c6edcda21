package org.meadowhollow.protocol.peers;

import java.util.Optional;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.storage.RecordDigests;

/**
 * Provides what a leader sends to its standbys so that one of them can take over quickly. All
 * results are empty while this node does not lead.
 */
public interface HandoverSource {
    /** Returns what the risk tables have learned since the state that the request names. */
    Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request);

    /** Returns the digests of the records that the leader holds. */
    Optional<RecordDigests> recordDigests();
}
