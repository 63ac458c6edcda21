package org.meadowhollow.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The machine types of the cloud, as far as they are known. */
public final class MachineTypeCatalog {
    private volatile Map<String, MachineType> types = Map.of();

    public boolean isEmpty() {
        return types.isEmpty();
    }

    public MachineType typeNamed(String name) {
        return types.get(name);
    }

    public Iterable<MachineType> types() {
        return types.values();
    }

    public void replaceAll(List<MachineType> found) {
        Map<String, MachineType> byName = new LinkedHashMap<>();
        for (MachineType type : found) {
            byName.put(type.name(), type);
        }
        types = byName;
    }
}
