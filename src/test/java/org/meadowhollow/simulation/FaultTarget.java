package org.meadowhollow.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ObjIntConsumer;

/**
 * The target of a fault.
 *
 * @param random draws the details of the fault
 * @param node the node that the fault affects, if it affects a single one
 * @param connection the connection of that node to the store when the fault began; a restarted node
 *     has another one
 */
record FaultTarget(
        SimulatedCluster cluster, Random random, int node, FakeStoreConnection connection) {
    private static final int MAX_MACHINES = 3;

    /**
     * Chooses the leader in two of three cases, if there is one, and a random node otherwise, which
     * may be the leader too.
     */
    static FaultTarget choose(SimulatedCluster cluster, Random random) {
        int leader = cluster.leader();
        boolean atLeader = leader >= 0 && random.nextInt(3) > 0;
        int node = atLeader ? leader : random.nextInt(cluster.nodeCount());
        return new FaultTarget(cluster, random, node, cluster.storeConnection(node));
    }

    /** Returns an end action that does nothing, for a fault that is over once it was injected. */
    static Runnable noEndAction() {
        return () -> {};
    }

    /** Applies an action to each node's index. */
    void forEachNode(ObjIntConsumer<SimulatedCluster> action) {
        for (int index = 0; index < cluster.nodeCount(); index++) {
            action.accept(cluster, index);
        }
    }

    String randomZone() {
        return random.nextBoolean() ? "a" : "b";
    }

    /**
     * Returns a random share, from 0.2 to 0.8, of the messages or requests that a fault affects.
     */
    double randomShare() {
        return 0.2 + 0.6 * random.nextDouble();
    }

    /** Chooses up to three different workers. */
    List<FakeWorker> randomWorkers() {
        List<FakeWorker> all = new ArrayList<>(cluster.workers());
        List<FakeWorker> chosen = new ArrayList<>();
        for (int index = 0; index < MAX_MACHINES && !all.isEmpty(); index++) {
            chosen.add(all.remove(random.nextInt(all.size())));
        }
        return chosen;
    }
}
