package org.meadowhollow.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;

/**
 * Encodes and decodes the record of a live job: its specification, admission time, shard size,
 * cancellation flag, and the reference to its secondary record. The state of its tasks is kept in
 * the records of its shards. Field names and the order of fields are part of the persisted format.
 */
public final class JobRecordCodec {
    private static final String JOB_CLASS = "class";
    private static final String TEAM = "team";
    private static final String KIND = "kind";
    private static final String PRIORITY = "priority";
    private static final String TASK_COUNT = "tasks";
    private static final String ALLOWED_MACHINE_TYPES = "types";
    private static final String REQUIRED_ZONE = "zone";
    private static final String REQUIRES_SINGLE_ZONE = "oneZone";
    private static final String SPREADS_ACROSS_ZONES = "spread";
    private static final String ALLOWS_SPOT = "spot";
    private static final String IMAGE = "image";
    private static final String IMAGE_SIZE_GB = "imageGb";
    private static final String ESTIMATED_RUNTIME_SECONDS = "estimate";
    private static final String CHECKPOINT_INTERVAL_SECONDS = "checkpoint";
    private static final String CHECKPOINT_DURATION_SECONDS = "save";
    private static final String DEADLINE_SECONDS = "deadline";
    private static final String ACCEPTED_AT_MILLIS = "accepted";
    private static final String SHARD_SIZE = "chunk";
    private static final String CANCELLED = "cancelled";
    private static final String SECONDARY_RECORD = "companion";

    private JobRecordCodec() {}

    /**
     * Encodes a job.
     *
     * @param acceptedAtMillis when the job was admitted, in milliseconds of wall-clock time
     * @param shardSize the number of tasks in each of the job's shards
     * @param secondaryRecord the record that another API keeps for the job, or null
     */
    public static Map<String, Object> encode(
            JobSpec spec,
            long acceptedAtMillis,
            int shardSize,
            boolean isCancelled,
            SecondaryRecord secondaryRecord) {
        Map<String, Object> fields = new LinkedHashMap<>();
        putSpec(fields, spec);
        fields.put(ACCEPTED_AT_MILLIS, acceptedAtMillis);
        fields.put(SHARD_SIZE, (long) shardSize);
        fields.put(CANCELLED, isCancelled);
        if (secondaryRecord != null) {
            fields.put(SECONDARY_RECORD, secondaryRecord.encodeReference());
        }
        return fields;
    }

    private static void putSpec(Map<String, Object> fields, JobSpec spec) {
        fields.put(JOB_CLASS, spec.jobClass());
        fields.put(TEAM, spec.team());
        fields.put(KIND, spec.kind().storedName());
        fields.put(PRIORITY, spec.priority().storedName());
        fields.put(TASK_COUNT, (long) spec.taskCount());
        RecordFields.putResources(fields, spec.resourcesPerTask());
        fields.put(ALLOWED_MACHINE_TYPES, spec.allowedMachineTypes());
        fields.put(REQUIRED_ZONE, spec.requiredZone());
        fields.put(REQUIRES_SINGLE_ZONE, spec.requiresSingleZone());
        fields.put(SPREADS_ACROSS_ZONES, spec.spreadsAcrossZones());
        fields.put(ALLOWS_SPOT, spec.allowsSpot());
        fields.put(IMAGE, spec.image());
        fields.put(IMAGE_SIZE_GB, spec.imageSizeGb());
        fields.put(ESTIMATED_RUNTIME_SECONDS, spec.estimatedRuntimeSeconds());
        fields.put(CHECKPOINT_INTERVAL_SECONDS, spec.checkpointIntervalSeconds());
        fields.put(CHECKPOINT_DURATION_SECONDS, spec.checkpointDurationSeconds());
        fields.put(
                DEADLINE_SECONDS,
                Double.isNaN(spec.deadlineSeconds()) ? null : spec.deadlineSeconds());
    }

    /**
     * Decodes a job. None of its tasks is placed or complete until its shards are restored.
     *
     * @param revision the revision of the record
     * @param now the time at which a cancellation in the record counts as observed
     */
    public static Job decode(
            JobId id, Map<String, Object> fields, Revision revision, MonotonicTime now) {
        Job job =
                new Job(
                        decodeSpec(id, fields),
                        RecordFields.getLong(fields, ACCEPTED_AT_MILLIS),
                        RecordFields.getInt(fields, SHARD_SIZE),
                        revision,
                        SecondaryRecord.decodeReference(fields.get(SECONDARY_RECORD)));
        if (isCancelled(fields)) {
            job.cancel(now);
        }
        return job;
    }

    private static JobSpec decodeSpec(JobId id, Map<String, Object> fields) {
        return new JobSpec(
                id,
                RecordFields.getString(fields, JOB_CLASS),
                RecordFields.getString(fields, TEAM),
                JobKind.fromStoredName(RecordFields.getString(fields, KIND)),
                Priority.fromStoredName(RecordFields.getString(fields, PRIORITY)),
                taskCountOf(fields),
                RecordFields.getResources(fields),
                RecordFields.getStringList(fields, ALLOWED_MACHINE_TYPES),
                RecordFields.getString(fields, REQUIRED_ZONE),
                RecordFields.getBoolean(fields, REQUIRES_SINGLE_ZONE),
                RecordFields.getBoolean(fields, SPREADS_ACROSS_ZONES),
                RecordFields.getBoolean(fields, ALLOWS_SPOT),
                RecordFields.getString(fields, IMAGE),
                RecordFields.getDouble(fields, IMAGE_SIZE_GB),
                RecordFields.getDouble(fields, ESTIMATED_RUNTIME_SECONDS),
                RecordFields.getDouble(fields, CHECKPOINT_INTERVAL_SECONDS),
                RecordFields.getDouble(fields, CHECKPOINT_DURATION_SECONDS),
                RecordFields.getDoubleOrNan(fields, DEADLINE_SECONDS));
    }

    /** Whether the job was cancelled when the record was written. */
    public static boolean isCancelled(Map<String, Object> fields) {
        return RecordFields.getBoolean(fields, CANCELLED);
    }

    /** A copy of the record that marks the job as cancelled. */
    public static Map<String, Object> withCancellation(Map<String, Object> fields) {
        Map<String, Object> copy = new LinkedHashMap<>(fields);
        copy.put(CANCELLED, true);
        return copy;
    }

    /** The team whose quota the job counts against. */
    public static String teamOf(Map<String, Object> fields) {
        return RecordFields.getString(fields, TEAM);
    }

    /** The number of the job's tasks. */
    public static int taskCountOf(Map<String, Object> fields) {
        return RecordFields.getInt(fields, TASK_COUNT);
    }

    /** The key of the job's secondary record, or null if it has none. */
    public static String secondaryRecordKeyOf(Map<String, Object> fields) {
        return SecondaryRecord.keyInReference(fields.get(SECONDARY_RECORD));
    }
}
