package org.meadowhollow.model;

/**
 * The number of a leadership. Workers compare fencing tokens, so that commands of an earlier leader
 * have no effect.
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** Lower than the token of every leadership. */
    public static final FencingToken NONE = new FencingToken(0);

    /** The token of the next leadership. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    /** Whether this token is strictly higher than the other one. */
    public boolean isAfter(FencingToken other) {
        return value > other.value;
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
