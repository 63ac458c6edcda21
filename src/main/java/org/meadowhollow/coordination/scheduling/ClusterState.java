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
 * The jobs and machines as far as the leader of one leadership knows them, with the risk table of
 * each machine. Not thread-safe: guarded by the leader's lock.
 */
public final class ClusterState {
    /** Heartbeats missed in a row before a machine counts as silent. */
    public static final double MISSED_HEARTBEATS_UNTIL_SILENT = 2.0;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Key of the machines with room for a job that may be spread over zones. */
    private static final String ANY_ZONE = "any zone";

    private final DeploymentSettings deploymentSettings;
    private final FencingToken fencingToken;

    /** Sorted, so that every leader goes through them in the same order. */
    private final Map<JobId, Job> jobs = new TreeMap<>();

    private final SortedMap<MachineId, Machine> machines = new TreeMap<>();
    private final Map<MachineId, RiskTable> riskTables = new HashMap<>();
    private final Map<MachineId, List<Placement>> placementsOnUnseenMachines = new HashMap<>();
    private ReservationView reservationView = ReservationView.EMPTY;

    /**
     * Creates a state without jobs and machines.
     *
     * @param fencingToken the token of the leadership that it belongs to
     */
    public ClusterState(DeploymentSettings deploymentSettings, FencingToken fencingToken) {
        this.deploymentSettings = deploymentSettings;
        this.fencingToken = fencingToken;
    }

    /** The jobs that have not ended, by id; changes write through. */
    public Map<JobId, Job> jobs() {
        return jobs;
    }

    /** The known machines by id; added by {@link #addMachine} only. */
    public SortedMap<MachineId, Machine> machines() {
        return machines;
    }

    /** What reservations and maintenance windows mean for the current round. */
    public ReservationView reservationView() {
        return reservationView;
    }

    /** Replaces the reservation view; done once a round. */
    public void reservationView(ReservationView view) {
        reservationView = view;
    }

    /** The risk table of each known machine; changes write through. */
    public Map<MachineId, RiskTable> riskTables() {
        return riskTables;
    }

    /**
     * What may be running on machines that neither a machine list nor a heartbeat has shown yet;
     * changes write through.
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
     * Whether start commands can reach a machine now. They are sent only in answers to heartbeats,
     * so a machine that answers direct commands but whose heartbeats do not arrive cannot be used:
     * its tasks would wait until it reaches a controller again.
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

    /** Whether a machine can take tasks of a job now, if it has room. */
    boolean isEligibleFor(Machine machine, JobSpec spec, MonotonicTime now) {
        JobId heldFor = machine.heldForGang(now);
        return isSchedulable(machine, now)
                && (heldFor == null || heldFor.equals(spec.id()))
                && spec.allowsMachineType(machine.type().name())
                && spec.allowsZone(machine.zone())
                && (spec.allowsSpot() || !machine.isSpot());
    }

    /** Why a job has pending tasks, for the log. */
    public String describePendingReason(Job job, MonotonicTime now) {
        long stopping = job.placements().stream().filter(Placement::isStopping).count();
        if (job.backoffUntil() != null && now.isBefore(job.backoffUntil())) {
            return "backoff after failed tasks";
        } else if (stopping > 0) {
            return stopping + " tasks of the last attempt may still be running";
        } else if (exceedsTeamLimit(job)) {
            return "limit of its team";
        }
        Object2IntOpenHashMap<String> machinesWithRoom = countMachinesWithRoom(job.spec(), now);
        return job.placements().isEmpty()
                ? "no room: machines with room for a task " + machinesWithRoom
                : job.placements().size()
                        + " tasks placed, "
                        + job.pendingTaskCount()
                        + " not: machines with room for a task "
                        + machinesWithRoom;
    }

    /** Whether the next task of an array, or all pending tasks of another job, exceed the limit. */
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

    /** Machines with room for a task, by zone if the job must stay in one. */
    private Object2IntOpenHashMap<String> countMachinesWithRoom(JobSpec spec, MonotonicTime now) {
        Object2IntOpenHashMap<String> counts = new Object2IntOpenHashMap<>();
        for (Machine machine : machines.values()) {
            if (isEligibleFor(machine, spec, now)
                    && spec.resourcesPerTask().fitsIn(machine.freeCapacity())) {
                counts.addTo(spec.requiresSingleZone() ? machine.zone() : ANY_ZONE, 1);
            }
        }
        return counts;
    }

    /** How many of a job's tasks may be in each zone; only zones with any are in it. */
    Object2IntOpenHashMap<String> countTasksByZone(Job job) {
        Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
        for (Placement placement : job.placements()) {
            Machine machine = machines.get(placement.machineId());
            // A machine that is not known yet may be in any zone, so it counts in all of them.
            if (machine != null) {
                zones.addTo(machine.zone(), 1);
            } else {
                deploymentSettings.zones().forEach(zone -> zones.addTo(zone, 1));
            }
        }
        return zones;
    }

    /** The resources allocated to each team's tasks, by the name of the team. */
    Map<String, Resources> usageByTeam() {
        Map<String, Resources> used = new HashMap<>();
        // By machine, not by job: a task counts until its end is proven, even if its job has ended.
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
