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
 * Finds the tasks to preempt for waiting jobs that no new machine could serve in time. Reads {@link
 * ClusterState} under the leader's lock; its only effect is that machines are held for a gang.
 */
public final class PreemptionPlanner {
    /**
     * Time for a preemption to take effect and the room to be used before more is preempted for the
     * same job.
     */
    private static final Duration PREEMPTION_COOLDOWN = Duration.ofSeconds(10);

    /** The machines on which best-effort tasks may be preempted, by zone in the order of names. */
    private static final class BestEffortCandidates {
        private final Map<String, List<PreemptionCandidate<Placement>>> candidatesByZone =
                new TreeMap<>();

        // By identity on purpose: candidates of two machines may be equal records.
        @SuppressWarnings("IdentityHashMapUsage")
        private final Map<PreemptionCandidate<Placement>, Machine> machineByCandidate =
                new IdentityHashMap<>();

        void add(Machine machine, PreemptionCandidate<Placement> candidate) {
            candidatesByZone
                    .computeIfAbsent(machine.zone(), unused -> new ArrayList<>())
                    .add(candidate);
            machineByCandidate.put(candidate, machine);
        }

        List<PreemptionCandidate<Placement>> inAllZones() {
            return candidatesByZone.values().stream().flatMap(List::stream).toList();
        }
    }

    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final ServiceLevelObjectives objectives;

    /** Creates a planner that reads the given state whenever it plans. */
    public PreemptionPlanner(
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            ServiceLevelObjectives objectives) {
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.objectives = objectives;
    }

    /**
     * The tasks to preempt for one task of a job that has used up the time that it could wait; it
     * gets their room in a later round, in which it comes first. Empty for gangs of several tasks.
     *
     * @param tasksByZone how many tasks of the job may be in each zone
     * @param guaranteed whether the job is within the guaranteed quota of its team
     */
    public List<Placement> planPreemption(
            Job job, Object2IntMap<String> tasksByZone, boolean guaranteed, MonotonicTime now) {
        JobSpec spec = job.spec();
        boolean largeGang = spec.kind() == JobKind.GANG && spec.taskCount() > 1;
        if (largeGang
                || now.secondsSince(job.pendingSince())
                        < objectives.waitBudgetSeconds(spec, guaranteed)
                || isCoolingDown(job, now)) {
            return List.of();
        }
        Map<String, Resources> usageByTeam = clusterState.usageByTeam();
        List<PreemptionCandidate<Placement>> candidates = new ArrayList<>();
        for (Machine machine : clusterState.machines().values()) {
            if (canPreemptOn(machine, spec, tasksByZone, now) && machine.heldForGang(now) == null) {
                candidates.add(createCandidate(machine, spec, usageByTeam, now));
            }
        }
        return VictimSelector.selectVictims(spec, guaranteed, candidates);
    }

    /**
     * The best-effort tasks to preempt for all tasks of a job that found no room, gangs included:
     * at once, since best-effort work runs only for as long as nobody else needs the capacity, and
     * a pull on an empty machine takes the time that there is. The machines are then held for a
     * gang until the cooldown ends.
     *
     * @param tasksByZone how many tasks of the job may be in each zone
     * @param count how many tasks found no room
     */
    public List<Placement> planBestEffortPreemption(
            Job job, Object2IntMap<String> tasksByZone, int count, MonotonicTime now) {
        JobSpec spec = job.spec();
        if (!spec.priority().isHigherThan(Priority.LOW) || isCoolingDown(job, now)) {
            return List.of();
        }
        BestEffortCandidates candidates = findBestEffortCandidates(spec, tasksByZone, now);
        boolean gang = spec.kind() == JobKind.GANG;
        List<FreedSlot<Placement>> slots =
                spec.requiresSingleZone()
                        ? selectSlotsInBestZone(spec, count, gang, candidates)
                        : VictimSelector.selectBestEffortVictims(
                                spec, count, gang, candidates.inAllZones());
        List<Placement> victims = slots.stream().flatMap(slot -> slot.victims().stream()).toList();
        if (gang && !victims.isEmpty()) {
            // Otherwise small tasks that are placed first would take a little of each machine that
            // was cleared, and the gang would find none whole.
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
            JobSpec spec, Object2IntMap<String> tasksByZone, MonotonicTime now) {
        Map<String, Resources> usageByTeam = clusterState.usageByTeam();
        BestEffortCandidates candidates = new BestEffortCandidates();
        for (Machine machine : clusterState.machines().values()) {
            boolean inOtherZone =
                    spec.requiresSingleZone()
                            && !tasksByZone.isEmpty()
                            && tasksByZone.getInt(machine.zone()) == 0;
            if (!inOtherZone && canPreemptOn(machine, spec, tasksByZone, now)) {
                candidates.add(machine, createCandidate(machine, spec, usageByTeam, now));
            }
        }
        return candidates;
    }

    /** The slots in the zone where the least work is lost in total; of equal ones the first. */
    private static List<FreedSlot<Placement>> selectSlotsInBestZone(
            JobSpec spec, int count, boolean gang, BestEffortCandidates candidates) {
        List<FreedSlot<Placement>> best = List.of();
        double leastLoss = Double.MAX_VALUE;
        for (List<PreemptionCandidate<Placement>> inZone : candidates.candidatesByZone.values()) {
            List<FreedSlot<Placement>> slots =
                    VictimSelector.selectBestEffortVictims(spec, count, gang, inZone);
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
     * Whether the job could use room on a machine; for a job that reservations keep off the machine
     * nothing needs to be preempted there.
     */
    private boolean canPreemptOn(
            Machine machine, JobSpec spec, Object2IntMap<String> tasksByZone, MonotonicTime now) {
        MachineReservationLimit limit = clusterState.reservationView().limitFor(machine.id());
        return (limit == null || limit.allows(spec, 0, machine.type().capacity()))
                && clusterState.isEligibleFor(machine, spec, now)
                && tasksByZone.getInt(machine.zone()) < spec.maxTasksPerZone();
    }

    private PreemptionCandidate<Placement> createCandidate(
            Machine machine,
            JobSpec waiting,
            Map<String, Resources> usageByTeam,
            MonotonicTime now) {
        List<RunningTask<Placement>> running = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (spec.kind() != JobKind.SERVICE && !placement.isStopping()) {
                running.add(describe(placement, usageByTeam.get(spec.team()), now));
            }
        }
        return new PreemptionCandidate<>(
                machine.freeCapacity(), machine.imageCache().contains(waiting.image()), running);
    }

    private RunningTask<Placement> describe(
            Placement placement, Resources teamUsage, MonotonicTime now) {
        JobSpec spec = placement.job().spec();
        double runningSeconds =
                placement.runningSince() == null ? 0 : now.secondsSince(placement.runningSince());
        // A task that checkpoints saves its work when it is stopped, so only the saving is lost.
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
