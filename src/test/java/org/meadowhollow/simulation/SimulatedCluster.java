package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.meadowhollow.coordination.ControllerNode;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.failover.StandbySettings;
import org.meadowhollow.coordination.reservation.ReservationSettings;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.RandomEncoding;
import org.meadowhollow.protocol.keyvalue.EncodedStoreReplies;
import org.meadowhollow.storage.JobRecordCodec;
import org.meadowhollow.storage.RecordKeys;

/**
 * A deployment in memory and in virtual time: three controllers, the key-value store, a cloud,
 * workers and users. The {@link HistoryChecker} checks the protocol's rules whenever a task starts
 * and after every step of {@link #run}. Each component has one job: {@link #users} and {@link
 * #clients} send requests, {@link #cloud} rents machines, and {@link #network} delivers messages.
 * Not thread-safe: everything runs on the virtual event loop.
 */
final class SimulatedCluster {
    static final MachineType SMALL =
            new MachineType("small", Resources.of(8, 2, 32), 50, 1, 2, 1, 10, List.of("a", "b"));
    static final MachineType LARGE =
            new MachineType("large", Resources.of(32, 8, 128), 50, 1, 8, 4, 10, List.of("a", "b"));
    private static final List<String> ZONES = List.of("a", "b");
    private static final int NODE_COUNT = 3;
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(48);

    /** Timer delay of an overloaded node; longer than the lease of a leader. */
    private static final Duration OVERLOAD_DELAY = Duration.ofSeconds(6);

    /** Interval at which workers advance and the rules are checked. */
    private static final Duration STEP = Duration.ofMillis(250);

    /** Steps for which a user waits for an answer: five seconds. */
    private static final int STEPS_UNTIL_TIMEOUT = 20;

    private static final int FIRST_SEED = 7;

    private final VirtualEventLoop loop = new VirtualEventLoop();

    /** Encodes the messages of users, workers, the store and the cloud in ever different ways. */
    private final RandomEncoding encoding =
            new RandomEncoding(new Random(FIRST_SEED), EncodedStoreReplies.VALUE);

    private final FakeKeyValueStore store =
            new FakeKeyValueStore(loop).encodeResponses(encoding).startNumbersBelowHalfRange();
    private final CallFaults callFaults = new CallFaults();
    private final SimulatedNetwork network = new SimulatedNetwork(this);
    private final SimulatedCloud cloud = new SimulatedCloud(this);
    private final SimulatedApiClients clients = new SimulatedApiClients(this);
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Map<MachineId, FakeWorker> workers = new TreeMap<>();
    private final Map<JobId, JobSpec> specs = new HashMap<>();
    private final Map<JobId, Duration> runtimes = new HashMap<>();
    private final Map<String, DeploymentSettings.TeamQuota> teams = new HashMap<>();
    private final HistoryChecker historyChecker =
            new HistoryChecker(
                    CANCEL_TIMEOUT, teams, List.of(SMALL, LARGE), this::spec, workers::values);
    private final SimulatedUsers users = new SimulatedUsers(this, historyChecker);
    private final List<JobEventLog.Event> events = new ArrayList<>();
    private final RecordingTaskTracer traces = new RecordingTaskTracer();
    private final JobEventListeners jobEventListeners =
            new JobEventListeners(new JobEventLog(events::add), traces);

    /**
     * The first violation found inside a callback, where a thrown exception would go unnoticed;
     * null if there is none.
     */
    private AssertionError violation;

    private final ImagePulls imagePulls = new ImagePulls();
    private Consumer<JobSpec> gangTimeoutAction = gang -> {};
    private ReservationSettings reservationSettings = ReservationSettings.OFF;
    private StandbySettings standbySettings = StandbySettings.DISABLED;
    private int lastMachineNumber;
    private int nextSeed = FIRST_SEED;
    private int startCount;
    private int startCommandCount;

    SimulatedCluster() {
        store.onPut(RecordKeys.LEADER_KEY, network::deliverKeptHeartbeats);
        withTeam("team", 0, 0);
        withTeam("other", 0, 0);
        for (int index = 0; index < NODE_COUNT; index++) {
            nodes.add(new SimulatedNode(this, index));
        }
    }

    // ---- components ----

    VirtualEventLoop loop() {
        return loop;
    }

    FakeKeyValueStore store() {
        return store;
    }

    RandomEncoding encoding() {
        return encoding;
    }

    SimulatedNetwork network() {
        return network;
    }

    /** Returns the faults of the calls that nodes make to other systems. */
    CallFaults callFaults() {
        return callFaults;
    }

    SimulatedCloud cloud() {
        return cloud;
    }

    /** Returns the simulated users of the native job API. */
    SimulatedUsers users() {
        return users;
    }

    /** Returns the clients of the HTTP APIs for task execution and reservations. */
    SimulatedApiClients clients() {
        return clients;
    }

    /** Returns the checker of the protocol's rules, which sees what users and workers observe. */
    HistoryChecker historyChecker() {
        return historyChecker;
    }

    // ---- settings ----

    /**
     * Sets a team's quota.
     *
     * @param guaranteedGpus GPUs that the team gets before other teams exceed their guarantees
     * @param maxGpus GPUs that the team may use; 0 if unlimited
     */
    SimulatedCluster withTeam(String name, double guaranteedGpus, double maxGpus) {
        teams.put(
                name,
                new DeploymentSettings.TeamQuota(
                        name, Resources.of(0, guaranteedGpus, 0), Resources.of(0, maxGpus, 0)));
        return this;
    }

    /** Starts to duplicate messages, see {@link SimulatedNetwork#duplicateMessages}. */
    SimulatedCluster duplicateMessages(long seed) {
        network.duplicateMessages(seed);
        return this;
    }

    /**
     * Restarts all nodes with reservations and maintenance windows.
     *
     * @param machineLimits the number of machines that may be reserved, by type or type and zone
     */
    void enableReservations(Map<String, Integer> machineLimits) {
        reservationSettings = new ReservationSettings(true, machineLimits, Duration.ofMillis(100));
        crashAll();
        restartAll();
    }

    /** Restarts all nodes with warm standbys. */
    SimulatedCluster enableStandbys() {
        standbySettings = new StandbySettings(true, "test", "a");
        crashAll();
        restartAll();
        return this;
    }

    DeploymentSettings deploymentSettings(String node) {
        return new DeploymentSettings(
                node,
                ZONES,
                teams,
                List.of(),
                Duration.ofSeconds(3),
                Duration.ofSeconds(18),
                Duration.ofSeconds(30),
                CANCEL_TIMEOUT,
                100,
                50,
                16 * 1024,
                12,
                10,
                Duration.ofSeconds(8));
    }

    ReservationSettings reservationSettings() {
        return reservationSettings;
    }

    StandbySettings standbySettings() {
        return standbySettings;
    }

    JobEventListeners jobEventListeners() {
        return jobEventListeners;
    }

    RecordingTaskTracer traces() {
        return traces;
    }

    /** Returns the seed of the next random source; no two sources have the same one. */
    int nextSeed() {
        return nextSeed++;
    }

    /** Returns the durations of image pulls. */
    ImagePulls imagePulls() {
        return imagePulls;
    }

    /** Sets how long every image pull takes. */
    void setImagePullTime(Duration time) {
        imagePulls.fixDuration(time);
    }

    /** Sets an action that runs when a gang's task times out waiting for the others. */
    void onGangTimeout(Consumer<JobSpec> action) {
        gangTimeoutAction = action;
    }

    /** Called when a gang's task has timed out waiting for the others. */
    void onGangTimeout(TaskId task) {
        gangTimeoutAction.accept(spec(task.jobId()));
    }

    // ---- nodes ----

    List<SimulatedNode> nodes() {
        return nodes;
    }

    int nodeCount() {
        return nodes.size();
    }

    int indexOf(String node) {
        return Integer.parseInt(node.substring(1));
    }

    SimulatedNode nodeNamed(String name) {
        return nodes.get(indexOf(name));
    }

    /** Returns the running controller of a node, or null if none runs. */
    ControllerNode node(int node) {
        return nodes.get(node).controller();
    }

    FakeStoreConnection storeConnection(int node) {
        return nodes.get(node).storeConnection();
    }

    boolean isReady(int node) {
        return node(node).isReadyForUsers();
    }

    /** Returns the node that the leader record names, or -1 if there is no such record. */
    int leader() {
        Map<String, Object> record = store.valueOf("meta/leader");
        return record == null ? -1 : indexOf((String) record.get("member"));
    }

    /** Returns the highest fencing token issued so far. */
    long fencingToken() {
        return ((Number) store.valueOf("meta/term").get("term")).longValue();
    }

    void crash(int node) {
        if (nodes.get(node).isRunning()) {
            nodes.get(node).crash();
        }
    }

    void restart(int node) {
        if (!nodes.get(node).isRunning()) {
            nodes.get(node).start();
        }
    }

    void crashAll() {
        for (int node = 0; node < nodes.size(); node++) {
            crash(node);
        }
    }

    void restartAll() {
        for (int node = 0; node < nodes.size(); node++) {
            restart(node);
        }
    }

    /** Crashes a node's process and starts it again after a delay. */
    void restartAfter(int node, Duration delay) {
        if (nodes.get(node).isResponsive()) {
            crash(node);
            loop.schedule(delay, () -> restart(node));
        }
    }

    /**
     * Cuts the power of a node's machine: the process ends, and connections to it time out instead
     * of being refused.
     */
    void losePower(int node) {
        nodes.get(node).losePower();
    }

    /** Pauses a node's process: it executes nothing, while its clock goes on. */
    void pause(int node) {
        nodes.get(node).pause();
    }

    void resume(int node) {
        nodes.get(node).resume();
    }

    /** Overloads a node: its timers are late by more than its lease. */
    void overload(int node, boolean overloaded) {
        delayTimers(node, overloaded ? OVERLOAD_DELAY : Duration.ZERO);
    }

    void delayTimers(int node, Duration delay) {
        nodes.get(node).delayTimers(delay);
    }

    void cutFromWorkers(int node, boolean cut) {
        for (String zone : ZONES) {
            cutFromZone(node, zone, cut);
        }
    }

    /**
     * Cuts a node from the workers of a zone: neither heartbeats nor direct commands pass, and no
     * connection is refused.
     */
    void cutFromZone(int node, String zone, boolean cut) {
        nodes.get(node).cutFromZone(zone, cut);
    }

    /** Loses the heartbeats sent to a node, while its direct commands are answered. */
    void loseHeartbeats(int node, boolean lose) {
        nodes.get(node).loseHeartbeats(lose);
    }

    /** Cuts a node from the store and the other nodes, but not from its workers and users. */
    void partition(int node, boolean partitioned) {
        nodes.get(node).partition(partitioned);
    }

    /** Makes a node refuse connections from the other nodes. */
    void refusePeerConnections(int node, boolean refuse) {
        nodes.get(node).refusePeers(refuse);
    }

    /** Refuses all connections between the nodes, as a packet filter does. */
    void refuseAllPeerConnections(boolean refuse) {
        nodes.forEach(node -> node.refusePeers(refuse));
    }

    // ---- machines ----

    /** Adds a machine that was not rented, with its worker. */
    FakeWorker addMachine(MachineType type, String zone) {
        return boot(nextMachineId(), type.name(), zone);
    }

    MachineId nextMachineId() {
        return new MachineId("vm-%06d".formatted(++lastMachineNumber));
    }

    FakeWorker boot(MachineId id, String type, String zone) {
        FakeWorker worker = new FakeWorker(this, id.value(), type, zone);
        workers.put(id, worker);
        return worker;
    }

    List<FakeWorker> workers() {
        return List.copyOf(workers.values());
    }

    /** Returns the worker of a machine, or null if there is none. */
    FakeWorker worker(MachineId id) {
        return workers.get(id);
    }

    FakeWorker removeWorker(MachineId id) {
        return workers.remove(id);
    }

    /** Returns the machines on which a task runs. */
    List<FakeWorker> machinesRunning(TaskId task) {
        return workers.values().stream()
                .filter(worker -> worker.runningTasks().contains(task))
                .toList();
    }

    static MachineType machineType(String name) {
        return name.equals(SMALL.name()) ? SMALL : LARGE;
    }

    // ---- jobs ----

    /** Returns a job with default values, of class "class" and team "team". */
    static JobSpec spec(int number, JobKind kind, int tasks, double gpus) {
        return new JobSpec(
                new JobId("req-%06d".formatted(number)),
                "class",
                "team",
                kind,
                Priority.NORMAL,
                tasks,
                Resources.of(1, gpus, 4),
                null,
                null,
                false,
                false,
                false,
                "image",
                1,
                10,
                0,
                0,
                Double.NaN);
    }

    void addJob(JobSpec spec, Duration runtime) {
        specs.put(spec.id(), spec);
        runtimes.put(spec.id(), runtime);
    }

    /** Returns the jobs that were submitted or started, ordered by id. */
    List<JobSpec> knownJobs() {
        return specs.values().stream().sorted(Comparator.comparing(JobSpec::id)).toList();
    }

    /**
     * Returns a job's specification as it was submitted here, or else as the live record of the job
     * has it.
     */
    JobSpec spec(JobId id) {
        return specs.computeIfAbsent(
                id,
                unknown -> {
                    historyChecker.recordSubmission(id);
                    return JobRecordCodec.decode(
                                    id,
                                    store.valueOf(RecordKeys.job(id)),
                                    Revision.ABSENT,
                                    loop.now())
                            .spec();
                });
    }

    /** Sets the runtime of the tasks of a job that was not submitted through {@link #users}. */
    void setRuntime(JobId id, Duration runtime) {
        runtimes.put(id, runtime);
    }

    /** Returns the runtime of the tasks of a job, or null if they run until they are stopped. */
    Duration runtimeOf(JobId id) {
        return runtimes.get(id);
    }

    /** Returns the events that all nodes logged, ordered by the store's revisions. */
    List<JobEventLog.Event> events() {
        return events.stream().sorted(Comparator.comparing(JobEventLog.Event::revision)).toList();
    }

    /** Returns the notes of the recording tracer, in the order of the calls. */
    List<String> traceNotes() {
        return traces.notes();
    }

    // ---- events from workers ----

    /** Returns the number of tasks that started. */
    int startCount() {
        return startCount;
    }

    /** Returns the number of start commands that workers executed. */
    int startCommandCount() {
        return startCommandCount;
    }

    /** Called when a worker has executed a command to start a task. */
    void onStartCommand(TaskId task) {
        startCommandCount++;
        historyChecker.recordStartCommand(task);
    }

    /** Called when a task starts on its machine with its image pulled. */
    void onTaskStarted(FakeWorker worker, TaskId task) {
        startCount++;
        historyChecker.checkStart(worker, task, loop.now());
    }

    /**
     * Returns whether a job may complete: a gang may only while each of its tasks runs on a machine
     * or has completed.
     */
    boolean mayComplete(JobId id) {
        JobSpec spec = spec(id);
        for (int task = 0; spec.kind() == JobKind.GANG && task < spec.taskCount(); task++) {
            TaskId taskId = new TaskId(id, task);
            if (!historyChecker.isCompleted(taskId) && machinesRunning(taskId).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether all tasks of a gang take part in an attempt. */
    boolean isGangComplete(JobId id, AttemptNumber attempt) {
        for (int task = 0; task < spec(id).taskCount(); task++) {
            TaskId taskId = new TaskId(id, task);
            if (workers.values().stream()
                    .noneMatch(worker -> worker.participatesIn(taskId, attempt))) {
                return false;
            }
        }
        return true;
    }

    /** Called when a task has completed; the tasks of a gang complete together. */
    void onTaskCompleted(TaskId task) {
        historyChecker.recordCompletion(task);
        JobSpec spec = spec(task.jobId());
        users.onTaskCompleted(spec);
        if (spec.kind() != JobKind.GANG) {
            return;
        }
        for (int other = 0; other < spec.taskCount(); other++) {
            TaskId taskId = new TaskId(task.jobId(), other);
            if (historyChecker.recordCompletion(taskId)) {
                machinesRunning(taskId).forEach(worker -> worker.completeTask(taskId));
            }
        }
    }

    // ---- time and rules ----

    /** Advances virtual time, and checks the rules after each quarter of a second. */
    void run(Duration duration) {
        long steps = duration.toNanos() / STEP.toNanos();
        for (long step = 0; step < steps; step++) {
            loop.run(STEP);
            for (FakeWorker worker : workers()) {
                if (!worker.isHung() && !worker.isRemoved()) {
                    worker.advance();
                }
            }
            checkRules();
        }
    }

    void runSeconds(double seconds) {
        run(Duration.ofMillis((long) (seconds * 1000)));
    }

    /** Advances virtual time until an answer comes, by five seconds at most. */
    void runUntilAnswered(CompletableFuture<?> answer) {
        for (int step = 0; step < STEPS_UNTIL_TIMEOUT && !answer.isDone(); step++) {
            run(STEP);
        }
    }

    /**
     * Declares that all faults have ended: from now on users poll each job every few seconds, and
     * the guarantees for times without faults are checked.
     */
    void beginFaultFreePhase() {
        historyChecker.beginFaultFreePhase(loop.now());
        users.pollUnfinishedJobs();
    }

    /**
     * Runs a check inside a callback, where a thrown exception would go unnoticed. The first
     * violation is kept and fails the test at its next step.
     */
    void recordViolations(Runnable check) {
        try {
            check.run();
        } catch (AssertionError error) {
            violation = violation == null ? error : violation;
        }
    }

    private void checkRules() {
        if (violation != null) {
            throw violation;
        }
        historyChecker.checkStep(loop.now());
    }
}
