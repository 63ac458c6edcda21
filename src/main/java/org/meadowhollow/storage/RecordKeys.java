package org.meadowhollow.storage;

import java.util.regex.Pattern;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.TaskShard;

/**
 * The keys of the records in the key-value store, except those of the reservation calendar, which
 * {@link CalendarRecordCodec} defines. Keys are part of the persisted format: nodes of different
 * versions must find the same records.
 */
public final class RecordKeys {
    /**
     * The version of the persisted format that this program reads and writes. A leader hands over
     * only to a node with the same version.
     */
    public static final int SCHEMA_VERSION = 1;

    /**
     * The key of the highest fencing token that was ever issued; its record outlives every leader.
     */
    public static final String FENCING_TOKEN_KEY = "meta/term";

    /**
     * The key of the current leader's record; attached to the leader's lease, so that it is deleted
     * when the lease expires.
     */
    public static final String LEADER_KEY = "meta/leader";

    /** The key of the machine types that the cloud offers. */
    public static final String MACHINE_TYPES_KEY = "meta/types";

    /** Prefix of the records of live jobs. */
    public static final String JOB_PREFIX = "job/";

    /** Prefix of the task shards of live jobs. */
    public static final String TASK_PREFIX = "task/";

    /** Prefix of the records of which machines have a container image cached. */
    public static final String IMAGE_PREFIX = "image/";

    /**
     * Prefix of the snapshots of the risk tables: their chunks, and the record that names the
     * newest set of chunks.
     */
    public static final String RISK_TABLE_PREFIX = "table/";

    /** The key of the record that names the newest set of risk-table chunks. */
    public static final String RISK_TABLE_HEAD_KEY = RISK_TABLE_PREFIX + "head";

    private static final String ENDED_JOB_PREFIX = "ended/";

    /** Image names that can be part of a key unchanged. */
    private static final Pattern VALID_IMAGE_KEY = Pattern.compile("[A-Za-z0-9._:/-]{1,150}");

    private RecordKeys() {}

    /** The key of a live job's record. */
    public static String job(JobId id) {
        return JOB_PREFIX + id.value();
    }

    /**
     * The job that a live job's key belongs to.
     *
     * @param key a key that begins with {@link #JOB_PREFIX}
     */
    public static JobId jobIdOfKey(String key) {
        return new JobId(key.substring(JOB_PREFIX.length()));
    }

    /** The key of an ended job's record. */
    public static String endedJob(JobId id) {
        return ENDED_JOB_PREFIX + id.value();
    }

    /** The key of a task shard's record. */
    static String taskShard(TaskShard shard) {
        return TASK_PREFIX + shard.job().id().value() + '/' + shard.index();
    }

    /**
     * The job and the shard index in a task shard's key, in the form that {@link
     * org.meadowhollow.model.TaskId#parse} reads.
     */
    static String shardPathOfKey(String key) {
        return key.substring(TASK_PREFIX.length());
    }

    /** The prefix of the chunks of one set of a risk-table snapshot. */
    public static String riskTableSetPrefix(int set) {
        return RISK_TABLE_PREFIX + set + '/';
    }

    /** The key of one chunk, counted from 0, of one set of a risk-table snapshot. */
    public static String riskTableChunk(int set, int chunk) {
        return riskTableSetPrefix(set) + chunk;
    }

    /** Whether an image's name can be part of a key; other images are not recorded. */
    public static boolean isValidImageKey(String image) {
        return VALID_IMAGE_KEY.matcher(image).matches();
    }

    /** The key of the record of the machines that have a container image cached. */
    public static String image(String image) {
        return IMAGE_PREFIX + image;
    }

    /**
     * The container image that a key belongs to.
     *
     * @param key a key that begins with {@link #IMAGE_PREFIX}
     */
    public static String imageOfKey(String key) {
        return key.substring(IMAGE_PREFIX.length());
    }
}
