package org.meadowhollow.coordination.rounds;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.scheduling.ArrivalForecast;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.coordination.scheduling.SchedulingSnapshot;
import org.meadowhollow.coordination.scheduling.StepBudget;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;

/**
 * Runs scheduling rounds, one at a time: places the tasks that fit, keeps capacity for predicted
 * jobs, and once nearly all machines have reported also preempts tasks, enforces reservations and
 * demands capacity from the autoscaler. The leader decides when a round runs. Guarded by the
 * leader's lock; does no I/O except through the record writer and the task lifecycle.
 */
public final class RoundScheduler {
    /** The time from one round to the next. */
    public static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

    /**
     * The steps after which a round begins to place no further job. A round with hundreds of
     * waiting jobs and a thousand machines takes fewer.
     */
    private static final long MAX_PLACEMENT_STEPS = 1_000_000;

    /**
     * What a round placed of the jobs of a pass.
     *
     * @param unplacedTasksByJob the number of unplaced tasks of each job that the pass has examined
     */
    private record PassOutcome(int placedTasks, Map<JobId, Integer> unplacedTasksByJob) {}

    private final RoundContext context;
    private final FirstRoundGate firstRoundGate;
    private final ReservationEnforcer reservationEnforcer;
    private final UnplacedJobHandler unplacedJobHandler;
    private final CapacityDemandSink capacityDemandSink;
    private final PlacementApplier placementApplier;
    private final PredictedJobPlanner predictedJobPlanner;
    private final JobPass regularPass = new JobPass();
    private final JobPass bestEffortPass = new JobPass();

    /** Creates the scheduler of one leadership's rounds. */
    public RoundScheduler(
            RoundContext context,
            FirstRoundGate firstRoundGate,
            ReservationEnforcer reservationEnforcer,
            ArrivalForecast arrivalForecast,
            UnplacedJobHandler unplacedJobHandler,
            CapacityDemandSink capacityDemandSink) {
        this.context = context;
        this.firstRoundGate = firstRoundGate;
        this.reservationEnforcer = reservationEnforcer;
        this.unplacedJobHandler = unplacedJobHandler;
        this.capacityDemandSink = capacityDemandSink;
        this.placementApplier = new PlacementApplier(context);
        this.predictedJobPlanner = new PredictedJobPlanner(arrivalForecast);
    }

    /**
     * Runs a round. The caller has checked the {@link FirstRoundGate} before, and flushes the
     * record writer afterwards.
     */
    public void runRound(MonotonicTime now) {
        boolean full = firstRoundGate.hasGatheredFullRound(now);
        reservationEnforcer.refreshView(now);
        SchedulingSnapshot snapshot =
                context.loop().callStep(EventLoopStep.SNAPSHOT, () -> takeSnapshot(now));
        Map<Boolean, List<PlacementRound.PendingJob>> byBestEffort =
                snapshot.pendingJobs().stream()
                        .collect(Collectors.partitioningBy(RoundScheduler::isBestEffort));
        PassOutcome regular =
                placeNext(
                        regularPass,
                        snapshot,
                        byBestEffort.get(false),
                        limits(maxJobsPerRound(), snapshot.maxMorePlacements()),
                        now);
        PredictedJobPlanner.Plan predicted =
                full ? predictedJobPlanner.plan(snapshot, now) : PredictedJobPlanner.Plan.empty();
        // Best-effort jobs get only capacity that neither other jobs nor predicted ones need;
        // elsewhere they would soon be preempted again.
        PassOutcome bestEffort =
                placeNext(
                        bestEffortPass,
                        snapshot,
                        byBestEffort.get(true),
                        limits(
                                maxBestEffortJobsPerRound(),
                                snapshot.maxMorePlacements() - regular.placedTasks()),
                        now);
        firstRoundGate.recordRound(regular.placedTasks() + bestEffort.placedTasks(), now);
        if (!full) {
            // While only some of the machines have reported, it is not known which capacity is
            // lacking, so nothing is rented, stopped or abandoned.
            return;
        }
        firstRoundGate.recordFullRound(now);
        Map<JobId, Integer> unplacedTasks = new HashMap<>(regular.unplacedTasksByJob());
        unplacedTasks.putAll(bestEffort.unplacedTasksByJob());
        List<Autoscaler.CapacityDemand> demands =
                context.loop()
                        .callStep(
                                EventLoopStep.UNPLACED_JOBS,
                                () -> unplacedJobHandler.handle(snapshot, unplacedTasks, now));
        reservationEnforcer.enforce(now);
        demandCapacity(demands, predicted);
    }

    private static PlacementRound.Limits limits(int decidedJobs, int placements) {
        return new PlacementRound.Limits(
                decidedJobs, placements, new StepBudget(MAX_PLACEMENT_STEPS));
    }

    private SchedulingSnapshot takeSnapshot(MonotonicTime now) {
        return new SchedulingSnapshot(
                context.clusterState(), context.deploymentSettings(), context.objectives(), now);
    }

    private static boolean isBestEffort(PlacementRound.PendingJob pendingJob) {
        return pendingJob.spec().priority() == Priority.LOW;
    }

    /** Places the jobs that a pass has not examined yet, as far as the limits allow. */
    private PassOutcome placeNext(
            JobPass pass,
            SchedulingSnapshot snapshot,
            List<PlacementRound.PendingJob> pendingJobs,
            PlacementRound.Limits limits,
            MonotonicTime now) {
        List<PlacementRound.PendingJob> remaining = pass.remaining(pendingJobs);
        PlacementRound.Outcome outcome =
                context.loop()
                        .callStep(
                                EventLoopStep.PLACEMENT,
                                () -> place(snapshot, remaining, limits, now));
        return new PassOutcome(
                outcome.decisions().size(), pass.recordRound(pendingJobs, remaining, outcome));
    }

    private PlacementRound.Outcome place(
            SchedulingSnapshot snapshot,
            List<PlacementRound.PendingJob> pendingJobs,
            PlacementRound.Limits limits,
            MonotonicTime now) {
        PlacementRound.Outcome outcome =
                PlacementRound.run(
                        snapshot.candidates(), snapshot.usageByTeam(), pendingJobs, limits);
        placementApplier.apply(outcome.decisions(), now);
        return outcome;
    }

    private void demandCapacity(
            List<Autoscaler.CapacityDemand> demands, PredictedJobPlanner.Plan predicted) {
        demands.addAll(predicted.demands());
        Set<MachineId> retained = predicted.machines();
        retained.addAll(context.clusterState().reservationView().reservedMachines());
        demands.addAll(reservationEnforcer.capacityDemand());
        capacityDemandSink.updateCapacityDemand(demands, retained);
    }

    /**
     * Maximum number of jobs to place in a round. The decisions of a round should be written before
     * the next one.
     */
    private int maxJobsPerRound() {
        return Math.max(0, recordWritesPerRound() - context.recordWriter().urgentDirtyShardCount());
    }

    private int maxBestEffortJobsPerRound() {
        return Math.max(0, recordWritesPerRound() - context.recordWriter().dirtyShardCount());
    }

    private int recordWritesPerRound() {
        return (int)
                (context.deploymentSettings().storeWritesPerSecond() * ROUND_INTERVAL.toSeconds());
    }
}
