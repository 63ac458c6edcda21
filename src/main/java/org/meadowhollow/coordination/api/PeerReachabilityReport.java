package org.meadowhollow.coordination.api;

import java.util.Set;
import org.meadowhollow.model.MachineId;

/**
 * What one peer says of the machines that it was asked about. A hint: it helps to choose who should
 * lead and which machines to keep, and proves nothing of what runs on them.
 *
 * @param answered whether it answered in time
 * @param reachesStore whether the key-value store serves it, so that it could lead
 * @param recentlyHeard those of the machines that sent it a heartbeat within the time asked for
 */
public record PeerReachabilityReport(
        String member, boolean answered, boolean reachesStore, Set<MachineId> recentlyHeard) {
    /** The report of a peer that did not answer in time or could not be reached. */
    public static PeerReachabilityReport unanswered(String member) {
        return new PeerReachabilityReport(member, false, false, Set.of());
    }
}
