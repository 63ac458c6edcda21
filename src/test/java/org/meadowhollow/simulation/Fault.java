package org.meadowhollow.simulation;

import java.util.EnumSet;
import java.util.List;
import java.util.Random;

/**
 * A fault that lasts until a test ends it, for tests in which faults overlap. Each is implemented
 * in {@link NodeFaults}, {@link StoreFaults}, {@link MachineFaults} or {@link UserFaults}. Random
 * seeds choose among the constants by their position: the order must not change.
 */
enum Fault {
    STORE_REFUSES_NODE(StoreFaults::refuseNode),
    STORE_OUTAGE(StoreFaults::outage),
    NODE_PARTITIONED(NodeFaults::partition),
    DELAYED_COMMITS(StoreFaults::delayCommits),
    LATE_DUPLICATE_HEARTBEATS(MachineFaults::duplicateHeartbeatsLate),
    MACHINES_LOSE_INCOMING(MachineFaults::loseIncoming),
    MACHINES_HUNG(MachineFaults::hang),
    NODE_CRASHED(NodeFaults::crash),
    ALL_CRASHED_ONE_RESTARTED(NodeFaults::crashAllRestartOne),
    NODE_RESTARTED_QUICKLY(NodeFaults::restartQuickly),
    NODE_PAUSED(NodeFaults::pause),
    STORE_RESPONSES_LOST(StoreFaults::loseResponses),
    STORE_REQUESTS_HELD(StoreFaults::holdRequests),
    NODE_CUT_FROM_ZONE(NodeFaults::cutFromZone),
    WATCHES_FAIL(StoreFaults::failWatches),
    TASK_RECORDS_HIDDEN(StoreFaults::hideTaskRecords),
    TIMERS_DELAYED(NodeFaults::delayTimers),
    PEERS_CUT(NodeFaults::cutPeers),
    HANDOVER(NodeFaults::handOver),
    MACHINES_REBOOT(MachineFaults::reboot),
    STORE_SERVES_BRIEFLY(StoreFaults::serveBriefly),
    MACHINES_CANNOT_CONNECT(MachineFaults::blockOutgoingConnections),
    ZONE_CANNOT_CONNECT(MachineFaults::blockOutgoingConnectionsOfZone),
    COMMIT_RESPONSES_LOST(StoreFaults::loseCommitResponses),
    HEARTBEATS_KEPT_FOR_NEXT_LEADER(MachineFaults::keepHeartbeatsForNextLeader),
    JOBS_CANCELLED_DURING_HANG(UserFaults::cancelDuringHang),
    JOBS_CANCELLED_AT_COMPLETION(UserFaults::cancelAtCompletion),
    UNUSUAL_REQUESTS(UserFaults::sendUnusualRequests),
    POLLS_AFTER_ANSWERS(UserFaults::pollAllAfterAnswers),
    QUICK_BOOTS(MachineFaults::bootQuickly),
    FALSE_LEADER_ANNOUNCEMENT(NodeFaults::announceFalseLeader),
    ALL_DOWN_LONGER_THAN_LEASE(NodeFaults::crashAllForLongerThanLease),
    ZONE_PARTITIONED_WITH_NODE(NodeFaults::partitionWithZone),
    CONSECUTIVE_LEADER_RESTARTS(NodeFaults::restartConsecutiveLeaders),
    CLOUD_OUTAGE(MachineFaults::failCloud),
    STORE_RATE_LIMITED(StoreFaults::limitWriteRate),
    STORE_SLOW(StoreFaults::slowDown);

    private static final List<Fault> BASIC =
            List.copyOf(EnumSet.range(STORE_REFUSES_NODE, STORE_SERVES_BRIEFLY));
    private static final List<Fault> ADDITIONAL =
            List.copyOf(EnumSet.range(MACHINES_CANNOT_CONNECT, STORE_SLOW));

    /** Begins a fault. */
    private interface Injection {
        /**
         * @return an action that ends the fault
         */
        Runnable begin(FaultTarget target);
    }

    // Each injection is a reference to a static method, which has no state.
    @SuppressWarnings("ImmutableEnumChecker")
    private final Injection injection;

    Fault(Injection injection) {
        this.injection = injection;
    }

    /**
     * Begins a random basic fault, in most cases at the leader.
     *
     * @return an action that ends the fault
     */
    static Runnable injectBasic(SimulatedCluster cluster, Random random) {
        return injectOneOf(BASIC, cluster, random);
    }

    /**
     * Begins a random additional fault, in most cases at the leader.
     *
     * @return an action that ends the fault
     */
    static Runnable injectAdditional(SimulatedCluster cluster, Random random) {
        return injectOneOf(ADDITIONAL, cluster, random);
    }

    private static Runnable injectOneOf(
            List<Fault> faults, SimulatedCluster cluster, Random random) {
        Fault fault = faults.get(random.nextInt(faults.size()));
        return fault.injection.begin(FaultTarget.choose(cluster, random));
    }
}
