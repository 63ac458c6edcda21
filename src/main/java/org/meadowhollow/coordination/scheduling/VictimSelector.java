package org.meadowhollow.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Which tasks to stop for one that finds no room: a pure function. Only work of lower priority may
 * be stopped, or, for a team within its guarantee, what another team runs beyond its own.
 */
final class VictimSelector {
    private VictimSelector() {}

    /**
     * A task that runs somewhere.
     *
     * @param lostWorkSeconds seconds of work that stopping it would lose
     * @param overGuaranteedQuota whether its team uses more than its guarantee
     */
    record RunningTask<T>(
            T task,
            Priority priority,
            String team,
            Resources allocated,
            double lostWorkSeconds,
            boolean overGuaranteedQuota) {}

    /** A machine that the waiting task may use, what is free on it, and what runs there. */
    record PreemptionCandidate<T>(
            Resources freeCapacity, boolean imageCached, List<RunningTask<T>> runningTasks) {}

    /**
     * The tasks to stop, all on one machine, that lose least; empty if no machine can be made to
     * fit.
     */
    static <T> List<T> selectVictims(
            JobSpec spec, boolean guaranteed, List<PreemptionCandidate<T>> places) {
        List<T> best = List.of();
        double bestLoss = Double.MAX_VALUE;
        for (PreemptionCandidate<T> preemptionCandidate : places) {
            List<RunningTask<T>> may = new ArrayList<>();
            for (RunningTask<T> runningTask : preemptionCandidate.runningTasks()) {
                if (mayPreempt(spec, guaranteed, runningTask)) {
                    may.add(runningTask);
                }
            }
            may.sort(Comparator.comparingDouble(RunningTask::lostWorkSeconds));
            Resources free = preemptionCandidate.freeCapacity();
            List<T> stopped = new ArrayList<>();
            double loss = preemptionCandidate.imageCached() ? 0 : spec.imageSizeGb();
            for (RunningTask<T> runningTask : may) {
                if (spec.resourcesPerTask().fitsIn(free)) {
                    break;
                }
                free = free.plus(runningTask.allocated());
                stopped.add(runningTask.task());
                loss += runningTask.lostWorkSeconds();
            }
            if (!stopped.isEmpty() && spec.resourcesPerTask().fitsIn(free) && loss < bestLoss) {
                best = stopped;
                bestLoss = loss;
            }
        }
        return best;
    }

    /**
     * Room for one more task at a place: what has to be stopped for it, and how much that loses.
     */
    record FreedSlot<T>(
            PreemptionCandidate<T> candidate, List<T> victims, double lostWorkSeconds) {}

    /**
     * What to stop so that several tasks find room: only work of the lowest priority, which waits
     * for what others leave. Least loss for each task goes first, and room that is free already
     * costs nothing.
     *
     * @param most tasks that want room
     * @param whole whether room for fewer is of no use, as for a gang
     */
    static <T> List<FreedSlot<T>> selectBestEffortVictims(
            JobSpec spec, int most, boolean whole, List<PreemptionCandidate<T>> places) {
        if (!spec.priority().isHigherThan(Priority.LOW)) {
            return List.of();
        }
        List<FreedSlot<T>> gains = new ArrayList<>();
        for (PreemptionCandidate<T> preemptionCandidate : places) {
            List<RunningTask<T>> idle = new ArrayList<>();
            for (RunningTask<T> runningTask : preemptionCandidate.runningTasks()) {
                if (runningTask.priority() == Priority.LOW) {
                    idle.add(runningTask);
                }
            }
            idle.sort(Comparator.comparingDouble(RunningTask::lostWorkSeconds));
            Resources free = preemptionCandidate.freeCapacity();
            List<T> stopped = new ArrayList<>();
            double loss = preemptionCandidate.imageCached() ? 0 : spec.imageSizeGb();
            int next = 0;
            for (int count = 0; count < most; count++) {
                while (!spec.resourcesPerTask().fitsIn(free) && next < idle.size()) {
                    free = free.plus(idle.get(next).allocated());
                    stopped.add(idle.get(next).task());
                    loss += idle.get(next++).lostWorkSeconds();
                }
                if (!spec.resourcesPerTask().fitsIn(free)) {
                    break;
                }
                free = free.minus(spec.resourcesPerTask());
                gains.add(new FreedSlot<>(preemptionCandidate, stopped, loss));
                stopped = new ArrayList<>();
                loss = 0;
            }
        }
        if (whole && gains.size() < most) {
            return List.of();
        }
        gains.sort(Comparator.comparingDouble(FreedSlot::lostWorkSeconds));
        return gains.subList(0, Math.min(most, gains.size()));
    }

    private static boolean mayPreempt(
            JobSpec spec, boolean guaranteed, RunningTask<?> runningTask) {
        return spec.priority().isHigherThan(runningTask.priority())
                || guaranteed
                        && runningTask.overGuaranteedQuota()
                        && !runningTask.team().equals(spec.team());
    }
}
