package org.meadowhollow.transport;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.EnumMap;
import java.util.Map;
import org.meadowhollow.model.RepeatingStep;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the failures of the steps that a process repeats. Logs the first failure of each step with
 * its exception, and at intervals the counts, if any step has failed since. Thread-safe.
 */
final class StepFailures {
    private static final Logger LOG = LoggerFactory.getLogger(StepFailures.class);

    @GuardedBy("this")
    private final Map<RepeatingStep, Long> countByStep = new EnumMap<>(RepeatingStep.class);

    @GuardedBy("this")
    private long failuresSinceReport;

    /** Records that an execution of a step has thrown an exception. */
    synchronized void record(RepeatingStep step, RuntimeException failure) {
        failuresSinceReport++;
        if (countByStep.merge(step, 1L, Long::sum) == 1) {
            LOG.error("repeating step failed step={}", step, failure);
        } else {
            LOG.debug("repeating step failed again step={}", step, failure);
        }
    }

    /** Returns how often each step has failed since the start of the process. */
    synchronized Map<RepeatingStep, Long> countByStep() {
        return Map.copyOf(countByStep);
    }

    /** Logs the counts if a step has failed since the last report. */
    synchronized void report() {
        if (failuresSinceReport > 0) {
            LOG.info(
                    "repeating steps failed count={} since_start={}",
                    failuresSinceReport,
                    countByStep);
            failuresSinceReport = 0;
        }
    }
}
