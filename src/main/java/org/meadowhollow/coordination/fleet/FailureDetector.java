package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.heartbeat.LeaderReachability;
import org.meadowhollow.coordination.heartbeat.LeaderReachability.Reachability;
import org.meadowhollow.coordination.heartbeat.LeaderReachability.ResignationDecision;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Classifies how well heartbeats reach the leader, and asks the other controllers about machines
 * whose heartbeats are overdue. It exists because a leader whose network failed towards its workers
 * only once took hundreds of healthy machines for failed, returned them to the cloud and was
 * refused replacements.
 *
 * <p>All state is guarded by the leader's lock, the monitor of the {@link LeadershipContext}.
 * Callers hold it, except for {@link #queryPeersAndMaybeResign}, which takes it for its decision
 * and does its I/O outside it.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

    /** Heartbeats arrive up to a quarter of their interval late. */
    private static final double HEARTBEAT_LATENESS_FACTOR = 1.25;

    /** A worker that lost its connection turns to the next node a second later. */
    private static final Duration RECONNECT_ALLOWANCE = Duration.ofSeconds(1);

    /** How long a worker waits for a leader that ended without notice before it tries the next. */
    private static final Duration LEADER_LOSS_ALLOWANCE = Duration.ofSeconds(4);

    /**
     * How recent a heartbeat at a peer must be. Workers whose leader does not answer try another
     * node every 5 s or later; those sent back to the leader do not come again.
     */
    private static final Duration PEER_HEARTBEAT_WINDOW = Duration.ofSeconds(6);

    /**
     * Resigning without a known successor is not repeated within this time; a network partition
     * lasts about as long.
     */
    private static final Duration RESIGNATION_RETRY_INTERVAL = Duration.ofSeconds(30);

    /**
     * A machine list is at times twice as stale as usual, and so may be older than the one before
     * it.
     */
    private static final int LIST_LAG_FACTOR = 2;

    /** The leader, whose monitor guards this state. */
    private final Object leaderLock;

    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final EventLoop loop;
    private final PeerGateway peerGateway;
    private final Leadership leadership;
    private final MonotonicTime leadershipBeganAt;
    private final PeerHeartbeatQuery peerQuery = new PeerHeartbeatQuery();

    /** When the cloud's last machine list arrived, or null before the first. */
    private MonotonicTime lastMachineListAt;

    private Reachability reachability = Reachability.HEALTHY;

    /** Since when the leader has been isolated, or null while it is not. */
    private MonotonicTime isolatedSince;

    /**
     * Creates the detector of one leadership.
     *
     * @param leader the object whose monitor guards the cluster state and this detector
     * @param begunAt when the leadership began
     */
    public FailureDetector(
            LeadershipContext leader,
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            EventLoop loop,
            PeerGateway peerGateway,
            Leadership leadership,
            MonotonicTime begunAt) {
        this.leaderLock = leader;
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.loop = loop;
        this.peerGateway = peerGateway;
        this.leadership = leadership;
        this.leadershipBeganAt = begunAt;
    }

    /** The result of the last {@link #evaluate}; healthy before the first. */
    public Reachability reachability() {
        return reachability;
    }

    /**
     * Classifies the leader's reachability from all machines, and prepares the next query to the
     * peers. The consequences are drawn by {@link #queryPeersAndMaybeResign}.
     */
    public void evaluate(MonotonicTime now) {
        List<Machine> overdue = new ArrayList<>();
        int unseenMachines = clusterState.placementsOnUnseenMachines().size();
        int knownCount = unseenMachines;
        int overdueCount = areUnseenMachinesOverdue(now) ? unseenMachines : 0;
        for (Machine machine : clusterState.machines().values()) {
            if (machine.isReleasing()) {
                continue;
            }
            if (!isHeartbeatOverdue(machine, now)) {
                knownCount++;
                continue;
            }
            overdue.add(machine);
            if (!isMissingFromMachineList(machine)) {
                knownCount++;
                overdueCount++;
            }
        }
        updateReachability(knownCount, overdueCount, now);
        peerQuery.prepare(overdue, machine -> silentSeconds(machine, now), now);
    }

    /** Machines known only from recorded placements have had time to send a heartbeat here. */
    private boolean areUnseenMachinesOverdue(MonotonicTime now) {
        return now.elapsedSince(leadershipBeganAt)
                        .compareTo(heartbeatTimeout().plus(LEADER_LOSS_ALLOWANCE))
                > 0;
    }

    private void updateReachability(int knownCount, int overdueCount, MonotonicTime now) {
        Reachability current = LeaderReachability.classify(knownCount, overdueCount);
        if (current != reachability) {
            LOG.info(
                    "leader reachability changed overdue={} known={} reachability={}",
                    overdueCount,
                    knownCount,
                    current);
        }
        reachability = current;
        if (current != Reachability.ISOLATED) {
            isolatedSince = null;
        } else if (isolatedSince == null) {
            isolatedSince = now;
        }
    }

    private Duration heartbeatTimeout() {
        double lateNanos =
                deploymentSettings.heartbeatInterval().toNanos() * HEARTBEAT_LATENESS_FACTOR;
        return Duration.ofNanos((long) lateNanos).plus(RECONNECT_ALLOWANCE);
    }

    /**
     * Whether a machine's heartbeat is overdue. Only heartbeats count: a response to a direct
     * request shows that the worker is alive, but renews no lease.
     */
    public boolean isHeartbeatOverdue(Machine machine, MonotonicTime now) {
        MonotonicTime last =
                machine.lastAnsweredHeartbeatAt() == null
                        ? machine.knownSince().plus(LEADER_LOSS_ALLOWANCE)
                        : machine.lastAnsweredHeartbeatAt();
        return now.elapsedSince(last).compareTo(heartbeatTimeout()) > 0;
    }

    /**
     * For how many seconds nothing at all was received from a machine. This process may itself have
     * been paused for as long.
     */
    double silentSeconds(Machine machine, MonotonicTime now) {
        MonotonicTime last =
                machine.lastContactAt() == null ? machine.knownSince() : machine.lastContactAt();
        return now.secondsSince(last);
    }

    /** Records that the cloud's machine list arrived. */
    public void recordMachineList(MonotonicTime now) {
        lastMachineListAt = now;
    }

    /**
     * Whether the cloud's lists have left out a machine for longer than they can be stale, although
     * an earlier list or a heartbeat showed it; this is how a preempted machine looks. It suggests
     * that the machine is silent for a reason of its own: its tasks still count until their end is
     * proven. Without this check, stale heartbeats of machines long gone, the first that a new
     * leader received, made it resign as isolated.
     */
    boolean isMissingFromMachineList(Machine machine) {
        if (lastMachineListAt == null) {
            return false;
        }
        MonotonicTime shownAt =
                machine.lastListedAt() == null ? machine.knownSince() : machine.lastListedAt();
        Duration maxStaleness =
                deploymentSettings.cloudListingDelay().multipliedBy(LIST_LAG_FACTOR);
        return lastMachineListAt.elapsedSince(shownAt).compareTo(maxStaleness) > 0;
    }

    /**
     * Sends the query that {@link #evaluate} prepared, and resigns the leadership if a peer
     * receives the workers' heartbeats better. Takes the leader's lock; the caller does not hold
     * it.
     */
    public void queryPeersAndMaybeResign() {
        List<MachineId> queried;
        ResignationDecision decision;
        synchronized (leaderLock) {
            queried = peerQuery.takePending();
            decision = decideResignation();
        }
        if (!queried.isEmpty()) {
            CompletableFuture<Void> unusedRecorded =
                    peerGateway
                            .queryRecentHeartbeats(queried, PEER_HEARTBEAT_WINDOW)
                            .thenAccept(reports -> recordPeerReports(queried, reports));
        }
        if (decision.resigns()) {
            leadership.resign(decision.preferredSuccessor().orElse(null));
        }
    }

    /** Only answers that arrived since the leader became isolated count. */
    private ResignationDecision decideResignation() {
        if (isolatedSince == null || !peerQuery.hasReportsSince(isolatedSince)) {
            return ResignationDecision.KEEP_LEADERSHIP;
        }
        return LeaderReachability.decideResignation(
                loop.now().elapsedSince(isolatedSince),
                peerQuery.answeredQuerySize(),
                peerQuery.reports(),
                leadership.canResignWithoutSuccessor(RESIGNATION_RETRY_INTERVAL));
    }

    private void recordPeerReports(List<MachineId> queried, List<PeerReachabilityReport> reports) {
        synchronized (leaderLock) {
            peerQuery.recordReports(queried, reports, loop.now());
        }
    }

    /**
     * Whether no controller that could be asked received a silent machine's heartbeats either. If
     * no peer answers at all, the leader's own evidence decides; otherwise a machine would be paid
     * for as long as the other controllers are unreachable.
     */
    boolean isUnseenByAllPeers(Machine machine, MonotonicTime now) {
        return peerQuery.isUnseenByAllPeers(machine, now);
    }

    /**
     * When a peer last confirmed heartbeats from a machine that is silent here, or null if none
     * did.
     */
    MonotonicTime seenByPeerAt(Machine machine) {
        return peerQuery.seenByPeerAt(machine);
    }
}
