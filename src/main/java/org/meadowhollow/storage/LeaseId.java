package org.meadowhollow.storage;

/**
 * The identifier of a lease that the key-value store granted.
 *
 * @param value an integer from 0 to 2^64 - 1, as the bits of a long
 */
public record LeaseId(long value) {
    @Override
    public String toString() {
        return Long.toUnsignedString(value);
    }
}
