package org.meadowhollow.coordination.api;

import java.util.Set;
import org.meadowhollow.model.MachineId;

/**
 * The report of one peer on which of the queried machines it can hear. A hint: it helps to choose
 * who should lead and which machines to keep, and proves nothing about the tasks that run on them.
 *
 * @param answered whether the peer answered in time
 * @param reachesStore whether the key-value store serves the peer, so that it could lead
 * @param recentlyHeard those of the queried machines that sent the peer a heartbeat within the
 *     queried time
 */
public record PeerReachabilityReport(
        String member, boolean answered, boolean reachesStore, Set<MachineId> recentlyHeard) {
    /** The report of a peer that did not answer in time or could not be reached. */
    public static PeerReachabilityReport unanswered(String member) {
        return new PeerReachabilityReport(member, false, false, Set.of());
    }
}
