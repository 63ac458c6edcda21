package org.meadowhollow.coordination.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;

/**
 * The jobs that are likely to come before a new machine could be ready for them: as many as came
 * lately, in twice the time that a new machine takes. Kept for tasks that need a machine of their
 * own, since others nearly always find some room.
 */
public final class ArrivalForecast {
    /** Jobs kept at most; bounds memory and what a round spends on them. */
    private static final int MAX_ARRIVALS = 64;

    /** Arrivals come in bunches, so twice the time that a new machine takes is looked back. */
    private static final int LOOKBACK_FACTOR = 2;

    private record Arrival(JobSpec spec, MonotonicTime arrivedAt, Duration startupDelay) {}

    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /**
     * Notes a job.
     *
     * @param ready how long a new machine takes until it can run one of the job's tasks
     */
    public void recordArrival(JobSpec spec, MonotonicTime at, Duration ready) {
        arrivals.add(new Arrival(spec, at, ready));
        if (arrivals.size() > MAX_ARRIVALS) {
            arrivals.poll();
        }
    }

    /** The jobs to keep room for, the latest first. */
    public List<JobSpec> predictedJobs(MonotonicTime now) {
        arrivals.removeIf(
                arrival ->
                        now.elapsedSince(arrival.arrivedAt())
                                        .compareTo(
                                                arrival.startupDelay()
                                                        .multipliedBy(LOOKBACK_FACTOR))
                                > 0);
        List<JobSpec> specs = new ArrayList<>();
        arrivals.descendingIterator().forEachRemaining(arrival -> specs.add(arrival.spec()));
        return specs;
    }
}
