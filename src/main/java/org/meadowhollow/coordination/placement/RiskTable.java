package org.meadowhollow.coordination.placement;

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
    private static final int GROUPS = 4;

    private static final int SHARE_BUCKETS = 5;
    private static final int COUNT_BUCKETS = 6;

    /** Fewer samples than this say nothing (DESIGN's starting value). */
    static final int LEAST_SAMPLES = 20;

    /** The quality value is compared over windows of this length (DESIGN's starting value). */
    private static final Duration WINDOW = Duration.ofMinutes(2);

    private static final int WINDOWS = 3;

    /** Samples older than this are left out of a rebuilt table (DESIGN's starting value). */
    public static final Duration RECENT = Duration.ofMinutes(10);

    /**
     * A swing of the quality value by this much means that the machine has changed: one task in
     * five.
     */
    private static final double SWING = 0.2;

    /** Bounds memory: what a machine reports in ten minutes, with room for reports on change. */
    private static final int MOST_SAMPLES = 400;

    private static final int FIRST_SAMPLES = 16;

    /**
     * A sample is one number, and a small one where little is lost: violations, tasks (each up to a
     * bound), bucket.
     */
    private static final int BUCKET_BITS = 5;

    private static final int COUNT_BITS = 13;
    private static final int MOST_COUNT = (1 << COUNT_BITS) - 1;

    /** Numbers of a run of equal samples in what {@link #export} gives. */
    private static final int RUN = 4;

    /** How often a group was seen in a bucket, by {@link #cell}. */
    private final Int2IntCounterMap seen = new Int2IntCounterMap(0);

    /** The latest samples, oldest first from {@link #first} on, round the end: when, and what. */
    private long[] times = new long[FIRST_SAMPLES];

    private int[] loads = new int[FIRST_SAMPLES];
    private int first;
    private int kept;
    private int samples;
    private MonotonicTime windowsFrom;

    /**
     * Adds what one report showed: the load, and the tasks lost since the report before.
     *
     * @return the sample, for a copy's {@link #replay}
     */
    public int add(int tasks, double share, int violations, MonotonicTime now) {
        int sample =
                (Math.min(MOST_COUNT, violations) << COUNT_BITS | Math.min(MOST_COUNT, tasks))
                                << BUCKET_BITS
                        | bucket(tasks, share);
        replay(sample, now);
        return sample;
    }

    /**
     * Adds a sample that another table was given by {@link #add}, at the same time, so that both
     * come to say the same.
     */
    public void replay(int sample, MonotonicTime now) {
        if (!isSample(sample)) {
            throw new IllegalArgumentException("no sample: " + sample);
        }
        seen.incrementAndGet(cellOf(sample));
        samples++;
        keep(sample, now);
        if (windowsFrom == null) {
            windowsFrom = now;
        }
        if (now.elapsedSince(windowsFrom).compareTo(WINDOW.multipliedBy(WINDOWS)) >= 0) {
            if (swings()) {
                rebuild(now);
            }
            windowsFrom = windowsFrom.plus(WINDOW);
        }
    }

    private void keep(int sample, MonotonicTime at) {
        if (kept == MOST_SAMPLES) {
            first = (first + 1) % times.length;
            kept--;
        }
        if (kept == times.length) {
            int size = Math.min(MOST_SAMPLES, 2 * kept);
            long[] laterTimes = new long[size];
            int[] laterLoads = new int[size];
            for (int at0 = 0; at0 < kept; at0++) {
                laterTimes[at0] = times[slot(at0)];
                laterLoads[at0] = loads[slot(at0)];
            }
            times = laterTimes;
            loads = laterLoads;
            first = 0;
        }
        times[slot(kept)] = at.nanos();
        loads[slot(kept)] = sample;
        kept++;
    }

    private int slot(int index) {
        return (first + index) % times.length;
    }

    /** The chance of no violation at a load, or NaN where the table has too little to say. */
    public double chanceOfNone(int tasks, double share) {
        if (samples < LEAST_SAMPLES) {
            return Double.NaN;
        }
        int bucket = bucket(tasks, share);
        int sum = 0;
        for (int group = 0; group < GROUPS; group++) {
            sum += seen.get(bucket * GROUPS + group);
        }
        return sum == 0 ? Double.NaN : (double) seen.get(bucket * GROUPS) / sum;
    }

    private boolean swings() {
        double least = Double.MAX_VALUE;
        double most = 0;
        for (int window = 0; window < WINDOWS; window++) {
            MonotonicTime from = windowsFrom.plus(WINDOW.multipliedBy(window));
            MonotonicTime to = from.plus(WINDOW);
            long tasks = 0;
            long violations = 0;
            for (int at = 0; at < kept; at++) {
                MonotonicTime when = new MonotonicTime(times[slot(at)]);
                if (!when.isBefore(from) && when.isBefore(to)) {
                    tasks += tasks(loads[slot(at)]);
                    violations += violations(loads[slot(at)]);
                }
            }
            double quality = tasks == 0 ? 0 : (double) violations / tasks;
            least = Math.min(least, quality);
            most = Math.max(most, quality);
        }
        return most - least > SWING;
    }

    private void rebuild(MonotonicTime now) {
        while (kept > 0
                && now.elapsedSince(new MonotonicTime(times[first])).compareTo(RECENT) > 0) {
            first = (first + 1) % times.length;
            kept--;
        }
        if (kept < LEAST_SAMPLES) {
            return;
        }
        seen.clear();
        samples = kept;
        for (int at = 0; at < kept; at++) {
            seen.incrementAndGet(cellOf(loads[slot(at)]));
        }
    }

    // ---- copies of tables ----

    /**
     * The table as numbers that mean the same to any process: its counts, and its latest samples as
     * runs of equal ones, whose times within a run are lost but for the first and the last. Ages
     * are milliseconds.
     */
    public int[] export(MonotonicTime now) {
        IntArrayList out = new IntArrayList();
        out.add(samples);
        out.add(windowsFrom == null ? 0 : millis(now, windowsFrom.nanos()));
        out.add(seen.size());
        seen.forEach(
                (cell, count) -> {
                    out.add(cell);
                    out.add(count);
                });
        for (int at = 0; at < kept; ) {
            int from = at;
            while (at < kept && loads[slot(at)] == loads[slot(from)]) {
                at++;
            }
            out.add(loads[slot(from)]);
            out.add(at - from);
            out.add(millis(now, times[slot(from)]));
            out.add(millis(now, times[slot(at - 1)]));
        }
        return out.toIntArray();
    }

    private static int millis(MonotonicTime now, long then) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, (now.nanos() - then) / 1_000_000));
    }

    /**
     * A table of what {@link #export} gave.
     *
     * @throws IllegalArgumentException if it is nothing of that kind
     */
    public static RiskTable of(int[] exported, MonotonicTime now) {
        RiskTable table = new RiskTable();
        int counted = 0;
        int at = 3;
        int cells = at <= exported.length ? exported[2] : -1;
        if (cells < 0
                || cells > COUNT_BUCKETS * SHARE_BUCKETS * GROUPS
                || exported[0] < 0
                || exported[1] < 0
                || exported.length < at + 2 * cells
                || (exported.length - at - 2 * cells) % RUN != 0) {
            throw new IllegalArgumentException("no table");
        }
        for (int end = at + 2 * cells; at < end; at += 2) {
            if (exported[at] < 0
                    || exported[at] >= COUNT_BUCKETS * SHARE_BUCKETS * GROUPS
                    || exported[at + 1] <= 0) {
                throw new IllegalArgumentException("no cell of a table");
            }
            table.seen.put(exported[at], exported[at + 1]);
            counted += exported[at + 1];
        }
        if (counted != exported[0]) {
            throw new IllegalArgumentException("a table whose counts do not add up");
        }
        table.samples = counted;
        table.windowsFrom = counted == 0 ? null : before(now, exported[1]);
        for (; at < exported.length; at += RUN) {
            int count = exported[at + 1];
            double from = exported[at + 2];
            double to = exported[at + 3];
            if (!isSample(exported[at])
                    || count <= 0
                    || count > MOST_SAMPLES
                    || to < 0
                    || from < to) {
                throw new IllegalArgumentException("no samples of a table");
            }
            for (int one = 0; one < count; one++) {
                table.keep(
                        exported[at],
                        before(now, count == 1 ? to : from + (to - from) * one / (count - 1)));
            }
        }
        return table;
    }

    private static MonotonicTime before(MonotonicTime now, double millis) {
        return new MonotonicTime(now.nanos() - (long) (millis * 1e6));
    }

    @Override
    public boolean equals(Object other) {
        if (!(other instanceof RiskTable table)
                || samples != table.samples
                || seen.size() != table.seen.size()) {
            return false;
        }
        for (int cell = 0; cell < COUNT_BUCKETS * SHARE_BUCKETS * GROUPS; cell++) {
            if (seen.get(cell) != table.seen.get(cell)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public int hashCode() {
        return samples;
    }

    // ---- samples ----

    private static boolean isSample(int sample) {
        return sample >= 0 && bucketOf(sample) < COUNT_BUCKETS * SHARE_BUCKETS;
    }

    private static int tasks(int sample) {
        return sample >> BUCKET_BITS & MOST_COUNT;
    }

    private static int violations(int sample) {
        return sample >> BUCKET_BITS + COUNT_BITS;
    }

    private static int cellOf(int sample) {
        int violations = violations(sample);
        int group = violations == 0 ? 0 : violations <= 2 ? 1 : violations <= 4 ? 2 : 3;
        return bucketOf(sample) * GROUPS + group;
    }

    private static int bucketOf(int sample) {
        return sample & (1 << BUCKET_BITS) - 1;
    }

    private static int bucket(int tasks, double share) {
        int count = tasks <= 2 ? tasks : tasks <= 4 ? 3 : tasks <= 8 ? 4 : 5;
        int part = Math.min(SHARE_BUCKETS - 1, (int) (Math.max(0, share) * SHARE_BUCKETS));
        return count * SHARE_BUCKETS + part;
    }
}
