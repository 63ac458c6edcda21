package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.WorkerIncarnation;

/** The keys and values under which everything is kept in the state service. */
public final class RecordCodec {
    public static final String FENCING_TOKEN_KEY = "meta/term";
    public static final String LEADER_KEY = "meta/leader";
    public static final String MACHINE_TYPES_KEY = "meta/types";
    public static final String JOB_PREFIX = "job/";
    public static final String TASK_PREFIX = "task/";
    public static final String IMAGE_PREFIX = "image/";

    /**
     * Snapshots of the risk tables, in chunks, and the record that says which of them are the
     * newest.
     */
    public static final String RISK_TABLE_PREFIX = "table/";

    public static final String RISK_TABLE_HEAD_KEY = RISK_TABLE_PREFIX + "head";
    private static final String SECONDARY_RECORD_FIELD = "companion";
    private static final String ATTEMPTS_FIELD = "log";

    /** Image names that can be part of a key as they are. */
    private static final Pattern VALID_IMAGE_KEY = Pattern.compile("[A-Za-z0-9._:/-]{1,150}");

    /** Bytes around a machine's name in a list, and around the list. */
    private static final int FRAMING_BYTES = 8;

    /** Bytes that one task's entry takes in a chunk's record at most. */
    private static final int MAX_TASK_ENTRY_BYTES = 64;

    /** Tasks in a chunk at most: a round's changes to a job then mostly fit into one record. */
    private static final int MAX_TASKS_PER_SHARD = 100;

    /** The form of the records that this program reads and writes. */
    public static final int SCHEMA_VERSION = 1;

    private RecordCodec() {}

    public static int shardSize(int valueBytes) {
        return Math.max(1, Math.min(MAX_TASKS_PER_SHARD, valueBytes / MAX_TASK_ENTRY_BYTES));
    }

    public static String job(JobId id) {
        return JOB_PREFIX + id.value();
    }

    public static String ended(JobId id) {
        return "ended/" + id.value();
    }

    static String shardKey(TaskShard taskShard) {
        return TASK_PREFIX + taskShard.job().id().value() + '/' + taskShard.index();
    }

    /** The prefix of a set's chunks. */
    public static String riskTableSetPrefix(int set) {
        return RISK_TABLE_PREFIX + set + '/';
    }

    public static String riskTableChunkKey(int set, int chunk) {
        return riskTableSetPrefix(set) + chunk;
    }

    public static JobId jobIdOfKey(String key) {
        return new JobId(key.substring(JOB_PREFIX.length()));
    }

    public static Map<String, Object> job(
            JobSpec spec, long acceptedAtMillis, int chunkSize, boolean cancelled) {
        return job(spec, acceptedAtMillis, chunkSize, cancelled, null);
    }

    /**
     * @param secondaryRecord what another interface keeps beside the job, or null
     */
    public static Map<String, Object> job(
            JobSpec spec,
            long acceptedAtMillis,
            int chunkSize,
            boolean cancelled,
            SecondaryRecord secondaryRecord) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("class", spec.jobClass());
        map.put("team", spec.team());
        map.put("kind", spec.kind().name());
        map.put("priority", spec.priority().name());
        map.put("tasks", (long) spec.taskCount());
        map.put("cpu", spec.resourcesPerTask().cpu());
        map.put("gpu", spec.resourcesPerTask().gpu());
        map.put("memory", spec.resourcesPerTask().memory());
        map.put("types", spec.allowedMachineTypes());
        map.put("zone", spec.requiredZone());
        map.put("oneZone", spec.requiresSingleZone());
        map.put("spread", spec.spreadsAcrossZones());
        map.put("spot", spec.allowsSpot());
        map.put("image", spec.image());
        map.put("imageGb", spec.imageSizeGb());
        map.put("estimate", spec.estimatedRuntimeSeconds());
        map.put("checkpoint", spec.checkpointIntervalSeconds());
        map.put("save", spec.checkpointDurationSeconds());
        map.put("deadline", Double.isNaN(spec.deadlineSeconds()) ? null : spec.deadlineSeconds());
        map.put("accepted", acceptedAtMillis);
        map.put("chunk", (long) chunkSize);
        map.put("cancelled", cancelled);
        if (secondaryRecord != null) {
            map.put(SECONDARY_RECORD_FIELD, secondaryRecord.encodeReference());
        }
        return map;
    }

    @SuppressWarnings("unchecked")
    public static Job job(JobId id, Map<String, Object> map, Revision revision, MonotonicTime now) {
        Object deadline = map.get("deadline");
        JobSpec spec =
                new JobSpec(
                        id,
                        (String) map.get("class"),
                        (String) map.get("team"),
                        JobKind.valueOf((String) map.get("kind")),
                        Priority.valueOf((String) map.get("priority")),
                        number(map, "tasks").intValue(),
                        new Resources(
                                number(map, "cpu").longValue(),
                                number(map, "gpu").longValue(),
                                number(map, "memory").longValue()),
                        (List<String>) map.get("types"),
                        (String) map.get("zone"),
                        flag(map, "oneZone"),
                        flag(map, "spread"),
                        flag(map, "spot"),
                        (String) map.get("image"),
                        number(map, "imageGb").doubleValue(),
                        number(map, "estimate").doubleValue(),
                        number(map, "checkpoint").doubleValue(),
                        number(map, "save").doubleValue(),
                        deadline == null ? Double.NaN : ((Number) deadline).doubleValue());
        Job job =
                new Job(
                        spec,
                        number(map, "accepted").longValue(),
                        number(map, "chunk").intValue(),
                        revision,
                        SecondaryRecord.decodeReference(map.get(SECONDARY_RECORD_FIELD)));
        if (flag(map, "cancelled")) {
            job.cancel(now);
        }
        return job;
    }

    /** The key of what another interface keeps beside a job, or null. */
    public static String secondaryRecordKey(Map<String, Object> jobRecord) {
        return SecondaryRecord.keyInReference(jobRecord.get(SECONDARY_RECORD_FIELD));
    }

    public static boolean isCancelled(Map<String, Object> jobRecord) {
        return flag(jobRecord, "cancelled");
    }

    /** The same record with the cancellation noted. */
    public static Map<String, Object> withCancellation(Map<String, Object> jobRecord) {
        Map<String, Object> copy = new LinkedHashMap<>(jobRecord);
        copy.put("cancelled", true);
        return copy;
    }

    public static String teamOf(Map<String, Object> jobRecord) {
        return (String) jobRecord.get("team");
    }

    public static int taskCountOf(Map<String, Object> record) {
        return number(record, "tasks").intValue();
    }

    /** The final state of a job, kept for ever. */
    static Map<String, Object> ended(Job job) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("cancelled", job.isCancelled());
        map.put("tasks", (long) job.spec().taskCount());
        map.put("done", (long) job.completedTaskCount());
        return map;
    }

    public static int completedTaskCountOf(Map<String, Object> endedRecord) {
        return number(endedRecord, "done").intValue();
    }

    /** A chunk's record: the last attempt, runs of done tasks, and what may be running where. */
    static Map<String, Object> encodeShard(TaskShard taskShard) {
        Job job = taskShard.job();
        List<Object> runs = new ArrayList<>();
        BitSet done = job.completedTasks();
        int end = taskShard.endTaskExclusive();
        for (int from = done.nextSetBit(taskShard.firstTask()); from >= 0 && from < end; ) {
            int to = Math.min(end, done.nextClearBit(from));
            runs.add((long) from);
            runs.add((long) to - from);
            from = done.nextSetBit(to);
        }
        List<Object> placed = new ArrayList<>();
        for (int task = taskShard.firstTask(); task < end; task++) {
            Placement placement = job.placement(task);
            if (placement != null) {
                placed.add(
                        List.of(
                                (long) task,
                                (long) placement.attemptNumber().value(),
                                placement.machineId().value(),
                                placement.incarnation().value()));
            }
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("last", (long) taskShard.highestAttempt());
        map.put("done", runs);
        map.put("placed", placed);
        if (job.secondaryRecord() != null) {
            map.put(ATTEMPTS_FIELD, job.secondaryRecord().encodeAttempts());
        }
        return map;
    }

    /** Takes a chunk's record in; false if it belongs to no live job and can be removed. */
    public static boolean restoreShard(
            KeyValueStore.Entry entry, Map<JobId, Job> jobs, MonotonicTime now) {
        String path = entry.key().substring(TASK_PREFIX.length());
        TaskId name = TaskId.parse(path);
        Job job = name == null ? null : jobs.get(name.jobId());
        if (job == null || name.index() >= job.shardCount()) {
            return false;
        }
        TaskShard taskShard = job.shard(name.index());
        taskShard.adoptRevision(entry.revision());
        taskShard.recordAttempt(number(entry.value(), "last").intValue());
        if (job.secondaryRecord() != null) {
            job.secondaryRecord().restoreAttempts(entry.value().get(ATTEMPTS_FIELD));
        }
        List<?> runs = (List<?>) entry.value().get("done");
        for (int at = 0; at < runs.size(); at += 2) {
            job.restoreCompletedTasks(
                    ((Number) runs.get(at)).intValue(), ((Number) runs.get(at + 1)).intValue());
        }
        for (Object item : (List<?>) entry.value().get("placed")) {
            List<?> placed = (List<?>) item;
            job.restorePlacement(
                    ((Number) placed.get(0)).intValue(),
                    new AttemptNumber(((Number) placed.get(1)).intValue()),
                    new MachineId((String) placed.get(2)),
                    new WorkerIncarnation(((Number) placed.get(3)).longValue()),
                    now);
        }
        return true;
    }

    /** Adds the versions of a live job's records, as far as they are known. */
    public static void addToDigests(Job job, RecordDigests recordDigests) {
        recordDigests.add(job(job.id()), job.recordRevision());
        for (int at = 0; at < job.shardCount(); at++) {
            if (job.hasPersistedShard(at) || job.shard(at).inFlight()) {
                TaskShard taskShard = job.shard(at);
                recordDigests.add(
                        shardKey(taskShard),
                        taskShard.inFlight() ? null : taskShard.recordRevision());
            }
        }
    }

    /** Which machines have an image, and about how large that is in the state service. */
    public record ImageLocationsRecord(Map<String, Object> fields, int estimatedBytes) {}

    public static boolean isImageKey(String image) {
        return VALID_IMAGE_KEY.matcher(image).matches();
    }

    public static String imageKey(String image) {
        return IMAGE_PREFIX + image;
    }

    public static String imageOfKey(String key) {
        return key.substring(IMAGE_PREFIX.length());
    }

    /** The latest machines come last in a list and are kept if not all fit into a value. */
    public static ImageLocationsRecord encodeImageLocations(
            double gb, List<MachineId> machines, int valueBytes) {
        List<Object> names = new ArrayList<>();
        int bytes = 4 * FRAMING_BYTES;
        for (int at = machines.size() - 1; at >= 0; at--) {
            bytes += machines.get(at).value().length() + FRAMING_BYTES;
            if (bytes > valueBytes) {
                break;
            }
            names.add(machines.get(at).value());
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("gb", gb);
        map.put("machines", names);
        return new ImageLocationsRecord(map, bytes);
    }

    public static double imageSizeGbOf(Map<String, Object> record) {
        return number(record, "gb").doubleValue();
    }

    public static List<MachineId> machinesWithImage(Map<String, Object> record) {
        List<MachineId> machines = new ArrayList<>();
        for (Object name : (List<?>) record.get("machines")) {
            machines.add(new MachineId((String) name));
        }
        return machines;
    }

    public static Map<String, Object> types(List<MachineType> types) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : types) {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("name", type.name());
            map.put("cpu", type.capacity().cpu());
            map.put("gpu", type.capacity().gpu());
            map.put("memory", type.capacity().memory());
            map.put("cacheGb", type.imageCacheGb());
            map.put("fetchGbPerS", type.imagePullGbPerSecond());
            map.put("price", type.hourlyPrice());
            map.put("spotPrice", type.hourlySpotPrice());
            map.put("bootS", type.bootSeconds());
            map.put("zones", type.zones());
            list.add(map);
        }
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("types", list);
        return record;
    }

    @SuppressWarnings("unchecked")
    public static List<MachineType> types(Map<String, Object> record) {
        List<MachineType> types = new ArrayList<>();
        for (Object item : (List<?>) record.get("types")) {
            Map<String, Object> map = (Map<String, Object>) item;
            types.add(
                    new MachineType(
                            (String) map.get("name"),
                            new Resources(
                                    number(map, "cpu").longValue(),
                                    number(map, "gpu").longValue(),
                                    number(map, "memory").longValue()),
                            number(map, "cacheGb").doubleValue(),
                            number(map, "fetchGbPerS").doubleValue(),
                            number(map, "price").doubleValue(),
                            number(map, "spotPrice").doubleValue(),
                            number(map, "bootS").doubleValue(),
                            (List<String>) map.get("zones")));
        }
        return types;
    }

    private static Number number(Map<String, Object> map, String key) {
        return (Number) map.get(key);
    }

    private static boolean flag(Map<String, Object> map, String key) {
        return Boolean.TRUE.equals(map.get(key));
    }
}
