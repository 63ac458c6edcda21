package org.meadowhollow.model;

/** What a worker says of a task. */
public enum TaskState {
    PULLING_IMAGE,
    WAITING_FOR_GANG,
    RUNNING,
    CHECKPOINTING,
    EXITED
}
