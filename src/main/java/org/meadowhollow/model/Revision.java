package org.meadowhollow.model;

/**
 * A revision of the key-value store; a record's revision is the one at which it last changed.
 *
 * @param value an integer from 0 to 2^64 - 1, as the bits of a long
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The revision of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    /** Whether this revision is strictly later than the other one. */
    public boolean isAfter(Revision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compareUnsigned(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toUnsignedString(value);
    }
}
