package org.meadowhollow.model;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * What happened to jobs, native ones and those of other interfaces alike, in one sequence: the
 * state service's revisions give the order, across nodes and leaders. Each node logs what it wrote
 * itself, so the sequence is that of all nodes' events by revision; those of one revision happened
 * together. An event whose transaction got no answer is left out, and what its record says then
 * shows in a later one.
 */
public final class JobEventLog {
    /** Keeps nothing, and costs nothing. */
    public static final JobEventLog NONE = new JobEventLog(null);

    /** What happened. */
    public enum EventType {
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
     * @param taskIndex the task's number, or -1 where the event is of the whole job
     * @param machineName where, or null
     * @param attemptNumber the attempt's number, or 0
     */
    public record Event(
            Revision revision,
            EventType type,
            JobId jobId,
            String team,
            int taskIndex,
            String machineName,
            int attemptNumber) {
        @Override
        public String toString() {
            String whole =
                    "order "
                            + revision.value()
                            + ' '
                            + type.name().toLowerCase(Locale.ROOT)
                            + ' '
                            + jobId;
            return (taskIndex < 0
                            ? whole
                            : whole
                                    + '/'
                                    + taskIndex
                                    + " attempt "
                                    + attemptNumber
                                    + " on "
                                    + machineName)
                    + " team "
                    + team;
        }
    }

    private final Consumer<Event> sink;

    /**
     * @param sink takes each event, quickly and without failing; null keeps nothing
     */
    public JobEventLog(Consumer<Event> sink) {
        this.sink = sink;
    }

    public boolean isEnabled() {
        return sink != null;
    }

    public void logJobEvent(Revision revision, EventType eventType, JobId job, String team) {
        if (sink != null) {
            sink.accept(new Event(revision, eventType, job, team, -1, null, 0));
        }
    }

    void logTaskEvent(
            Revision revision,
            EventType eventType,
            TaskId task,
            String team,
            TaskLocation taskLocation) {
        sink.accept(
                new Event(
                        revision,
                        eventType,
                        task.jobId(),
                        team,
                        task.index(),
                        taskLocation.machineId().value(),
                        taskLocation.attemptNumber().value()));
    }

    /** Where a task may be running, as a record has it. */
    public record TaskLocation(MachineId machineId, AttemptNumber attemptNumber) {}
}
