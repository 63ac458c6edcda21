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
 * Checks every machine once a round: probes silent machines, expires tasks whose worker lease has
 * certainly expired, drains machines with a preemption notice, and keeps track of which machines
 * are idle. Tasks on a silent machine count as running until their worker's lease has expired.
 *
 * <p>Guarded by the leader's lock, which every caller holds.
 */
public final class HeartbeatTimeoutMonitor {
    /** Allows for clock drift between the worker and this node. */
    private static final double CLOCK_DRIFT_FACTOR = 1.001;

    /** Allows for the resolution of the worker's timers. */
    private static final Duration LEASE_MARGIN = Duration.ofMillis(500);

    /**
     * Maximum number of machines probed in a round. Behind a partition, hundreds are silent at
     * once, and each probe that hangs holds a socket, which users and workers need as well.
     */
    private static final int MAX_PROBES_PER_ROUND = 100;

    /**
     * Maximum number of probes that hang at the same time: each hangs for 3 s before its connection
     * is abandoned, and a round starts every second.
     */
    public static final int MAX_PROBES_IN_FLIGHT = 3 * MAX_PROBES_PER_ROUND;

    /**
     * Incarnation that commands are addressed to on a machine that has not sent a heartbeat yet.
     */
    private static final WorkerIncarnation FIRST_INCARNATION = new WorkerIncarnation(1);

    private final LeadershipContext leader;
    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final FencingToken fencingToken;
    private final MonotonicTime leadershipBeganAt;
    private final Map<MachineId, MonotonicTime> lastProbedAt = new HashMap<>();
    private int probesThisRound;

    /**
     * Creates the monitor of one leadership.
     *
     * @param fencingToken the token of this leadership
     * @param leadershipBeganAt when the leadership began
     */
    public HeartbeatTimeoutMonitor(
            LeadershipContext leader,
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            FencingToken fencingToken,
            MonotonicTime leadershipBeganAt) {
        this.leader = leader;
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.fencingToken = fencingToken;
        this.leadershipBeganAt = leadershipBeganAt;
    }

    /** Checks all machines, then the placements on machines that were never seen. */
    public void checkAllMachines(MonotonicTime now) {
        probesThisRound = 0;
        for (Machine machine : List.copyOf(clusterState.machines().values())) {
            checkMachine(machine, now);
        }
        expireUnseenPlacements(now);
    }

    /** Drops the state of a machine that is gone. */
    public void forget(MachineId machine) {
        lastProbedAt.remove(machine);
    }

    private void checkMachine(Machine machine, MonotonicTime now) {
        probeIfSilent(machine, now);
        expireTasksIfLeaseExpired(machine, now);
        drainIfPreempted(machine);
        updateIdleSince(machine, now);
    }

    /**
     * Sends an empty command list to a machine that has missed several heartbeats: its response
     * shows whether it is alive.
     */
    private void probeIfSilent(Machine machine, MonotonicTime now) {
        MonotonicTime lastContactAt =
                machine.lastContactAt() == null ? leadershipBeganAt : machine.lastContactAt();
        double silentSeconds = now.secondsSince(lastContactAt);
        double intervalSeconds = deploymentSettings.heartbeatInterval().toNanos() / 1e9;
        if (silentSeconds <= ClusterState.MISSED_HEARTBEATS_UNTIL_SILENT * intervalSeconds
                || machine.address() == null
                || probesThisRound >= MAX_PROBES_PER_ROUND) {
            return;
        }
        MonotonicTime probedAt = lastProbedAt.get(machine.id());
        if (probedAt != null && now.secondsSince(probedAt) <= intervalSeconds) {
            return;
        }
        probesThisRound++;
        lastProbedAt.put(machine.id(), now);
        WorkerIncarnation incarnation =
                machine.incarnation() == null ? FIRST_INCARNATION : machine.incarnation();
        leader.sendCommands(machine, incarnation, List.of());
    }

    /**
     * Marks the tasks on a machine lost once its worker's lease has certainly expired, since the
     * worker stops them by then. Orphaned tasks are cleared even if nothing is placed on the
     * machine: the only heartbeat ever received from a machine that is gone may be a stale one, and
     * the tasks listed in it would otherwise stay blocked until the machine is returned for its
     * silence.
     */
    private void expireTasksIfLeaseExpired(Machine machine, MonotonicTime now) {
        if (!hasTasks(machine) || !isLeaseCertainlyExpired(machine, now)) {
            return;
        }
        for (Placement placement : List.copyOf(machine.placements())) {
            leader.markTaskLost(
                    machine, placement, "machine silent for longer than its worker lease", now);
        }
        machine.orphanedTasks().clear();
    }

    private static boolean hasTasks(Machine machine) {
        return !machine.placements().isEmpty() || !machine.orphanedTasks().isEmpty();
    }

    /**
     * Stops the tasks that can resume from a checkpoint or move elsewhere on a machine with a
     * preemption notice.
     */
    private void drainIfPreempted(Machine machine) {
        if (machine.preemptionDeadline() == null) {
            return;
        }
        for (Placement placement : List.copyOf(machine.placements())) {
            boolean movable =
                    placement.job().spec().usesCheckpoints()
                            || placement.job().spec().kind() == JobKind.SERVICE;
            if (!placement.isStopping() && movable) {
                leader.stopWithCheckpoint(
                        placement, "machine " + placement.machineId() + " is being preempted");
            }
        }
    }

    /**
     * Starts or ends a machine's idle time. A machine whose heartbeat is overdue does not count as
     * idle: behind a partition, its tasks are only presumed lost.
     */
    private void updateIdleSince(Machine machine, MonotonicTime now) {
        if (hasTasks(machine) || leader.isHeartbeatOverdue(machine, now)) {
            machine.idleSince(null);
        } else if (machine.idleSince() == null) {
            machine.idleSince(now);
        }
    }

    /**
     * Whether the worker's lease has certainly expired. Only the responses of this leader renew the
     * lease of a worker that has shown this leader's fencing token. The lease of any other worker
     * may have been renewed by an earlier leader, but for no longer than the cancellation bound
     * after that leader's own last lease renewal, which was before this leadership began.
     */
    private boolean isLeaseCertainlyExpired(Machine machine, MonotonicTime now) {
        boolean everContacted = machine.lastContactAt() != null;
        if (everContacted && machine.highestFencingToken().equals(fencingToken)) {
            return isLeaseExpiredSinceContact(machine, now);
        }
        return haveEarlierLeasesExpired(now)
                && (!everContacted || isLeaseExpiredSinceContact(machine, now));
    }

    private boolean isLeaseExpiredSinceContact(Machine machine, MonotonicTime now) {
        return now.elapsedSince(machine.lastContactAt())
                        .compareTo(withDriftMargin(deploymentSettings.workerLease()))
                > 0;
    }

    /** Whether every lease that an earlier leader's responses renewed has certainly expired. */
    private boolean haveEarlierLeasesExpired(MonotonicTime now) {
        return now.elapsedSince(leadershipBeganAt)
                        .compareTo(withDriftMargin(deploymentSettings.cancellationBound()))
                > 0;
    }

    private static Duration withDriftMargin(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * CLOCK_DRIFT_FACTOR))
                .plus(LEASE_MARGIN);
    }

    /** Expires placements on machines that neither the cloud's list nor any heartbeat has shown. */
    private void expireUnseenPlacements(MonotonicTime now) {
        Map<MachineId, List<Placement>> unseen = clusterState.placementsOnUnseenMachines();
        if (unseen.isEmpty() || !haveEarlierLeasesExpired(now)) {
            return;
        }
        for (List<Placement> placements : List.copyOf(unseen.values())) {
            for (Placement placement : List.copyOf(placements)) {
                leader.markTaskLost(
                        null, placement, "machine not seen for longer than any worker lease", now);
            }
        }
        unseen.clear();
    }
}
