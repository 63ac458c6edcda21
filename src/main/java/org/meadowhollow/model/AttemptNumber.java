package org.meadowhollow.model;

/**
 * The number of an attempt to run a task, from 1; all tasks of a gang's attempt share it.
 *
 * @param value an integer from 0 to 2^64 - 1, as the bits of a long; a worker may report an attempt
 *     that this program did not issue
 */
public record AttemptNumber(long value) {
    /**
     * The number of an attempt that this program issued.
     *
     * @throws ArithmeticException if it is larger than any such number
     */
    public int issuedValue() {
        return Math.toIntExact(value);
    }

    @Override
    public String toString() {
        return Long.toUnsignedString(value);
    }
}
