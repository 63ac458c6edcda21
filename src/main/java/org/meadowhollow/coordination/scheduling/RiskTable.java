package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Duration;
import org.agrona.collections.Int2IntCounterMap;
import org.meadowhollow.model.MonotonicTime;

/**
 * What one machine's past says of the losses to expect at a load: how often each violation group
 * was seen in a bucket of task count and booked share.
 */
public final class RiskTable {
    /** The paper's groups V1 to V4: 0, 1 or 2, 3 or 4, and 5 or more violations. */
    private static final int VIOLATION_GROUPS = 4;

    private static final int SHARE_BUCKETS = 5;
    private static final int COUNT_BUCKETS = 6;

    /** Fewer samples than this say nothing (DESIGN's starting value). */
    static final int MIN_SAMPLES = 20;

    /** The quality value is compared over windows of this length (DESIGN's starting value). */
    private static final Duration QUALITY_WINDOW = Duration.ofMinutes(2);

    private static final int QUALITY_WINDOW_COUNT = 3;

    /** Samples older than this are left out of a rebuilt table (DESIGN's starting value). */
    public static final Duration SAMPLE_RETENTION = Duration.ofMinutes(10);

    /**
     * A swing of the quality value by this much means that the machine has changed: one task in
     * five.
     */
    private static final double QUALITY_CHANGE_THRESHOLD = 0.2;

    /** Bounds memory: what a machine reports in ten minutes, with room for reports on change. */
    private static final int MAX_SAMPLES = 400;

    private static final int INITIAL_SAMPLE_CAPACITY = 16;

    /**
     * A sample is one number, and a small one where little is lost: violations, tasks (each up to a
     * bound), bucket.
     */
    private static final int BUCKET_BITS = 5;

    private static final int COUNT_BITS = 13;
    private static final int MAX_COUNT = (1 << COUNT_BITS) - 1;

    /** Numbers of a run of equal samples in what {@link #exportState} gives. */
    private static final int INTS_PER_RUN = 4;

    /** How often a group was seen in a bucket, by {@link #cell}. */
    private final Int2IntCounterMap countsByCell = new Int2IntCounterMap(0);

    /**
     * The latest samples, oldest first from {@link #oldestIndex} on, round the end: when, and what.
     */
    private long[] sampleTimesNanos = new long[INITIAL_SAMPLE_CAPACITY];

    private int[] encodedSamples = new int[INITIAL_SAMPLE_CAPACITY];
    private int oldestIndex;
    private int retainedCount;
    private int countedSamples;
    private MonotonicTime firstWindowStart;

    /**
     * Adds what one report showed: the load, and the tasks lost since the report before.
     *
     * @return the sample, for a copy's {@link #replaySample}
     */
    public int recordSample(int tasks, double share, int violations, MonotonicTime now) {
        int sample =
                (Math.min(MAX_COUNT, violations) << COUNT_BITS | Math.min(MAX_COUNT, tasks))
                                << BUCKET_BITS
                        | bucketFor(tasks, share);
        replaySample(sample, now);
        return sample;
    }

    /**
     * Adds a sample that another table was given by {@link #recordSample}, at the same time, so
     * that both come to say the same.
     */
    public void replaySample(int sample, MonotonicTime now) {
        if (!isSample(sample)) {
            throw new IllegalArgumentException("no sample: " + sample);
        }
        countsByCell.incrementAndGet(cellOf(sample));
        countedSamples++;
        retainSample(sample, now);
        if (firstWindowStart == null) {
            firstWindowStart = now;
        }
        if (now.elapsedSince(firstWindowStart)
                        .compareTo(QUALITY_WINDOW.multipliedBy(QUALITY_WINDOW_COUNT))
                >= 0) {
            if (hasQualityChanged()) {
                rebuildCounts(now);
            }
            firstWindowStart = firstWindowStart.plus(QUALITY_WINDOW);
        }
    }

    private void retainSample(int sample, MonotonicTime at) {
        if (retainedCount == MAX_SAMPLES) {
            oldestIndex = (oldestIndex + 1) % sampleTimesNanos.length;
            retainedCount--;
        }
        if (retainedCount == sampleTimesNanos.length) {
            int size = Math.min(MAX_SAMPLES, 2 * retainedCount);
            long[] laterTimes = new long[size];
            int[] laterLoads = new int[size];
            for (int at0 = 0; at0 < retainedCount; at0++) {
                laterTimes[at0] = sampleTimesNanos[ringIndex(at0)];
                laterLoads[at0] = encodedSamples[ringIndex(at0)];
            }
            sampleTimesNanos = laterTimes;
            encodedSamples = laterLoads;
            oldestIndex = 0;
        }
        sampleTimesNanos[ringIndex(retainedCount)] = at.nanos();
        encodedSamples[ringIndex(retainedCount)] = sample;
        retainedCount++;
    }

    private int ringIndex(int index) {
        return (oldestIndex + index) % sampleTimesNanos.length;
    }

    /** The chance of no violation at a load, or NaN where the table has too little to say. */
    public double noViolationProbability(int tasks, double share) {
        if (countedSamples < MIN_SAMPLES) {
            return Double.NaN;
        }
        int bucket = bucketFor(tasks, share);
        int sum = 0;
        for (int group = 0; group < VIOLATION_GROUPS; group++) {
            sum += countsByCell.get(bucket * VIOLATION_GROUPS + group);
        }
        return sum == 0 ? Double.NaN : (double) countsByCell.get(bucket * VIOLATION_GROUPS) / sum;
    }

    private boolean hasQualityChanged() {
        double least = Double.MAX_VALUE;
        double most = 0;
        for (int window = 0; window < QUALITY_WINDOW_COUNT; window++) {
            MonotonicTime from = firstWindowStart.plus(QUALITY_WINDOW.multipliedBy(window));
            MonotonicTime to = from.plus(QUALITY_WINDOW);
            long tasks = 0;
            long violations = 0;
            for (int at = 0; at < retainedCount; at++) {
                MonotonicTime when = new MonotonicTime(sampleTimesNanos[ringIndex(at)]);
                if (!when.isBefore(from) && when.isBefore(to)) {
                    tasks += taskCountOf(encodedSamples[ringIndex(at)]);
                    violations += violationCountOf(encodedSamples[ringIndex(at)]);
                }
            }
            double quality = tasks == 0 ? 0 : (double) violations / tasks;
            least = Math.min(least, quality);
            most = Math.max(most, quality);
        }
        return most - least > QUALITY_CHANGE_THRESHOLD;
    }

    private void rebuildCounts(MonotonicTime now) {
        while (retainedCount > 0
                && now.elapsedSince(new MonotonicTime(sampleTimesNanos[oldestIndex]))
                                .compareTo(SAMPLE_RETENTION)
                        > 0) {
            oldestIndex = (oldestIndex + 1) % sampleTimesNanos.length;
            retainedCount--;
        }
        if (retainedCount < MIN_SAMPLES) {
            return;
        }
        countsByCell.clear();
        countedSamples = retainedCount;
        for (int at = 0; at < retainedCount; at++) {
            countsByCell.incrementAndGet(cellOf(encodedSamples[ringIndex(at)]));
        }
    }

    // ---- copies of tables ----

    /**
     * The table as numbers that mean the same to any process: its counts, and its latest samples as
     * runs of equal ones, whose times within a run are lost but for the first and the last. Ages
     * are milliseconds.
     */
    public int[] exportState(MonotonicTime now) {
        IntArrayList out = new IntArrayList();
        out.add(countedSamples);
        out.add(firstWindowStart == null ? 0 : ageMillis(now, firstWindowStart.nanos()));
        out.add(countsByCell.size());
        countsByCell.forEach(
                (cell, count) -> {
                    out.add(cell);
                    out.add(count);
                });
        for (int at = 0; at < retainedCount; ) {
            int from = at;
            while (at < retainedCount
                    && encodedSamples[ringIndex(at)] == encodedSamples[ringIndex(from)]) {
                at++;
            }
            out.add(encodedSamples[ringIndex(from)]);
            out.add(at - from);
            out.add(ageMillis(now, sampleTimesNanos[ringIndex(from)]));
            out.add(ageMillis(now, sampleTimesNanos[ringIndex(at - 1)]));
        }
        return out.toIntArray();
    }

    private static int ageMillis(MonotonicTime now, long then) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, (now.nanos() - then) / 1_000_000));
    }

    /**
     * A table of what {@link #exportState} gave.
     *
     * @throws IllegalArgumentException if it is nothing of that kind
     */
    public static RiskTable fromExportedState(int[] exported, MonotonicTime now) {
        RiskTable table = new RiskTable();
        int counted = 0;
        int at = 3;
        int cells = at <= exported.length ? exported[2] : -1;
        if (cells < 0
                || cells > COUNT_BUCKETS * SHARE_BUCKETS * VIOLATION_GROUPS
                || exported[0] < 0
                || exported[1] < 0
                || exported.length < at + 2 * cells
                || (exported.length - at - 2 * cells) % INTS_PER_RUN != 0) {
            throw new IllegalArgumentException("no table");
        }
        for (int end = at + 2 * cells; at < end; at += 2) {
            if (exported[at] < 0
                    || exported[at] >= COUNT_BUCKETS * SHARE_BUCKETS * VIOLATION_GROUPS
                    || exported[at + 1] <= 0) {
                throw new IllegalArgumentException("no cell of a table");
            }
            table.countsByCell.put(exported[at], exported[at + 1]);
            counted += exported[at + 1];
        }
        if (counted != exported[0]) {
            throw new IllegalArgumentException("a table whose counts do not add up");
        }
        table.countedSamples = counted;
        table.firstWindowStart = counted == 0 ? null : momentBefore(now, exported[1]);
        for (; at < exported.length; at += INTS_PER_RUN) {
            int count = exported[at + 1];
            double from = exported[at + 2];
            double to = exported[at + 3];
            if (!isSample(exported[at])
                    || count <= 0
                    || count > MAX_SAMPLES
                    || to < 0
                    || from < to) {
                throw new IllegalArgumentException("no samples of a table");
            }
            for (int one = 0; one < count; one++) {
                table.retainSample(
                        exported[at],
                        momentBefore(
                                now, count == 1 ? to : from + (to - from) * one / (count - 1)));
            }
        }
        return table;
    }

    private static MonotonicTime momentBefore(MonotonicTime now, double millis) {
        return new MonotonicTime(now.nanos() - (long) (millis * 1e6));
    }

    @Override
    public boolean equals(Object other) {
        if (!(other instanceof RiskTable table)
                || countedSamples != table.countedSamples
                || countsByCell.size() != table.countsByCell.size()) {
            return false;
        }
        for (int cell = 0; cell < COUNT_BUCKETS * SHARE_BUCKETS * VIOLATION_GROUPS; cell++) {
            if (countsByCell.get(cell) != table.countsByCell.get(cell)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public int hashCode() {
        return countedSamples;
    }

    // ---- samples ----

    private static boolean isSample(int sample) {
        return sample >= 0 && bucketOf(sample) < COUNT_BUCKETS * SHARE_BUCKETS;
    }

    private static int taskCountOf(int sample) {
        return sample >> BUCKET_BITS & MAX_COUNT;
    }

    private static int violationCountOf(int sample) {
        return sample >> BUCKET_BITS + COUNT_BITS;
    }

    private static int cellOf(int sample) {
        int violations = violationCountOf(sample);
        int group = violations == 0 ? 0 : violations <= 2 ? 1 : violations <= 4 ? 2 : 3;
        return bucketOf(sample) * VIOLATION_GROUPS + group;
    }

    private static int bucketOf(int sample) {
        return sample & (1 << BUCKET_BITS) - 1;
    }

    private static int bucketFor(int tasks, double share) {
        int count = tasks <= 2 ? tasks : tasks <= 4 ? 3 : tasks <= 8 ? 4 : 5;
        int part = Math.min(SHARE_BUCKETS - 1, (int) (Math.max(0, share) * SHARE_BUCKETS));
        return count * SHARE_BUCKETS + part;
    }
}
