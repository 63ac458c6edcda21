package org.meadowhollow.model;

/** A revision of the key-value store; a record's revision is the one at which it last changed. */
public record Revision(long value) {
    /** The revision of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    /** Whether this revision is strictly later than the other one. */
    public boolean isAfter(Revision other) {
        return value > other.value;
    }
}
