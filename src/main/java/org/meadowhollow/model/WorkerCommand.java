package org.meadowhollow.model;

/**
 * A command to a worker about an attempt of a task.
 *
 * @param graceSeconds the time in seconds that the task has to save a checkpoint; 0 for commands
 *     other than a stop
 */
public record WorkerCommand(
        Action action, TaskId taskId, AttemptNumber attemptNumber, double graceSeconds) {
    /** The action that the worker takes on the attempt. */
    public enum Action {
        /** Start the attempt. */
        START,
        /** Stop the attempt. */
        STOP,
        /** Forget that the attempt has exited. */
        FORGET
    }

    /** Creates a command to start an attempt. */
    public static WorkerCommand start(TaskId taskId, AttemptNumber attemptNumber) {
        return new WorkerCommand(Action.START, taskId, attemptNumber, 0);
    }

    /** Creates a command to stop an attempt within a grace period. */
    public static WorkerCommand stop(
            TaskId taskId, AttemptNumber attemptNumber, double graceSeconds) {
        return new WorkerCommand(Action.STOP, taskId, attemptNumber, graceSeconds);
    }

    /** Creates a command to forget an attempt that has exited and whose exit is persisted. */
    public static WorkerCommand forget(TaskId taskId, AttemptNumber attemptNumber) {
        return new WorkerCommand(Action.FORGET, taskId, attemptNumber, 0);
    }
}
