package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Watches over machines that are silent, on notice or idle. What was on a silent one counts as
 * running until its worker's lease has certainly ended. Guarded by the leader's lock.
 */
public final class HeartbeatTimeoutMonitor {
    /** Clock drift and timer steps on top of a worker's lease. */
    private static final double CLOCK_DRIFT_FACTOR = 1.001;

    private static final Duration LEASE_MARGIN = Duration.ofMillis(500);

    /**
     * Machines asked directly in a round. Behind a cut hundreds are silent at once, and each
     * question takes a socket for as long as it hangs, which users and workers need as well.
     */
    private static final int MAX_PROBES_PER_ROUND = 100;

    /** Questions that may hang at a time: each for 3 s, before the connection is given up. */
    public static final int MAX_PROBES_IN_FLIGHT = 3 * MAX_PROBES_PER_ROUND;

    private final LeadershipContext leader;
    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final FencingToken fencingToken;
    private final MonotonicTime leadershipBeganAt;
    private final Map<MachineId, MonotonicTime> lastProbedAt = new HashMap<>();
    private int probesThisRound;

    public HeartbeatTimeoutMonitor(
            LeadershipContext leader,
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            FencingToken fencingToken,
            MonotonicTime begunAt) {
        this.leader = leader;
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.fencingToken = fencingToken;
        this.leadershipBeganAt = begunAt;
    }

    /** One round over all machines. */
    public void checkAllMachines(MonotonicTime now) {
        probesThisRound = 0;
        for (Machine machine : List.copyOf(clusterState.machines().values())) {
            checkMachine(machine, now);
        }
        expireUnobservedPlacements(now);
    }

    public void forget(MachineId machine) {
        lastProbedAt.remove(machine);
    }

    /**
     * Asks a silent machine, takes its tasks as gone once that is proven, and drains it on notice.
     */
    private void checkMachine(Machine machine, MonotonicTime now) {
        MonotonicTime lastHeard =
                machine.lastContactAt() == null ? leadershipBeganAt : machine.lastContactAt();
        double silentS = now.secondsSince(lastHeard);
        double reportS = deploymentSettings.heartbeatInterval().toNanos() / 1e9;
        if (silentS > ClusterState.MISSED_HEARTBEATS_UNTIL_SILENT * reportS
                && machine.address() != null
                && probesThisRound < MAX_PROBES_PER_ROUND) {
            MonotonicTime probed = lastProbedAt.get(machine.id());
            if (probed == null || now.secondsSince(probed) > reportS) {
                probesThisRound++;
                lastProbedAt.put(machine.id(), now);
                leader.sendCommands(
                        machine,
                        machine.incarnation() == null
                                ? new WorkerIncarnation(1)
                                : machine.incarnation(),
                        List.of());
            }
        }
        // Also where nothing is placed: an old report of a machine that is gone may be all that was
        // ever heard of it, and the
        // tasks that it lists would be held up by it until it is returned for its silence.
        if (!(machine.placements().isEmpty() && machine.orphanedTasks().isEmpty())
                && isLeaseCertainlyExpired(machine, now)) {
            for (Placement placement : List.copyOf(machine.placements())) {
                leader.markTaskLost(
                        machine,
                        placement,
                        "the machine has been silent for longer than its lease",
                        now);
            }
            machine.orphanedTasks().clear();
        }
        if (machine.preemptionDeadline() != null) {
            for (Placement placement : List.copyOf(machine.placements())) {
                if (!placement.isStopping()
                        && (placement.job().spec().usesCheckpoints()
                                || placement.job().spec().kind() == JobKind.SERVICE)) {
                    leader.stopWithCheckpoint(
                            placement, "machine " + placement.machineId() + " is being taken back");
                }
            }
        }
        // Of a silent machine nobody knows whether it is idle; behind a cut its tasks only count as
        // lost.
        if (machine.placements().isEmpty()
                && machine.orphanedTasks().isEmpty()
                && !leader.isHeartbeatOverdue(machine, now)) {
            if (machine.idleSince() == null) {
                machine.idleSince(now);
            }
        } else {
            machine.idleSince(null);
        }
    }

    /**
     * Whether the worker's lease must have run out. Only a worker that has shown our token renews
     * by our answers alone; for any other an earlier leader may have gone on answering, though not
     * for longer than its limit after its last renewal, which was before our term began.
     */
    private boolean isLeaseCertainlyExpired(Machine machine, MonotonicTime now) {
        if (machine.highestFencingToken().equals(fencingToken) && machine.lastContactAt() != null) {
            return now.elapsedSince(machine.lastContactAt())
                            .compareTo(withDriftMargin(deploymentSettings.workerLease()))
                    > 0;
        }
        return now.elapsedSince(leadershipBeganAt)
                                .compareTo(withDriftMargin(deploymentSettings.cancellationBound()))
                        > 0
                && (machine.lastContactAt() == null
                        || now.elapsedSince(machine.lastContactAt())
                                        .compareTo(
                                                withDriftMargin(deploymentSettings.workerLease()))
                                > 0);
    }

    private static Duration withDriftMargin(Duration span) {
        return Duration.ofNanos((long) (span.toNanos() * CLOCK_DRIFT_FACTOR)).plus(LEASE_MARGIN);
    }

    /** Placements on machines that neither the cloud's list nor any report has shown. */
    private void expireUnobservedPlacements(MonotonicTime now) {
        if (!clusterState.placementsOnUnseenMachines().isEmpty()
                && now.elapsedSince(leadershipBeganAt)
                                .compareTo(withDriftMargin(deploymentSettings.cancellationBound()))
                        > 0) {
            for (List<Placement> placements :
                    List.copyOf(clusterState.placementsOnUnseenMachines().values())) {
                for (Placement placement : List.copyOf(placements)) {
                    leader.markTaskLost(
                            null,
                            placement,
                            "its machine has not been seen for longer than any lease",
                            now);
                }
            }
            clusterState.placementsOnUnseenMachines().clear();
        }
    }
}
