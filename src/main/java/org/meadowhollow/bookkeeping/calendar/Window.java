package org.meadowhollow.bookkeeping.calendar;

import java.time.Duration;
import java.util.List;
import org.meadowhollow.bookkeeping.MachineId;

/**
 * Machines that are out for a time.
 *
 * @param targets names of machines, machine types or zones, as the scope says
 * @param notice how long before its start services begin to leave, one after the other
 */
public record Window(
        String name, Scope scope, List<String> targets, Schedule schedule, Duration notice) {
    /** What the targets name. */
    public enum Scope {
        MACHINE,
        TYPE,
        ZONE
    }

    public boolean covers(MachineId machine, String type, String zone) {
        return switch (scope) {
            case MACHINE -> targets.contains(machine.value());
            case TYPE -> targets.contains(type);
            case ZONE -> targets.contains(zone);
        };
    }

    /** Whether all machines of a type in a zone are out. */
    public boolean coversAll(String type, String zone) {
        return scope == Scope.TYPE && targets.contains(type)
                || scope == Scope.ZONE && targets.contains(zone);
    }
}
