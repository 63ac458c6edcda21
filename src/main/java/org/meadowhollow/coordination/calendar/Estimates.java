package org.meadowhollow.coordination.calendar;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.JobSpec;

/**
 * How much longer tasks run than their owners say, by class of jobs: the ratio that nine of ten
 * lately kept below. A class that has not shown enough gets a margin that covers an estimate which
 * is wrong by half.
 */
public final class Estimates {
    private static final int ENOUGH = 10;
    private static final int MOST_KEPT = 50;
    private static final int MOST_CLASSES = 100;
    private static final double SHARE = 0.9;
    private static final double UNKNOWN_MARGIN = 1.5;

    /**
     * Less than estimated is not counted on, and one class's strays must not keep machines empty
     * for hours.
     */
    private static final double LEAST = 1;

    private static final double MOST = 4;

    /** What is taken for a task whose owner gives no estimate. */
    private static final double UNKNOWN_S = 900;

    private final Map<String, ArrayDeque<Double>> ratios =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ArrayDeque<Double>> eldest) {
                    return size() > MOST_CLASSES;
                }
            };
    private final Map<String, Double> margins = new HashMap<>();

    /**
     * A task was done.
     *
     * @param ranS how long it ran, without its image's fetch
     */
    public void ran(JobSpec spec, double ranS) {
        if (spec.estimatedRuntimeSeconds() <= 0) {
            return;
        }
        ArrayDeque<Double> kept =
                ratios.computeIfAbsent(spec.jobClass(), unused -> new ArrayDeque<>());
        kept.add(ranS / spec.estimatedRuntimeSeconds());
        if (kept.size() > MOST_KEPT) {
            kept.poll();
        }
        margins.remove(spec.jobClass());
    }

    public double margin(String jobClass) {
        ArrayDeque<Double> kept = ratios.get(jobClass);
        if (kept == null || kept.size() < ENOUGH) {
            return UNKNOWN_MARGIN;
        }
        return margins.computeIfAbsent(
                jobClass,
                unused -> {
                    double[] sorted = kept.stream().mapToDouble(Double::doubleValue).toArray();
                    Arrays.sort(sorted);
                    return Math.max(
                            LEAST,
                            Math.min(MOST, sorted[(int) Math.ceil(SHARE * sorted.length) - 1]));
                });
    }

    /**
     * The same for a task that nobody may stop: one of ten that takes longer would be one too many.
     */
    double surelyS(JobSpec spec) {
        return (spec.estimatedRuntimeSeconds() > 0 ? spec.estimatedRuntimeSeconds() : UNKNOWN_S)
                * Math.max(UNKNOWN_MARGIN, margin(spec.jobClass()));
    }

    /** How long a task of a job that ends by itself is expected to run at most, in seconds. */
    public double upperS(JobSpec spec) {
        return (spec.estimatedRuntimeSeconds() > 0 ? spec.estimatedRuntimeSeconds() : UNKNOWN_S)
                * margin(spec.jobClass());
    }
}
