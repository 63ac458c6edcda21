package org.meadowhollow.coordination.rounds;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.lifecycle.JobTracker;
import org.meadowhollow.coordination.lifecycle.TaskLifecycle;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.coordination.scheduling.PreemptionPlanner;
import org.meadowhollow.coordination.scheduling.SchedulingSnapshot;
import org.meadowhollow.coordination.scheduling.StepBudget;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;

/**
 * Obtains capacity for jobs with tasks that a round could not place: preempts best-effort tasks and
 * others, and collects the capacity to rent. Guarded by the leader's lock.
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

    /**
     * The steps after which tasks are preempted for no further job in a round; the next round
     * continues with the other jobs.
     */
    private static final long MAX_PREEMPTION_STEPS = 400_000;

    private final RoundContext context;
    private final PreemptionPlanner preemptionPlanner;
    private final TaskLifecycle taskLifecycle;
    private final JobTracker jobTracker;

    /** The jobs that preemption was tried for since the budget last sufficed for all jobs. */
    private final Set<JobId> triedForPreemption = new HashSet<>();

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
        preemptionPlanner.beginRound();
        Pass pass = new Pass(snapshot, now);
        for (PlacementRound.PendingJob pendingJob : snapshot.pendingJobs()) {
            Integer unplaced = unplacedTasks.get(pendingJob.spec().id());
            if (unplaced != null) {
                pass.handleJob(pendingJob, unplaced);
            }
        }
        pass.end();
        return pass.demands;
    }

    /** One round's pass over the unplaced jobs, with its budgets. */
    private final class Pass {
        private final SchedulingSnapshot snapshot;
        private final MonotonicTime now;
        private final List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
        private final StepBudget budget = new StepBudget(MAX_PREEMPTION_STEPS);

        private boolean jobsLeftOut;
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
            boolean mayPreempt = mayPreemptFor(job);
            if (mayPreempt) {
                preemptBestEffort(job, pendingJob, unplaced);
            }
            demands.add(
                    new Autoscaler.CapacityDemand(
                            job.spec(),
                            unplaced,
                            requiredZone(pendingJob),
                            jobTracker.secondsSinceAcceptance(job)));
            taskLifecycle.abandonIncompleteGang(
                    job, context.deploymentSettings().gangStartTimeout(), now);
            if (mayPreempt) {
                preempt(job, pendingJob);
            }
        }

        /** Whether the budget allows to try preemption for a job, in this round or its turn. */
        private boolean mayPreemptFor(Job job) {
            if (triedForPreemption.contains(job.id())) {
                return false;
            }
            if (budget.isExhausted()) {
                jobsLeftOut = true;
                return false;
            }
            triedForPreemption.add(job.id());
            return true;
        }

        /** Begins anew with all jobs in the next round, unless jobs were left out of this one. */
        void end() {
            if (!jobsLeftOut) {
                triedForPreemption.clear();
            }
        }

        private void preemptBestEffort(
                Job job, PlacementRound.PendingJob pendingJob, int unplaced) {
            if (bestEffortTasks <= 0
                    || bestEffortPreemptingJobs >= MAX_JOBS_PREEMPTING_BEST_EFFORT) {
                return;
            }
            List<Placement> victims =
                    preemptionPlanner.planBestEffortPreemption(
                            job, pendingJob.tasksByZone(), unplaced, budget, now);
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
                            budget,
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
