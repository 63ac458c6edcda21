package org.meadowhollow.model.reservation;

import java.time.Duration;
import java.util.List;
import org.meadowhollow.model.MachineId;

/**
 * Machines that are out for a time.
 *
 * @param targets names of machines, machine types or zones, as the scope says
 * @param serviceEvictionLead how long before its start services begin to leave, one after the other
 */
public record MaintenanceWindow(
        String name,
        Scope scope,
        List<String> targets,
        RecurringSchedule schedule,
        Duration serviceEvictionLead) {
    /** What the targets name. */
    public enum Scope {
        MACHINE,
        TYPE,
        ZONE
    }

    public boolean coversMachine(MachineId machine, String type, String zone) {
        return switch (scope) {
            case MACHINE -> targets.contains(machine.value());
            case TYPE -> targets.contains(type);
            case ZONE -> targets.contains(zone);
        };
    }

    /** Whether all machines of a type in a zone are out. */
    public boolean coversAllOfType(String type, String zone) {
        return scope == Scope.TYPE && targets.contains(type)
                || scope == Scope.ZONE && targets.contains(zone);
    }
}
