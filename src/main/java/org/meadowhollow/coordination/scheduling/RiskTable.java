package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Duration;
import org.agrona.collections.Int2IntCounterMap;
import org.meadowhollow.model.MonotonicTime;

/**
 * Predicts from one machine's history how likely violations, that is lost tasks, are at a load. The
 * table counts the samples of each violation group in each bucket of task count and allocated
 * share. When the machine's violation rate changes, the table is rebuilt from its recent samples.
 * Not thread-safe: guarded by the leader's lock.
 */
public final class RiskTable {
    /** The number of samples below which the table makes no prediction. */
    static final int MIN_SAMPLES = 20;

    /** Length of the consecutive windows whose violation rates are compared. */
    private static final Duration RATE_WINDOW = Duration.ofMinutes(2);

    private static final int RATE_WINDOW_COUNT = 3;

    /** The maximum age of the samples from which a table is rebuilt. */
    public static final Duration SAMPLE_RETENTION = Duration.ofMinutes(10);

    /**
     * A difference of the violation rate by more than this, one task in five, means that the
     * machine's behaviour has changed.
     */
    private static final double RATE_CHANGE_THRESHOLD = 0.2;

    /** Positions in the header of an exported table. */
    private static final int EXPORTED_SAMPLE_COUNT = 0;

    private static final int EXPORTED_WINDOW_AGE = 1;
    private static final int EXPORTED_CELL_COUNT = 2;
    private static final int EXPORTED_HEADER_LENGTH = 3;

    /** Number of ints for a cell in an exported table: cell, count. */
    private static final int INTS_PER_CELL = 2;

    /** Number of ints for a run of samples in an exported table: sample, length, two ages. */
    private static final int INTS_PER_RUN = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Number of samples by {@link RiskSample#cellOf}. */
    private final Int2IntCounterMap countsByCell = new Int2IntCounterMap(0);

    private final RecentSamples recentSamples = new RecentSamples();
    private int countedSamples;

    /** The start of the first of the windows that are compared; null before the first sample. */
    private MonotonicTime firstWindowStart;

    /**
     * Adds a sample from a heartbeat: the load, and the tasks lost since the previous heartbeat.
     *
     * @param allocatedShare the share of the machine that its tasks are allocated, from 0 to 1
     * @return the packed sample, for {@link #replaySample} on a replica
     */
    public int recordSample(int tasks, double allocatedShare, int violations, MonotonicTime now) {
        int sample = RiskSample.pack(tasks, allocatedShare, violations);
        replaySample(sample, now);
        return sample;
    }

    /**
     * Adds a sample that {@link #recordSample} of another table returned, with the time of that
     * call, so that both tables become equal.
     *
     * @throws IllegalArgumentException if the number is not a packed sample
     */
    public void replaySample(int sample, MonotonicTime now) {
        if (!RiskSample.isValid(sample)) {
            throw new IllegalArgumentException("invalid risk sample: " + sample);
        }
        countsByCell.incrementAndGet(RiskSample.cellOf(sample));
        countedSamples++;
        recentSamples.add(sample, now);
        if (firstWindowStart == null) {
            firstWindowStart = now;
        }
        Duration allWindows = RATE_WINDOW.multipliedBy(RATE_WINDOW_COUNT);
        if (now.elapsedSince(firstWindowStart).compareTo(allWindows) >= 0) {
            if (hasViolationRateChanged()) {
                rebuildCounts(now);
            }
            firstWindowStart = firstWindowStart.plus(RATE_WINDOW);
        }
    }

    /**
     * Returns the predicted probability of no violation at a load, or NaN if there are too few
     * samples.
     *
     * @param allocatedShare the share of the machine that its tasks are allocated, from 0 to 1
     */
    public double noViolationProbability(int tasks, double allocatedShare) {
        if (countedSamples < MIN_SAMPLES) {
            return Double.NaN;
        }
        int bucket = RiskSample.loadBucket(tasks, allocatedShare);
        int samples = 0;
        for (int group = 0; group < RiskSample.VIOLATION_GROUPS; group++) {
            samples += countsByCell.get(RiskSample.cell(bucket, group));
        }
        if (samples == 0) {
            return Double.NaN;
        }
        return (double) countsByCell.get(RiskSample.cell(bucket, 0)) / samples;
    }

    private boolean hasViolationRateChanged() {
        double lowest = Double.MAX_VALUE;
        double highest = 0;
        for (int window = 0; window < RATE_WINDOW_COUNT; window++) {
            MonotonicTime from = firstWindowStart.plus(RATE_WINDOW.multipliedBy(window));
            double rate = violationRate(from, from.plus(RATE_WINDOW));
            lowest = Math.min(lowest, rate);
            highest = Math.max(highest, rate);
        }
        return highest - lowest > RATE_CHANGE_THRESHOLD;
    }

    /** Returns the violations per task in the samples of a window; 0 without tasks. */
    private double violationRate(MonotonicTime from, MonotonicTime to) {
        long tasks = 0;
        long violations = 0;
        for (int index = 0; index < recentSamples.count(); index++) {
            MonotonicTime sampledAt = recentSamples.timeAt(index);
            if (!sampledAt.isBefore(from) && sampledAt.isBefore(to)) {
                tasks += RiskSample.taskCountOf(recentSamples.sampleAt(index));
                violations += RiskSample.violationCountOf(recentSamples.sampleAt(index));
            }
        }
        return tasks == 0 ? 0 : (double) violations / tasks;
    }

    private void rebuildCounts(MonotonicTime now) {
        recentSamples.removeOlderThan(SAMPLE_RETENTION, now);
        if (recentSamples.count() < MIN_SAMPLES) {
            return;
        }
        countsByCell.clear();
        countedSamples = recentSamples.count();
        for (int index = 0; index < recentSamples.count(); index++) {
            countsByCell.incrementAndGet(RiskSample.cellOf(recentSamples.sampleAt(index)));
        }
    }

    /**
     * Exports the table as numbers that do not depend on the clock of this process: a header of
     * sample count, age of the first window and number of cells; the cells with their counts; and
     * the recent samples in run-length encoding, where only the first and the last time of a run
     * are kept. Times are exported as ages in milliseconds.
     */
    public int[] exportState(MonotonicTime now) {
        IntArrayList out = new IntArrayList();
        out.add(countedSamples);
        out.add(firstWindowStart == null ? 0 : RecentSamples.ageMillis(now, firstWindowStart));
        out.add(countsByCell.size());
        countsByCell.forEach(
                (cell, count) -> {
                    out.add(cell);
                    out.add(count);
                });
        recentSamples.exportRuns(out, now);
        return out.toIntArray();
    }

    /**
     * Creates a table from the result of {@link #exportState}. The times within a run of samples
     * are interpolated linearly.
     *
     * @throws IllegalArgumentException if the numbers are not an exported table
     */
    public static RiskTable fromExportedState(int[] exported, MonotonicTime now) {
        int runsStart = EXPORTED_HEADER_LENGTH + INTS_PER_CELL * validatedCellCount(exported);
        RiskTable table = new RiskTable();
        table.importCells(exported, runsStart);
        table.firstWindowStart =
                table.countedSamples == 0 ? null : millisBefore(now, exported[EXPORTED_WINDOW_AGE]);
        for (int position = runsStart; position < exported.length; position += INTS_PER_RUN) {
            table.importRun(exported, position, now);
        }
        return table;
    }

    private static int validatedCellCount(int[] exported) {
        int cells = exported.length < EXPORTED_HEADER_LENGTH ? -1 : exported[EXPORTED_CELL_COUNT];
        if (cells < 0
                || cells > RiskSample.CELLS
                || exported[EXPORTED_SAMPLE_COUNT] < 0
                || exported[EXPORTED_WINDOW_AGE] < 0) {
            throw new IllegalArgumentException("risk table has an invalid header");
        }
        int runsLength = exported.length - EXPORTED_HEADER_LENGTH - INTS_PER_CELL * cells;
        if (runsLength < 0 || runsLength % INTS_PER_RUN != 0) {
            throw new IllegalArgumentException("risk table has an invalid length");
        }
        return cells;
    }

    private void importCells(int[] exported, int end) {
        int imported = 0;
        for (int position = EXPORTED_HEADER_LENGTH; position < end; position += INTS_PER_CELL) {
            int cell = exported[position];
            int count = exported[position + 1];
            if (cell < 0 || cell >= RiskSample.CELLS || count <= 0) {
                throw new IllegalArgumentException("risk table has an invalid cell");
            }
            countsByCell.put(cell, count);
            imported += count;
        }
        if (imported != exported[EXPORTED_SAMPLE_COUNT]) {
            throw new IllegalArgumentException(
                    "risk table has cell counts that do not add up to its sample count");
        }
        countedSamples = imported;
    }

    private void importRun(int[] exported, int position, MonotonicTime now) {
        int sample = exported[position];
        int length = exported[position + 1];
        double firstAge = exported[position + 2];
        double lastAge = exported[position + 3];
        if (!RiskSample.isValid(sample)
                || length <= 0
                || length > RecentSamples.MAX_SAMPLES
                || lastAge < 0
                || firstAge < lastAge) {
            throw new IllegalArgumentException("risk table has an invalid run of samples");
        }
        for (int index = 0; index < length; index++) {
            double age =
                    length == 1 ? lastAge : firstAge + (lastAge - firstAge) * index / (length - 1);
            recentSamples.add(sample, millisBefore(now, age));
        }
    }

    private static MonotonicTime millisBefore(MonotonicTime now, double millis) {
        return new MonotonicTime(now.nanos() - (long) (millis * NANOS_PER_MILLI));
    }

    /** Whether both tables make the same predictions; their recent samples may differ. */
    @Override
    public boolean equals(Object other) {
        if (!(other instanceof RiskTable table)
                || countedSamples != table.countedSamples
                || countsByCell.size() != table.countsByCell.size()) {
            return false;
        }
        for (int cell = 0; cell < RiskSample.CELLS; cell++) {
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
}
