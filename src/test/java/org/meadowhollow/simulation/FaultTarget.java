package org.meadowhollow.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ObjIntConsumer;

/**
 * Where a fault is injected.
 *
 * @param random draws the details of the fault
 * @param node that the fault affects, if it affects a single one
 * @param connection of that node to the store as the fault began; a restarted node has another one
 */
record FaultTarget(
        SimulatedCluster cluster, Random random, int node, FakeStoreConnection connection) {
    private static final int MAX_MACHINES = 3;

    /** Chooses the leader in at least two of three cases, and any node otherwise. */
    static FaultTarget choose(SimulatedCluster cluster, Random random) {
        int leader = cluster.leader();
        boolean atLeader = leader >= 0 && random.nextInt(3) > 0;
        int node = atLeader ? leader : random.nextInt(cluster.nodeCount());
        return new FaultTarget(cluster, random, node, cluster.storeConnection(node));
    }

    /** What ends a fault that is over as soon as it was injected. */
    static Runnable nothingToEnd() {
        return () -> {};
    }

    /** Applies an action to each node's index. */
    void forEachNode(ObjIntConsumer<SimulatedCluster> action) {
        for (int each = 0; each < cluster.nodeCount(); each++) {
            action.accept(cluster, each);
        }
    }

    String randomZone() {
        return random.nextBoolean() ? "a" : "b";
    }

    /** A share from 0.2 to 0.8 of the messages or requests that a fault affects. */
    double randomShare() {
        return 0.2 + 0.6 * random.nextDouble();
    }

    /** Up to three different workers. */
    List<FakeWorker> randomWorkers() {
        List<FakeWorker> all = new ArrayList<>(cluster.workers());
        List<FakeWorker> chosen = new ArrayList<>();
        for (int at = 0; at < MAX_MACHINES && !all.isEmpty(); at++) {
            chosen.add(all.remove(random.nextInt(all.size())));
        }
        return chosen;
    }
}
