package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.workers.EncodedHeartbeats;

/**
 * The worker of a machine, as the protocol describes it: it sends heartbeats to one node at a time,
 * executes commands, and drops its tasks when its lease expires. Faults make it hang, lose incoming
 * messages or block its outgoing connections. Not thread-safe: everything runs on the virtual event
 * loop.
 */
final class FakeWorker implements HistoryChecker.Machine {
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(3);
    private static final Duration LEASE = Duration.ofSeconds(18);

    /** Delay before a worker tries the next node. */
    private static final Duration NEXT_NODE_DELAY = Duration.ofSeconds(1);

    private static final Duration CHANGED_HEARTBEAT_DELAY = Duration.ofMillis(500);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final WorkerIncarnation FIRST_INCARNATION = new WorkerIncarnation(1);

    private final SimulatedCluster cluster;
    private final MachineId id;
    private final String type;
    private final String zone;
    private final Map<TaskId, FakeTask> tasks = new LinkedHashMap<>();
    private WorkerIncarnation incarnation = FIRST_INCARNATION;

    /** Passes 2^63 soon, where the sign of a long changes. */
    private long heartbeatNumber = Long.MAX_VALUE - 20;

    private FencingToken fencingToken = FencingToken.NONE;

    /**
     * The time at which the last heartbeat that was answered with commands was sent; the lease
     * counts from then.
     */
    private MonotonicTime leaseStartedAt;

    private int connectedNode;

    /** The pending response to the last heartbeat; null if none is pending. */
    private CompletableFuture<HeartbeatResponse> pendingResponse;

    private boolean isHung;
    private boolean isRemoved;
    private boolean losesIncoming;
    private boolean blocksOutgoing;
    private boolean executesCopiedResponses;
    private final Set<Integer> unreachableNodes = new HashSet<>();

    /** Seconds until the cloud preempts the machine; NaN without a notice. */
    private double preemptionNoticeSeconds = Double.NaN;

    FakeWorker(SimulatedCluster cluster, String id, String type, String zone) {
        this.cluster = cluster;
        this.id = new MachineId(id);
        this.type = type;
        this.zone = zone;
        this.leaseStartedAt = cluster.loop().now();
        onHeartbeatTimer();
    }

    // ---- state ----

    MachineId id() {
        return id;
    }

    @Override
    public String zone() {
        return zone;
    }

    @Override
    public MachineType machineType() {
        return SimulatedCluster.machineType(type);
    }

    String type() {
        return type;
    }

    FencingToken fencingToken() {
        return fencingToken;
    }

    WorkerIncarnation incarnation() {
        return incarnation;
    }

    boolean isRemoved() {
        return isRemoved;
    }

    boolean isHung() {
        return isHung;
    }

    @Override
    public boolean isReachable() {
        return !isHung
                && !isRemoved
                && !losesIncoming
                && !blocksOutgoing
                && Double.isNaN(preemptionNoticeSeconds);
    }

    private boolean isLeaseExpired() {
        return cluster.loop().now().elapsedSince(leaseStartedAt).compareTo(LEASE) > 0;
    }

    // ---- faults ----

    /** Drops the connection to the current node and connects to another one. */
    void connectTo(int targetNode) {
        connectedNode = targetNode;
        pendingResponse = null;
        sendHeartbeatAfter(CHANGED_HEARTBEAT_DELAY);
    }

    void setHung(boolean hung) {
        isHung = hung;
    }

    /** Loses all responses and direct commands, while heartbeats are still sent. */
    void loseIncoming(boolean lose) {
        losesIncoming = lose;
    }

    /** Blocks connections to all nodes, while direct commands arrive and are answered. */
    void blockOutgoingConnections(boolean block) {
        blocksOutgoing = block;
        if (block) {
            pendingResponse = null;
        }
    }

    /**
     * Cuts the path between this machine and one node in both directions; other paths are
     * unaffected.
     */
    void blockPathTo(int targetNode, boolean block) {
        if (block) {
            unreachableNodes.add(targetNode);
            pendingResponse = connectedNode == targetNode ? null : pendingResponse;
        } else {
            unreachableNodes.remove(targetNode);
        }
    }

    boolean reaches(int targetNode) {
        return !unreachableNodes.contains(targetNode);
    }

    /**
     * Announces that the cloud preempts the machine.
     *
     * @param seconds time until the preemption
     */
    void announcePreemption(double seconds) {
        preemptionNoticeSeconds = seconds;
    }

    /** Removes the machine, which was returned to the cloud. */
    void remove() {
        isRemoved = true;
        tasks.clear();
    }

    /** Reboots the machine at once: it keeps its name and address and loses all other state. */
    void reboot() {
        tasks.clear();
        incarnation = FIRST_INCARNATION;
        heartbeatNumber = 0;
        fencingToken = FencingToken.NONE;
        pendingResponse = null;
        leaseStartedAt = cluster.loop().now();
    }

    // ---- tasks ----

    /** Makes a task exit with an error. */
    void failTask(TaskId task) {
        tasks.get(task).exit(ExitReason.ERROR);
    }

    /** Makes a task exit because another task of its gang is gone. */
    void exitForMissingPeer(TaskId task) {
        tasks.get(task).exit(ExitReason.PEERS);
    }

    /** Makes a task exit because its gang did not assemble. */
    void exitForGangTimeout(TaskId task) {
        tasks.get(task).exit(ExitReason.ALONE);
    }

    /** Makes a task complete, as its gang does. */
    void completeTask(TaskId task) {
        tasks.get(task).exit(ExitReason.DONE);
    }

    boolean hasTask(TaskId task) {
        return tasks.containsKey(task);
    }

    AttemptNumber attemptOf(TaskId task) {
        return tasks.get(task).attempt();
    }

    @Override
    public List<TaskId> runningTasks() {
        if (isLeaseExpired()) {
            // A hung machine runs nothing; when it resumes, its worker first kills the tasks that
            // outlived the lease.
            return List.of();
        }
        return tasks.entrySet().stream()
                .filter(entry -> entry.getValue().isPresent())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether any task of a job runs on this machine. */
    boolean runsTaskOf(JobId job) {
        return runningTasks().stream().anyMatch(task -> task.jobId().equals(job));
    }

    @Override
    public List<TaskId> heldTasks() {
        if (isLeaseExpired()) {
            return List.of();
        }
        return tasks.entrySet().stream()
                .filter(entry -> !entry.getValue().hasExited())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns whether a gang's task is on this machine in an attempt, and can take part in it or
     * has completed.
     */
    boolean participatesIn(TaskId taskId, AttemptNumber attempt) {
        FakeTask task = tasks.get(taskId);
        return !isHung
                && !isRemoved
                && !isLeaseExpired()
                && task != null
                && task.participatesIn(attempt);
    }

    /** Applies what is due by now: lease expiry, finished image pulls and completed tasks. */
    void advance() {
        MonotonicTime now = cluster.loop().now();
        if (isLeaseExpired()) {
            tasks.clear();
            incarnation = new WorkerIncarnation(incarnation.value() + 1);
            leaseStartedAt = now;
        }
        tasks.forEach((task, state) -> advance(task, state, now));
    }

    private void advance(TaskId taskId, FakeTask task, MonotonicTime now) {
        boolean inGang = cluster.spec(taskId.jobId()).kind() == JobKind.GANG;
        if (task.isImagePulled(now)) {
            task.start(inGang, now);
            cluster.onTaskStarted(this, taskId);
        }
        if (inGang && !task.hasExited()) {
            task.advanceInGang(cluster.isGangComplete(taskId.jobId(), task.attempt()), now);
            if (task.exitReason() == ExitReason.ALONE) {
                cluster.onGangTimeout(taskId);
            }
        }
        Duration runtime = cluster.runtimeOf(taskId.jobId());
        if (task.hasFinished(runtime, now) && cluster.mayComplete(taskId.jobId())) {
            task.exit(ExitReason.DONE);
            cluster.onTaskCompleted(taskId);
        }
    }

    // ---- heartbeats ----

    private void onHeartbeatTimer() {
        if (isRemoved) {
            return;
        }
        cluster.loop().schedule(HEARTBEAT_INTERVAL, this::onHeartbeatTimer);
        if (!isHung) {
            advance();
            sendHeartbeat();
        }
    }

    /**
     * Returns a request with the current state, as a controller reads it; each heartbeat has a
     * number of its own.
     */
    Heartbeat snapshot() {
        return snapshot(Heartbeat.Origin.REQUEST);
    }

    private Heartbeat snapshot(Heartbeat.Origin origin) {
        List<Heartbeat.TaskStatus> statuses = new ArrayList<>();
        tasks.forEach(
                (task, state) ->
                        statuses.add(
                                new Heartbeat.TaskStatus(
                                        task, state.attempt(), state.state(), state.exitReason())));
        Heartbeat heartbeat =
                new Heartbeat(
                        origin,
                        id,
                        id.value() + ":9000",
                        type,
                        zone,
                        false,
                        incarnation,
                        ++heartbeatNumber,
                        fencingToken,
                        preemptionNoticeSeconds,
                        statuses);
        return EncodedHeartbeats.transmit(heartbeat, cluster.encoding());
    }

    private void sendHeartbeat() {
        if (pendingResponse != null) {
            return;
        }
        Heartbeat heartbeat = snapshot();
        MonotonicTime sentAt = cluster.loop().now();
        WorkerIncarnation sendingIncarnation = incarnation;
        CompletableFuture<HeartbeatResponse> response =
                reaches(connectedNode) && !blocksOutgoing
                        ? cluster.network().deliverHeartbeat(connectedNode, heartbeat)
                        : new CompletableFuture<>();
        if (response == null) {
            connectToNextNode();
            return;
        }
        pendingResponse = response;
        cluster.loop().schedule(RESPONSE_TIMEOUT, () -> onTimeout(response));
        CompletableFuture<Void> unused =
                response.thenAccept(
                        received -> {
                            if (pendingResponse == response) {
                                pendingResponse = null;
                                handleResponse(received, sendingIncarnation, sentAt);
                            }
                        });
    }

    /**
     * Receives a copy of a response to a heartbeat that was answered before. A worker drops it: it
     * waits for one response at a time, on the connection of its request.
     */
    void receiveCopiedResponse(HeartbeatResponse response) {
        if (executesCopiedResponses && !isHung && !isRemoved) {
            cluster.recordViolations(() -> handleResponse(response, leaseStartedAt));
        }
    }

    /** Makes the worker execute copies of responses, which no worker does. */
    void executeCopiedResponses() {
        executesCopiedResponses = true;
    }

    private void onTimeout(CompletableFuture<HeartbeatResponse> response) {
        if (pendingResponse == response) {
            pendingResponse = null;
            connectToNextNode();
        }
    }

    private void connectToNextNode() {
        connectedNode = (connectedNode + 1) % cluster.nodeCount();
        sendHeartbeatAfter(NEXT_NODE_DELAY);
    }

    private void sendHeartbeatAfter(Duration delay) {
        cluster.loop()
                .schedule(
                        delay,
                        () -> {
                            if (!isHung && !isRemoved) {
                                advance();
                                sendHeartbeat();
                            }
                        });
    }

    private void handleResponse(
            HeartbeatResponse response,
            WorkerIncarnation sendingIncarnation,
            MonotonicTime sentAt) {
        if (!isHung && !isRemoved && incarnation.equals(sendingIncarnation)) {
            cluster.recordViolations(() -> handleResponse(response, sentAt));
        }
    }

    private void handleResponse(HeartbeatResponse response, MonotonicTime sentAt) {
        if (response instanceof HeartbeatResponse.Redirect redirect) {
            if (redirect.member() == null) {
                connectToNextNode();
            } else {
                connectedNode = cluster.indexOf(redirect.member());
                sendHeartbeatAfter(CHANGED_HEARTBEAT_DELAY);
            }
            return;
        }
        HeartbeatResponse.Commands commands = (HeartbeatResponse.Commands) response;
        if (losesIncoming || fencingToken.isAfter(commands.token())) {
            return;
        }
        if (commands.token().isAfter(fencingToken)) {
            // A higher token is a change of state: it is reported early, but no sooner than in half
            // a second.
            sendHeartbeatAfter(CHANGED_HEARTBEAT_DELAY);
        }
        fencingToken = commands.token();
        leaseStartedAt = sentAt;
        execute(commands.commands());
    }

    // ---- commands ----

    /**
     * Executes direct commands, unless they come from a former leader or are meant for another
     * incarnation.
     *
     * @return the state afterwards; null if there is no response
     */
    Heartbeat handleDirectCommands(
            FencingToken token,
            WorkerIncarnation expected,
            List<? extends WorkerCommand> commands) {
        if (isRemoved || isHung || losesIncoming) {
            return null;
        }
        advance();
        if (!fencingToken.isAfter(token)) {
            fencingToken = token;
            if (incarnation.equals(expected)) {
                execute(commands);
            }
        }
        return snapshot(Heartbeat.Origin.COMMAND_RESPONSE);
    }

    private void execute(List<? extends WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            FakeTask task = tasks.get(command.taskId());
            boolean sameAttempt = task != null && task.attempt().equals(command.attemptNumber());
            if (command instanceof WorkerCommand.Start) {
                if (!sameAttempt) {
                    start(command, task);
                }
            } else if (command instanceof WorkerCommand.Stop) {
                if (sameAttempt && !task.hasExited()) {
                    task.exit(ExitReason.STOPPED);
                }
            } else if (sameAttempt && task.hasExited()) {
                tasks.remove(command.taskId());
            }
        }
    }

    private void start(WorkerCommand command, FakeTask existingTask) {
        if (existingTask != null && !existingTask.hasExited()) {
            throw new AssertionError(
                    "started " + command + " while another attempt is on the machine");
        }
        cluster.onStartCommand(command.taskId());
        MonotonicTime imagePulledAt =
                cluster.imagePulls()
                        .pulledAt(
                                id,
                                () -> cluster.spec(command.taskId().jobId()).image(),
                                cluster.loop().now());
        tasks.put(command.taskId(), new FakeTask(command.attemptNumber(), imagePulledAt));
    }
}
