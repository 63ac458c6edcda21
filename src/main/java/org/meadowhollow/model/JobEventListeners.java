package org.meadowhollow.model;

/** Where what happens to jobs is published; the listeners do not influence the scheduler. */
public record JobEventListeners(JobEventLog eventLog, TaskTracer tracer) {
    /** Publishes nothing. */
    public static final JobEventListeners NONE =
            new JobEventListeners(JobEventLog.NONE, TaskTracer.NONE);
}
