package org.meadowhollow.coordination.reservation;

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
public final class RuntimeEstimator {
    private static final int MIN_SAMPLES = 10;
    private static final int MAX_SAMPLES_PER_CLASS = 50;
    private static final int MAX_CLASSES = 100;
    private static final double QUANTILE = 0.9;
    private static final double DEFAULT_MARGIN = 1.5;

    /**
     * Less than estimated is not counted on, and one class's strays must not keep machines empty
     * for hours.
     */
    private static final double MIN_MARGIN = 1;

    private static final double MAX_MARGIN = 4;

    /** What is taken for a task whose owner gives no estimate. */
    private static final double DEFAULT_ESTIMATE_SECONDS = 900;

    private final Map<String, ArrayDeque<Double>> runtimeRatiosByClass =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ArrayDeque<Double>> eldest) {
                    return size() > MAX_CLASSES;
                }
            };
    private final Map<String, Double> marginByClass = new HashMap<>();

    /**
     * A task was done.
     *
     * @param ranS how long it ran, without its image's fetch
     */
    public void recordRuntime(JobSpec spec, double ranS) {
        if (spec.estimatedRuntimeSeconds() <= 0) {
            return;
        }
        ArrayDeque<Double> kept =
                runtimeRatiosByClass.computeIfAbsent(spec.jobClass(), unused -> new ArrayDeque<>());
        kept.add(ranS / spec.estimatedRuntimeSeconds());
        if (kept.size() > MAX_SAMPLES_PER_CLASS) {
            kept.poll();
        }
        marginByClass.remove(spec.jobClass());
    }

    public double marginFor(String jobClass) {
        ArrayDeque<Double> kept = runtimeRatiosByClass.get(jobClass);
        if (kept == null || kept.size() < MIN_SAMPLES) {
            return DEFAULT_MARGIN;
        }
        return marginByClass.computeIfAbsent(
                jobClass,
                unused -> {
                    double[] sorted = kept.stream().mapToDouble(Double::doubleValue).toArray();
                    Arrays.sort(sorted);
                    return Math.max(
                            MIN_MARGIN,
                            Math.min(
                                    MAX_MARGIN,
                                    sorted[(int) Math.ceil(QUANTILE * sorted.length) - 1]));
                });
    }

    /**
     * The same for a task that nobody may stop: one of ten that takes longer would be one too many.
     */
    double conservativeUpperBoundSeconds(JobSpec spec) {
        return (spec.estimatedRuntimeSeconds() > 0
                        ? spec.estimatedRuntimeSeconds()
                        : DEFAULT_ESTIMATE_SECONDS)
                * Math.max(DEFAULT_MARGIN, marginFor(spec.jobClass()));
    }

    /** How long a task of a job that ends by itself is expected to run at most, in seconds. */
    public double upperBoundSeconds(JobSpec spec) {
        return (spec.estimatedRuntimeSeconds() > 0
                        ? spec.estimatedRuntimeSeconds()
                        : DEFAULT_ESTIMATE_SECONDS)
                * marginFor(spec.jobClass());
    }
}
