package org.meadowhollow.model;

/** Those who are told what happens to jobs, and who change nothing by it. */
public record JobEventListeners(JobEventLog eventLog, TaskTracer tracer) {
    public static final JobEventListeners NONE =
            new JobEventListeners(JobEventLog.NONE, TaskTracer.NONE);
}
