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
    /**
     * Returns the samples of the risk tables after those that the request names, or full tables.
     */
    Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request);

    /** Returns the digests of the records that the leader holds. */
    Optional<RecordDigests> recordDigests();
}
