package org.meadowhollow.bookkeeping;

/** A command to a worker. */
public record Order(Op op, TaskId task, Attempt attempt, double graceS) {
    /** What a worker can be told to do with a task. */
    public enum Op {
        START,
        STOP,
        FORGET
    }

    public static Order start(TaskId task, Attempt attempt) {
        return new Order(Op.START, task, attempt, 0);
    }

    public static Order stop(TaskId task, Attempt attempt, double graceS) {
        return new Order(Op.STOP, task, attempt, graceS);
    }

    public static Order forget(TaskId task, Attempt attempt) {
        return new Order(Op.FORGET, task, attempt, 0);
    }
}
