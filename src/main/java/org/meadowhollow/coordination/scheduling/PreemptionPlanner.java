package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.reservation.MachineReservationLimit;
import org.meadowhollow.coordination.scheduling.VictimSelector.FreedSlot;
import org.meadowhollow.coordination.scheduling.VictimSelector.PreemptionCandidate;
import org.meadowhollow.coordination.scheduling.VictimSelector.RunningTask;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Selects the tasks to preempt for waiting jobs that no new machine could serve in time. Reads
 * {@link ClusterState} under the leader's lock; the only state that it changes is the hold of
 * machines for a gang.
 */
public final class PreemptionPlanner {
    /**
     * The shortest time between preemptions for the same job: the tasks need time to stop, and the
     * job to be placed on the freed capacity.
     */
    private static final Duration PREEMPTION_COOLDOWN = Duration.ofSeconds(10);

    /** The machines on which best-effort tasks may be preempted, by zone in name order. */
    private static final class BestEffortCandidates {
        private final Map<String, List<PreemptionCandidate<Placement>>> candidatesByZone =
                new TreeMap<>();

        // Compares by identity because the candidates of two machines may be equal records.
        @SuppressWarnings("IdentityHashMapUsage")
        private final Map<PreemptionCandidate<Placement>, Machine> machineByCandidate =
                new IdentityHashMap<>();

        void add(Machine machine, PreemptionCandidate<Placement> candidate) {
            candidatesByZone
                    .computeIfAbsent(machine.zone(), unused -> new ArrayList<>())
                    .add(candidate);
            machineByCandidate.put(candidate, machine);
        }

        List<PreemptionCandidate<Placement>> allCandidates() {
            return candidatesByZone.values().stream().flatMap(List::stream).toList();
        }
    }

    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final ServiceLevelObjectives objectives;

    /** The usage of each team in this round, or null until it is needed. */
    private Map<String, Resources> usageByTeam;

    /** Creates a planner that reads the current content of the given state for each plan. */
    public PreemptionPlanner(
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            ServiceLevelObjectives objectives) {
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.objectives = objectives;
    }

    /** Begins a round, in which all plans use the same sums of the teams' usage. */
    public void beginRound() {
        usageByTeam = null;
    }

    private Map<String, Resources> usageByTeam() {
        if (usageByTeam == null) {
            usageByTeam = clusterState.usageByTeam();
        }
        return usageByTeam;
    }

    /**
     * Selects the tasks to preempt for one task of a job whose wait budget is used up. The freed
     * capacity is assigned in a later round, in which the job is expected to come first. Returns an
     * empty list for gangs of several tasks.
     *
     * @param tasksByZone the number of tasks of the job that may be running in each zone
     * @param guaranteed whether the job is within the guaranteed quota of its team
     * @param budget counts the machines and tasks that are examined
     */
    public List<Placement> planPreemption(
            Job job,
            Object2IntMap<String> tasksByZone,
            boolean guaranteed,
            StepBudget budget,
            MonotonicTime now) {
        JobSpec spec = job.spec();
        boolean multiTaskGang = spec.kind() == JobKind.GANG && spec.taskCount() > 1;
        if (multiTaskGang
                || now.secondsSince(job.pendingSince())
                        < objectives.waitBudgetSeconds(spec, guaranteed)
                || isCoolingDown(job, now)) {
            return List.of();
        }
        List<PreemptionCandidate<Placement>> candidates = new ArrayList<>();
        for (Machine machine : clusterState.machines().values()) {
            budget.spend(1 + machine.placements().size());
            if (canPreemptOn(machine, spec, tasksByZone, now) && machine.heldForGang(now) == null) {
                candidates.add(createCandidate(machine, spec, now));
            }
        }
        return VictimSelector.selectVictims(spec, guaranteed, candidates);
    }

    /**
     * Selects the best-effort tasks to preempt for all unplaced tasks of a job, gangs included. The
     * wait budget is ignored: best-effort work runs only while no other job needs the capacity, and
     * an image pull on an empty machine would use up the budget. For a gang, the machines are then
     * held until the cooldown ends.
     *
     * @param tasksByZone the number of tasks of the job that may be running in each zone
     * @param count the number of tasks that could not be placed for lack of capacity
     * @param budget counts the machines and tasks that are examined
     */
    public List<Placement> planBestEffortPreemption(
            Job job,
            Object2IntMap<String> tasksByZone,
            int count,
            StepBudget budget,
            MonotonicTime now) {
        JobSpec spec = job.spec();
        if (!spec.priority().isHigherThan(Priority.LOW) || isCoolingDown(job, now)) {
            return List.of();
        }
        BestEffortCandidates candidates = findBestEffortCandidates(spec, tasksByZone, budget, now);
        boolean gang = spec.kind() == JobKind.GANG;
        List<FreedSlot<Placement>> slots =
                spec.requiresSingleZone()
                        ? selectSlotsInBestZone(spec, count, gang, candidates)
                        : VictimSelector.selectBestEffortVictims(
                                spec, count, gang, candidates.allCandidates());
        budget.spend(slots.size());
        List<Placement> victims = slots.stream().flatMap(slot -> slot.victims().stream()).toList();
        if (gang && !victims.isEmpty()) {
            // Without the hold, smaller tasks that are placed first would take part of the freed
            // capacity on each machine, and the gang would no longer fit.
            MonotonicTime heldUntil = now.plus(PREEMPTION_COOLDOWN);
            for (FreedSlot<Placement> slot : slots) {
                candidates
                        .machineByCandidate
                        .get(slot.candidate())
                        .holdForGang(job.id(), heldUntil);
            }
        }
        return victims;
    }

    private BestEffortCandidates findBestEffortCandidates(
            JobSpec spec, Object2IntMap<String> tasksByZone, StepBudget budget, MonotonicTime now) {
        BestEffortCandidates candidates = new BestEffortCandidates();
        for (Machine machine : clusterState.machines().values()) {
            budget.spend(1 + machine.placements().size());
            boolean inOtherZone =
                    spec.requiresSingleZone()
                            && !tasksByZone.isEmpty()
                            && tasksByZone.getInt(machine.zone()) == 0;
            if (!inOtherZone && canPreemptOn(machine, spec, tasksByZone, now)) {
                candidates.add(machine, createCandidate(machine, spec, now));
            }
        }
        return candidates;
    }

    /**
     * Returns the slots of the zone where the least work is lost in total, or of the first such
     * zone by name.
     */
    private static List<FreedSlot<Placement>> selectSlotsInBestZone(
            JobSpec spec, int count, boolean gang, BestEffortCandidates candidates) {
        List<FreedSlot<Placement>> best = List.of();
        double leastLoss = Double.MAX_VALUE;
        for (List<PreemptionCandidate<Placement>> zoneCandidates :
                candidates.candidatesByZone.values()) {
            List<FreedSlot<Placement>> slots =
                    VictimSelector.selectBestEffortVictims(spec, count, gang, zoneCandidates);
            double loss = slots.stream().mapToDouble(FreedSlot::lostWorkSeconds).sum();
            if (!slots.isEmpty() && loss < leastLoss) {
                best = slots;
                leastLoss = loss;
            }
        }
        return best;
    }

    private static boolean isCoolingDown(Job job, MonotonicTime now) {
        return job.lastPreemptionAt() != null
                && now.elapsedSince(job.lastPreemptionAt()).compareTo(PREEMPTION_COOLDOWN) < 0;
    }

    /**
     * Whether a job could use capacity that preemption frees on a machine. It could not where
     * reservations, the machine's properties or the spread over zones exclude the job.
     */
    private boolean canPreemptOn(
            Machine machine, JobSpec spec, Object2IntMap<String> tasksByZone, MonotonicTime now) {
        MachineReservationLimit limit = clusterState.reservationView().limitFor(machine.id());
        return (limit == null || limit.allows(spec, 0, machine.type().capacity()))
                && clusterState.isEligibleFor(machine, spec, now)
                && tasksByZone.getInt(machine.zone()) < spec.maxTasksPerZone();
    }

    private PreemptionCandidate<Placement> createCandidate(
            Machine machine, JobSpec waitingSpec, MonotonicTime now) {
        List<RunningTask<Placement>> running = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (spec.kind() != JobKind.SERVICE && !placement.isStopping()) {
                running.add(createRunningTask(placement, usageByTeam().get(spec.team()), now));
            }
        }
        return new PreemptionCandidate<>(
                machine.freeCapacity(),
                machine.imageCache().contains(waitingSpec.image()),
                running);
    }

    private RunningTask<Placement> createRunningTask(
            Placement placement, Resources teamUsage, MonotonicTime now) {
        JobSpec spec = placement.job().spec();
        double runningSeconds =
                placement.runningSince() == null ? 0 : now.secondsSince(placement.runningSince());
        // A task with checkpoints saves its state when it is stopped, so only the time that the
        // checkpoint takes is lost.
        double lostWorkSeconds =
                spec.usesCheckpoints()
                        ? Math.min(runningSeconds, spec.checkpointDurationSeconds())
                        : runningSeconds;
        Resources guaranteed = deploymentSettings.teamQuotas().get(spec.team()).guaranteed();
        boolean overGuaranteedQuota =
                teamUsage.gpu() > guaranteed.gpu()
                        && (guaranteed.cpu() == 0 || teamUsage.cpu() > guaranteed.cpu());
        return new RunningTask<>(
                placement,
                spec.priority(),
                spec.team(),
                spec.resourcesPerTask(),
                lostWorkSeconds,
                overGuaranteedQuota);
    }
}
