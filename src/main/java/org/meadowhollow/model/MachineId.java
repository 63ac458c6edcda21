package org.meadowhollow.model;

/** A machine's name as the cloud gave it. */
public record MachineId(String value) implements Comparable<MachineId> {
    @Override
    public int compareTo(MachineId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
