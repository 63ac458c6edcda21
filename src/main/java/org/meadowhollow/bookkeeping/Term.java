package org.meadowhollow.bookkeeping;

/** Number of a leadership; it is also the token that workers compare. */
public record Term(long value) implements Comparable<Term> {
    public static final Term NONE = new Term(0);

    public Term next() {
        return new Term(value + 1);
    }

    public boolean isAfter(Term other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Term other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
