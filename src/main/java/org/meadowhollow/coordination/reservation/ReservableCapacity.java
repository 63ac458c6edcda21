package org.meadowhollow.coordination.reservation;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;

/**
 * The capacity that reservations are planned from.
 *
 * @param machineTypes the machine types that the cloud offers
 * @param teamLimits the most that each team may use; an amount of 0 means no limit
 * @param maxMachines the largest number of machines of a type in a zone that the operators allow at
 *     a time, by {@code type/zone} or by type; types that are not listed have no limit, since the
 *     cloud publishes none
 */
public record ReservableCapacity(
        List<MachineType> machineTypes,
        Map<String, Resources> teamLimits,
        Map<String, Integer> maxMachines) {
    /** Returns the limit for a type in a zone; {@link Integer#MAX_VALUE} if there is none. */
    int maxMachinesOf(String type, String zone) {
        Integer inZone = maxMachines.get(type + '/' + zone);
        return inZone != null ? inZone : maxMachines.getOrDefault(type, Integer.MAX_VALUE);
    }
}
