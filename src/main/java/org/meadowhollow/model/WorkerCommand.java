package org.meadowhollow.model;

/** A command to a worker about an attempt of a task. */
public sealed interface WorkerCommand {
    /** The task that the command is about. */
    TaskId taskId();

    /** The attempt that the command is about; a worker ignores the command for any other. */
    AttemptNumber attemptNumber();

    /**
     * A command that may also be sent in a request to the worker, instead of in the response to its
     * heartbeat. The network may deliver a copy of such a request long after the command was
     * executed, also to a worker that has restarted under the same address. A start must not be
     * such a command: the copy would start the attempt again once the worker has forgotten it. Nor
     * must the command to forget an exit, which may only follow an exit that is persisted.
     */
    sealed interface Direct extends WorkerCommand {}

    /** Start the attempt. */
    record Start(TaskId taskId, AttemptNumber attemptNumber) implements WorkerCommand {}

    /**
     * Stop the attempt. It has no effect on any other attempt, nor once the attempt has exited.
     *
     * @param graceSeconds the time in seconds that the task has to save a checkpoint
     */
    record Stop(TaskId taskId, AttemptNumber attemptNumber, double graceSeconds)
            implements Direct {}

    /** Forget that the attempt has exited, and its exit is persisted. */
    record Forget(TaskId taskId, AttemptNumber attemptNumber) implements WorkerCommand {}
}
