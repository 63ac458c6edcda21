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
 * The jobs and machines of one leadership, as far as it knows them; guarded by the leader's lock.
 */
public final class ClusterState {
    /** Reports missed in a row before a machine counts as silent. */
    public static final double MISSED_HEARTBEATS_UNTIL_SILENT = 2.0;

    private final DeploymentSettings deploymentSettings;
    private final FencingToken fencingToken;
    private final Map<JobId, Job> jobs = new TreeMap<>();
    private final SortedMap<MachineId, Machine> machines = new TreeMap<>();
    private final Map<MachineId, RiskTable> riskTables = new HashMap<>();
    private final Map<MachineId, List<Placement>> placementsOnUnseenMachines = new HashMap<>();

    private ReservationView reservationView = ReservationView.EMPTY;

    public ClusterState(DeploymentSettings deploymentSettings, FencingToken fencingToken) {
        this.deploymentSettings = deploymentSettings;
        this.fencingToken = fencingToken;
    }

    public Map<JobId, Job> jobs() {
        return jobs;
    }

    public SortedMap<MachineId, Machine> machines() {
        return machines;
    }

    /** What the calendar means for the round. */
    public ReservationView reservationView() {
        return reservationView;
    }

    public void reservationView(ReservationView now) {
        reservationView = now;
    }

    /** What each machine's past says of it. */
    public Map<MachineId, RiskTable> riskTables() {
        return riskTables;
    }

    /** What may be running on machines that neither a list nor a report has shown. */
    public Map<MachineId, List<Placement>> placementsOnUnseenMachines() {
        return placementsOnUnseenMachines;
    }

    public void addMachine(Machine machine) {
        machines.put(machine.id(), machine);
        riskTables.put(machine.id(), new RiskTable());
        List<Placement> known = placementsOnUnseenMachines.remove(machine.id());
        if (known != null) {
            machine.placements().addAll(known);
        }
    }

    /** Takes in what a predecessor committed. */
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
     * Whether a machine can be told to start tasks now. Starts go out in answers to reports alone,
     * so one that only answers direct commands cannot: tasks that were placed there waited for as
     * long as it found no controller.
     */
    public boolean isSchedulable(Machine machine, MonotonicTime now) {
        return !machine.isUnschedulable()
                && machine.lastAnsweredHeartbeatAt() != null
                && machine.highestFencingToken().equals(fencingToken)
                && machine.incarnation() != null
                && now.secondsSince(machine.lastAnsweredHeartbeatAt())
                        < MISSED_HEARTBEATS_UNTIL_SILENT
                                * deploymentSettings.heartbeatInterval().toNanos()
                                / 1e9;
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

    /** What keeps a job that waits from being placed, for those who read the log. */
    public String describePendingReason(Job job, MonotonicTime now) {
        JobSpec spec = job.spec();
        Resources most = deploymentSettings.teamQuotas().get(spec.team()).limit();
        Resources then =
                usageByTeam()
                        .getOrDefault(spec.team(), Resources.NONE)
                        .plus(
                                spec.kind() == JobKind.ARRAY
                                        ? spec.resourcesPerTask()
                                        : spec.resourcesPerTask().times(job.pendingTaskCount()));
        long stopping = job.placements().stream().filter(Placement::isStopping).count();
        if (job.backoffUntil() != null && now.isBefore(job.backoffUntil())) {
            return "a pause, since its tasks fail";
        } else if (stopping > 0) {
            return stopping + " tasks of its last attempt that may still be running";
        } else if (most.cpu() > 0 && then.cpu() > most.cpu()
                || most.gpu() > 0 && then.gpu() > most.gpu()) {
            return "its team's limit";
        }
        Object2IntOpenHashMap<String> room = new Object2IntOpenHashMap<>();
        for (Machine machine : machines.values()) {
            if (isEligibleFor(machine, spec, now)
                    && spec.resourcesPerTask().fitsIn(machine.freeCapacity())) {
                room.addTo(spec.requiresSingleZone() ? machine.zone() : "any zone", 1);
            }
        }
        return job.placements().isEmpty()
                ? "room: machines with room for a task are " + room
                : job.placements().size()
                        + " tasks are placed, "
                        + job.pendingTaskCount()
                        + " have none; machines with room: "
                        + room;
    }

    /** How many of a job's tasks may be in each zone. */
    Object2IntOpenHashMap<String> countTasksByZone(Job job) {
        Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
        for (Placement placement : job.placements()) {
            Machine machine = machines.get(placement.machineId());
            // A machine not seen yet may be in any zone, so it counts in all of them.
            if (machine != null) {
                zones.addTo(machine.zone(), 1);
            } else {
                deploymentSettings.zones().forEach(zone -> zones.addTo(zone, 1));
            }
        }
        return zones;
    }

    /** What each team's tasks use. */
    Map<String, Resources> usageByTeam() {
        Map<String, Resources> used = new HashMap<>();
        // By machine, not by job: a task counts until it is proven gone, even when its job is over.
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
