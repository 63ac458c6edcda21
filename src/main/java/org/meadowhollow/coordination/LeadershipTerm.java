package org.meadowhollow.coordination;

import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;

/**
 * The context of one leadership of a node.
 *
 * @param leadership the node's lease and its knowledge of other leaders
 * @param fencingToken the token of this leadership
 * @param leaderKeyRevision the revision of the transaction that wrote the leader record
 * @param handoverState the state that this node replicated as a standby, or {@link
 *     HandoverState#EMPTY}
 * @param vacantSince when this node noticed that there was no leader, or null
 */
record LeadershipTerm(
        Leadership leadership,
        FencingToken fencingToken,
        Revision leaderKeyRevision,
        HandoverState handoverState,
        MonotonicTime vacantSince) {}
