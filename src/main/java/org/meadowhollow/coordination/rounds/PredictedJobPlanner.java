package org.meadowhollow.coordination.rounds;

import it.unimi.dsi.fastutil.objects.Object2IntMaps;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.scheduling.ArrivalForecast;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.coordination.scheduling.SchedulingSnapshot;
import org.meadowhollow.coordination.scheduling.StepBudget;
import org.meadowhollow.model.JobKind;
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

    /** The steps after which the plan of a round begins no further predicted job. */
    private static final long MAX_STEPS = 1_000_000;

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
            predicted.add(createPendingJob(spec));
        }
        PlacementRound.Outcome outcome =
                PlacementRound.run(
                        remaining.candidates(),
                        remaining.usageByTeam(),
                        predicted,
                        new PlacementRound.Limits(
                                predicted.size(), Integer.MAX_VALUE, new StepBudget(MAX_STEPS)));
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

    /** Creates a job whose tasks need no indices, since none of them is started. */
    private static PlacementRound.PendingJob createPendingJob(JobSpec spec) {
        int tasks =
                spec.kind() == JobKind.GANG
                        ? spec.taskCount()
                        : Math.min(spec.taskCount(), SchedulingSnapshot.MAX_TASKS_PER_JOB);
        return new PlacementRound.PendingJob(
                spec, tasks, count -> new int[count], Object2IntMaps.emptyMap(), true);
    }
}
