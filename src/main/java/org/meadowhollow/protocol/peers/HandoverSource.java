package org.meadowhollow.protocol.peers;

import java.util.Optional;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.storage.RecordDigests;

/**
 * What a leader gives its standbys so that one of them can take over soon. Every answer is empty
 * while this node does not lead.
 */
public interface HandoverSource {
    /** What the risk tables have learned since the state that the request names. */
    Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request);

    /** The digests of the records that the leader holds. */
    Optional<RecordDigests> recordDigests();
}
