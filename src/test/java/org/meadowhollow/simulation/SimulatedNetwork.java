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
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.WorkerCommand;

/**
 * Delivers heartbeats, and holds the faults of messages between nodes and workers: duplicates,
 * delays, and heartbeats and commands that are held back. Each fault draws from its own random
 * source. Not thread-safe: everything runs on the virtual event loop.
 */
final class SimulatedNetwork {
    /** Delays after which a duplicate arrives. */
    private static final List<Duration> DUPLICATE_DELAYS =
            List.of(Duration.ofMillis(100), Duration.ofSeconds(20), Duration.ofMinutes(4));

    /** One in this many messages is duplicated, on average. */
    private static final int MESSAGES_PER_DUPLICATE = 4;

    private static final int MIN_LATE_HEARTBEAT_MILLIS = 2000;
    private static final int LATE_HEARTBEAT_RANGE_MILLIS = 40_000;
    private static final int MAX_KEPT_HEARTBEATS = 1000;

    /** Maximum delay of a heartbeat response: below the 4 s after which workers drop it. */
    private static final Duration MAX_RESPONSE_DELAY = Duration.ofMillis(3900);

    private static final Duration MAX_REQUEST_DELAY = Duration.ofMillis(1500);

    /** Maximum delay of a direct command and of its answer, each below the caller's timeout. */
    private static final Duration MAX_COMMAND_DELAY = Duration.ofMillis(1400);

    private final SimulatedCluster cluster;

    /** Chooses the messages that are duplicated; null if none are. */
    private Random duplicateRandom;

    /** Chooses the heartbeats of which a late copy arrives; null if none do. */
    private Random lateDuplicateRandom;

    private double lateDuplicateShare;

    /** Chooses the heartbeats that are kept for the next leader; null if none are. */
    private Random keepRandom;

    private double keptShare;
    private final List<Heartbeat> keptHeartbeats = new ArrayList<>();
    private int deliveredToNextLeaderCount;

    private final RandomDelays requestDelays = new RandomDelays(MAX_REQUEST_DELAY);
    private final RandomDelays responseDelays = new RandomDelays(MAX_RESPONSE_DELAY);
    private final RandomDelays commandDelays = new RandomDelays(MAX_COMMAND_DELAY);

    /** The machine whose heartbeat responses are all delayed; null if there is none. */
    private MachineId delayedMachine;

    /** The delay of the next response that contains a start; null if it is not delayed. */
    private Duration startDelay;

    private int heldStartCount;

    /** Direct commands that are held back; null if they are delivered normally. */
    private List<Runnable> heldCommands;

    /** When copies of messages that were carried out are delivered; empty if there are none. */
    private List<Duration> copyDelays = List.of();

    private int copiedDirectCommandCount;
    private int copiedStartCount;

    private boolean arePeersCut;
    private UnaryOperator<RiskTableDelta> riskTableAlteration = UnaryOperator.identity();
    private Duration riskTableDelay = Duration.ofMillis(5);
    private int directMessageCount;
    private int heartbeatCount;
    private int delayedResponseCount;

    SimulatedNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    // ---- duplicates ----

    /**
     * Duplicates a share of all messages from now on. A duplicate arrives 100 ms, twenty seconds or
     * four minutes later, out of order, at the process that then has its receiver's name, and
     * nobody waits for its answer.
     */
    void duplicateMessages(long seed) {
        duplicateRandom = new Random(seed);
    }

    /** Ends the duplication; duplicates that are on their way still arrive. */
    void stopDuplicatingMessages() {
        duplicateRandom = null;
    }

    /** Schedules a second delivery of a message, if this message is chosen for duplication. */
    void maybeDuplicate(Runnable delivery) {
        if (duplicateRandom != null && duplicateRandom.nextInt(MESSAGES_PER_DUPLICATE) == 0) {
            Duration delay = DUPLICATE_DELAYS.get(duplicateRandom.nextInt(DUPLICATE_DELAYS.size()));
            cluster.loop().schedule(delay, delivery);
        }
    }

    /**
     * Delivers each message between nodes and workers again after each of these delays, once it has
     * been carried out and answered: direct commands and the responses to heartbeats to the machine
     * that then has their receiver's name, heartbeats to all nodes. Empty: no further copies are
     * made; those on their way still arrive.
     */
    void copyCarriedOutMessages(List<Duration> delays) {
        copyDelays = delays;
    }

    /** Copies a heartbeat that has been answered, and the response. */
    private void copyAnswered(Heartbeat heartbeat, HeartbeatResponse response) {
        for (Duration delay : copyDelays) {
            cluster.loop().schedule(delay, () -> deliverCopies(heartbeat, response));
        }
    }

    private void deliverCopies(Heartbeat heartbeat, HeartbeatResponse response) {
        cluster.nodes().forEach(node -> deliverWithoutAnswer(node, heartbeat));
        FakeWorker worker = cluster.worker(heartbeat.machineId());
        if (worker != null) {
            copiedStartCount += containsStart(response) ? 1 : 0;
            worker.receiveCopiedResponse(response);
        }
    }

    /** Copies direct commands that have been executed and answered. */
    void copyExecutedCommands(Runnable delivery) {
        for (Duration delay : copyDelays) {
            copiedDirectCommandCount++;
            cluster.loop().schedule(delay, delivery);
        }
    }

    /** Returns the number of copies of executed direct commands. */
    int copiedDirectCommandCount() {
        return copiedDirectCommandCount;
    }

    /** Returns the number of copies of responses with starts that have reached machines. */
    int copiedStartCount() {
        return copiedStartCount;
    }

    // ---- heartbeats ----

    /**
     * Delivers a heartbeat to a node.
     *
     * @return the answer, which may never come; null if the connection is refused
     */
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
        notifyUsersOfCompletions(heartbeat);
        keepForNextLeader(heartbeat);
        duplicateLate(node, heartbeat);
        maybeDuplicate(() -> deliverWithoutAnswer(node, heartbeat));
        ControllerNode process = node.controller();
        runAfter(
                requestDelays.next(),
                () -> {
                    if (node.controller() == process) {
                        node.runWhenResumed(
                                () -> handleHeartbeat(node, process, heartbeat, answer));
                    }
                });
        return answer;
    }

    private void handleHeartbeat(
            SimulatedNode node,
            ControllerNode process,
            Heartbeat heartbeat,
            CompletableFuture<HeartbeatResponse> answer) {
        CompletableFuture<Void> unused =
                process.handleHeartbeat(heartbeat)
                        .thenAccept(
                                response -> {
                                    if (node.controller() == process
                                            && node.reachesZone(heartbeat.zone())) {
                                        deliverResponse(heartbeat, response, answer);
                                    }
                                });
    }

    /** Runs an action after a delay, and at once if the delay is zero. */
    void runAfter(Duration delay, Runnable action) {
        if (delay.isZero()) {
            action.run();
        } else {
            cluster.loop().schedule(delay, action);
        }
    }

    private void notifyUsersOfCompletions(Heartbeat heartbeat) {
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.exitReason() == ExitReason.DONE) {
                cluster.users().onCompletionReported(status.taskId().jobId());
            }
        }
    }

    private void deliverResponse(
            Heartbeat heartbeat,
            HeartbeatResponse response,
            CompletableFuture<HeartbeatResponse> answer) {
        Duration delay = responseDelayOf(heartbeat, response);
        delayedResponseCount += delay.isZero() ? 0 : 1;
        runAfter(
                delay,
                () -> {
                    answer.complete(response);
                    copyAnswered(heartbeat, response);
                });
    }

    private Duration responseDelayOf(Heartbeat heartbeat, HeartbeatResponse response) {
        if (startDelay != null && containsStart(response)) {
            heldStartCount++;
            Duration delay = startDelay;
            startDelay = null;
            return delay;
        }
        return heartbeat.machineId().equals(delayedMachine)
                ? MAX_RESPONSE_DELAY
                : responseDelays.next();
    }

    private static boolean containsStart(HeartbeatResponse response) {
        return response instanceof HeartbeatResponse.Commands commands
                && commands.commands().stream()
                        .anyMatch(command -> command instanceof WorkerCommand.Start);
    }

    /** Delays the next heartbeat response that contains a start. */
    void delayNextStart(Duration delay) {
        startDelay = delay;
    }

    /** Returns the number of responses that {@link #delayNextStart} delayed. */
    int heldStartCount() {
        return heldStartCount;
    }

    /**
     * Delays a share of the heartbeat responses, and a tenth of that share of the heartbeats,
     * direct commands and answers to them, so that they overtake one another; share 0 ends it.
     */
    void delayWorkerMessages(double share, long seed) {
        requestDelays.start(share / 10, seed);
        responseDelays.start(share, seed + 1);
        commandDelays.start(share / 10, seed + 2);
    }

    /** Delays all heartbeat responses to one machine by 3.9 s; null ends it. */
    void delayHeartbeatResponsesTo(MachineId machine) {
        delayedMachine = machine;
    }

    /** Returns the additional delay of the next direct command or answer to one. */
    Duration nextCommandDelay() {
        return commandDelays.next();
    }

    /** Returns the number of heartbeat responses that were delayed. */
    int delayedResponseCount() {
        return delayedResponseCount;
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
        if (lateDuplicateRandom != null && lateDuplicateRandom.nextDouble() < lateDuplicateShare) {
            Duration delay =
                    Duration.ofMillis(
                            MIN_LATE_HEARTBEAT_MILLIS
                                    + lateDuplicateRandom.nextInt(LATE_HEARTBEAT_RANGE_MILLIS));
            cluster.loop().schedule(delay, () -> deliverWithoutAnswer(node, heartbeat));
        }
    }

    /**
     * Delivers copies of a share of the heartbeats again, from 2 s to much more than a worker's
     * lease later; share 0 ends it.
     */
    void duplicateHeartbeatsLate(double share, long seed) {
        lateDuplicateRandom = share == 0 ? null : new Random(seed);
        lateDuplicateShare = share;
    }

    /**
     * Keeps copies of a share of the heartbeats until the next leader begins, when they reach every
     * node; share 0 ends it.
     */
    void keepHeartbeatsForNextLeader(double share, long seed) {
        keepRandom = share == 0 ? null : new Random(seed);
        keptShare = share;
    }

    /** Keeps a copy of a worker's current heartbeat for the next leader. */
    void keepHeartbeatForNextLeader(FakeWorker worker) {
        keptHeartbeats.add(worker.snapshot());
    }

    /** Delivers the kept heartbeats to every node; called when a leader begins. */
    void deliverKeptHeartbeats() {
        List<Heartbeat> heartbeats = List.copyOf(keptHeartbeats);
        keptHeartbeats.clear();
        for (Heartbeat heartbeat : heartbeats) {
            for (SimulatedNode node : cluster.nodes()) {
                if (deliverWithoutAnswer(node, heartbeat)) {
                    deliveredToNextLeaderCount++;
                }
            }
        }
    }

    /** Returns the number of deliveries of kept heartbeats to nodes when a leader began. */
    int deliveredToNextLeaderCount() {
        return deliveredToNextLeaderCount;
    }

    /** Returns the number of heartbeats that reached a node since the last call. */
    int takeHeartbeatCount() {
        int count = heartbeatCount;
        heartbeatCount = 0;
        return count;
    }

    // ---- direct commands ----

    /**
     * Holds back direct commands. When the fault ends, they are delivered to the workers, even if
     * their senders have ended.
     */
    void holdCommands(boolean hold) {
        List<Runnable> commands = heldCommands;
        heldCommands = hold ? new ArrayList<>() : null;
        if (commands != null) {
            commands.forEach(Runnable::run);
        }
    }

    boolean holdsCommands() {
        return heldCommands != null;
    }

    void holdCommand(Runnable delivery) {
        heldCommands.add(delivery);
    }

    int heldCommandCount() {
        return heldCommands.size();
    }

    void countDirectMessage() {
        directMessageCount++;
    }

    /** Returns the number of messages that nodes sent directly to workers since the last call. */
    int takeDirectMessageCount() {
        int count = directMessageCount;
        directMessageCount = 0;
        return count;
    }

    // ---- messages between nodes ----

    /** Loses all messages between the nodes. */
    void cutPeers(boolean cut) {
        arePeersCut = cut;
    }

    boolean arePeersCut() {
        return arePeersCut;
    }

    /** Alters and delays the risk tables that a leader sends to the other nodes. */
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
