package org.meadowhollow.model;

/** A revision of the key-value store; that of a record is the one of its last change. */
public record Revision(long value) {
    /** The revision of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    /** Whether this revision is strictly later than the other one. */
    public boolean isAfter(Revision other) {
        return value > other.value;
    }
}
