package org.meadowhollow.coordination.rounds;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.scheduling.ArrivalForecast;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.coordination.scheduling.SchedulingSnapshot;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

/**
 * Keeps capacity for jobs that are predicted to be submitted soon. Reads the arrival forecast;
 * keeps no state. Guarded by the leader's lock.
 */
final class PredictedJobPlanner {
    /**
     * Capacity for the predicted jobs.
     *
     * @param machines the machines that the jobs would use, which must not be returned to the
     *     cloud; the caller may add to the set
     * @param demands the capacity to rent for tasks that fit on no machine
     */
    record Plan(Set<MachineId> machines, List<Autoscaler.CapacityDemand> demands) {
        static Plan empty() {
            return new Plan(new HashSet<>(), List.of());
        }
    }

    private final ArrivalForecast arrivalForecast;

    PredictedJobPlanner(ArrivalForecast arrivalForecast) {
        this.arrivalForecast = arrivalForecast;
    }

    /**
     * Places the predicted jobs on the capacity that a round left over, and takes that capacity
     * from the snapshot.
     */
    Plan plan(SchedulingSnapshot remaining, MonotonicTime now) {
        List<PlacementRound.PendingJob> predicted = new ArrayList<>();
        for (JobSpec spec : arrivalForecast.predictedJobs(now)) {
            int[] tasks = new int[spec.taskCount()];
            predicted.add(
                    new PlacementRound.PendingJob(
                            spec, tasks, new Object2IntOpenHashMap<>(), true));
        }
        PlacementRound.Outcome outcome =
                PlacementRound.run(
                        remaining.candidates(),
                        remaining.usageByTeam(),
                        predicted,
                        predicted.size());
        Set<MachineId> machines = new HashSet<>();
        outcome.decisions().forEach(decision -> machines.add(decision.machine()));
        List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
        for (PlacementRound.PendingJob job : predicted) {
            Integer unplaced = outcome.unplacedTasksByJob().get(job.spec().id());
            if (unplaced != null) {
                demands.add(
                        new Autoscaler.CapacityDemand(
                                job.spec(), unplaced, job.spec().requiredZone(), 0));
            }
        }
        return new Plan(machines, demands);
    }
}
