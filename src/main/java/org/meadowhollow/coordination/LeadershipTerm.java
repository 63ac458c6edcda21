package org.meadowhollow.coordination;

import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;

/**
 * What sets one leadership apart from others of the same node.
 *
 * @param leadership the node's lease and what it observes of other leaders
 * @param fencingToken the token of this leadership
 * @param leaderKeyRevision the revision of the transaction that wrote the leader key
 * @param handoverState what this node followed as a standby, or {@link HandoverState#EMPTY}
 * @param noticedAt when this node noticed that there was no leader, or null
 */
record LeadershipTerm(
        Leadership leadership,
        FencingToken fencingToken,
        Revision leaderKeyRevision,
        HandoverState handoverState,
        MonotonicTime noticedAt) {}
