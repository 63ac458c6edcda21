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
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/** Finds what to stop for waiting jobs that no new machine could serve in time. */
public final class PreemptionPlanner {
    /**
     * Time for a stop to take effect and the room to be used before more is stopped for the same
     * job.
     */
    private static final Duration PREEMPTION_COOLDOWN = Duration.ofSeconds(10);

    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final ServiceLevelObjectives objectives;

    public PreemptionPlanner(
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            ServiceLevelObjectives serviceLevelObjectives) {
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.objectives = serviceLevelObjectives;
    }

    /**
     * The tasks to stop for one of the job's; their room goes to it in a later round, in which it
     * comes first.
     */
    public List<Placement> planPreemption(
            Job job, Object2IntMap<String> zones, boolean guaranteed, MonotonicTime now) {
        JobSpec spec = job.spec();
        if (spec.kind() == JobKind.GANG && spec.taskCount() > 1
                || now.secondsSince(job.pendingSince())
                        < objectives.waitBudgetSeconds(spec, guaranteed)
                || job.lastPreemptionAt() != null
                        && now.elapsedSince(job.lastPreemptionAt()).compareTo(PREEMPTION_COOLDOWN)
                                < 0) {
            return List.of();
        }
        Map<String, Resources> used = clusterState.usageByTeam();
        List<VictimSelector.PreemptionCandidate<Placement>> places = new ArrayList<>();
        for (Machine machine : clusterState.machines().values()) {
            if (canPreemptOn(machine, spec, zones, now) && machine.heldForGang(now) == null) {
                places.add(
                        new VictimSelector.PreemptionCandidate<>(
                                machine.freeCapacity(),
                                machine.imageCache().contains(spec.image()),
                                listPreemptibleTasks(machine, used, now)));
            }
        }
        return VictimSelector.selectVictims(spec, guaranteed, places);
    }

    /**
     * The tasks of the lowest priority to stop for all of a job's that found no room, gangs
     * included: at once, since such work is there only for as long as nobody else needs its place,
     * and a fetch on an empty machine takes the time that there is.
     *
     * @param count how many tasks found no room
     */
    public List<Placement> planBestEffortPreemption(
            Job job, Object2IntMap<String> zones, int count, MonotonicTime now) {
        JobSpec spec = job.spec();
        if (!spec.priority().isHigherThan(Priority.LOW)
                || job.lastPreemptionAt() != null
                        && now.elapsedSince(job.lastPreemptionAt()).compareTo(PREEMPTION_COOLDOWN)
                                < 0) {
            return List.of();
        }
        Map<String, Resources> used = clusterState.usageByTeam();
        Map<String, List<VictimSelector.PreemptionCandidate<Placement>>> byZone = new TreeMap<>();
        Map<VictimSelector.PreemptionCandidate<Placement>, Machine> machines =
                new IdentityHashMap<>();
        for (Machine machine : clusterState.machines().values()) {
            if (!canPreemptOn(machine, spec, zones, now)
                    || spec.requiresSingleZone()
                            && !zones.isEmpty()
                            && zones.getInt(machine.zone()) == 0) {
                continue;
            }
            VictimSelector.PreemptionCandidate<Placement> preemptionCandidate =
                    new VictimSelector.PreemptionCandidate<>(
                            machine.freeCapacity(),
                            machine.imageCache().contains(spec.image()),
                            listPreemptibleTasks(machine, used, now));
            byZone.computeIfAbsent(machine.zone(), unused -> new ArrayList<>())
                    .add(preemptionCandidate);
            machines.put(preemptionCandidate, machine);
        }
        boolean gang = spec.kind() == JobKind.GANG;
        List<VictimSelector.FreedSlot<Placement>> best = List.of();
        if (spec.requiresSingleZone()) {
            double least = Double.MAX_VALUE;
            for (List<VictimSelector.PreemptionCandidate<Placement>> places : byZone.values()) {
                List<VictimSelector.FreedSlot<Placement>> gains =
                        VictimSelector.selectBestEffortVictims(spec, count, gang, places);
                double lostS =
                        gains.stream().mapToDouble(VictimSelector.FreedSlot::lostWorkSeconds).sum();
                if (!gains.isEmpty() && lostS < least) {
                    best = gains;
                    least = lostS;
                }
            }
        } else {
            best =
                    VictimSelector.selectBestEffortVictims(
                            spec,
                            count,
                            gang,
                            byZone.values().stream().flatMap(List::stream).toList());
        }
        List<Placement> victims =
                best.stream().flatMap(freedSlot -> freedSlot.victims().stream()).toList();
        if (gang && !victims.isEmpty()) {
            // Small tasks that come first took a little of each machine that was cleared, and the
            // gang found none whole.
            best.forEach(
                    freedSlot ->
                            machines.get(freedSlot.candidate())
                                    .holdForGang(job.id(), now.plus(PREEMPTION_COOLDOWN)));
        }
        return victims;
    }

    /**
     * Whether the job could use room on a machine; what the calendar keeps it from needs no room
     * made for it.
     */
    private boolean canPreemptOn(
            Machine machine, JobSpec spec, Object2IntMap<String> zones, MonotonicTime now) {
        MachineReservationLimit limit = clusterState.reservationView().limitFor(machine.id());
        return (limit == null || limit.allows(spec, 0, machine.type().capacity()))
                && clusterState.isEligibleFor(machine, spec, now)
                && zones.getInt(machine.zone()) < spec.maxTasksPerZone();
    }

    private List<VictimSelector.RunningTask<Placement>> listPreemptibleTasks(
            Machine machine, Map<String, Resources> used, MonotonicTime now) {
        List<VictimSelector.RunningTask<Placement>> running = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (spec.kind() == JobKind.SERVICE || placement.isStopping()) {
                continue;
            }
            double ranS =
                    placement.runningSince() == null
                            ? 0
                            : now.secondsSince(placement.runningSince());
            Resources guarantee = deploymentSettings.teamQuotas().get(spec.team()).guaranteed();
            Resources uses = used.get(spec.team());
            running.add(
                    new VictimSelector.RunningTask<>(
                            placement,
                            spec.priority(),
                            spec.team(),
                            spec.resourcesPerTask(),
                            spec.usesCheckpoints()
                                    ? Math.min(ranS, spec.checkpointDurationSeconds())
                                    : ranS,
                            uses.gpu() > guarantee.gpu()
                                    && (guarantee.cpu() == 0 || uses.cpu() > guarantee.cpu())));
        }
        return running;
    }
}
