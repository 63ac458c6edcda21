package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.reservation.ReservationView;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Resources;

/**
 * The jobs and machines that the leader knows during one leadership, with the risk table of each
 * machine. Not thread-safe: guarded by the leader's lock.
 */
public final class ClusterState {
    /** Number of heartbeats missed in a row before a machine counts as silent. */
    public static final double MISSED_HEARTBEATS_UNTIL_SILENT = 2.0;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Key that stands for all zones when the tasks of a job may be in several. */
    private static final String ANY_ZONE = "any zone";

    private final DeploymentSettings deploymentSettings;
    private final FencingToken fencingToken;

    /** The live jobs, sorted so that every leader iterates over the jobs in the same order. */
    private final Map<JobId, Job> jobs = new TreeMap<>();

    private final SortedMap<MachineId, Machine> machines = new TreeMap<>();
    private final Map<MachineId, RiskTable> riskTables = new HashMap<>();
    private final Map<MachineId, List<Placement>> placementsOnUnseenMachines = new HashMap<>();
    private ReservationView reservationView = ReservationView.EMPTY;

    /**
     * Creates a state without jobs and machines.
     *
     * @param fencingToken the token of the leadership that this state belongs to
     */
    public ClusterState(DeploymentSettings deploymentSettings, FencingToken fencingToken) {
        this.deploymentSettings = deploymentSettings;
        this.fencingToken = fencingToken;
    }

    /** The live map of the jobs that have not ended, by id; callers may change it. */
    public Map<JobId, Job> jobs() {
        return jobs;
    }

    /** The live map of the known machines by id; only {@link #addMachine} adds machines. */
    public SortedMap<MachineId, Machine> machines() {
        return machines;
    }

    /** The reservations and maintenance windows as they apply to the current round. */
    public ReservationView reservationView() {
        return reservationView;
    }

    /** Replaces the reservation view; called once per round. */
    public void reservationView(ReservationView view) {
        reservationView = view;
    }

    /** The live map of the risk tables of the known machines; callers may change it. */
    public Map<MachineId, RiskTable> riskTables() {
        return riskTables;
    }

    /**
     * The live map of placements that may be running on machines that neither a machine list nor a
     * heartbeat has shown yet; callers may change it.
     */
    public Map<MachineId, List<Placement>> placementsOnUnseenMachines() {
        return placementsOnUnseenMachines;
    }

    /** Adds a machine with an empty risk table and the placements restored for it. */
    public void addMachine(Machine machine) {
        machines.put(machine.id(), machine);
        riskTables.put(machine.id(), new RiskTable());
        List<Placement> restored = placementsOnUnseenMachines.remove(machine.id());
        if (restored != null) {
            machine.placements().addAll(restored);
        }
    }

    /** Adds a placement that a previous leader committed. */
    public void restorePlacement(Placement placement) {
        Machine machine = machines.get(placement.machineId());
        if (machine != null) {
            machine.placements().add(placement);
        } else {
            placementsOnUnseenMachines
                    .computeIfAbsent(placement.machineId(), unused -> new ArrayList<>())
                    .add(placement);
        }
    }

    /**
     * Whether start commands can reach a machine now. They are sent only in responses to
     * heartbeats, so a machine that answers direct commands but whose heartbeats do not arrive
     * cannot be used: its tasks would wait until it reaches a controller again.
     */
    public boolean isSchedulable(Machine machine, MonotonicTime now) {
        return !machine.isUnschedulable()
                && machine.lastAnsweredHeartbeatAt() != null
                && machine.highestFencingToken().equals(fencingToken)
                && machine.incarnation() != null
                && now.secondsSince(machine.lastAnsweredHeartbeatAt())
                        < MISSED_HEARTBEATS_UNTIL_SILENT
                                * deploymentSettings.heartbeatInterval().toNanos()
                                / NANOS_PER_SECOND;
    }

    /** Whether a machine can take tasks of a job now, provided that it has free capacity. */
    boolean isEligibleFor(Machine machine, JobSpec spec, MonotonicTime now) {
        JobId heldFor = machine.heldForGang(now);
        return isSchedulable(machine, now)
                && (heldFor == null || heldFor.equals(spec.id()))
                && spec.allowsMachineType(machine.type().name())
                && spec.allowsZone(machine.zone())
                && (spec.allowsSpot() || !machine.isSpot());
    }

    /** Describes for the log why a job has pending tasks. */
    public String describePendingReason(Job job, MonotonicTime now) {
        int stoppingTasks = job.stoppingTaskCount();
        if (job.backoffUntil() != null && now.isBefore(job.backoffUntil())) {
            return "backoff after failed tasks";
        } else if (stoppingTasks > 0) {
            return stoppingTasks + " tasks of the last attempt may still be running";
        } else if (exceedsTeamLimit(job)) {
            return "limit of its team";
        }
        Object2IntOpenHashMap<String> machinesWithCapacity =
                countMachinesWithCapacity(job.spec(), now);
        return job.placements().isEmpty()
                ? "insufficient capacity: machines with capacity for a task " + machinesWithCapacity
                : job.placements().size()
                        + " tasks placed, "
                        + job.pendingTaskCount()
                        + " unplaced: machines with capacity for a task "
                        + machinesWithCapacity;
    }

    /**
     * Whether placing the next task of an array, or all pending tasks of any other job, would
     * exceed the limit of its team.
     */
    private boolean exceedsTeamLimit(Job job) {
        JobSpec spec = job.spec();
        Resources limit = deploymentSettings.teamQuotas().get(spec.team()).limit();
        Resources additional =
                spec.kind() == JobKind.ARRAY
                        ? spec.resourcesPerTask()
                        : spec.resourcesPerTask().times(job.pendingTaskCount());
        Resources total = usageByTeam().getOrDefault(spec.team(), Resources.NONE).plus(additional);
        return (limit.cpu() > 0 && total.cpu() > limit.cpu())
                || (limit.gpu() > 0 && total.gpu() > limit.gpu());
    }

    /** Counts the machines with capacity for a task, by zone if the job must stay in one zone. */
    private Object2IntOpenHashMap<String> countMachinesWithCapacity(
            JobSpec spec, MonotonicTime now) {
        Object2IntOpenHashMap<String> counts = new Object2IntOpenHashMap<>();
        for (Machine machine : machines.values()) {
            if (isEligibleFor(machine, spec, now)
                    && spec.resourcesPerTask().fitsIn(machine.freeCapacity())) {
                counts.addTo(spec.requiresSingleZone() ? machine.zone() : ANY_ZONE, 1);
            }
        }
        return counts;
    }

    /** Counts the tasks of a job that may be running in each zone; omits zones without any. */
    Object2IntOpenHashMap<String> countTasksByZone(Job job) {
        Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
        for (Placement placement : job.placements()) {
            Machine machine = machines.get(placement.machineId());
            // A machine that is not known yet may be in any zone, so its task counts in all.
            if (machine != null) {
                zones.addTo(machine.zone(), 1);
            } else {
                deploymentSettings.zones().forEach(zone -> zones.addTo(zone, 1));
            }
        }
        return zones;
    }

    /** Sums the resources allocated to each team's tasks, by the name of the team. */
    Map<String, Resources> usageByTeam() {
        Map<String, Resources> used = new HashMap<>();
        // Iterates over machines, not jobs: a task counts until its end is proven, even if its job
        // has ended.
        for (Machine machine : machines.values()) {
            addUsage(machine.placements(), used);
        }
        placementsOnUnseenMachines.values().forEach(placements -> addUsage(placements, used));
        return used;
    }

    private static void addUsage(List<Placement> placements, Map<String, Resources> used) {
        for (Placement placement : placements) {
            used.merge(
                    placement.job().spec().team(),
                    placement.job().spec().resourcesPerTask(),
                    Resources::plus);
        }
    }
}
