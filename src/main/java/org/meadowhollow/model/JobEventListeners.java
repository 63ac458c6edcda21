package org.meadowhollow.model;

/** The listeners to which job events are published; they do not influence the scheduler. */
public record JobEventListeners(JobEventLog eventLog, TaskTracer tracer) {
    /** Listeners that discard all events. */
    public static final JobEventListeners NONE =
            new JobEventListeners(JobEventLog.NONE, TaskTracer.NONE);
}
