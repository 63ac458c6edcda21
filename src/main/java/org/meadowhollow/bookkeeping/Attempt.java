package org.meadowhollow.bookkeeping;

/** Number of one start of a task; all tasks of a gang share it. */
public record Attempt(int value) {
    @Override
    public String toString() {
        return Integer.toString(value);
    }
}
