package org.meadowhollow.model;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * An ordered log of job events, for native jobs and those of other interfaces alike. The revisions
 * of the key-value store order the events across nodes and leaders; events of the same revision
 * happened together. Each node logs the events that it wrote itself, so that the logs of all nodes
 * together make up the sequence. An event whose transaction got no response is omitted; the state
 * in its record then shows in a later event.
 */
public final class JobEventLog {
    /** A disabled log, which costs nothing. */
    public static final JobEventLog NONE = new JobEventLog(null);

    /** The type of an event. */
    public enum EventType {
        /** The user got the response that the job is admitted. */
        ACCEPTED,
        /** The user got the response that no more tasks of the job start. */
        CANCELLED,
        /** The task is placed on the machine and may be running on it from now on. */
        PLACED,
        /** The task is proven not to run on the machine any more: done, stopped or lost. */
        GONE,
        /** The job has ended. */
        ENDED
    }

    /**
     * An event of a job or of one of its tasks.
     *
     * @param revision the revision of the transaction that persisted the event
     * @param taskIndex the task's index, or -1 for an event of the whole job
     * @param machineName the name of the machine that the task is placed on, or null for an event
     *     of the whole job
     * @param attemptNumber the number of the attempt, or 0 for an event of the whole job
     */
    public record Event(
            Revision revision,
            EventType type,
            JobId jobId,
            String team,
            int taskIndex,
            String machineName,
            int attemptNumber) {
        /** The log line of the event; its format is documented for users of the log. */
        @Override
        public String toString() {
            String subject = jobId.value();
            if (taskIndex != WHOLE_JOB) {
                subject += "/" + taskIndex + " attempt " + attemptNumber + " on " + machineName;
            }
            return "order "
                    + revision
                    + ' '
                    + type.name().toLowerCase(Locale.ROOT)
                    + ' '
                    + subject
                    + " team "
                    + team;
        }
    }

    /** The task index of an event of a whole job. */
    private static final int WHOLE_JOB = -1;

    private final Consumer<Event> sink;

    /**
     * Creates a log.
     *
     * @param sink receives each event and must neither block nor fail; null disables the log
     */
    public JobEventLog(Consumer<Event> sink) {
        this.sink = sink;
    }

    /** Whether events are logged; if not, callers need not create them. */
    public boolean isEnabled() {
        return sink != null;
    }

    /** Logs an event of a whole job. */
    public void logJobEvent(Revision revision, EventType eventType, JobId jobId, String team) {
        if (sink != null) {
            sink.accept(new Event(revision, eventType, jobId, team, WHOLE_JOB, null, 0));
        }
    }

    /** Logs an event of a task; the log must be enabled. */
    void logTaskEvent(
            Revision revision,
            EventType eventType,
            TaskId taskId,
            String team,
            TaskLocation location) {
        sink.accept(
                new Event(
                        revision,
                        eventType,
                        taskId.jobId(),
                        team,
                        taskId.index(),
                        location.machineId().value(),
                        location.attemptNumber().issuedValue()));
    }

    /** The machine and attempt with which a task may be running, according to a record. */
    public record TaskLocation(MachineId machineId, AttemptNumber attemptNumber) {}
}
