package org.meadowhollow.bookkeeping;

/** What a worker says of a task. */
public enum TaskState {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
}
