package org.meadowhollow.model;

/** Number of a leadership; it is also the token that workers compare. */
public record FencingToken(long value) implements Comparable<FencingToken> {
    public static final FencingToken NONE = new FencingToken(0);

    public FencingToken next() {
        return new FencingToken(value + 1);
    }

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
