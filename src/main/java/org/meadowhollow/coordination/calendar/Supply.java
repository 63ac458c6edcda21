package org.meadowhollow.coordination.calendar;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;

/**
 * What there is to reserve from.
 *
 * @param types that the cloud offers
 * @param limits what each team may use at most; an amount of 0 is no limit
 * @param most machines of a type in a zone that the operators will have at a time, by {@code
 *     type/zone} or by type; what is not named has no bound here, since the cloud publishes none
 */
public record Supply(
        List<MachineType> types, Map<String, Resources> limits, Map<String, Integer> most) {
    int mostOf(String type, String zone) {
        Integer pair = most.get(type + '/' + zone);
        return pair != null ? pair : most.getOrDefault(type, Integer.MAX_VALUE);
    }
}
