package org.meadowhollow.coordination.reservation;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;

/**
 * The capacity that reservations are planned from.
 *
 * @param machineTypes the machine types that the cloud provider offers
 * @param teamLimits what each team may use at most; an amount of 0 means no limit
 * @param maxMachines machines of a type in a zone that the operators will have at a time, by {@code
 *     type/zone} or by type; others have no bound, since the cloud provider publishes none
 */
public record ReservableCapacity(
        List<MachineType> machineTypes,
        Map<String, Resources> teamLimits,
        Map<String, Integer> maxMachines) {
    /** The bound for a type in a zone; {@link Integer#MAX_VALUE} if there is none. */
    int maxMachinesOf(String type, String zone) {
        Integer inZone = maxMachines.get(type + '/' + zone);
        return inZone != null ? inZone : maxMachines.getOrDefault(type, Integer.MAX_VALUE);
    }
}
