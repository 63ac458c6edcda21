package org.meadowhollow.coordination.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import org.agrona.collections.Int2IntCounterMap;
import org.meadowhollow.bookkeeping.Moment;

/**
 * What one machine's past says of the losses to expect at a load: how often each violation group was
 * seen in a bucket of task count and booked share.
 */
public final class RiskTable {
    /** The paper's groups V1 to V4: 0, 1 or 2, 3 or 4, and 5 or more violations. */
    private static final int GROUPS = 4;
    private static final int SHARE_BUCKETS = 5;
    /** Fewer samples than this say nothing (DESIGN's starting value). */
    static final int LEAST_SAMPLES = 20;
    /** The quality value is compared over windows of this length (DESIGN's starting value). */
    private static final Duration WINDOW = Duration.ofMinutes(2);
    private static final int WINDOWS = 3;
    /** Samples older than this are left out of a rebuilt table (DESIGN's starting value). */
    private static final Duration RECENT = Duration.ofMinutes(10);
    /** A swing of the quality value by this much means that the machine has changed: one task in five. */
    private static final double SWING = 0.2;
    /** Bounds memory: what a machine reports in ten minutes, with room for reports on change. */
    private static final int MOST_SAMPLES = 400;

    private record Sample(Moment at, int bucket, int group, int tasks, int violations) {
    }

    /** How often a group was seen in a bucket, by {@link #cell}. */
    private final Int2IntCounterMap seen = new Int2IntCounterMap(0);
    private final ArrayDeque<Sample> recent = new ArrayDeque<>();
    private int samples;
    private Moment windowsFrom;

    /** Adds what one report showed: the load, and the tasks lost since the report before. */
    public void add(int tasks, double share, int violations, Moment now) {
        int bucket = bucket(tasks, share);
        int group = violations == 0 ? 0 : violations <= 2 ? 1 : violations <= 4 ? 2 : 3;
        seen.incrementAndGet(cell(bucket, group));
        samples++;
        recent.add(new Sample(now, bucket, group, tasks, violations));
        if (recent.size() > MOST_SAMPLES) {
            recent.poll();
        }
        if (windowsFrom == null) {
            windowsFrom = now;
        }
        if (now.since(windowsFrom).compareTo(WINDOW.multipliedBy(WINDOWS)) >= 0) {
            if (swings(now)) {
                rebuild(now);
            }
            windowsFrom = windowsFrom.plus(WINDOW);
        }
    }

    /** The chance of no violation at a load, or NaN where the table has too little to say. */
    public double chanceOfNone(int tasks, double share) {
        if (samples < LEAST_SAMPLES) {
            return Double.NaN;
        }
        int bucket = bucket(tasks, share);
        int sum = 0;
        for (int group = 0; group < GROUPS; group++) {
            sum += seen.get(cell(bucket, group));
        }
        return sum == 0 ? Double.NaN : (double) seen.get(cell(bucket, 0)) / sum;
    }

    private boolean swings(Moment now) {
        double least = Double.MAX_VALUE;
        double most = 0;
        for (int window = 0; window < WINDOWS; window++) {
            Moment from = windowsFrom.plus(WINDOW.multipliedBy(window));
            Moment to = from.plus(WINDOW);
            long tasks = 0;
            long violations = 0;
            for (Sample sample : recent) {
                if (!sample.at().isBefore(from) && sample.at().isBefore(to)) {
                    tasks += sample.tasks();
                    violations += sample.violations();
                }
            }
            double quality = tasks == 0 ? 0 : (double) violations / tasks;
            least = Math.min(least, quality);
            most = Math.max(most, quality);
        }
        return most - least > SWING;
    }

    private void rebuild(Moment now) {
        recent.removeIf(sample -> now.since(sample.at()).compareTo(RECENT) > 0);
        if (recent.size() < LEAST_SAMPLES) {
            return;
        }
        seen.clear();
        samples = recent.size();
        for (Sample sample : recent) {
            seen.incrementAndGet(cell(sample.bucket(), sample.group()));
        }
    }

    private static int cell(int bucket, int group) {
        return bucket * GROUPS + group;
    }

    private static int bucket(int tasks, double share) {
        int count = tasks <= 2 ? tasks : tasks <= 4 ? 3 : tasks <= 8 ? 4 : 5;
        int part = Math.min(SHARE_BUCKETS - 1, (int) (Math.max(0, share) * SHARE_BUCKETS));
        return count * SHARE_BUCKETS + part;
    }
}
