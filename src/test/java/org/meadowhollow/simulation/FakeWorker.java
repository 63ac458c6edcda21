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
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskState;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/** A machine's worker, as the protocol describes it. */
final class FakeWorker implements HistoryChecker.Machine {
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(3);
    private static final Duration LEASE = Duration.ofSeconds(18);

    /** How long it takes until the next node is tried. */
    private static final Duration NEXT_NODE_DELAY = Duration.ofSeconds(1);

    private static final Duration CHANGED_HEARTBEAT_DELAY = Duration.ofMillis(500);
    private static final Duration GANG_WAIT_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration GANG_PEER_TIMEOUT = Duration.ofSeconds(6);

    /** How long an answer is waited for. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

    /** A task here; it runs once its image has come. */
    private static final class Task {
        private final AttemptNumber attemptNumber;
        private TaskState state = TaskState.PULLING_IMAGE;
        private ExitReason exitReason;
        private final MonotonicTime runsAt;

        /** When it began to run; a gang's task waits for the others before. */
        private MonotonicTime runningSince;

        /** Since when a running gang's task misses another one. */
        private MonotonicTime missingSince;

        Task(AttemptNumber attemptNumber, MonotonicTime runsAt) {
            this.attemptNumber = attemptNumber;
            this.runsAt = runsAt;
        }
    }

    private final SimulatedCluster cluster;
    private final MachineId id;
    private final String type;
    private final String zone;
    private final Map<TaskId, Task> tasks = new LinkedHashMap<>();
    private WorkerIncarnation workerIncarnation = new WorkerIncarnation(1);
    private long seq;
    private FencingToken fencingToken = FencingToken.NONE;
    private MonotonicTime answeredSentAt;
    private int node;
    private CompletableFuture<HeartbeatResponse> inFlight;
    private boolean isHung;
    private boolean isRemoved;
    private boolean loseIncoming;
    private boolean blockOutgoingConnections;
    private final Set<Integer> unreachable = new HashSet<>();
    private double noticeS = Double.NaN;

    FakeWorker(SimulatedCluster cluster, String id, String type, String zone) {
        this.cluster = cluster;
        this.id = new MachineId(id);
        this.type = type;
        this.zone = zone;
        this.answeredSentAt = cluster.loop().now();
        tick();
    }

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

    /** Loses its connection and turns to another node. */
    void connectTo(int other) {
        node = other;
        inFlight = null;
        sendHeartbeatAfter(CHANGED_HEARTBEAT_DELAY);
    }

    void setHung(boolean now) {
        isHung = now;
    }

    /** Reports still go out, but all answers and direct commands are lost. */
    void loseIncoming(boolean now) {
        loseIncoming = now;
    }

    /** No connection to any node can be opened, while direct commands arrive and are answered. */
    void blockOutgoingConnections(boolean now) {
        blockOutgoingConnections = now;
        if (now) {
            inFlight = null;
        }
    }

    /** Whether it runs, reports and hears. */
    @Override
    public boolean isReachable() {
        return !isHung
                && !isRemoved
                && !loseIncoming
                && !blockOutgoingConnections
                && Double.isNaN(noticeS);
    }

    /** Whether this machine alone has no way to a node and back. */
    void blockPathTo(int other, boolean cut) {
        if (cut) {
            unreachable.add(other);
            inFlight = node == other ? null : inFlight;
        } else {
            unreachable.remove(other);
        }
    }

    boolean reaches(int other) {
        return !unreachable.contains(other);
    }

    void announcePreemption(double seconds) {
        noticeS = seconds;
    }

    void remove() {
        isRemoved = true;
        tasks.clear();
    }

    boolean isRemoved() {
        return isRemoved;
    }

    boolean isHung() {
        return isHung;
    }

    FencingToken fencingToken() {
        return fencingToken;
    }

    WorkerIncarnation incarnation() {
        return workerIncarnation;
    }

    /** The machine is back at once, under its name and address, and begins anew. */
    void reboot() {
        tasks.clear();
        workerIncarnation = new WorkerIncarnation(1);
        seq = 0;
        fencingToken = FencingToken.NONE;
        inFlight = null;
        answeredSentAt = cluster.loop().now();
    }

    /** Makes a task exit with an error. */
    void failTask(TaskId task) {
        exit(tasks.get(task), ExitReason.ERROR);
    }

    /** Makes a task exit because it found another one of its gang gone. */
    void exitForMissingPeer(TaskId task) {
        exit(tasks.get(task), ExitReason.PEERS);
    }

    /** Makes a task give up waiting for its gang. */
    void exitForGangTimeout(TaskId task) {
        exit(tasks.get(task), ExitReason.ALONE);
    }

    boolean hasTask(TaskId task) {
        return tasks.containsKey(task);
    }

    /** Makes a task complete, as its gang does. */
    void completeTask(TaskId task) {
        exit(tasks.get(task), ExitReason.DONE);
    }

    private boolean isLeaseExpired() {
        return cluster.loop().now().elapsedSince(answeredSentAt).compareTo(LEASE) > 0;
    }

    /** Tasks that are on the machine in the protocol's sense: with their image, and not exited. */
    @Override
    public List<TaskId> runningTasks() {
        List<TaskId> all = new ArrayList<>();
        if (isLeaseExpired()) {
            // A hung machine runs nothing; when it goes on, its worker first kills what outlived
            // the lease.
            return all;
        }
        tasks.forEach(
                (task, held) -> {
                    if (held.state != TaskState.EXITED && held.state != TaskState.PULLING_IMAGE) {
                        all.add(task);
                    }
                });
        return all;
    }

    /** Tasks that take room here: all but those that have exited. */
    @Override
    public List<TaskId> heldTasks() {
        return isLeaseExpired()
                ? List.of()
                : tasks.entrySet().stream()
                        .filter(each -> each.getValue().state != TaskState.EXITED)
                        .map(Map.Entry::getKey)
                        .toList();
    }

    AttemptNumber attemptOf(TaskId task) {
        return tasks.get(task).attemptNumber;
    }

    private static void exit(Task task, ExitReason exitReason) {
        task.state = TaskState.EXITED;
        task.exitReason = exitReason;
    }

    private void tick() {
        if (isRemoved) {
            return;
        }
        cluster.loop().schedule(HEARTBEAT_INTERVAL, this::tick);
        if (!isHung) {
            advance();
            sendHeartbeat();
        }
    }

    /** What time has brought: the end of the lease, images that have come, tasks that are done. */
    void advance() {
        MonotonicTime now = cluster.loop().now();
        if (isLeaseExpired()) {
            tasks.clear();
            workerIncarnation = new WorkerIncarnation(workerIncarnation.value() + 1);
            answeredSentAt = now;
        }
        tasks.forEach(
                (id, task) -> {
                    boolean gang = cluster.spec(id.jobId()).kind() == JobKind.GANG;
                    if (task.state == TaskState.PULLING_IMAGE && task.runsAt.isBefore(now)) {
                        task.state = gang ? TaskState.WAITING_FOR_GANG : TaskState.RUNNING;
                        task.runningSince = gang ? null : now;
                        cluster.onTaskStarted(this, id);
                    }
                    if (gang) {
                        advanceGang(id, task, now);
                    }
                    Duration runs = cluster.runtimeOf(id.jobId());
                    if (task.state == TaskState.RUNNING
                            && runs != null
                            && now.elapsedSince(task.runningSince).compareTo(runs) > 0
                            && cluster.mayComplete(id.jobId())) {
                        exit(task, ExitReason.DONE);
                        cluster.onTaskCompleted(id);
                    }
                });
    }

    /**
     * A gang's tasks start together, give up waiting for one another, and exit when one of them is
     * gone.
     */
    private void advanceGang(TaskId id, Task task, MonotonicTime now) {
        boolean whole = cluster.isGangComplete(id.jobId(), task.attemptNumber);
        if (task.state == TaskState.WAITING_FOR_GANG && whole) {
            task.state = TaskState.RUNNING;
            task.runningSince = now;
        } else if (task.state == TaskState.WAITING_FOR_GANG
                && now.elapsedSince(task.runsAt).compareTo(GANG_WAIT_TIMEOUT) > 0) {
            exit(task, ExitReason.ALONE);
        } else if (task.state == TaskState.RUNNING && !whole) {
            task.missingSince = task.missingSince == null ? now : task.missingSince;
            if (now.elapsedSince(task.missingSince).compareTo(GANG_PEER_TIMEOUT) > 0) {
                exit(task, ExitReason.PEERS);
            }
        } else {
            task.missingSince = null;
        }
    }

    /** Whether a gang's task is here in an attempt and can take part in it, or has completed. */
    boolean participatesIn(TaskId id, AttemptNumber attemptNumber) {
        Task task = tasks.get(id);
        return !isHung
                && !isRemoved
                && !isLeaseExpired()
                && task != null
                && task.attemptNumber.equals(attemptNumber)
                && (task.state == TaskState.WAITING_FOR_GANG
                        || task.state == TaskState.RUNNING
                        || task.exitReason == ExitReason.DONE);
    }

    Heartbeat snapshot() {
        List<Heartbeat.TaskStatus> list = new ArrayList<>();
        tasks.forEach(
                (id, task) ->
                        list.add(
                                new Heartbeat.TaskStatus(
                                        id, task.attemptNumber, task.state, task.exitReason)));
        return new Heartbeat(
                id,
                id.value() + ":9000",
                type,
                zone,
                false,
                workerIncarnation,
                ++seq,
                fencingToken,
                noticeS,
                list);
    }

    private void sendHeartbeat() {
        if (inFlight != null) {
            return;
        }
        Heartbeat heartbeat = snapshot();
        MonotonicTime sentAt = cluster.loop().now();
        WorkerIncarnation reporting = workerIncarnation;
        CompletableFuture<HeartbeatResponse> answer =
                reaches(node) && !blockOutgoingConnections
                        ? cluster.deliverHeartbeat(node, heartbeat)
                        : new CompletableFuture<>();
        if (answer == null) {
            connectToNextNode();
            return;
        }
        inFlight = answer;
        cluster.loop()
                .schedule(
                        RESPONSE_TIMEOUT,
                        () -> {
                            if (inFlight == answer) {
                                inFlight = null;
                                connectToNextNode();
                            }
                        });
        answer.thenAccept(
                given -> {
                    if (inFlight == answer) {
                        inFlight = null;
                        if (!isHung && !isRemoved && workerIncarnation.equals(reporting)) {
                            cluster.recordViolations(() -> handleResponse(given, sentAt));
                        }
                    }
                });
    }

    private void connectToNextNode() {
        node = (node + 1) % cluster.nodeCount();
        sendHeartbeatAfter(NEXT_NODE_DELAY);
    }

    private void sendHeartbeatAfter(Duration pause) {
        cluster.loop()
                .schedule(
                        pause,
                        () -> {
                            if (!isHung && !isRemoved) {
                                advance();
                                sendHeartbeat();
                            }
                        });
    }

    private void handleResponse(HeartbeatResponse heartbeatResponse, MonotonicTime sentAt) {
        if (heartbeatResponse instanceof HeartbeatResponse.Redirect redirect) {
            if (redirect.member() == null) {
                connectToNextNode();
            } else {
                node = cluster.indexOf(redirect.member());
                sendHeartbeatAfter(CHANGED_HEARTBEAT_DELAY);
            }
            return;
        }
        HeartbeatResponse.Commands commands = (HeartbeatResponse.Commands) heartbeatResponse;
        if (loseIncoming || fencingToken.isAfter(commands.token())) {
            return;
        }
        if (commands.token().isAfter(fencingToken)) {
            // A higher token is a change, which goes out at once, though not before half a second.
            sendHeartbeatAfter(CHANGED_HEARTBEAT_DELAY);
        }
        fencingToken = commands.token();
        answeredSentAt = sentAt;
        execute(commands.commands());
    }

    /** A direct command; null when there is no answer. */
    Heartbeat handleDirectCommands(
            FencingToken given, WorkerIncarnation expected, List<WorkerCommand> orders) {
        if (isRemoved || isHung || loseIncoming) {
            return null;
        }
        advance();
        if (!fencingToken.isAfter(given)) {
            fencingToken = given;
            if (workerIncarnation.equals(expected)) {
                execute(orders);
            }
        }
        return snapshot();
    }

    private void execute(List<WorkerCommand> orders) {
        for (WorkerCommand workerCommand : orders) {
            Task task = tasks.get(workerCommand.taskId());
            boolean same = task != null && task.attemptNumber.equals(workerCommand.attemptNumber());
            switch (workerCommand.action()) {
                case START -> {
                    if (!same) {
                        if (task != null && task.state != TaskState.EXITED) {
                            throw new AssertionError(
                                    "started " + workerCommand + " beside another attempt");
                        }
                        cluster.onStartCommand(workerCommand.taskId());
                        tasks.put(
                                workerCommand.taskId(),
                                new Task(
                                        workerCommand.attemptNumber(),
                                        cluster.loop().now().plus(cluster.imagePullTime())));
                    }
                }
                case STOP -> {
                    if (same && task.state != TaskState.EXITED) {
                        exit(task, ExitReason.STOPPED);
                    }
                }
                case FORGET -> {
                    if (same && task.state == TaskState.EXITED) {
                        tasks.remove(workerCommand.taskId());
                    }
                }
            }
        }
    }
}
