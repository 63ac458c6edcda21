package org.meadowhollow.model;

/**
 * A command to a worker about an attempt of a task.
 *
 * @param graceSeconds how long the task may take to save a checkpoint; 0 for other commands than a
 *     stop
 */
public record WorkerCommand(
        Action action, TaskId taskId, AttemptNumber attemptNumber, double graceSeconds) {
    /** What the worker is to do with the attempt. */
    public enum Action {
        /** Start it. */
        START,
        /** Stop it. */
        STOP,
        /** Forget that it has exited. */
        FORGET
    }

    /** Commands to start an attempt. */
    public static WorkerCommand start(TaskId taskId, AttemptNumber attemptNumber) {
        return new WorkerCommand(Action.START, taskId, attemptNumber, 0);
    }

    /** Commands to stop an attempt within a grace period. */
    public static WorkerCommand stop(
            TaskId taskId, AttemptNumber attemptNumber, double graceSeconds) {
        return new WorkerCommand(Action.STOP, taskId, attemptNumber, graceSeconds);
    }

    /** Commands to forget an attempt that has exited and whose exit is persisted. */
    public static WorkerCommand forget(TaskId taskId, AttemptNumber attemptNumber) {
        return new WorkerCommand(Action.FORGET, taskId, attemptNumber, 0);
    }
}
