package org.meadowhollow.storage;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;

/**
 * The earlier entry point to {@link RecordKeys} and the codecs of each kind of record. Every member
 * only delegates; callers outside this package move to the types named in each comment, and then
 * this type goes.
 */
public final class RecordCodec {
    /** See {@link RecordKeys#FENCING_TOKEN_KEY}. */
    public static final String FENCING_TOKEN_KEY = RecordKeys.FENCING_TOKEN_KEY;

    /** See {@link RecordKeys#LEADER_KEY}. */
    public static final String LEADER_KEY = RecordKeys.LEADER_KEY;

    /** See {@link RecordKeys#MACHINE_TYPES_KEY}. */
    public static final String MACHINE_TYPES_KEY = RecordKeys.MACHINE_TYPES_KEY;

    /** See {@link RecordKeys#JOB_PREFIX}. */
    public static final String JOB_PREFIX = RecordKeys.JOB_PREFIX;

    /** See {@link RecordKeys#TASK_PREFIX}. */
    public static final String TASK_PREFIX = RecordKeys.TASK_PREFIX;

    /** See {@link RecordKeys#IMAGE_PREFIX}. */
    public static final String IMAGE_PREFIX = RecordKeys.IMAGE_PREFIX;

    /** See {@link RecordKeys#RISK_TABLE_PREFIX}. */
    public static final String RISK_TABLE_PREFIX = RecordKeys.RISK_TABLE_PREFIX;

    /** See {@link RecordKeys#RISK_TABLE_HEAD_KEY}. */
    public static final String RISK_TABLE_HEAD_KEY = RecordKeys.RISK_TABLE_HEAD_KEY;

    /** See {@link RecordKeys#SCHEMA_VERSION}. */
    public static final int SCHEMA_VERSION = RecordKeys.SCHEMA_VERSION;

    private RecordCodec() {}

    /** See {@link ImageLocationsCodec.EncodedImageLocations}. */
    public record ImageLocationsRecord(Map<String, Object> fields, int estimatedBytes) {}

    /** See {@link TaskShardCodec#shardSizeFor}. */
    public static int shardSize(int valueBytes) {
        return TaskShardCodec.shardSizeFor(valueBytes);
    }

    /** See {@link RecordKeys#job}. */
    public static String job(JobId id) {
        return RecordKeys.job(id);
    }

    /** See {@link RecordKeys#endedJob}. */
    public static String ended(JobId id) {
        return RecordKeys.endedJob(id);
    }

    /** See {@link RecordKeys#riskTableSetPrefix}. */
    public static String riskTableSetPrefix(int set) {
        return RecordKeys.riskTableSetPrefix(set);
    }

    /** See {@link RecordKeys#riskTableChunk}. */
    public static String riskTableChunkKey(int set, int chunk) {
        return RecordKeys.riskTableChunk(set, chunk);
    }

    /** See {@link RecordKeys#jobIdOfKey}. */
    public static JobId jobIdOfKey(String key) {
        return RecordKeys.jobIdOfKey(key);
    }

    /** See {@link JobRecordCodec#encode}. */
    public static Map<String, Object> job(
            JobSpec spec,
            long acceptedAtMillis,
            int shardSize,
            boolean isCancelled,
            SecondaryRecord secondaryRecord) {
        return JobRecordCodec.encode(
                spec, acceptedAtMillis, shardSize, isCancelled, secondaryRecord);
    }

    /** See {@link JobRecordCodec#decode}. */
    public static Job job(
            JobId id, Map<String, Object> fields, Revision revision, MonotonicTime now) {
        return JobRecordCodec.decode(id, fields, revision, now);
    }

    /** See {@link JobRecordCodec#secondaryRecordKeyOf}. */
    public static String secondaryRecordKey(Map<String, Object> jobRecord) {
        return JobRecordCodec.secondaryRecordKeyOf(jobRecord);
    }

    /** See {@link JobRecordCodec#isCancelled} and {@link EndedJobCodec#isCancelled}. */
    public static boolean isCancelled(Map<String, Object> record) {
        return JobRecordCodec.isCancelled(record);
    }

    /** See {@link JobRecordCodec#withCancellation}. */
    public static Map<String, Object> withCancellation(Map<String, Object> jobRecord) {
        return JobRecordCodec.withCancellation(jobRecord);
    }

    /** See {@link JobRecordCodec#teamOf}. */
    public static String teamOf(Map<String, Object> jobRecord) {
        return JobRecordCodec.teamOf(jobRecord);
    }

    /** See {@link JobRecordCodec#taskCountOf} and {@link EndedJobCodec#taskCountOf}. */
    public static int taskCountOf(Map<String, Object> record) {
        return JobRecordCodec.taskCountOf(record);
    }

    /** See {@link EndedJobCodec#completedTaskCountOf}. */
    public static int completedTaskCountOf(Map<String, Object> endedRecord) {
        return EndedJobCodec.completedTaskCountOf(endedRecord);
    }

    /** See {@link TaskShardCodec#restore}. */
    public static boolean restoreShard(
            KeyValueStore.Entry entry, Map<JobId, Job> jobs, MonotonicTime now) {
        return TaskShardCodec.restore(entry, jobs, now);
    }

    /** See {@link RecordDigests#addRecordsOf}. */
    public static void addToDigests(Job job, RecordDigests recordDigests) {
        recordDigests.addRecordsOf(job);
    }

    /** See {@link RecordKeys#isValidImageKey}. */
    public static boolean isImageKey(String image) {
        return RecordKeys.isValidImageKey(image);
    }

    /** See {@link RecordKeys#image}. */
    public static String imageKey(String image) {
        return RecordKeys.image(image);
    }

    /** See {@link RecordKeys#imageOfKey}. */
    public static String imageOfKey(String key) {
        return RecordKeys.imageOfKey(key);
    }

    /** See {@link ImageLocationsCodec#encode}. */
    public static ImageLocationsRecord encodeImageLocations(
            double gb, List<MachineId> machines, int valueBytes) {
        ImageLocationsCodec.EncodedImageLocations encoded =
                ImageLocationsCodec.encode(gb, machines, valueBytes);
        return new ImageLocationsRecord(encoded.fields(), encoded.estimatedBytes());
    }

    /** See {@link ImageLocationsCodec#sizeGbOf}. */
    public static double imageSizeGbOf(Map<String, Object> record) {
        return ImageLocationsCodec.sizeGbOf(record);
    }

    /** See {@link ImageLocationsCodec#machinesOf}. */
    public static List<MachineId> machinesWithImage(Map<String, Object> record) {
        return ImageLocationsCodec.machinesOf(record);
    }

    /** See {@link MachineTypesCodec#encode}. */
    public static Map<String, Object> types(List<MachineType> types) {
        return MachineTypesCodec.encode(types);
    }

    /** See {@link MachineTypesCodec#decode}. */
    public static List<MachineType> types(Map<String, Object> record) {
        return MachineTypesCodec.decode(record);
    }
}
