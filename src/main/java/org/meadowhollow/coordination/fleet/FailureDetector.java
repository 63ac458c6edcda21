package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.heartbeat.LeaderReachability;
import org.meadowhollow.coordination.heartbeat.LeaderReachability.Reachability;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How well the leader hears its workers, and what the other controllers say of those that it does
 * not hear. A leader whose network failed towards its workers alone took hundreds of healthy
 * machines for silent, returned them to the cloud and was refused others. Guarded by the leader's
 * lock.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

    /**
     * Reports come up to a quarter late, and a worker that lost its connection turns to the next
     * node a second later.
     */
    private static final double HEARTBEAT_LATENESS_FACTOR = 1.25;

    private static final Duration RECONNECT_ALLOWANCE = Duration.ofSeconds(1);

    /**
     * What a worker of a leader that ended without a word takes before it turns to the next node.
     */
    private static final Duration LEADER_LOSS_ALLOWANCE = Duration.ofSeconds(4);

    /**
     * Machines named in one question: a few kilobytes, and more than a share below doubt at a
     * thousand machines.
     */
    private static final int MAX_MACHINES_PER_QUERY = 300;

    /** How long an answer about a machine holds, and how often it is asked for again. */
    private static final Duration PEER_QUERY_INTERVAL = Duration.ofSeconds(3);

    /**
     * Workers whose leader is silent come to another node every 5 s and more; those sent back do
     * not come again.
     */
    private static final Duration PEER_HEARTBEAT_WINDOW = Duration.ofSeconds(6);

    /**
     * Giving up without knowing of a node that hears is not tried again for this long; a cut lasts
     * about as long.
     */
    private static final Duration RESIGNATION_RETRY_INTERVAL = Duration.ofSeconds(30);

    /** A list is at times twice as late as usual, and so may be older than the one before it. */
    private static final int LIST_LAG_FACTOR = 2;

    /** A question to the other controllers, decided under the lock and sent outside it. */
    private record PeerQuery(List<MachineId> machines) {}

    private final LeadershipContext leader;
    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final EventLoop loop;
    private final PeerGateway peerGateway;
    private final Leadership leadership;
    private final MonotonicTime leadershipBeganAt;
    private final Map<MachineId, MonotonicTime> queriedAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> unseenByPeersAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> seenByPeerAt = new HashMap<>();
    private MonotonicTime lastMachineListAt;
    private Reachability reachability = Reachability.HEALTHY;
    private MonotonicTime isolatedSince;
    private PeerQuery pendingQuery;
    private boolean queryInFlight;
    private int answeredQuerySize;
    private List<PeerReachabilityReport> peerReports = List.of();
    private MonotonicTime peerReportsAt;

    public FailureDetector(
            LeadershipContext leader,
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            EventLoop loop,
            PeerGateway peerGateway,
            Leadership leadership,
            MonotonicTime begunAt) {
        this.leader = leader;
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.loop = loop;
        this.peerGateway = peerGateway;
        this.leadership = leadership;
        this.leadershipBeganAt = begunAt;
    }

    public Reachability reachability() {
        return reachability;
    }

    /**
     * One look at all machines. What follows from it is done by {@link #queryPeersAndMaybeResign}.
     */
    public void evaluate(MonotonicTime now) {
        List<Machine> late = new ArrayList<>();
        int known = clusterState.placementsOnUnseenMachines().size();
        boolean allDue =
                now.elapsedSince(leadershipBeganAt)
                                .compareTo(heartbeatTimeout().plus(LEADER_LOSS_ALLOWANCE))
                        > 0;
        int lateCount = allDue ? clusterState.placementsOnUnseenMachines().size() : 0;
        for (Machine machine : clusterState.machines().values()) {
            if (machine.releasing()) {
                continue;
            }
            boolean isLate = isHeartbeatOverdue(machine, now);
            if (isLate) {
                late.add(machine);
            }
            if (!isLate || !isMissingFromMachineList(machine)) {
                known++;
                lateCount += isLate ? 1 : 0;
            }
        }
        updateReachability(LeaderReachability.classify(known, lateCount), known, lateCount, now);
        Set<MachineId> asked = new HashSet<>();
        late.forEach(machine -> asked.add(machine.id()));
        queriedAt.keySet().retainAll(asked);
        unseenByPeersAt.keySet().retainAll(asked);
        seenByPeerAt.keySet().retainAll(asked);
        pendingQuery = prepareQuery(late, now);
    }

    private void updateReachability(Reachability heard, int known, int late, MonotonicTime now) {
        if (heard != reachability) {
            LOG.info(
                    "{} of {} machines are late with their reports: hearing is {}",
                    late,
                    known,
                    heard);
        }
        reachability = heard;
        if (heard != Reachability.ISOLATED) {
            isolatedSince = null;
        } else if (isolatedSince == null) {
            isolatedSince = now;
        }
    }

    private Duration heartbeatTimeout() {
        return Duration.ofNanos(
                        (long)
                                (deploymentSettings.heartbeatInterval().toNanos()
                                        * HEARTBEAT_LATENESS_FACTOR))
                .plus(RECONNECT_ALLOWANCE);
    }

    /**
     * Whether a machine's report is overdue; what it answers directly shows that it lives, and
     * renews no lease.
     */
    public boolean isHeartbeatOverdue(Machine machine, MonotonicTime now) {
        MonotonicTime last =
                machine.lastAnsweredHeartbeatAt() == null
                        ? machine.knownSince().plus(LEADER_LOSS_ALLOWANCE)
                        : machine.lastAnsweredHeartbeatAt();
        return now.elapsedSince(last).compareTo(heartbeatTimeout()) > 0;
    }

    /**
     * How long nothing at all was heard of a machine, in seconds; so long as this process may have
     * stood still itself.
     */
    double silentSeconds(Machine machine, MonotonicTime now) {
        MonotonicTime last =
                machine.lastContactAt() == null ? machine.knownSince() : machine.lastContactAt();
        return now.secondsSince(last);
    }

    /** The cloud has given a list. */
    public void recordMachineList(MonotonicTime now) {
        lastMachineListAt = now;
    }

    /**
     * Whether the cloud has left out a machine that it listed before, or that a report has shown,
     * for longer than its lists are late, as it does with one that it took away. A hint that its
     * silence is its own: what was on it still counts until that is proven. Old reports of machines
     * long gone, the first that a new leader heard, had it give its lease up as deaf.
     */
    boolean isMissingFromMachineList(Machine machine) {
        MonotonicTime shownAt =
                machine.lastListedAt() == null ? machine.knownSince() : machine.lastListedAt();
        return lastMachineListAt != null
                && lastMachineListAt
                                .elapsedSince(shownAt)
                                .compareTo(
                                        deploymentSettings
                                                .cloudListingDelay()
                                                .multipliedBy(LIST_LAG_FACTOR))
                        > 0;
    }

    /**
     * The longest silent go first: those may be returned next, and what others say of them decides.
     */
    private PeerQuery prepareQuery(List<Machine> late, MonotonicTime now) {
        if (queryInFlight || late.isEmpty()) {
            return null;
        }
        List<MachineId> machines =
                late.stream()
                        .filter(machine -> isQueryDue(queriedAt.get(machine.id()), now))
                        .sorted(
                                Comparator.comparingDouble(
                                                (Machine machine) -> -silentSeconds(machine, now))
                                        .thenComparing(Machine::id))
                        .limit(MAX_MACHINES_PER_QUERY)
                        .map(Machine::id)
                        .toList();
        if (machines.isEmpty()) {
            return null;
        }
        machines.forEach(machine -> queriedAt.put(machine, now));
        queryInFlight = true;
        return new PeerQuery(machines);
    }

    private static boolean isQueryDue(MonotonicTime at, MonotonicTime now) {
        return at == null || now.elapsedSince(at).compareTo(PEER_QUERY_INTERVAL) >= 0;
    }

    /**
     * Asks what the round found worth asking, and gives the lease up if others hear better. Outside
     * the lock.
     */
    public void queryPeersAndMaybeResign() {
        PeerQuery next;
        LeaderReachability.ResignationDecision resignationDecision = null;
        synchronized (leader) {
            next = pendingQuery;
            pendingQuery = null;
            if (isolatedSince != null
                    && peerReportsAt != null
                    && !peerReportsAt.isBefore(isolatedSince)) {
                MonotonicTime now = loop.now();
                resignationDecision =
                        LeaderReachability.decideResignation(
                                now.elapsedSince(isolatedSince),
                                answeredQuerySize,
                                peerReports,
                                leadership.canResignWithoutSuccessor(RESIGNATION_RETRY_INTERVAL));
            }
        }
        if (next != null) {
            peerGateway
                    .queryRecentHeartbeats(next.machines(), PEER_HEARTBEAT_WINDOW)
                    .thenAccept(given -> recordPeerReports(next, given));
        }
        if (resignationDecision != null && resignationDecision.resigns()) {
            leadership.resign(resignationDecision.preferredSuccessor());
        }
    }

    private void recordPeerReports(PeerQuery asked, List<PeerReachabilityReport> given) {
        synchronized (leader) {
            MonotonicTime now = loop.now();
            queryInFlight = false;
            peerReports = given;
            peerReportsAt = now;
            answeredQuerySize = asked.machines().size();
            Set<MachineId> heard = new HashSet<>();
            given.forEach(each -> heard.addAll(each.recentlyHeard()));
            for (MachineId machine : asked.machines()) {
                if (!queriedAt.containsKey(machine)) {
                    // Heard of in the meantime.
                    continue;
                }
                if (heard.contains(machine)) {
                    seenByPeerAt.put(machine, now);
                    unseenByPeersAt.remove(machine);
                } else {
                    unseenByPeersAt.put(machine, now);
                }
            }
        }
    }

    /**
     * Whether nobody who could be asked has heard a silent machine either. Without an answer from
     * anybody the leader's own evidence has to do, or a machine would be paid for as long as the
     * other controllers are out of reach.
     */
    boolean isUnseenByAllPeers(Machine machine, MonotonicTime now) {
        MonotonicTime at = unseenByPeersAt.get(machine.id());
        return at != null
                && now.elapsedSince(at).compareTo(PEER_QUERY_INTERVAL.plus(PEER_QUERY_INTERVAL))
                        <= 0;
    }

    /** When another controller last heard a machine that is silent here, or null. */
    MonotonicTime seenByPeerAt(Machine machine) {
        return seenByPeerAt.get(machine.id());
    }
}
