package org.meadowhollow.simulation;

import java.time.Duration;
import org.meadowhollow.storage.RecordKeys;

/** Faults of the key-value store and of the nodes' connections to it. */
final class StoreFaults {
    private static final int BRIEF_SERVICE_COUNT = 4;

    private StoreFaults() {}

    /** A fault that affects a share of the requests of one connection; share 0 ends it. */
    private interface ConnectionFault {
        void apply(FakeStoreConnection connection, double share, long seed);
    }

    static Runnable refuseNode(FaultTarget target) {
        target.connection().refuseRequests(true);
        return () -> target.connection().refuseRequests(false);
    }

    static Runnable outage(FaultTarget target) {
        target.cluster().store().setOutage(true);
        return () -> target.cluster().store().setOutage(false);
    }

    static Runnable delayCommits(FaultTarget target) {
        return injectIntoAllConnections(target, FakeStoreConnection::delayCommits);
    }

    static Runnable loseCommitResponses(FaultTarget target) {
        return injectIntoAllConnections(target, FakeStoreConnection::loseCommitResponses);
    }

    static Runnable loseResponses(FaultTarget target) {
        target.connection().loseResponses(true);
        return () -> target.connection().loseResponses(false);
    }

    static Runnable holdRequests(FaultTarget target) {
        target.connection().holdRequests(true);
        return () -> target.connection().holdRequests(false);
    }

    static Runnable failWatches(FaultTarget target) {
        target.connection().failWatches(true);
        return () -> target.connection().failWatches(false);
    }

    static Runnable hideTaskRecords(FaultTarget target) {
        hideOnAllConnections(target, RecordKeys.TASK_PREFIX);
        return () -> hideOnAllConnections(target, "/");
    }

    private static void hideOnAllConnections(FaultTarget target, String prefix) {
        target.forEachNode((cluster, node) -> cluster.storeConnection(node).hidePrefix(prefix));
    }

    static Runnable limitWriteRate(FaultTarget target) {
        target.cluster().store().limitWriteRate(4 + target.random().nextInt(12));
        return () -> target.cluster().store().limitWriteRate(0);
    }

    static Runnable slowDown(FaultTarget target) {
        target.cluster().store().setLatency(Duration.ofMillis(200 + target.random().nextInt(1100)));
        return () -> target.cluster().store().setLatency(null);
    }

    /**
     * Makes the store refuse a node, except for several moments in which it serves the node; the
     * watches of the node fail throughout.
     */
    static Runnable serveBriefly(FaultTarget target) {
        FakeStoreConnection connection = target.connection();
        SimulatedCluster cluster = target.cluster();
        connection.failWatches(true);
        for (int repetition = 0; repetition < BRIEF_SERVICE_COUNT; repetition++) {
            connection.refuseRequests(true);
            cluster.runSeconds(1 + target.random().nextInt(3));
            connection.refuseRequests(false);
            cluster.run(Duration.ofMillis(250 + target.random().nextInt(750)));
        }
        connection.refuseRequests(true);
        return () -> {
            connection.refuseRequests(false);
            connection.failWatches(false);
        };
    }

    private static Runnable injectIntoAllConnections(FaultTarget target, ConnectionFault fault) {
        double share = target.randomShare();
        target.forEachNode(
                (cluster, node) ->
                        fault.apply(
                                cluster.storeConnection(node), share, target.random().nextLong()));
        return () ->
                target.forEachNode(
                        (cluster, node) -> fault.apply(cluster.storeConnection(node), 0, 0));
    }
}
