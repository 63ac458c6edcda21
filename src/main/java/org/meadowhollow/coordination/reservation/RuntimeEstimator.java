package org.meadowhollow.coordination.reservation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.JobSpec;

/**
 * Estimates how long tasks run at most: their owner's estimate times a margin, which is learned for
 * each class of jobs as the ratio of actual to estimated runtime that nine of ten recent tasks stay
 * below. A class with too few samples has a margin that covers an estimate which is wrong by half.
 * Not thread-safe: guarded by the leader's lock.
 */
public final class RuntimeEstimator {
    private static final int MIN_SAMPLES = 10;
    private static final int MAX_SAMPLES_PER_CLASS = 50;

    /** Bounds memory; the class that was seen first is dropped. */
    private static final int MAX_CLASSES = 100;

    private static final double QUANTILE = 0.9;
    private static final double DEFAULT_MARGIN = 1.5;

    /** Tasks that end earlier than estimated are not counted on. */
    private static final double MIN_MARGIN = 1;

    /** Outliers of one class must not keep machines empty for hours. */
    private static final double MAX_MARGIN = 4;

    /** The estimate for a task whose owner gives none. */
    private static final double DEFAULT_ESTIMATE_SECONDS = 900;

    private final Map<String, ArrayDeque<Double>> runtimeRatiosByClass =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ArrayDeque<Double>> eldest) {
                    return size() > MAX_CLASSES;
                }
            };

    /** Margins computed since the last sample of their class. */
    private final Map<String, Double> marginByClass = new HashMap<>();

    /**
     * Records the runtime of a completed task.
     *
     * @param runtimeSeconds without the pull of its image
     */
    public void recordRuntime(JobSpec spec, double runtimeSeconds) {
        if (spec.estimatedRuntimeSeconds() <= 0) {
            return;
        }
        ArrayDeque<Double> ratios =
                runtimeRatiosByClass.computeIfAbsent(spec.jobClass(), unused -> new ArrayDeque<>());
        ratios.add(runtimeSeconds / spec.estimatedRuntimeSeconds());
        if (ratios.size() > MAX_SAMPLES_PER_CLASS) {
            ratios.poll();
        }
        marginByClass.remove(spec.jobClass());
    }

    /** The factor by which estimates of a class are multiplied. */
    public double marginFor(String jobClass) {
        ArrayDeque<Double> ratios = runtimeRatiosByClass.get(jobClass);
        if (ratios == null || ratios.size() < MIN_SAMPLES) {
            return DEFAULT_MARGIN;
        }
        return marginByClass.computeIfAbsent(jobClass, unused -> learnedMargin(ratios));
    }

    private static double learnedMargin(ArrayDeque<Double> ratios) {
        double[] sorted = ratios.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        double quantile = sorted[(int) Math.ceil(QUANTILE * sorted.length) - 1];
        return Math.max(MIN_MARGIN, Math.min(MAX_MARGIN, quantile));
    }

    /**
     * The upper bound in seconds for a task that may not be preempted: one in ten that takes longer
     * would be one too many, so its margin is never below the default.
     */
    double conservativeUpperBoundSeconds(JobSpec spec) {
        return estimateSeconds(spec) * Math.max(DEFAULT_MARGIN, marginFor(spec.jobClass()));
    }

    /** How long a task of a job that ends by itself is expected to run at most, in seconds. */
    public double upperBoundSeconds(JobSpec spec) {
        return estimateSeconds(spec) * marginFor(spec.jobClass());
    }

    private static double estimateSeconds(JobSpec spec) {
        return spec.estimatedRuntimeSeconds() > 0
                ? spec.estimatedRuntimeSeconds()
                : DEFAULT_ESTIMATE_SECONDS;
    }
}
