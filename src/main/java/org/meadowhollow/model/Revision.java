package org.meadowhollow.model;

/** Revision of a record's last change in the state service. */
public record Revision(long value) {
    /** The version of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    public boolean isAfter(Revision other) {
        return value > other.value;
    }
}
