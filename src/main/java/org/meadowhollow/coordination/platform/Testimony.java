package org.meadowhollow.coordination.platform;

import java.util.Set;
import org.meadowhollow.model.MachineId;

/**
 * What one other controller says of the machines that it was asked about. A hint: it decides who
 * leads best and which machines had better be kept, and proves nothing of what runs on them.
 *
 * @param answered whether it gave an answer at all
 * @param served whether the state service serves it, so that it could lead
 * @param heard those of the machines that have reported to it within the time asked for
 */
public record Testimony(String member, boolean answered, boolean served, Set<MachineId> heard) {
    /** Of a controller that did not answer in time or could not be reached. */
    public static Testimony none(String member) {
        return new Testimony(member, false, false, Set.of());
    }
}
