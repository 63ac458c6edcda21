package org.meadowhollow.simulation;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.TaskId;

/**
 * The capacity that is free on the machines as they are, whatever any controller believes. It shows
 * whether a job waits although it could run.
 *
 * @param machines the machines that exist
 * @param specs returns the specification of a job whose tasks are on the machines
 */
record FreeCapacity(
        Collection<? extends HistoryChecker.Machine> machines, Function<JobId, JobSpec> specs) {
    /**
     * Returns whether a task of a job, or all tasks of a gang, wait although machines that fit have
     * free capacity and the team's quota allows it.
     *
     * @param completedTasks number of completed tasks of the job
     * @param usedByTeam resources that the team uses
     * @param limit maximum resources of the team
     */
    boolean couldRunMore(JobSpec spec, int completedTasks, Resources usedByTeam, Resources limit) {
        Map<String, Integer> heldPerZone = heldTasksPerZone(spec.id());
        int held = heldPerZone.values().stream().mapToInt(Integer::intValue).sum();
        boolean isGang = spec.kind() == JobKind.GANG;
        int needed = isGang ? spec.taskCount() : 1;
        if (held + completedTasks >= spec.taskCount()
                || (isGang && held > 0)
                || !HistoryChecker.fitsLimit(
                        usedByTeam.plus(spec.resourcesPerTask().times(needed)), limit)) {
            return false;
        }
        Map<String, Integer> free = freeTasksPerZone(spec, heldPerZone);
        int fitting =
                spec.requiresSingleZone()
                        ? free.values().stream().mapToInt(Integer::intValue).max().orElse(0)
                        : free.values().stream().mapToInt(Integer::intValue).sum();
        return fitting >= needed;
    }

    /**
     * Returns the number of tasks of a job that take capacity, by zone; zones without any are
     * absent.
     */
    private Map<String, Integer> heldTasksPerZone(JobId job) {
        Map<String, Integer> held = new HashMap<>();
        for (HistoryChecker.Machine machine : machines) {
            long heldOnMachine =
                    machine.heldTasks().stream().filter(task -> task.jobId().equals(job)).count();
            if (heldOnMachine > 0) {
                held.merge(machine.zone(), (int) heldOnMachine, Integer::sum);
            }
        }
        return held;
    }

    /** Returns the number of additional tasks of a job that could be placed, by zone. */
    private Map<String, Integer> freeTasksPerZone(JobSpec spec, Map<String, Integer> heldPerZone) {
        Map<String, Integer> free = new HashMap<>();
        for (HistoryChecker.Machine machine : machines) {
            String zone = machine.zone();
            if (accepts(machine, spec, heldPerZone)) {
                int maxMoreTasks = spec.maxTasksPerZone() - heldPerZone.getOrDefault(zone, 0);
                int fittingTasks =
                        spec.resourcesPerTask()
                                .maxCopiesIn(freeResources(machine), spec.taskCount());
                free.put(zone, Math.min(maxMoreTasks, free.getOrDefault(zone, 0) + fittingTasks));
            }
        }
        return free;
    }

    private static boolean accepts(
            HistoryChecker.Machine machine, JobSpec spec, Map<String, Integer> heldPerZone) {
        boolean isBoundToOtherZone =
                spec.requiresSingleZone()
                        && heldPerZone.keySet().stream()
                                .anyMatch(zone -> !zone.equals(machine.zone()));
        return machine.isReachable()
                && spec.allowsMachineType(machine.machineType().name())
                && spec.allowsZone(machine.zone())
                && !isBoundToOtherZone;
    }

    private Resources freeResources(HistoryChecker.Machine machine) {
        Resources free = machine.machineType().capacity();
        for (TaskId task : machine.heldTasks()) {
            free = free.minus(specs.apply(task.jobId()).resourcesPerTask());
        }
        return free;
    }
}
