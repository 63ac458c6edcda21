package org.meadowhollow.model.reservation;

import java.time.Duration;
import java.util.List;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.StoredWord;

/**
 * A maintenance window, single or recurring, during which machines are taken out of service.
 *
 * @param targets the names of machines, machine types or zones, depending on the scope
 * @param serviceEvictionLead the time before the start at which the eviction of service replicas
 *     begins, one replica after the other
 */
public record MaintenanceWindow(
        String name,
        Scope scope,
        List<String> targets,
        RecurringSchedule schedule,
        Duration serviceEvictionLead) {
    /** The kind of object that the targets name. */
    public enum Scope implements StoredWord {
        /** Single machines. */
        MACHINE("MACHINE"),
        /** All machines of a type. */
        TYPE("TYPE"),
        /** All machines in a zone. */
        ZONE("ZONE");

        private final String storedName;

        Scope(String storedName) {
            this.storedName = storedName;
        }

        @Override
        public String storedName() {
            return storedName;
        }

        /**
         * The scope that a stored name stands for.
         *
         * @throws IllegalArgumentException if there is none
         */
        public static Scope fromStoredName(String storedName) {
            return StoredWord.find(values(), storedName);
        }
    }

    /** Whether a machine with this name, type and zone is out of service during the window. */
    public boolean coversMachine(MachineId machine, String type, String zone) {
        return switch (scope) {
            case MACHINE -> targets.contains(machine.value());
            case TYPE -> targets.contains(type);
            case ZONE -> targets.contains(zone);
        };
    }

    /** Whether all machines of a type in a zone are out of service during the window. */
    public boolean coversAllOfType(String type, String zone) {
        return (scope == Scope.TYPE && targets.contains(type))
                || (scope == Scope.ZONE && targets.contains(zone));
    }
}
