package org.meadowhollow.model;

/** Number of one start of a task; all tasks of a gang share it. */
public record AttemptNumber(int value) {
    @Override
    public String toString() {
        return Integer.toString(value);
    }
}
