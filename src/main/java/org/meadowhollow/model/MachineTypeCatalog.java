package org.meadowhollow.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The machine types that the cloud offers, as last listed. Thread-safe: a new list replaces the
 * previous one as a whole.
 */
public final class MachineTypeCatalog {
    private volatile Map<String, MachineType> types = Map.of();

    /** Whether no machine type is known yet. */
    public boolean isEmpty() {
        return types.isEmpty();
    }

    /** The machine type with the given name, or null if it is not known. */
    public MachineType typeNamed(String name) {
        return types.get(name);
    }

    /** All known types, in the order in which they were listed. */
    public Iterable<MachineType> types() {
        return types.values();
    }

    /** Replaces all known types with the listed ones. */
    public void replaceAll(List<MachineType> listed) {
        Map<String, MachineType> byName = new LinkedHashMap<>();
        for (MachineType type : listed) {
            byName.put(type.name(), type);
        }
        types = byName;
    }
}
