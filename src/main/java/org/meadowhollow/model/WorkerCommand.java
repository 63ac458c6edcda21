package org.meadowhollow.model;

/** A command to a worker. */
public record WorkerCommand(
        Action action, TaskId taskId, AttemptNumber attemptNumber, double graceSeconds) {
    /** What a worker can be told to do with a task. */
    public enum Action {
        START,
        STOP,
        FORGET
    }

    public static WorkerCommand start(TaskId task, AttemptNumber attemptNumber) {
        return new WorkerCommand(Action.START, task, attemptNumber, 0);
    }

    public static WorkerCommand stop(TaskId task, AttemptNumber attemptNumber, double graceS) {
        return new WorkerCommand(Action.STOP, task, attemptNumber, graceS);
    }

    public static WorkerCommand forget(TaskId task, AttemptNumber attemptNumber) {
        return new WorkerCommand(Action.FORGET, task, attemptNumber, 0);
    }
}
