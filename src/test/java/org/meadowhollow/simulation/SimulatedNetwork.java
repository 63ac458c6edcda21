package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.meadowhollow.coordination.ControllerNode;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.model.Heartbeat;

/**
 * Delivers heartbeats, and keeps the faults of messages between nodes and workers: duplicates,
 * delays, and heartbeats and commands that are held back. Each fault draws from a random source of
 * its own. Not thread-safe: everything runs on the virtual event loop.
 */
final class SimulatedNetwork {
    /** How much later a duplicate arrives. */
    private static final List<Duration> DUPLICATE_DELAYS =
            List.of(Duration.ofMillis(100), Duration.ofSeconds(20), Duration.ofMinutes(4));

    /** One message in so many is duplicated. */
    private static final int MESSAGES_PER_DUPLICATE = 4;

    private static final int MIN_LATE_HEARTBEAT_MILLIS = 2000;
    private static final int LATE_HEARTBEAT_RANGE_MILLIS = 40_000;
    private static final int MAX_KEPT_HEARTBEATS = 1000;

    private final SimulatedCluster cluster;

    /** Null unless messages are duplicated. */
    private Random duplicateRandom;

    /** Null unless late copies of heartbeats arrive. */
    private Random lateRandom;

    private double lateShare;

    /** Null unless heartbeats are kept for the next leader. */
    private Random keepRandom;

    private double keptShare;
    private final List<Heartbeat> keptHeartbeats = new ArrayList<>();
    private int deliveredToNextLeaderCount;

    /** Null unless direct commands are held back. */
    private List<Runnable> heldCommands;

    private boolean arePeersCut;
    private UnaryOperator<RiskTableDelta> riskTableAlteration = UnaryOperator.identity();
    private Duration riskTableDelay = Duration.ofMillis(5);
    private int directMessageCount;
    private int heartbeatCount;

    SimulatedNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    // ---- duplicates ----

    /**
     * From now on any message may arrive once more: a moment, twenty seconds or four minutes later,
     * out of order, at whoever has its receiver's name by then; nobody waits for the answer.
     */
    void duplicateMessages(long seed) {
        duplicateRandom = new Random(seed);
    }

    /** Ends the duplication; duplicates that are under way still arrive. */
    void stopDuplicatingMessages() {
        duplicateRandom = null;
    }

    /** Schedules a second delivery of a message, if messages are duplicated and this one is. */
    void maybeDuplicate(Runnable delivery) {
        if (duplicateRandom != null && duplicateRandom.nextInt(MESSAGES_PER_DUPLICATE) == 0) {
            Duration delay = DUPLICATE_DELAYS.get(duplicateRandom.nextInt(DUPLICATE_DELAYS.size()));
            cluster.loop().schedule(delay, delivery);
        }
    }

    // ---- heartbeats ----

    /** Delivers a heartbeat to a node; null if its connection is refused. */
    CompletableFuture<HeartbeatResponse> deliverHeartbeat(int index, Heartbeat heartbeat) {
        SimulatedNode node = cluster.nodes().get(index);
        if (!node.isRunning() && !node.isPoweredOff()) {
            return null;
        }
        CompletableFuture<HeartbeatResponse> answer = new CompletableFuture<>();
        if (!node.isRunning() || node.losesHeartbeats() || !node.reachesZone(heartbeat.zone())) {
            return answer;
        }
        heartbeatCount++;
        keepForNextLeader(heartbeat);
        duplicateLate(node, heartbeat);
        maybeDuplicate(() -> deliverWithoutAnswer(node, heartbeat));
        ControllerNode process = node.controller();
        node.runWhenResumed(
                () -> {
                    CompletableFuture<Void> unused =
                            process.handleHeartbeat(heartbeat)
                                    .thenAccept(
                                            response -> {
                                                if (node.controller() == process
                                                        && node.reachesZone(heartbeat.zone())) {
                                                    answer.complete(response);
                                                }
                                            });
                });
        return answer;
    }

    private static boolean deliverWithoutAnswer(SimulatedNode node, Heartbeat heartbeat) {
        if (!node.isResponsive()) {
            return false;
        }
        CompletableFuture<HeartbeatResponse> unused = node.controller().handleHeartbeat(heartbeat);
        return true;
    }

    private void keepForNextLeader(Heartbeat heartbeat) {
        if (keepRandom != null
                && keepRandom.nextDouble() < keptShare
                && keptHeartbeats.size() < MAX_KEPT_HEARTBEATS) {
            keptHeartbeats.add(heartbeat);
        }
    }

    private void duplicateLate(SimulatedNode node, Heartbeat heartbeat) {
        if (lateRandom != null && lateRandom.nextDouble() < lateShare) {
            Duration delay =
                    Duration.ofMillis(
                            MIN_LATE_HEARTBEAT_MILLIS
                                    + lateRandom.nextInt(LATE_HEARTBEAT_RANGE_MILLIS));
            cluster.loop().schedule(delay, () -> deliverWithoutAnswer(node, heartbeat));
        }
    }

    /**
     * A copy of a share of the heartbeats arrives again, from 2 s to well over a lease later; share
     * 0 ends it.
     */
    void duplicateHeartbeatsLate(double share, long seed) {
        lateRandom = share == 0 ? null : new Random(seed);
        lateShare = share;
    }

    /**
     * A copy of a share of the heartbeats is kept until the next leader begins, and reaches every
     * node then; share 0 ends it.
     */
    void keepHeartbeatsForNextLeader(double share, long seed) {
        keepRandom = share == 0 ? null : new Random(seed);
        keptShare = share;
    }

    /** Keeps a copy of a worker's current heartbeat for the next leader. */
    void keepHeartbeatForNextLeader(FakeWorker worker) {
        keptHeartbeats.add(worker.snapshot());
    }

    /** Delivers the kept heartbeats to every node, as a leader begins. */
    void deliverKeptHeartbeats() {
        List<Heartbeat> due = List.copyOf(keptHeartbeats);
        keptHeartbeats.clear();
        for (Heartbeat heartbeat : due) {
            for (SimulatedNode node : cluster.nodes()) {
                if (deliverWithoutAnswer(node, heartbeat)) {
                    deliveredToNextLeaderCount++;
                }
            }
        }
    }

    /** Kept heartbeats that reached nodes as a leader began. */
    int deliveredToNextLeaderCount() {
        return deliveredToNextLeaderCount;
    }

    /** Heartbeats that reached a node since the last call. */
    int takeHeartbeatCount() {
        int taken = heartbeatCount;
        heartbeatCount = 0;
        return taken;
    }

    // ---- direct commands ----

    /**
     * Direct commands are held back on their way, and executed when this ends, whoever sent them.
     */
    void holdCommands(boolean hold) {
        List<Runnable> due = heldCommands;
        heldCommands = hold ? new ArrayList<>() : null;
        if (due != null) {
            due.forEach(Runnable::run);
        }
    }

    boolean holdsCommands() {
        return heldCommands != null;
    }

    void hold(Runnable delivery) {
        heldCommands.add(delivery);
    }

    int heldCommandCount() {
        return heldCommands.size();
    }

    void countDirectMessage() {
        directMessageCount++;
    }

    /** Messages that nodes sent directly to workers since the last call. */
    int takeDirectMessageCount() {
        int taken = directMessageCount;
        directMessageCount = 0;
        return taken;
    }

    // ---- messages between nodes ----

    /** All messages between the nodes are lost. */
    void cutPeers(boolean cut) {
        arePeersCut = cut;
    }

    boolean arePeersCut() {
        return arePeersCut;
    }

    /** Alters and delays what a leader tells the others of its risk tables. */
    void interceptRiskTables(UnaryOperator<RiskTableDelta> alteration, Duration delay) {
        riskTableAlteration = alteration;
        riskTableDelay = delay;
    }

    RiskTableDelta alterRiskTables(RiskTableDelta delta) {
        return riskTableAlteration.apply(delta);
    }

    Duration riskTableDelay() {
        return riskTableDelay;
    }
}
