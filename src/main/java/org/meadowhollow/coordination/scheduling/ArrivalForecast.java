package org.meadowhollow.coordination.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;

/**
 * Predicts the jobs that will be submitted before a new machine could be ready for them: the same
 * jobs as were submitted recently, within twice the time that a new machine takes. Callers record
 * only jobs whose tasks need most of a machine, since smaller tasks nearly always fit somewhere.
 * Not thread-safe: guarded by the leader's lock.
 */
public final class ArrivalForecast {
    /** Limits the memory and the time that a round spends on predicted jobs. */
    private static final int MAX_ARRIVALS = 64;

    /** Length of the window in startup delays; more than one because jobs arrive in bursts. */
    private static final int LOOKBACK_FACTOR = 2;

    private record Arrival(JobSpec spec, MonotonicTime arrivedAt, Duration startupDelay) {}

    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /**
     * Records the submission of a job.
     *
     * @param startupDelay how long a new machine takes until it can run one of the job's tasks
     */
    public void recordArrival(JobSpec spec, MonotonicTime arrivedAt, Duration startupDelay) {
        arrivals.add(new Arrival(spec, arrivedAt, startupDelay));
        if (arrivals.size() > MAX_ARRIVALS) {
            arrivals.poll();
        }
    }

    /** Returns the predicted jobs, the latest first; discards arrivals outside the window. */
    public List<JobSpec> predictedJobs(MonotonicTime now) {
        arrivals.removeIf(arrival -> isOutsideWindow(arrival, now));
        List<JobSpec> specs = new ArrayList<>();
        arrivals.descendingIterator().forEachRemaining(arrival -> specs.add(arrival.spec()));
        return specs;
    }

    private static boolean isOutsideWindow(Arrival arrival, MonotonicTime now) {
        Duration window = arrival.startupDelay().multipliedBy(LOOKBACK_FACTOR);
        return now.elapsedSince(arrival.arrivedAt()).compareTo(window) > 0;
    }
}
