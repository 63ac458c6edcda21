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
 * whose heartbeats are overdue. Without it, a leader that loses only its network path to the
 * workers treats hundreds of healthy machines as failed, returns them to the cloud, and is refused
 * replacements.
 *
 * <p>All state is guarded by the leader's lock, the monitor of the {@link LeadershipContext}.
 * Callers hold that lock, except for callers of {@link #queryPeersAndMaybeResign}, which acquires
 * it to decide and sends its requests without holding it.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

    /** Factor on the heartbeat interval: heartbeats may arrive up to a quarter of it late. */
    private static final double HEARTBEAT_LATENESS_FACTOR = 1.25;

    /** Time after which a worker that lost its connection tries the next node. */
    private static final Duration RECONNECT_ALLOWANCE = Duration.ofSeconds(1);

    /**
     * Time that a worker waits for a leader that stopped without notice before it tries the next
     * node.
     */
    private static final Duration LEADER_LOSS_ALLOWANCE = Duration.ofSeconds(4);

    /**
     * Maximum age of a heartbeat at a peer for the peer to report the machine as seen. Workers
     * whose leader does not answer try another node every 5 s or less often; workers that a peer
     * redirects to the leader do not contact that peer again.
     */
    private static final Duration PEER_HEARTBEAT_WINDOW = Duration.ofSeconds(6);

    /**
     * Minimum time between two resignations without a known successor: about as long as a network
     * partition lasts.
     */
    private static final Duration RESIGNATION_RETRY_INTERVAL = Duration.ofSeconds(30);

    /**
     * Factor on the listing delay: a machine list is sometimes twice as stale as usual, and may
     * then be older than the list before it.
     */
    private static final int MAX_LISTING_DELAY_FACTOR = 2;

    /** The leader, whose monitor is the leader's lock. */
    private final Object leaderLock;

    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final EventLoop loop;
    private final PeerGateway peerGateway;
    private final Leadership leadership;
    private final MonotonicTime leadershipBeganAt;
    private final PeerHeartbeatQuery peerQuery = new PeerHeartbeatQuery();

    /** Time at which the last machine list from the cloud arrived, or null before the first. */
    private MonotonicTime lastMachineListAt;

    private Reachability reachability = Reachability.HEALTHY;

    /** Start of the current isolation, or null while the leader is not isolated. */
    private MonotonicTime isolatedSince;

    /**
     * Creates the detector of one leadership.
     *
     * @param leader the object whose monitor guards the cluster state and this detector
     * @param leadershipBeganAt when the leadership began
     */
    public FailureDetector(
            LeadershipContext leader,
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            EventLoop loop,
            PeerGateway peerGateway,
            Leadership leadership,
            MonotonicTime leadershipBeganAt) {
        this.leaderLock = leader;
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.loop = loop;
        this.peerGateway = peerGateway;
        this.leadership = leadership;
        this.leadershipBeganAt = leadershipBeganAt;
    }

    /** Returns the result of the last {@link #evaluate}, or {@code HEALTHY} before the first. */
    public Reachability reachability() {
        return reachability;
    }

    /**
     * Classifies the leader's reachability from the heartbeats of all machines, and prepares the
     * next query to the peers. {@link #queryPeersAndMaybeResign} acts on the result.
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

    /**
     * Whether the machines known only from recorded placements have had enough time to send this
     * leader a heartbeat.
     */
    private boolean areUnseenMachinesOverdue(MonotonicTime now) {
        return now.elapsedSince(leadershipBeganAt)
                        .compareTo(heartbeatTimeout().plus(LEADER_LOSS_ALLOWANCE))
                > 0;
    }

    private void updateReachability(int knownCount, int overdueCount, MonotonicTime now) {
        Reachability current = LeaderReachability.classify(knownCount, overdueCount);
        if (current != reachability) {
            LOG.info(
                    "leader reachability changed overdue_machines={} known_machines={}"
                            + " reachability={}",
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
     * Returns the seconds since anything was last received from a machine. This process itself may
     * have been paused for part or all of that time.
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
     * Whether the cloud's lists have omitted a machine for longer than they can be stale, although
     * an earlier list or a heartbeat showed it. A preempted machine is omitted in this way. Such a
     * machine is probably silent for a reason of its own, so its silence is no sign that the leader
     * is isolated; its tasks still count as running until their end is proven.
     *
     * <p>Without this check, a new leader resigns as isolated when the first heartbeats that it
     * receives are stale ones from machines that are long gone.
     */
    boolean isMissingFromMachineList(Machine machine) {
        if (lastMachineListAt == null) {
            return false;
        }
        MonotonicTime shownAt =
                machine.lastListedAt() == null ? machine.knownSince() : machine.lastListedAt();
        Duration maxStaleness =
                deploymentSettings.cloudListingDelay().multipliedBy(MAX_LISTING_DELAY_FACTOR);
        return lastMachineListAt.elapsedSince(shownAt).compareTo(maxStaleness) > 0;
    }

    /**
     * Sends the query that {@link #evaluate} prepared, and resigns the leadership if a peer
     * receives the workers' heartbeats better. Acquires the leader's lock; the caller must not hold
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
            CompletableFuture<?> unusedRecorded =
                    peerGateway
                            .queryRecentHeartbeats(queried, PEER_HEARTBEAT_WINDOW)
                            .exceptionally(failure -> List.of())
                            .thenAccept(reports -> recordPeerReports(queried, reports));
        }
        if (decision.resigns()) {
            leadership.resign(decision.preferredSuccessor().orElse(null));
        }
    }

    /**
     * Decides whether to resign. Peer reports from before the leader became isolated are ignored.
     */
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
     * Whether no peer that could be asked receives a silent machine's heartbeats either. If no peer
     * answers at all, the result is true and the leader decides on its own evidence: otherwise the
     * machine would be paid for until the other controllers are reachable again.
     */
    boolean isUnseenByAllPeers(Machine machine, MonotonicTime now) {
        return peerQuery.isUnseenByAllPeers(machine, now);
    }

    /**
     * Returns the time at which a peer last confirmed heartbeats from a machine that is silent
     * here, or null if none did.
     */
    MonotonicTime seenByPeerAt(Machine machine) {
        return peerQuery.seenByPeerAt(machine);
    }
}
