package org.meadowhollow.model;

/** From most to least pressing. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    public boolean isHigherThan(Priority other) {
        return ordinal() < other.ordinal();
    }
}
