package org.meadowhollow.bookkeeping;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** The keys and values under which everything is kept in the state service. */
public final class Records {
    public static final String TERM = "meta/term";
    public static final String LEADER = "meta/leader";
    public static final String TYPES = "meta/types";
    public static final String JOBS = "job/";
    public static final String TASKS = "task/";
    public static final String IMAGES = "image/";

    /**
     * Snapshots of the risk tables, in chunks, and the record that says which of them are the
     * newest.
     */
    public static final String TABLES = "table/";

    public static final String TABLES_HEAD = TABLES + "head";
    private static final String COMPANION = "companion";
    private static final String LOG = "log";

    /** Image names that can be part of a key as they are. */
    private static final Pattern IMAGE_KEY = Pattern.compile("[A-Za-z0-9._:/-]{1,150}");

    /** Bytes around a machine's name in a list, and around the list. */
    private static final int FRAMING = 8;

    /** Bytes that one task's entry takes in a chunk's record at most. */
    private static final int ENTRY = 64;

    /** Tasks in a chunk at most: a round's changes to a job then mostly fit into one record. */
    private static final int MOST_IN_CHUNK = 100;

    /** The form of the records that this program reads and writes. */
    public static final int SCHEMA = 1;

    private Records() {}

    public static int chunkSize(int valueBytes) {
        return Math.max(1, Math.min(MOST_IN_CHUNK, valueBytes / ENTRY));
    }

    public static String job(JobId id) {
        return JOBS + id.value();
    }

    public static String ended(JobId id) {
        return "ended/" + id.value();
    }

    static String chunk(Chunk chunk) {
        return TASKS + chunk.job().id().value() + '/' + chunk.index();
    }

    /** The prefix of a set's chunks. */
    public static String tableSet(int set) {
        return TABLES + set + '/';
    }

    public static String tableChunk(int set, int chunk) {
        return tableSet(set) + chunk;
    }

    public static JobId jobOfKey(String key) {
        return new JobId(key.substring(JOBS.length()));
    }

    public static Map<String, Object> job(
            JobSpec spec, long acceptedAtMillis, int chunkSize, boolean cancelled) {
        return job(spec, acceptedAtMillis, chunkSize, cancelled, null);
    }

    /**
     * @param companion what another interface keeps beside the job, or null
     */
    public static Map<String, Object> job(
            JobSpec spec,
            long acceptedAtMillis,
            int chunkSize,
            boolean cancelled,
            Companion companion) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("class", spec.jobClass());
        map.put("team", spec.team());
        map.put("kind", spec.kind().name());
        map.put("priority", spec.priority().name());
        map.put("tasks", (long) spec.tasks());
        map.put("cpu", spec.perTask().cpu());
        map.put("gpu", spec.perTask().gpu());
        map.put("memory", spec.perTask().memory());
        map.put("types", spec.types());
        map.put("zone", spec.zone());
        map.put("oneZone", spec.oneZone());
        map.put("spread", spec.spread());
        map.put("spot", spec.spot());
        map.put("image", spec.image());
        map.put("imageGb", spec.imageGb());
        map.put("estimate", spec.estimateS());
        map.put("checkpoint", spec.checkpointS());
        map.put("save", spec.saveS());
        map.put("deadline", Double.isNaN(spec.deadlineS()) ? null : spec.deadlineS());
        map.put("accepted", acceptedAtMillis);
        map.put("chunk", (long) chunkSize);
        map.put("cancelled", cancelled);
        if (companion != null) {
            map.put(COMPANION, companion.record());
        }
        return map;
    }

    @SuppressWarnings("unchecked")
    public static Job job(JobId id, Map<String, Object> map, Version version, Moment now) {
        Object deadline = map.get("deadline");
        JobSpec spec =
                new JobSpec(
                        id,
                        (String) map.get("class"),
                        (String) map.get("team"),
                        Kind.valueOf((String) map.get("kind")),
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
                        version,
                        Companion.of(map.get(COMPANION)));
        if (flag(map, "cancelled")) {
            job.cancel(now);
        }
        return job;
    }

    /** The key of what another interface keeps beside a job, or null. */
    public static String companionKey(Map<String, Object> jobRecord) {
        return Companion.keyOf(jobRecord.get(COMPANION));
    }

    public static boolean isCancelled(Map<String, Object> jobRecord) {
        return flag(jobRecord, "cancelled");
    }

    /** The same record with the cancellation noted. */
    public static Map<String, Object> cancelled(Map<String, Object> jobRecord) {
        Map<String, Object> copy = new LinkedHashMap<>(jobRecord);
        copy.put("cancelled", true);
        return copy;
    }

    public static String teamOf(Map<String, Object> jobRecord) {
        return (String) jobRecord.get("team");
    }

    public static int tasksOf(Map<String, Object> record) {
        return number(record, "tasks").intValue();
    }

    /** The final state of a job, kept for ever. */
    static Map<String, Object> ended(Job job) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("cancelled", job.cancelled());
        map.put("tasks", (long) job.spec().tasks());
        map.put("done", (long) job.doneCount());
        return map;
    }

    public static int doneOf(Map<String, Object> endedRecord) {
        return number(endedRecord, "done").intValue();
    }

    /** A chunk's record: the last attempt, runs of done tasks, and what may be running where. */
    static Map<String, Object> encode(Chunk chunk) {
        Job job = chunk.job();
        List<Object> runs = new ArrayList<>();
        BitSet done = job.doneTasks();
        int end = chunk.endTask();
        for (int from = done.nextSetBit(chunk.firstTask()); from >= 0 && from < end; ) {
            int to = Math.min(end, done.nextClearBit(from));
            runs.add((long) from);
            runs.add((long) to - from);
            from = done.nextSetBit(to);
        }
        List<Object> placed = new ArrayList<>();
        for (int task = chunk.firstTask(); task < end; task++) {
            Placement placement = job.placement(task);
            if (placement != null) {
                placed.add(
                        List.of(
                                (long) task,
                                (long) placement.attempt().value(),
                                placement.machine().value(),
                                placement.session().value()));
            }
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("last", (long) chunk.lastAttempt());
        map.put("done", runs);
        map.put("placed", placed);
        if (job.companion() != null) {
            map.put(LOG, job.companion().encodeLog());
        }
        return map;
    }

    /** Takes a chunk's record in; false if it belongs to no live job and can be removed. */
    public static boolean load(StateStore.Entry entry, Map<JobId, Job> jobs, Moment now) {
        String path = entry.key().substring(TASKS.length());
        TaskId name = TaskId.parse(path);
        Job job = name == null ? null : jobs.get(name.job());
        if (job == null || name.index() >= job.chunkCount()) {
            return false;
        }
        Chunk chunk = job.chunk(name.index());
        chunk.adopt(entry.version());
        chunk.attempted(number(entry.value(), "last").intValue());
        if (job.companion() != null) {
            job.companion().restoreLog(entry.value().get(LOG));
        }
        List<?> runs = (List<?>) entry.value().get("done");
        for (int at = 0; at < runs.size(); at += 2) {
            job.restoreDone(
                    ((Number) runs.get(at)).intValue(), ((Number) runs.get(at + 1)).intValue());
        }
        for (Object item : (List<?>) entry.value().get("placed")) {
            List<?> placed = (List<?>) item;
            job.restore(
                    ((Number) placed.get(0)).intValue(),
                    new Attempt(((Number) placed.get(1)).intValue()),
                    new MachineId((String) placed.get(2)),
                    new Session(((Number) placed.get(3)).longValue()),
                    now);
        }
        return true;
    }

    /** Adds the versions of a live job's records, as far as they are known. */
    public static void digest(Job job, Digests digests) {
        digests.add(job(job.id()), job.version());
        for (int at = 0; at < job.chunkCount(); at++) {
            if (job.hasChunk(at) || job.chunk(at).inFlight()) {
                Chunk chunk = job.chunk(at);
                digests.add(chunk(chunk), chunk.inFlight() ? null : chunk.version());
            }
        }
    }

    /** Which machines have an image, and about how large that is in the state service. */
    public record ImageRecord(Map<String, Object> map, int bytes) {}

    public static boolean isImageKey(String image) {
        return IMAGE_KEY.matcher(image).matches();
    }

    public static String imageKey(String image) {
        return IMAGES + image;
    }

    public static String imageOfKey(String key) {
        return key.substring(IMAGES.length());
    }

    /** The latest machines come last in a list and are kept if not all fit into a value. */
    public static ImageRecord image(double gb, List<MachineId> machines, int valueBytes) {
        List<Object> names = new ArrayList<>();
        int bytes = 4 * FRAMING;
        for (int at = machines.size() - 1; at >= 0; at--) {
            bytes += machines.get(at).value().length() + FRAMING;
            if (bytes > valueBytes) {
                break;
            }
            names.add(machines.get(at).value());
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("gb", gb);
        map.put("machines", names);
        return new ImageRecord(map, bytes);
    }

    public static double imageGb(Map<String, Object> record) {
        return number(record, "gb").doubleValue();
    }

    public static List<MachineId> imageMachines(Map<String, Object> record) {
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
            map.put("cpu", type.room().cpu());
            map.put("gpu", type.room().gpu());
            map.put("memory", type.room().memory());
            map.put("cacheGb", type.cacheGb());
            map.put("fetchGbPerS", type.fetchGbPerS());
            map.put("price", type.price());
            map.put("spotPrice", type.spotPrice());
            map.put("bootS", type.bootS());
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
