package org.meadowhollow.simulation;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import org.meadowhollow.model.EventLoopStep;

/** Measures the steps of controllers in processor time of the calling thread, for benchmarks. */
final class StepTimes {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<EventLoopStep, Long> longestNanos = new EnumMap<>(EventLoopStep.class);
    private final Map<EventLoopStep, Long> totalNanos = new EnumMap<>(EventLoopStep.class);

    <T> T measure(EventLoopStep step, Supplier<T> work) {
        long startNanos = THREADS.getCurrentThreadCpuTime();
        try {
            return work.get();
        } finally {
            long elapsed = THREADS.getCurrentThreadCpuTime() - startNanos;
            longestNanos.merge(step, elapsed, Math::max);
            totalNanos.merge(step, elapsed, Long::sum);
        }
    }

    void clear() {
        longestNanos.clear();
        totalNanos.clear();
    }

    /** Formats the longest and the total time of each step, in milliseconds. */
    String format() {
        StringBuilder text = new StringBuilder();
        longestNanos.forEach(
                (step, nanos) ->
                        text.append(
                                "  %-18s longest %8.1f ms   total %9.1f ms%n"
                                        .formatted(
                                                step,
                                                nanos / NANOS_PER_MILLI,
                                                totalNanos.get(step) / NANOS_PER_MILLI)));
        return text.toString();
    }
}
