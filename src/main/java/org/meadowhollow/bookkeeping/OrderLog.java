package org.meadowhollow.bookkeeping;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * What happened to jobs, native ones and those of other interfaces alike, in one sequence: the
 * state service's revisions give the order, across nodes and leaders. Each node logs what it wrote
 * itself, so the sequence is that of all nodes' events by revision; those of one revision happened
 * together. An event whose transaction got no answer is left out, and what its record says then
 * shows in a later one.
 */
public final class OrderLog {
    /** Keeps nothing, and costs nothing. */
    public static final OrderLog NONE = new OrderLog(null);

    /** What happened. */
    public enum What {
        /** A user was told that the job will run. */
        ACCEPTED,
        /** A user was told that nothing of it starts any more. */
        CANCELLED,
        /** From now on the task may be running there. */
        PLACED,
        /** The task is proven gone from there: done, stopped, or lost. */
        GONE,
        /** Nothing of the job is left to do. */
        ENDED
    }

    /**
     * @param task the task's number, or -1 where the event is of the whole job
     * @param machine where, or null
     * @param attempt the attempt's number, or 0
     */
    public record Event(
            Version revision,
            What what,
            JobId job,
            String team,
            int task,
            String machine,
            int attempt) {
        @Override
        public String toString() {
            String whole =
                    "order "
                            + revision.value()
                            + ' '
                            + what.name().toLowerCase(Locale.ROOT)
                            + ' '
                            + job;
            return (task < 0
                            ? whole
                            : whole + '/' + task + " attempt " + attempt + " on " + machine)
                    + " team "
                    + team;
        }
    }

    private final Consumer<Event> sink;

    /**
     * @param sink takes each event, quickly and without failing; null keeps nothing
     */
    public OrderLog(Consumer<Event> sink) {
        this.sink = sink;
    }

    public boolean isOn() {
        return sink != null;
    }

    public void job(Version revision, What what, JobId job, String team) {
        if (sink != null) {
            sink.accept(new Event(revision, what, job, team, -1, null, 0));
        }
    }

    void task(Version revision, What what, TaskId task, String team, Placed placed) {
        sink.accept(
                new Event(
                        revision,
                        what,
                        task.job(),
                        team,
                        task.index(),
                        placed.machine().value(),
                        placed.attempt().value()));
    }

    /** Where a task may be running, as a record has it. */
    record Placed(MachineId machine, Attempt attempt) {}
}
