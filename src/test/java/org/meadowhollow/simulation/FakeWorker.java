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
final class FakeWorker implements HistoryChecker.Place {
    private static final Duration REPORT = Duration.ofSeconds(3);
    private static final Duration LEASE = Duration.ofSeconds(18);

    /** How long it takes until the next node is tried. */
    private static final Duration NEXT = Duration.ofSeconds(1);

    private static final Duration CHANGE = Duration.ofMillis(500);
    private static final Duration GANG_WAIT = Duration.ofSeconds(30);
    private static final Duration GANG_PEER = Duration.ofSeconds(6);

    /** How long an answer is waited for. */
    private static final Duration ANSWER = Duration.ofSeconds(4);

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
    private FencingToken token = FencingToken.NONE;
    private MonotonicTime answeredSentAt;
    private int node;
    private CompletableFuture<HeartbeatResponse> inFlight;
    private boolean hung;
    private boolean gone;
    private boolean deaf;
    private boolean mute;
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
        return SimulatedCluster.typeOf(type);
    }

    String type() {
        return type;
    }

    /** Loses its connection and turns to another node. */
    void goTo(int other) {
        node = other;
        inFlight = null;
        reportAfter(CHANGE);
    }

    void hang(boolean now) {
        hung = now;
    }

    /** Reports still go out, but all answers and direct commands are lost. */
    void deaf(boolean now) {
        deaf = now;
    }

    /** No connection to any node can be opened, while direct commands arrive and are answered. */
    void mute(boolean now) {
        mute = now;
        if (now) {
            inFlight = null;
        }
    }

    /** Whether it runs, reports and hears. */
    @Override
    public boolean inTouch() {
        return !hung && !gone && !deaf && !mute && Double.isNaN(noticeS);
    }

    /** Whether this machine alone has no way to a node and back. */
    void cannotReach(int other, boolean cut) {
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

    void notice(double seconds) {
        noticeS = seconds;
    }

    void remove() {
        gone = true;
        tasks.clear();
    }

    boolean gone() {
        return gone;
    }

    boolean hung() {
        return hung;
    }

    FencingToken token() {
        return token;
    }

    WorkerIncarnation session() {
        return workerIncarnation;
    }

    /** The machine is back at once, under its name and address, and begins anew. */
    void reboot() {
        tasks.clear();
        workerIncarnation = new WorkerIncarnation(1);
        seq = 0;
        token = FencingToken.NONE;
        inFlight = null;
        answeredSentAt = cluster.loop().now();
    }

    /** Makes a task exit with an error. */
    void fail(TaskId task) {
        exit(tasks.get(task), ExitReason.ERROR);
    }

    /** Makes a task exit because it found another one of its gang gone. */
    void missPeers(TaskId task) {
        exit(tasks.get(task), ExitReason.PEERS);
    }

    /** Makes a task give up waiting for its gang. */
    void giveUp(TaskId task) {
        exit(tasks.get(task), ExitReason.ALONE);
    }

    boolean holds(TaskId task) {
        return tasks.containsKey(task);
    }

    /** Makes a task complete, as its gang does. */
    void complete(TaskId task) {
        exit(tasks.get(task), ExitReason.DONE);
    }

    private boolean leaseIsOver() {
        return cluster.loop().now().elapsedSince(answeredSentAt).compareTo(LEASE) > 0;
    }

    /** Tasks that are on the machine in the protocol's sense: with their image, and not exited. */
    @Override
    public List<TaskId> running() {
        List<TaskId> all = new ArrayList<>();
        if (leaseIsOver()) {
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
    public List<TaskId> held() {
        return leaseIsOver()
                ? List.of()
                : tasks.entrySet().stream()
                        .filter(each -> each.getValue().state != TaskState.EXITED)
                        .map(Map.Entry::getKey)
                        .toList();
    }

    AttemptNumber attempt(TaskId task) {
        return tasks.get(task).attemptNumber;
    }

    private static void exit(Task task, ExitReason exitReason) {
        task.state = TaskState.EXITED;
        task.exitReason = exitReason;
    }

    private void tick() {
        if (gone) {
            return;
        }
        cluster.loop().schedule(REPORT, this::tick);
        if (!hung) {
            advance();
            report();
        }
    }

    /** What time has brought: the end of the lease, images that have come, tasks that are done. */
    void advance() {
        MonotonicTime now = cluster.loop().now();
        if (leaseIsOver()) {
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
                        cluster.started(this, id);
                    }
                    if (gang) {
                        advanceGang(id, task, now);
                    }
                    Duration runs = cluster.runTime(id.jobId());
                    if (task.state == TaskState.RUNNING
                            && runs != null
                            && now.elapsedSince(task.runningSince).compareTo(runs) > 0
                            && cluster.mayComplete(id.jobId())) {
                        exit(task, ExitReason.DONE);
                        cluster.completed(id);
                    }
                });
    }

    /**
     * A gang's tasks start together, give up waiting for one another, and exit when one of them is
     * gone.
     */
    private void advanceGang(TaskId id, Task task, MonotonicTime now) {
        boolean whole = cluster.isWhole(id.jobId(), task.attemptNumber);
        if (task.state == TaskState.WAITING_FOR_GANG && whole) {
            task.state = TaskState.RUNNING;
            task.runningSince = now;
        } else if (task.state == TaskState.WAITING_FOR_GANG
                && now.elapsedSince(task.runsAt).compareTo(GANG_WAIT) > 0) {
            exit(task, ExitReason.ALONE);
        } else if (task.state == TaskState.RUNNING && !whole) {
            task.missingSince = task.missingSince == null ? now : task.missingSince;
            if (now.elapsedSince(task.missingSince).compareTo(GANG_PEER) > 0) {
                exit(task, ExitReason.PEERS);
            }
        } else {
            task.missingSince = null;
        }
    }

    /** Whether a gang's task is here in an attempt and can take part in it, or has completed. */
    boolean takesPart(TaskId id, AttemptNumber attemptNumber) {
        Task task = tasks.get(id);
        return !hung
                && !gone
                && !leaseIsOver()
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
                token,
                noticeS,
                list);
    }

    private void report() {
        if (inFlight != null) {
            return;
        }
        Heartbeat heartbeat = snapshot();
        MonotonicTime sentAt = cluster.loop().now();
        WorkerIncarnation reporting = workerIncarnation;
        CompletableFuture<HeartbeatResponse> answer =
                reaches(node) && !mute
                        ? cluster.deliver(node, heartbeat)
                        : new CompletableFuture<>();
        if (answer == null) {
            tryNext();
            return;
        }
        inFlight = answer;
        cluster.loop()
                .schedule(
                        ANSWER,
                        () -> {
                            if (inFlight == answer) {
                                inFlight = null;
                                tryNext();
                            }
                        });
        answer.thenAccept(
                given -> {
                    if (inFlight == answer) {
                        inFlight = null;
                        if (!hung && !gone && workerIncarnation.equals(reporting)) {
                            cluster.judged(() -> answered(given, sentAt));
                        }
                    }
                });
    }

    private void tryNext() {
        node = (node + 1) % cluster.nodeCount();
        reportAfter(NEXT);
    }

    private void reportAfter(Duration pause) {
        cluster.loop()
                .schedule(
                        pause,
                        () -> {
                            if (!hung && !gone) {
                                advance();
                                report();
                            }
                        });
    }

    private void answered(HeartbeatResponse heartbeatResponse, MonotonicTime sentAt) {
        if (heartbeatResponse instanceof HeartbeatResponse.Redirect redirect) {
            if (redirect.member() == null) {
                tryNext();
            } else {
                node = cluster.indexOf(redirect.member());
                reportAfter(CHANGE);
            }
            return;
        }
        HeartbeatResponse.Commands commands = (HeartbeatResponse.Commands) heartbeatResponse;
        if (deaf || token.isAfter(commands.token())) {
            return;
        }
        if (commands.token().isAfter(token)) {
            // A higher token is a change, which goes out at once, though not before half a second.
            reportAfter(CHANGE);
        }
        token = commands.token();
        answeredSentAt = sentAt;
        execute(commands.commands());
    }

    /** A direct command; null when there is no answer. */
    Heartbeat direct(FencingToken given, WorkerIncarnation expected, List<WorkerCommand> orders) {
        if (gone || hung || deaf) {
            return null;
        }
        advance();
        if (!token.isAfter(given)) {
            token = given;
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
                        cluster.toldToStart(workerCommand.taskId());
                        tasks.put(
                                workerCommand.taskId(),
                                new Task(
                                        workerCommand.attemptNumber(),
                                        cluster.loop().now().plus(cluster.fetch())));
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
