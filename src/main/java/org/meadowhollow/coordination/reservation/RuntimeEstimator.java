package org.meadowhollow.coordination.reservation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.JobSpec;

/**
 * Estimates upper bounds of task runtimes: the owner's estimate times a margin. The margin is
 * learned for each job class as the 90th percentile of the ratio of actual to estimated runtime of
 * recent tasks. A class with too few samples has a default margin, which covers runtimes that
 * exceed the estimate by half. Not thread-safe: guarded by the leader's lock.
 */
public final class RuntimeEstimator {
    private static final int MIN_SAMPLES = 10;
    private static final int MAX_SAMPLES_PER_CLASS = 50;

    /** Bounds memory; the class that was seen first is evicted. */
    private static final int MAX_CLASSES = 100;

    private static final double QUANTILE = 0.9;
    private static final double DEFAULT_MARGIN = 1.5;

    /**
     * The minimum margin: the bound is never below the owner's estimate, even if tasks of the class
     * usually end earlier.
     */
    private static final double MIN_MARGIN = 1;

    /** The maximum margin: outliers of one class must not keep machines empty for hours. */
    private static final double MAX_MARGIN = 4;

    /** The estimated runtime of a task whose owner gives none. */
    private static final double DEFAULT_ESTIMATE_SECONDS = 900;

    private final Map<String, ArrayDeque<Double>> runtimeRatiosByClass =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ArrayDeque<Double>> eldest) {
                    return size() > MAX_CLASSES;
                }
            };

    /**
     * The cached margin of each class; the entry of a class is removed when a sample of the class
     * is added.
     */
    private final Map<String, Double> marginByClass = new HashMap<>();

    /**
     * Records the runtime of a completed task.
     *
     * @param runtimeSeconds the runtime without the image pull
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

    /** Returns the factor by which the estimates of a class are multiplied. */
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
     * Returns the upper bound of the runtime in seconds for a task that may not be preempted. Such
     * a task delays a reservation if it exceeds its bound, as one in ten does with a learned
     * margin, so its margin is never below the default.
     */
    double conservativeUpperBoundSeconds(JobSpec spec) {
        return estimateSeconds(spec) * Math.max(DEFAULT_MARGIN, marginFor(spec.jobClass()));
    }

    /**
     * Returns the upper bound of the runtime in seconds for a task of a job that ends by itself.
     */
    public double upperBoundSeconds(JobSpec spec) {
        return estimateSeconds(spec) * marginFor(spec.jobClass());
    }

    private static double estimateSeconds(JobSpec spec) {
        return spec.estimatedRuntimeSeconds() > 0
                ? spec.estimatedRuntimeSeconds()
                : DEFAULT_ESTIMATE_SECONDS;
    }
}
