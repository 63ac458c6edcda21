package org.meadowhollow.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.Job;

/**
 * Encodes and decodes the record of a job's final state. The record replaces the records of the
 * live job in one transaction and is never deleted, so that repeated submissions and late status
 * requests can be answered from it. Field names are part of the persisted format.
 */
public final class EndedJobCodec {
    private static final String CANCELLED = "cancelled";
    private static final String TASK_COUNT = "tasks";
    private static final String COMPLETED_TASK_COUNT = "done";

    private EndedJobCodec() {}

    /** Encodes the final state of a job. */
    static Map<String, Object> encode(Job job) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(CANCELLED, job.isCancelled());
        fields.put(TASK_COUNT, (long) job.spec().taskCount());
        fields.put(COMPLETED_TASK_COUNT, (long) job.completedTaskCount());
        return fields;
    }

    /** Whether the job had been cancelled when it ended. */
    public static boolean isCancelled(Map<String, Object> fields) {
        return RecordFields.getBoolean(fields, CANCELLED);
    }

    /** The number of the job's tasks. */
    public static int taskCountOf(Map<String, Object> fields) {
        return RecordFields.getInt(fields, TASK_COUNT);
    }

    /** The number of the job's tasks that had completed when it ended. */
    public static int completedTaskCountOf(Map<String, Object> fields) {
        return RecordFields.getInt(fields, COMPLETED_TASK_COUNT);
    }
}
