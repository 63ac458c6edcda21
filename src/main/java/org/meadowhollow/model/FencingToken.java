package org.meadowhollow.model;

/**
 * The number of a leadership. Workers compare fencing tokens, so that commands of an earlier leader
 * have no effect.
 *
 * @param value an integer from 0 to 2^64 - 1, as the bits of a long
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** Lower than the token of every leadership. */
    public static final FencingToken NONE = new FencingToken(0);

    /** The highest possible token, after which there is no other. */
    private static final long MAX_VALUE = -1;

    /**
     * The token of the next leadership.
     *
     * @throws ArithmeticException if this is the highest possible token
     */
    public FencingToken next() {
        if (value == MAX_VALUE) {
            throw new ArithmeticException("no fencing token is higher than " + this);
        }
        return new FencingToken(value + 1);
    }

    /** Whether this token is strictly higher than the other one. */
    public boolean isAfter(FencingToken other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compareUnsigned(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toUnsignedString(value);
    }
}
