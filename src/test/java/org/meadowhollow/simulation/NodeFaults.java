package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.Random;
import org.meadowhollow.model.FencingToken;

/** Faults of controller nodes, and of the network between them and to the workers. */
final class NodeFaults {
    private static final int QUICK_RESTART_COUNT = 3;
    private static final int LEADER_RESTART_COUNT = 5;

    private NodeFaults() {}

    /** Cuts a node from the store and the other nodes. */
    static Runnable partition(FaultTarget target) {
        target.cluster().partition(target.node(), true);
        return () -> target.cluster().partition(target.node(), false);
    }

    static Runnable crash(FaultTarget target) {
        target.cluster().resume(target.node());
        target.cluster().crash(target.node());
        return () -> target.cluster().restart(target.node());
    }

    static Runnable crashAllRestartOne(FaultTarget target) {
        crashAll(target);
        target.cluster().restart(target.node());
        return target.cluster()::restartAll;
    }

    static Runnable crashAllForLongerThanLease(FaultTarget target) {
        crashAll(target);
        target.cluster().runSeconds(19 + target.random().nextInt(20));
        target.cluster().restartAll();
        return FaultTarget.noEndAction();
    }

    private static void crashAll(FaultTarget target) {
        target.forEachNode(SimulatedCluster::resume);
        target.cluster().crashAll();
    }

    static Runnable restartQuickly(FaultTarget target) {
        for (int restart = 0; restart < QUICK_RESTART_COUNT; restart++) {
            Duration delay = Duration.ofMillis(100 + target.random().nextInt(900));
            target.cluster().restartAfter(target.node(), delay);
            target.cluster().run(Duration.ofMillis(500));
        }
        return FaultTarget.noEndAction();
    }

    static Runnable restartConsecutiveLeaders(FaultTarget target) {
        SimulatedCluster cluster = target.cluster();
        Random random = target.random();
        for (int restart = 0; restart < LEADER_RESTART_COUNT; restart++) {
            int leader = cluster.leader();
            if (leader >= 0) {
                cluster.restartAfter(leader, Duration.ofMillis(100 + random.nextInt(6000)));
            }
            cluster.runSeconds(3 + random.nextInt(9));
        }
        return FaultTarget.noEndAction();
    }

    static Runnable pause(FaultTarget target) {
        target.cluster().pause(target.node());
        return () -> target.cluster().resume(target.node());
    }

    static Runnable delayTimers(FaultTarget target) {
        target.cluster()
                .delayTimers(target.node(), Duration.ofMillis(500 + target.random().nextInt(4000)));
        return () -> target.cluster().delayTimers(target.node(), Duration.ZERO);
    }

    static Runnable cutFromZone(FaultTarget target) {
        target.cluster().cutFromZone(target.node(), target.randomZone(), true);
        return () -> target.cluster().cutFromWorkers(target.node(), false);
    }

    static Runnable cutPeers(FaultTarget target) {
        target.cluster().network().cutPeers(true);
        return () -> target.cluster().network().cutPeers(false);
    }

    static Runnable handOver(FaultTarget target) {
        if (target.cluster().node(target.node()) != null) {
            target.cluster().node(target.node()).handOver();
        }
        return FaultTarget.noEndAction();
    }

    /** Announces a leader that does not exist, with a higher fencing token, to the leader. */
    static Runnable announceFalseLeader(FaultTarget target) {
        SimulatedCluster cluster = target.cluster();
        int leader = cluster.leader();
        if (leader >= 0 && cluster.node(leader) != null) {
            FencingToken higher = new FencingToken(cluster.fencingToken() + 1);
            String name = "n" + target.random().nextInt(cluster.nodeCount());
            cluster.node(leader).observeLeader(higher, name);
        }
        return FaultTarget.noEndAction();
    }

    /**
     * Partitions a node together with the workers of one zone: they reach one another, and nothing
     * else.
     */
    static Runnable partitionWithZone(FaultTarget target) {
        String zone = target.randomZone();
        String otherZone = zone.equals("a") ? "b" : "a";
        int isolated = target.node();
        target.cluster().partition(isolated, true);
        target.forEachNode(
                (cluster, node) -> {
                    cluster.cutFromZone(node, zone, node != isolated);
                    cluster.cutFromZone(node, otherZone, node == isolated);
                });
        return () -> {
            target.cluster().partition(isolated, false);
            target.forEachNode((cluster, node) -> cluster.cutFromWorkers(node, false));
        };
    }
}
