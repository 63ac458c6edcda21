package org.meadowhollow.bookkeeping;

/** From most to least pressing. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    public boolean above(Priority other) {
        return ordinal() < other.ordinal();
    }
}
