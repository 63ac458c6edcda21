package org.meadowhollow.coordination.api;

import java.util.Set;
import org.meadowhollow.model.MachineId;

/**
 * What one other controller says of the machines that it was asked about. A hint: it decides who
 * leads best and which machines had better be kept, and proves nothing of what runs on them.
 *
 * @param answered whether it gave an answer at all
 * @param reachesStore whether the state service serves it, so that it could lead
 * @param recentlyHeard those of the machines that have reported to it within the time asked for
 */
public record PeerReachabilityReport(
        String member, boolean answered, boolean reachesStore, Set<MachineId> recentlyHeard) {
    /** Of a controller that did not answer in time or could not be reached. */
    public static PeerReachabilityReport unanswered(String member) {
        return new PeerReachabilityReport(member, false, false, Set.of());
    }
}
