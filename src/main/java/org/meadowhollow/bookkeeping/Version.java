package org.meadowhollow.bookkeeping;

/** Revision of a record's last change in the state service. */
public record Version(long value) {
    /** The version of a key that does not exist. */
    public static final Version ABSENT = new Version(0);

    public boolean isAfter(Version other) {
        return value > other.value;
    }
}
