package org.meadowhollow.model;

/** The number of an attempt to run a task, from 1; all tasks of a gang's attempt share it. */
public record AttemptNumber(int value) {
    @Override
    public String toString() {
        return Integer.toString(value);
    }
}
