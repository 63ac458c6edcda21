package org.meadowhollow.model;

/**
 * An enum whose constants are persisted. The stored name is part of the persisted format and must
 * never change, whatever the constant is called in the source.
 */
public interface StoredWord {
    /** The name that stands for this constant in stored records; unique within its enum. */
    String storedName();

    /**
     * The constant that a stored name stands for.
     *
     * @param constants all constants of the enum
     * @throws IllegalArgumentException if no constant has this name, or if it is {@code null}
     */
    static <E extends StoredWord> E find(E[] constants, String storedName) {
        for (E constant : constants) {
            if (constant.storedName().equals(storedName)) {
                return constant;
            }
        }
        throw new IllegalArgumentException("unknown stored word: " + storedName);
    }
}
