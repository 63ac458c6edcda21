package org.meadowhollow.coordination.scheduling;

/**
 * A sample of a risk table packed into one non-negative int: from the highest bits down the lost
 * tasks (violations), the tasks on the machine, and the load bucket. Both counts are capped at
 * 8191, so that a sample stays compact in memory and in messages between nodes.
 */
final class RiskSample {
    /** The violation groups V1 to V4 of the paper: 0, 1 or 2, 3 or 4, and 5 or more violations. */
    static final int VIOLATION_GROUPS = 4;

    private static final int SHARE_BUCKETS = 5;
    private static final int COUNT_BUCKETS = 6;

    /**
     * Number of load buckets; each combines a range of task counts with a range of allocated
     * shares.
     */
    private static final int LOAD_BUCKETS = COUNT_BUCKETS * SHARE_BUCKETS;

    /** Number of cells of a table: one for each load bucket and violation group. */
    static final int CELLS = LOAD_BUCKETS * VIOLATION_GROUPS;

    private static final int BUCKET_BITS = 5;
    private static final int COUNT_BITS = 13;
    private static final int BUCKET_MASK = (1 << BUCKET_BITS) - 1;
    private static final int MAX_COUNT = (1 << COUNT_BITS) - 1;

    private RiskSample() {}

    /**
     * Packs a sample.
     *
     * @param allocatedShare the share of the machine that its tasks are allocated, from 0 to 1
     */
    static int pack(int tasks, double allocatedShare, int violations) {
        int counts = (Math.min(MAX_COUNT, violations) << COUNT_BITS) | Math.min(MAX_COUNT, tasks);
        return (counts << BUCKET_BITS) | loadBucket(tasks, allocatedShare);
    }

    /** Whether a number is a valid packed sample. */
    static boolean isValid(int sample) {
        return sample >= 0 && loadBucketOf(sample) < LOAD_BUCKETS;
    }

    static int taskCountOf(int sample) {
        return (sample >> BUCKET_BITS) & MAX_COUNT;
    }

    static int violationCountOf(int sample) {
        return sample >> (BUCKET_BITS + COUNT_BITS);
    }

    /** Returns the cell of a table that counts a packed sample. */
    static int cellOf(int sample) {
        return cell(loadBucketOf(sample), violationGroup(violationCountOf(sample)));
    }

    static int cell(int loadBucket, int violationGroup) {
        return loadBucket * VIOLATION_GROUPS + violationGroup;
    }

    /**
     * Returns the bucket of a load. Task counts are grouped into 0, 1, 2, 3 to 4, 5 to 8, and more;
     * allocated shares into fifths of the machine.
     */
    static int loadBucket(int tasks, double allocatedShare) {
        int countBucket = tasks <= 2 ? tasks : tasks <= 4 ? 3 : tasks <= 8 ? 4 : 5;
        int shareBucket =
                Math.min(SHARE_BUCKETS - 1, (int) (Math.max(0, allocatedShare) * SHARE_BUCKETS));
        return countBucket * SHARE_BUCKETS + shareBucket;
    }

    private static int loadBucketOf(int sample) {
        return sample & BUCKET_MASK;
    }

    private static int violationGroup(int violations) {
        return violations == 0 ? 0 : violations <= 2 ? 1 : violations <= 4 ? 2 : 3;
    }
}
