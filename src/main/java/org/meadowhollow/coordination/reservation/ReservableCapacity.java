package org.meadowhollow.coordination.reservation;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;

/**
 * What there is to reserve from.
 *
 * @param machineTypes that the cloud offers
 * @param teamLimits what each team may use at most; an amount of 0 is no limit
 * @param maxMachines machines of a type in a zone that the operators will have at a time, by {@code
 *     type/zone} or by type; what is not named has no bound here, since the cloud publishes none
 */
public record ReservableCapacity(
        List<MachineType> machineTypes,
        Map<String, Resources> teamLimits,
        Map<String, Integer> maxMachines) {
    int maxMachinesOf(String type, String zone) {
        Integer pair = maxMachines.get(type + '/' + zone);
        return pair != null ? pair : maxMachines.getOrDefault(type, Integer.MAX_VALUE);
    }
}
