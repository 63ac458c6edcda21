package org.meadowhollow.model;

/**
 * The listeners to which job events are published once they are persisted: by the admission of jobs
 * and by the record writer. They do not influence the scheduler.
 *
 * @param eventLog the log of job events
 * @param tracer the publisher of the spans of tasks
 */
public record JobEventListeners(JobEventLog eventLog, TaskTracer tracer) {
    /** Listeners that discard all events. */
    public static final JobEventListeners NONE =
            new JobEventListeners(JobEventLog.NONE, TaskTracer.NONE);
}
