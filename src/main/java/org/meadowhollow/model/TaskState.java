package org.meadowhollow.model;

/** The state of a task as its worker reports it. */
public enum TaskState {
    /** The container image is being pulled. */
    PULLING_IMAGE,
    /** The task is ready to run and waits until all tasks of its gang are ready. */
    WAITING_FOR_GANG,
    /** The task is running. */
    RUNNING,
    /** The task is being stopped and saves a checkpoint. */
    CHECKPOINTING,
    /** The task has exited, and the worker remembers the exit reason. */
    EXITED
}
