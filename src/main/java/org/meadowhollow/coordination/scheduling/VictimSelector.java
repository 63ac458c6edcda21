package org.meadowhollow.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Selects the tasks to preempt for a waiting task so that the least work is lost. Only tasks of
 * lower priority may be preempted, or, for a job within its team's guaranteed quota, tasks of
 * another team that exceeds its own. All functions are pure.
 */
final class VictimSelector {
    /** The number of slots, for each one that is needed, above which the worst are dropped. */
    private static final int PRUNING_FACTOR = 2;

    private VictimSelector() {}

    /**
     * A running task.
     *
     * @param lostWorkSeconds seconds of work that preempting it would lose
     * @param overGuaranteedQuota whether its team uses more than its guaranteed quota
     */
    record RunningTask<T>(
            T task,
            Priority priority,
            String team,
            Resources allocated,
            double lostWorkSeconds,
            boolean overGuaranteedQuota) {}

    /** A machine that the waiting task may use, with its free capacity and running tasks. */
    record PreemptionCandidate<T>(
            Resources freeCapacity, boolean imageCached, List<RunningTask<T>> runningTasks) {}

    /**
     * Capacity for one more task on a machine.
     *
     * @param victims the tasks to preempt for it; empty if the capacity is free already
     * @param lostWorkSeconds the work that preempting the victims loses; the first slot of a
     *     machine without the image adds one second for each GB of the image
     */
    record FreedSlot<T>(
            PreemptionCandidate<T> candidate, List<T> victims, double lostWorkSeconds) {}

    /**
     * Returns the tasks to preempt, all on one machine, so that one more task fits there and the
     * least work is lost; empty if there is no such machine.
     */
    static <T> List<T> selectVictims(
            JobSpec spec, boolean guaranteed, List<PreemptionCandidate<T>> candidates) {
        List<T> best = List.of();
        double leastLoss = Double.MAX_VALUE;
        for (PreemptionCandidate<T> candidate : candidates) {
            List<RunningTask<T>> preemptible =
                    preemptibleTasksByLostWork(
                            candidate, task -> mayPreempt(spec, guaranteed, task));
            Resources free = candidate.freeCapacity();
            List<T> victims = new ArrayList<>();
            double loss = imagePullLossSeconds(spec, candidate);
            for (RunningTask<T> victim : preemptible) {
                if (spec.resourcesPerTask().fitsIn(free)) {
                    break;
                }
                free = free.plus(victim.allocated());
                victims.add(victim.task());
                loss += victim.lostWorkSeconds();
            }
            boolean fits = spec.resourcesPerTask().fitsIn(free);
            if (!victims.isEmpty() && fits && loss < leastLoss) {
                best = victims;
                leastLoss = loss;
            }
        }
        return best;
    }

    /**
     * Returns the slots with the least lost work for several tasks. Only best-effort tasks are
     * preempted: those of the lowest priority, which run on capacity that no other job needs.
     * Capacity that is free already costs nothing.
     *
     * @param maxTasks the number of tasks that need capacity
     * @param allOrNothing whether to return no slots if there are fewer than {@code maxTasks}, as
     *     for a gang
     */
    static <T> List<FreedSlot<T>> selectBestEffortVictims(
            JobSpec spec,
            int maxTasks,
            boolean allOrNothing,
            List<PreemptionCandidate<T>> candidates) {
        if (!spec.priority().isHigherThan(Priority.LOW)) {
            return List.of();
        }
        List<FreedSlot<T>> slots = new ArrayList<>();
        for (PreemptionCandidate<T> candidate : candidates) {
            addSlots(spec, Math.min(maxTasks, Machine.MAX_TASKS), candidate, slots);
            if (slots.size() > PRUNING_FACTOR * maxTasks + Machine.MAX_TASKS) {
                keepBest(slots, maxTasks);
            }
        }
        if (allOrNothing && slots.size() < maxTasks) {
            return List.of();
        }
        keepBest(slots, maxTasks);
        return slots;
    }

    /** Sorts the slots by the work that is lost, and removes those that are not needed. */
    private static <T> void keepBest(List<FreedSlot<T>> slots, int maxTasks) {
        slots.sort(Comparator.comparingDouble(FreedSlot::lostWorkSeconds));
        if (slots.size() > maxTasks) {
            slots.subList(maxTasks, slots.size()).clear();
        }
    }

    /** Adds the slots on one machine, both free ones and those that preemption frees. */
    private static <T> void addSlots(
            JobSpec spec,
            int maxTasks,
            PreemptionCandidate<T> candidate,
            List<FreedSlot<T>> slots) {
        List<RunningTask<T>> bestEffort =
                preemptibleTasksByLostWork(candidate, task -> task.priority() == Priority.LOW);
        Resources free = candidate.freeCapacity();
        double loss = imagePullLossSeconds(spec, candidate);
        int nextVictim = 0;
        for (int count = 0; count < maxTasks; count++) {
            List<T> victims = new ArrayList<>();
            while (!spec.resourcesPerTask().fitsIn(free) && nextVictim < bestEffort.size()) {
                RunningTask<T> victim = bestEffort.get(nextVictim++);
                free = free.plus(victim.allocated());
                victims.add(victim.task());
                loss += victim.lostWorkSeconds();
            }
            if (!spec.resourcesPerTask().fitsIn(free)) {
                return;
            }
            free = free.minus(spec.resourcesPerTask());
            slots.add(new FreedSlot<>(candidate, victims, loss));
            loss = 0;
        }
    }

    private static <T> List<RunningTask<T>> preemptibleTasksByLostWork(
            PreemptionCandidate<T> candidate, Predicate<RunningTask<T>> preemptible) {
        List<RunningTask<T>> tasks = new ArrayList<>();
        for (RunningTask<T> task : candidate.runningTasks()) {
            if (preemptible.test(task)) {
                tasks.add(task);
            }
        }
        tasks.sort(Comparator.comparingDouble(RunningTask::lostWorkSeconds));
        return tasks;
    }

    /** An image pull counts as one second of lost work for each GB. */
    private static double imagePullLossSeconds(JobSpec spec, PreemptionCandidate<?> candidate) {
        return candidate.imageCached() ? 0 : spec.imageSizeGb();
    }

    private static boolean mayPreempt(JobSpec spec, boolean guaranteed, RunningTask<?> task) {
        return spec.priority().isHigherThan(task.priority())
                || (guaranteed && task.overGuaranteedQuota() && !task.team().equals(spec.team()));
    }
}
