package org.meadowhollow.coordination.rounds;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.lifecycle.JobTracker;
import org.meadowhollow.coordination.lifecycle.TaskLifecycle;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.coordination.scheduling.PreemptionPlanner;
import org.meadowhollow.coordination.scheduling.SchedulingSnapshot;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;

/**
 * Obtains capacity for jobs with tasks that a round could not place: preempts best-effort tasks and
 * others, and collects the capacity to rent. Keeps no state between rounds. Guarded by the leader's
 * lock.
 */
public final class UnplacedJobHandler {
    /**
     * Maximum number of jobs in a round for which others are preempted: the effect of a stop must
     * be seen before more tasks are stopped.
     */
    private static final int MAX_PREEMPTING_JOBS = 4;

    /**
     * Maximum number of jobs in a round for which best-effort tasks are preempted. Each job
     * examines all machines, and the preempted tasks save a checkpoint first.
     */
    private static final int MAX_JOBS_PREEMPTING_BEST_EFFORT = 8;

    private final RoundContext context;
    private final PreemptionPlanner preemptionPlanner;
    private final TaskLifecycle taskLifecycle;
    private final JobTracker jobTracker;

    /** Creates a handler that stops tasks through {@code taskLifecycle}. */
    public UnplacedJobHandler(
            RoundContext context,
            PreemptionPlanner preemptionPlanner,
            TaskLifecycle taskLifecycle,
            JobTracker jobTracker) {
        this.context = context;
        this.preemptionPlanner = preemptionPlanner;
        this.taskLifecycle = taskLifecycle;
        this.jobTracker = jobTracker;
    }

    /**
     * Handles all jobs with unplaced tasks, in the round's order.
     *
     * @param unplacedTasks how many tasks found no capacity, by job
     * @return the capacity to rent for them, in the same order
     */
    List<Autoscaler.CapacityDemand> handle(
            SchedulingSnapshot snapshot, Map<JobId, Integer> unplacedTasks, MonotonicTime now) {
        Pass pass = new Pass(snapshot, now);
        for (PlacementRound.PendingJob pendingJob : snapshot.pendingJobs()) {
            Integer unplaced = unplacedTasks.get(pendingJob.spec().id());
            if (unplaced != null) {
                pass.handleJob(pendingJob, unplaced);
            }
        }
        return pass.demands;
    }

    /** One round's pass over the unplaced jobs, with its budgets. */
    private final class Pass {
        private final SchedulingSnapshot snapshot;
        private final MonotonicTime now;
        private final List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
        private int preemptingJobs;
        private int bestEffortPreemptingJobs;
        private long bestEffortTasks;

        Pass(SchedulingSnapshot snapshot, MonotonicTime now) {
            this.snapshot = snapshot;
            this.now = now;
            this.bestEffortTasks = bestEffortTaskCount();
        }

        void handleJob(PlacementRound.PendingJob pendingJob, int unplaced) {
            Job job = context.clusterState().jobs().get(pendingJob.spec().id());
            preemptBestEffort(job, pendingJob, unplaced);
            demands.add(
                    new Autoscaler.CapacityDemand(
                            job.spec(),
                            unplaced,
                            requiredZone(pendingJob),
                            jobTracker.secondsSinceAcceptance(job)));
            taskLifecycle.abandonIncompleteGang(
                    job, context.deploymentSettings().gangStartTimeout(), now);
            preempt(job, pendingJob);
        }

        private void preemptBestEffort(
                Job job, PlacementRound.PendingJob pendingJob, int unplaced) {
            if (bestEffortTasks <= 0
                    || bestEffortPreemptingJobs >= MAX_JOBS_PREEMPTING_BEST_EFFORT) {
                return;
            }
            List<Placement> victims =
                    preemptionPlanner.planBestEffortPreemption(
                            job, pendingJob.tasksByZone(), unplaced, now);
            if (victims.isEmpty()) {
                return;
            }
            victims.forEach(
                    victim ->
                            taskLifecycle.stopWithCheckpoint(
                                    victim, "best-effort task preempted for job " + job.id()));
            job.lastPreemptionAt(now);
            bestEffortTasks -= victims.size();
            bestEffortPreemptingJobs++;
        }

        private void preempt(Job job, PlacementRound.PendingJob pendingJob) {
            if (preemptingJobs >= MAX_PREEMPTING_JOBS) {
                return;
            }
            List<Placement> victims =
                    preemptionPlanner.planPreemption(
                            job,
                            pendingJob.tasksByZone(),
                            snapshot.isWithinGuaranteedQuota(job.id()),
                            now);
            victims.forEach(
                    victim ->
                            taskLifecycle.stopWithCheckpoint(
                                    victim, "capacity needed for job " + job.id()));
            if (!victims.isEmpty()) {
                job.lastPreemptionAt(now);
                preemptingJobs++;
            }
        }
    }

    /** Number of tasks of the lowest priority that may be running and could be preempted. */
    private long bestEffortTaskCount() {
        return context.clusterState().jobs().values().stream()
                .filter(job -> job.spec().priority() == Priority.LOW)
                .mapToLong(job -> job.placements().size())
                .sum();
    }

    /** The zone to which a job with placed tasks is bound, or null. */
    private static String requiredZone(PlacementRound.PendingJob pendingJob) {
        return pendingJob.spec().requiresSingleZone() && !pendingJob.tasksByZone().isEmpty()
                ? pendingJob.tasksByZone().keySet().iterator().next()
                : pendingJob.spec().requiredZone();
    }
}
