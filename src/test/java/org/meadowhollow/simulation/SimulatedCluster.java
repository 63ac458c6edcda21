package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.meadowhollow.coordination.ControllerNode;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.admission.AdmissionService.JobStatus;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.coordination.failover.StandbySettings;
import org.meadowhollow.coordination.reservation.ReservationService;
import org.meadowhollow.coordination.reservation.ReservationSettings;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.jobs.JobApi;
import org.meadowhollow.protocol.jobs.SubmissionCodec;
import org.meadowhollow.protocol.reservation.ReservationApi;
import org.meadowhollow.protocol.tes.BearerTokens;
import org.meadowhollow.protocol.tes.TesApi;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.RecordDigests;

/**
 * A deployment in memory and in virtual time: three nodes, the state service, a cloud and workers.
 * It checks the protocol's rules whenever a task starts and after every step.
 */
final class SimulatedCluster {
    static final MachineType SMALL =
            new MachineType("small", Resources.of(8, 2, 32), 50, 1, 2, 1, 10, List.of("a", "b"));
    static final MachineType LARGE =
            new MachineType("large", Resources.of(32, 8, 128), 50, 1, 8, 4, 10, List.of("a", "b"));
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(48);

    /** Longer than a leadership's lease. */
    private static final Duration BUSY_DELAY = Duration.ofSeconds(6);

    private static final List<Duration> DUPLICATE_DELAYS =
            List.of(Duration.ofMillis(100), Duration.ofSeconds(20), Duration.ofMinutes(4));
    private static final Duration STEP = Duration.ofMillis(250);
    private static final int MAX_HUNG_MACHINES = 8;
    private static final Duration RENTAL_RESPONSE_DELAY = Duration.ofMillis(100);
    private static final int MAX_KEPT_HEARTBEATS = 1000;

    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final FakeKeyValueStore store = new FakeKeyValueStore(loop);
    private final List<SimulatedNode> members = new ArrayList<>();
    private final Map<MachineId, FakeWorker> workers = new TreeMap<>();
    private final Map<String, List<MachineId>> rentalCount = new HashMap<>();
    private final Map<JobId, JobSpec> specs = new HashMap<>();
    private final Map<JobId, Duration> runTimes = new HashMap<>();
    private final Map<String, DeploymentSettings.TeamQuota> teams = new HashMap<>();
    private final HistoryChecker historyChecker =
            new HistoryChecker(
                    CANCEL_TIMEOUT, teams, List.of(SMALL, LARGE), this::spec, workers::values);

    /** What was found wrong inside an answer, where nothing that is thrown would be seen. */
    private AssertionError wrong;

    private final Map<JobId, Phase> lookedClosely = new HashMap<>();
    private final Map<MachineId, MonotonicTime> rentedAt = new HashMap<>();
    private final List<Heartbeat> kept = new ArrayList<>();
    private Random keeping;
    private double keptShare;
    private Random cancelling;
    private double cancelledAtEnd;
    private Duration boot = Duration.ofSeconds(10);
    private Duration listLag = Duration.ZERO;
    private int deliveredToNextLeaderCount;
    private int startCommandCount;

    /** Null unless direct orders are held up. */
    private List<Runnable> heldOrders;

    private int nextAsked;
    private final List<JobEventLog.Event> events = new ArrayList<>();
    private final RecordingTaskTracer traces = new RecordingTaskTracer();
    private final JobEventListeners jobEventListeners =
            new JobEventListeners(new JobEventLog(events::add), traces);
    private Duration imagePullTime = Duration.ofSeconds(2);
    private final List<FakeWorker> returnedMachines = new ArrayList<>();
    private final Set<MachineId> taken = new HashSet<>();
    private final Set<MachineId> failed = new HashSet<>();
    private int limitRentedMachines = 40;
    private int failNextBoots;
    private Random duplicateMessages;
    private Random duplicateHeartbeatsLate;
    private double lateShare;
    private int asyncAnswerCount;
    private boolean pollAllAfterAnswers;
    private ReservationSettings enableReservations = ReservationSettings.OFF;
    private StandbySettings enableStandbys = StandbySettings.DISABLED;
    private UnaryOperator<RiskTableDelta> tablesChange = UnaryOperator.identity();
    private Duration tablesLate = Duration.ofMillis(5);
    private boolean failCloud;
    private boolean cutPeers;
    private int nextMachine;
    private int nextSeed = 7;
    private int startCount;
    private int directs;
    private int reports;

    /** A node's process and its lines. */
    private final class SimulatedNode {
        private final String name;
        private FakeKeyValueStore.Connection connection;
        private ControllerNode controllerNode;
        private AdmissionService admissionService;
        private TesApi tes;
        private ReservationApi desk;

        /** The zones whose workers it cannot hear or reach. */
        private final Set<String> cutZones = new HashSet<>();

        /** Reports do not come here, while its own messages go out and are answered. */
        private boolean mute;

        /** What it should have done since it stands still; null while it runs. */
        private List<Runnable> frozen;

        private Duration busy = Duration.ZERO;
        private boolean refusesPeers;

        /** No message passes between it and the other nodes. */
        private boolean apart;

        /** Its machine gives no answer, rather than that nobody listens there. */
        private boolean silent;

        SimulatedNode(String name) {
            this.name = name;
            start();
        }

        void start() {
            silent = false;
            connection =
                    store.new Connection()
                            .deliverResponsesOn(this::whenAwake)
                            .duplicateRequestsTo(SimulatedCluster.this::again);
            FakeKeyValueStore.Connection mine = connection;
            MachineTypeCatalog machineTypeCatalog = new MachineTypeCatalog();
            DeploymentSettings deploymentSettings =
                    new DeploymentSettings(
                            name,
                            List.of("a", "b"),
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
            EventLoop own = new NodeEventLoop(this);
            controllerNode =
                    new ControllerNode(
                            own,
                            mine,
                            new SimulatedWorkerGateway(this),
                            new SimulatedCloudProvider(),
                            new SimulatedPeerGateway(this),
                            deploymentSettings,
                            machineTypeCatalog,
                            jobEventListeners,
                            enableReservations,
                            enableStandbys,
                            new Random(nextSeed++));
            admissionService =
                    new AdmissionService(
                            mine,
                            own,
                            machineTypeCatalog,
                            deploymentSettings,
                            jobEventListeners,
                            controllerNode::liveJobState);
            tes =
                    new TesApi(
                            admissionService,
                            mine,
                            own,
                            deploymentSettings,
                            tokens(),
                            traces,
                            new Random(nextSeed++));
            desk =
                    new ReservationApi(
                            new ReservationService(
                                    mine,
                                    own,
                                    machineTypeCatalog,
                                    deploymentSettings,
                                    enableReservations.machineLimits()),
                            operators());
            controllerNode.start();
        }

        void whenAwake(Runnable work) {
            if (frozen == null) {
                work.run();
            } else {
                frozen.add(work);
            }
        }

        boolean hears(String zone) {
            return !cutZones.contains(zone);
        }

        void crash() {
            connection.close();
            controllerNode.close();
            controllerNode = null;
        }
    }

    /**
     * A node's own view of the loop: one that is busy comes to its timers late, though it goes on
     * taking reports.
     */
    private final class NodeEventLoop implements EventLoop {
        private final SimulatedNode simulatedNode;

        NodeEventLoop(SimulatedNode simulatedNode) {
            this.simulatedNode = simulatedNode;
        }

        @Override
        public MonotonicTime now() {
            return loop.now();
        }

        @Override
        public long wallClockMillis() {
            return loop.wallClockMillis();
        }

        @Override
        public void schedule(Duration pause, Runnable work) {
            loop.schedule(pause.plus(simulatedNode.busy), () -> simulatedNode.whenAwake(work));
        }
    }

    SimulatedCluster() {
        store.onPut(RecordCodec.LEADER_KEY, this::leaderBegins);
        withTeam("team", 0, 0);
        withTeam("other", 0, 0);
        for (String name : List.of("n0", "n1", "n2")) {
            members.add(new SimulatedNode(name));
        }
    }

    private static BearerTokens tokens() {
        try {
            // The SHA-256 of "secret", "other secret" and "reader".
            return BearerTokens.parse(
                    List.of(
                            "team=2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
                            "other=bd4106123e659e259c401119d0c7ef0a221df306a5a414b6fb6a579499962d26",
                            "*=3d0941964aa3ebdcb00ccef58b1bb399f9f898465e9886d5aec7f31090a0fb30"));
        } catch (MalformedMessageException wrong) {
            throw new AssertionError(wrong);
        }
    }

    /**
     * Sends a request of a client of the task execution API, and waits five seconds for the answer;
     * null if none.
     */
    Http.Reply sendTesRequest(
            int node,
            String token,
            String method,
            String path,
            Map<String, List<String>> query,
            Map<String, String> headers,
            String body) {
        return sendTesRequest(
                node, token, method, path, query, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * @param token null if the headers hold what there is of one
     */
    Http.Reply sendTesRequest(
            int node,
            String token,
            String method,
            String path,
            Map<String, List<String>> query,
            Map<String, String> headers,
            byte[] body) {
        if (members.get(node).controllerNode == null) {
            return null;
        }
        CompletableFuture<Http.Reply> answer =
                sendTesRequestAsync(node, token, method, path, query, headers, body);
        for (int step = 0; step < 20 && !answer.isDone(); step++) {
            run(STEP);
        }
        return answer.isDone() ? answer.join() : null;
    }

    /** Sends such a request to a node that runs, and waits for nothing. */
    CompletableFuture<Http.Reply> sendTesRequestAsync(
            int node,
            String token,
            String method,
            String path,
            Map<String, List<String>> query,
            Map<String, String> headers,
            byte[] body) {
        Map<String, String> all = new HashMap<>(headers);
        if (token != null) {
            all.put("Authorization", "Bearer " + token);
        }
        return members.get(node)
                .tes
                .answer(new Http.Request(method, "/ga4gh/tes/v1" + path, query, all::get, body));
    }

    private static BearerTokens operators() {
        try {
            // The SHA-256 of "secret" and "reader".
            return BearerTokens.parse(
                    List.of(
                            "operator=2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
                            "*=3d0941964aa3ebdcb00ccef58b1bb399f9f898465e9886d5aec7f31090a0fb30"));
        } catch (MalformedMessageException wrong) {
            throw new AssertionError(wrong);
        }
    }

    /**
     * Starts all nodes anew with reservations and windows.
     *
     * @param most machines that there are to reserve from, by type or type and zone
     */
    void enableReservations(Map<String, Integer> most) {
        enableReservations = new ReservationSettings(true, most, Duration.ofMillis(100));
        crashAll();
        restartAll();
    }

    /** Starts all nodes anew with warm standbys. */
    SimulatedCluster enableStandbys() {
        enableStandbys = new StandbySettings(true, "test", "a");
        crashAll();
        restartAll();
        return this;
    }

    /** What becomes of what a leader says of its tables, and how long it takes. */
    void interceptRiskTables(UnaryOperator<RiskTableDelta> change, Duration late) {
        tablesChange = change;
        tablesLate = late;
    }

    ControllerNode node(int node) {
        return members.get(node).controllerNode;
    }

    /**
     * From now on any message may come once more: a moment, twenty seconds or four minutes later,
     * out of order, to whoever has its receiver's name by then; nobody waits for the answer.
     */
    SimulatedCluster duplicateMessages(long seed) {
        duplicateMessages = new Random(seed);
        return this;
    }

    /** No more copies are made; those that are on their way still come. */
    void stopDuplicatingMessages() {
        duplicateMessages = null;
    }

    private void again(Runnable delivery) {
        if (duplicateMessages != null && duplicateMessages.nextInt(4) == 0) {
            loop.schedule(
                    DUPLICATE_DELAYS.get(duplicateMessages.nextInt(DUPLICATE_DELAYS.size())),
                    delivery);
        }
    }

    /** A node's process ends and is back, with nothing remembered. */
    void restartAfter(int node, Duration pause) {
        if (members.get(node).controllerNode != null && members.get(node).frozen == null) {
            crash(node);
            loop.schedule(pause, () -> restart(node));
        }
    }

    /** The next machines that are rented never come up. */
    void failNextBoots(int machines) {
        failNextBoots = machines;
    }

    /** Machines that were rented so far. */
    int rentedMachineCount() {
        return rentalCount.values().stream().mapToInt(List::size).sum();
    }

    /** No more machines than these are rented out. */
    void limitRentedMachines(int most) {
        limitRentedMachines = most;
    }

    /** Sends an operator's request, and waits five seconds for the answer; null if none. */
    Http.Reply sendReservationRequest(
            int node, String token, String method, String path, String version, String body) {
        CompletableFuture<Http.Reply> answer =
                sendReservationRequestAsync(node, token, method, path, version, body);
        for (int step = 0; step < 20 && !answer.isDone(); step++) {
            run(STEP);
        }
        return answer.isDone() ? answer.join() : null;
    }

    /** Sends an operator's request and waits for nothing. */
    CompletableFuture<Http.Reply> sendReservationRequestAsync(
            int node, String token, String method, String path, String version, String body) {
        Map<String, String> headers = new HashMap<>(Map.of("Authorization", "Bearer " + token));
        if (version != null) {
            headers.put("If-Match", version);
        }
        return members.get(node)
                .desk
                .answer(
                        new Http.Request(
                                method,
                                "/calendar/v1/" + path,
                                Map.of(),
                                headers::get,
                                body.getBytes(StandardCharsets.UTF_8)));
    }

    /** How long the tasks of a job run that was not submitted here. */
    void setRuntime(JobId id, Duration span) {
        runTimes.put(id, span);
    }

    /** What a job's user asked for, as submitted here or as its live record has it. */
    JobSpec spec(JobId id) {
        return specs.computeIfAbsent(
                id,
                unknown -> {
                    historyChecker.recordSubmission(id);
                    return RecordCodec.job(
                                    id,
                                    store.valueOf(RecordCodec.job(id)),
                                    Revision.ABSENT,
                                    loop.now())
                            .spec();
                });
    }

    static MachineType machineType(String name) {
        return name.equals(SMALL.name()) ? SMALL : LARGE;
    }

    SimulatedCluster withTeam(String name, double guaranteedGpus, double mostGpus) {
        teams.put(
                name,
                new DeploymentSettings.TeamQuota(
                        name, Resources.of(0, guaranteedGpus, 0), Resources.of(0, mostGpus, 0)));
        return this;
    }

    /** How long every image takes to come. */
    void imagePullTime(Duration span) {
        imagePullTime = span;
    }

    Duration imagePullTime() {
        return imagePullTime;
    }

    VirtualEventLoop loop() {
        return loop;
    }

    FakeKeyValueStore store() {
        return store;
    }

    FakeKeyValueStore.Connection storeConnection(int node) {
        return members.get(node).connection;
    }

    int nodeCount() {
        return members.size();
    }

    int indexOf(String member) {
        return Integer.parseInt(member.substring(1));
    }

    int startCount() {
        return startCount;
    }

    /** Orders to start that workers took. */
    int startCommandCount() {
        return startCommandCount;
    }

    /** Messages that went straight to workers since the last call. */
    int takeDirectMessageCount() {
        int taken = directs;
        directs = 0;
        return taken;
    }

    /** Reports that reached a node since the last call. */
    int takeHeartbeatCount() {
        int taken = reports;
        reports = 0;
        return taken;
    }

    /** What all nodes wrote, in the order of the state service. */
    List<JobEventLog.Event> events() {
        return events.stream()
                .sorted(Comparator.comparingLong(event -> event.revision().value()))
                .toList();
    }

    /** What those who trace were told, in the order in which they were. */
    List<String> traceNotes() {
        return traces.notes();
    }

    long fencingToken() {
        return ((Number) store.valueOf("meta/term").get("term")).longValue();
    }

    // ---- troubles ----

    void crash(int node) {
        if (members.get(node).controllerNode != null) {
            members.get(node).crash();
        }
    }

    void restart(int node) {
        if (members.get(node).controllerNode == null) {
            members.get(node).start();
        }
    }

    void crashAll() {
        for (int node = 0; node < members.size(); node++) {
            crash(node);
        }
    }

    void restartAll() {
        for (int node = 0; node < members.size(); node++) {
            restart(node);
        }
    }

    void cutFromWorkers(int node, boolean cut) {
        cutFromZone(node, "a", cut);
        cutFromZone(node, "b", cut);
    }

    /**
     * Neither reports nor direct commands pass between a node and the workers of a zone, and
     * nothing says so.
     */
    void cutFromZone(int node, String zone, boolean cut) {
        if (cut) {
            members.get(node).cutZones.add(zone);
        } else {
            members.get(node).cutZones.remove(zone);
        }
    }

    /** Reports to a node get lost, while its direct commands are answered. */
    void loseHeartbeats(int node, boolean lose) {
        members.get(node).mute = lose;
    }

    /** A node's process stands still, while its clock runs on. */
    void pause(int node) {
        members.get(node).frozen = new ArrayList<>();
    }

    void resume(int node) {
        List<Runnable> due = members.get(node).frozen;
        members.get(node).frozen = null;
        if (due != null) {
            due.forEach(Runnable::run);
        }
    }

    /**
     * Direct orders are held up on their way, to be carried out when this ends, whoever sent them.
     */
    void holdOrders(boolean now) {
        List<Runnable> due = heldOrders;
        heldOrders = now ? new ArrayList<>() : null;
        if (due != null) {
            due.forEach(Runnable::run);
        }
    }

    int heldOrders() {
        return heldOrders.size();
    }

    /** The cloud takes a machine away without notice, and lists it no more. */
    void reclaimMachine(FakeWorker worker) {
        worker.setHung(true);
        taken.add(worker.id());
    }

    /** A machine stops by itself with all that is on it, and the cloud lists it as failed. */
    void failMachine(FakeWorker worker) {
        worker.setHung(true);
        failed.add(worker.id());
    }

    /** Rentals that were asked for so far. */
    int rentalCount() {
        return rentalCount.size();
    }

    /** The machines that were returned to the cloud so far. */
    List<MachineId> returnedMachines() {
        return returnedMachines.stream().map(FakeWorker::id).toList();
    }

    List<MachineId> returnedMachinesOf(String zone) {
        return returnedMachines.stream()
                .filter(worker -> worker.zone().equals(zone))
                .map(FakeWorker::id)
                .toList();
    }

    /** Hints between the nodes are lost. */
    void cutPeers(boolean cut) {
        cutPeers = cut;
    }

    /**
     * A node loses the state service and the other nodes, and neither its workers nor its users.
     */
    void partition(int node, boolean now) {
        members.get(node).apart = now;
        members.get(node).connection.refuseRequests(now);
    }

    /**
     * A copy of each so many reports arrives again, from 2 s to well over a lease later; 0 ends it.
     */
    void duplicateHeartbeatsLate(double share, long seed) {
        duplicateHeartbeatsLate = share == 0 ? null : new Random(seed);
        lateShare = share;
    }

    /**
     * A copy of each so many reports is kept until a new leader begins, and reaches every node
     * then; 0 ends it.
     */
    void keepHeartbeatsForNextLeader(double share, long seed) {
        keeping = share == 0 ? null : new Random(seed);
        keptShare = share;
    }

    /** Keeps a copy of what a worker reports by now for the next leader. */
    void keepHeartbeatForNextLeader(FakeWorker worker) {
        kept.add(worker.snapshot());
    }

    /** Kept reports that reached nodes as a leader began. */
    int deliveredToNextLeaderCount() {
        return deliveredToNextLeaderCount;
    }

    private void leaderBegins() {
        List<Heartbeat> due = List.copyOf(kept);
        kept.clear();
        for (Heartbeat heartbeat : due) {
            for (SimulatedNode simulatedNode : members) {
                if (simulatedNode.controllerNode != null && simulatedNode.frozen == null) {
                    deliveredToNextLeaderCount++;
                    simulatedNode.controllerNode.handleHeartbeat(heartbeat);
                }
            }
        }
    }

    /**
     * Users call off jobs within a fifth of a second, each at the next node, and machines of theirs
     * hang for a time.
     */
    void cancelDuringHang(List<JobSpec> jobs, Duration hang) {
        Set<FakeWorker> hanging = new HashSet<>();
        for (int at = 0; at < jobs.size(); at++) {
            JobSpec job = jobs.get(at);
            int node = at % members.size();
            loop.schedule(
                    Duration.ofMillis(200L * at / jobs.size()), () -> cancelAsync(node, job.id()));
            workers().stream()
                    .filter(
                            worker ->
                                    worker.runningTasks().stream()
                                            .anyMatch(task -> task.jobId().equals(job.id())))
                    .forEach(hanging::add);
        }
        hanging.stream()
                .limit(hang.isZero() ? 0 : MAX_HUNG_MACHINES)
                .forEach(
                        worker -> {
                            worker.setHung(true);
                            loop.schedule(hang, () -> worker.setHung(false));
                        });
    }

    /** So many of the jobs that end are called off at the moment of their end; 0 ends it. */
    void cancelAtCompletion(double share, long seed) {
        cancelling = share == 0 ? null : new Random(seed);
        cancelledAtEnd = share;
    }

    /**
     * Users ask at all nodes within milliseconds, and repeat the submission, as soon as they were
     * told of a job's state.
     */
    void pollAllAfterAnswers(boolean now) {
        pollAllAfterAnswers = now;
    }

    private void lookClosely(JobId id, Phase phase) {
        if (phase == lookedClosely.put(id, phase)) {
            return;
        }
        for (int node = 0; node < members.size(); node++) {
            int asked = node;
            for (int time = 1; time <= 3; time++) {
                loop.schedule(Duration.ofMillis(2L * time + node), () -> pollAsync(asked, id));
            }
            loop.schedule(Duration.ofMillis(3 + node), () -> resubmitAsync(asked, spec(id)));
        }
    }

    /** Jobs of which tasks run, and that nobody was told to be over. */
    List<JobSpec> runningJobs() {
        return specs.values().stream()
                .filter(
                        spec ->
                                !historyChecker.isReportedEnded(spec.id())
                                        && workers().stream()
                                                .anyMatch(
                                                        worker ->
                                                                worker.runningTasks().stream()
                                                                        .anyMatch(
                                                                                task ->
                                                                                        task.jobId()
                                                                                                .equals(
                                                                                                        spec
                                                                                                                .id()))))
                .sorted(Comparator.comparing(JobSpec::id))
                .toList();
    }

    /**
     * A user repeats a submission, calls off a job that is done, or sends one that cannot run or
     * lacks a field.
     */
    void sendUnusualRequest(Random random) {
        int node = random.nextInt(members.size());
        List<JobSpec> known =
                specs.values().stream().sorted(Comparator.comparing(JobSpec::id)).toList();
        if (known.isEmpty()) {
            return;
        }
        JobSpec job = known.get(random.nextInt(known.size()));
        switch (random.nextInt(5)) {
            case 0, 1 -> resubmitAsync(node, job);
            case 2 -> {
                if (historyChecker.isReportedEnded(job.id())) {
                    cancelAsync(node, job.id());
                }
            }
            case 3 ->
                    refused(
                            node,
                            422,
                            SubmissionCodec.encode(
                                    spec(900_000 + random.nextInt(1000), JobKind.ARRAY, 1, 9)));
            default -> {
                Map<String, Object> body =
                        new HashMap<>(SubmissionCodec.encode(spec(910_000, JobKind.ARRAY, 1, 1)));
                List<String> needed =
                        body.keySet().stream()
                                .filter(key -> body.get(key) != null)
                                .sorted()
                                .toList();
                body.remove(needed.get(random.nextInt(needed.size())));
                refused(node, 400, body);
            }
        }
    }

    private void refused(int node, int status, Map<String, Object> body) {
        request(
                node,
                admissionService ->
                        new JobApi(admissionService)
                                .submit(MessagePackCodec.encode(body))
                                .thenAccept(
                                        reply ->
                                                recordViolations(
                                                        () ->
                                                                assertTrue(
                                                                        reply.status() == status
                                                                                || reply.status()
                                                                                        == 503,
                                                                        "wrongly answered "
                                                                                + reply
                                                                                        .status()))));
    }

    /**
     * All troubles are over: users ask about each job every few seconds, and what is promised for
     * then is checked.
     */
    void beginFaultFreePhase() {
        historyChecker.beginFaultFreePhase(loop.now());
        askAll();
    }

    private void askAll() {
        historyChecker.unfinished().forEach(id -> pollAsync(nextAsked++ % members.size(), id));
        loop.schedule(Duration.ofSeconds(5), this::askAll);
    }

    /** Rented machines are up after such a time, and the cloud's list is so late. */
    void setBootTimes(Duration within, Duration listedAfter) {
        boot = within;
        listLag = listedAfter;
    }

    /** Sends a body as a user does, and gives the status; 0 without an answer. */
    int postSubmission(int node, Map<String, Object> body) {
        return await(
                        node,
                        admissionService ->
                                new JobApi(admissionService).submit(MessagePackCodec.encode(body)))
                .map(Http.Reply::status)
                .orElse(0);
    }

    void delayTimers(int node, boolean now) {
        delayTimers(node, now ? BUSY_DELAY : Duration.ZERO);
    }

    /** A node comes to each of its timers so much later. */
    void delayTimers(int node, Duration late) {
        members.get(node).busy = late;
    }

    /** A node refuses connections from the others. */
    void refusePeerConnections(int node, boolean refuse) {
        members.get(node).refusesPeers = refuse;
    }

    /** A packet filter refuses all connections between the nodes. */
    void refuseAllPeerConnections(boolean refuse) {
        members.forEach(simulatedNode -> simulatedNode.refusesPeers = refuse);
    }

    /** The machine of a node loses its power: the process is gone, and no connection is refused. */
    void losePower(int node) {
        members.get(node).silent = true;
        crash(node);
    }

    void failCloud(boolean out) {
        failCloud = out;
    }

    FakeWorker addMachine(MachineType type, String zone) {
        String id = "vm-%06d".formatted(++nextMachine);
        FakeWorker worker = new FakeWorker(this, id, type.name(), zone);
        workers.put(worker.id(), worker);
        return worker;
    }

    List<FakeWorker> workers() {
        return List.copyOf(workers.values());
    }

    int leader() {
        Map<String, Object> record = store.valueOf("meta/leader");
        return record == null ? -1 : indexOf((String) record.get("member"));
    }

    // ---- users ----

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

    /** Submits until accepted, as users do. */
    boolean submit(int node, JobSpec spec, Duration runTime) {
        specs.put(spec.id(), spec);
        runTimes.put(spec.id(), runTime);
        historyChecker.recordSubmission(spec.id());
        again(() -> resubmitAsync(node, spec));
        return await(
                        node,
                        admissionService ->
                                recordViolations(
                                        spec.id(),
                                        admissionService
                                                .submit(spec)
                                                .thenApply(
                                                        submissionResult ->
                                                                Optional.of(
                                                                        submissionResult
                                                                                .status()))))
                .isPresent();
    }

    /** Submits without waiting for the answer. */
    CompletableFuture<Optional<JobStatus>> submitAsync(int node, JobSpec spec, Duration runTime) {
        specs.put(spec.id(), spec);
        runTimes.put(spec.id(), runTime);
        historyChecker.recordSubmission(spec.id());
        return resubmitAsync(node, spec);
    }

    /** Submits a job once more, without waiting for the answer. */
    CompletableFuture<Optional<JobStatus>> resubmitAsync(int node, JobSpec spec) {
        return request(
                node,
                admissionService ->
                        recordViolations(
                                spec.id(),
                                admissionService
                                        .submit(spec)
                                        .thenApply(
                                                submissionResult ->
                                                        Optional.of(submissionResult.status()))));
    }

    Optional<JobStatus> poll(int node, JobId id) {
        return await(node, admissionService -> recordViolations(id, admissionService.getStatus(id)))
                .flatMap(state -> state);
    }

    /** Asks about a job without waiting for the answer. */
    void pollAsync(int node, JobId id) {
        request(
                node,
                admissionService ->
                        recordViolations(id, admissionService.getStatus(id))
                                .thenAccept(state -> asyncAnswerCount++));
    }

    /** Answers to those who did not wait. */
    int asyncAnswerCount() {
        return asyncAnswerCount;
    }

    boolean cancel(int node, JobId id) {
        historyChecker.recordCancelRequest(id);
        again(() -> cancelAsync(node, id));
        return await(node, admissionService -> recordViolations(id, admissionService.cancel(id)))
                .isPresent();
    }

    /** Asks for a job's cancellation without waiting for the answer. */
    CompletableFuture<Optional<JobStatus>> cancelAsync(int node, JobId id) {
        historyChecker.recordCancelRequest(id);
        return request(node, admissionService -> recordViolations(id, admissionService.cancel(id)));
    }

    /** What users and workers saw, by the protocol's rules. */
    HistoryChecker historyChecker() {
        return historyChecker;
    }

    /** Holds each answer against what was told before its question was sent. */
    private CompletableFuture<Optional<JobStatus>> recordViolations(
            JobId id, CompletableFuture<Optional<JobStatus>> answer) {
        MonotonicTime sentAt = loop.now();
        answer.thenAccept(
                state ->
                        recordViolations(
                                () -> {
                                    Phase phase = state.map(JobStatus::phase).orElse(null);
                                    historyChecker.checkAnswer(id, phase, sentAt, loop.now());
                                    if (pollAllAfterAnswers && phase != null) {
                                        lookClosely(id, phase);
                                    }
                                }));
        return answer;
    }

    /**
     * What is found wrong inside an answer ends the test with its next step; thrown there, nobody
     * would see it.
     */
    void recordViolations(Runnable check) {
        try {
            check.run();
        } catch (AssertionError found) {
            wrong = wrong == null ? found : wrong;
        }
    }

    private interface AdmissionRequest<T> {
        CompletableFuture<T> of(AdmissionService admissionService);
    }

    /** Sends a request that nobody waits for; it fails where no node listens. */
    private <T> CompletableFuture<T> request(int node, AdmissionRequest<T> request) {
        return members.get(node).controllerNode != null && members.get(node).frozen == null
                ? request.of(members.get(node).admissionService)
                : CompletableFuture.failedFuture(new IllegalStateException("down"));
    }

    /** Waits five seconds for an answer; empty if none or a refusal came. */
    private <T> Optional<T> await(int node, AdmissionRequest<T> admissionRequest) {
        if (members.get(node).controllerNode == null || members.get(node).frozen != null) {
            return Optional.empty();
        }
        CompletableFuture<T> answer = admissionRequest.of(members.get(node).admissionService);
        for (int step = 0; step < 20 && !answer.isDone(); step++) {
            run(STEP);
        }
        return answer.isDone() && !answer.isCompletedExceptionally()
                ? Optional.of(answer.join())
                : Optional.empty();
    }

    // ---- time and rules ----

    void run(Duration span) {
        long steps = span.toNanos() / STEP.toNanos();
        for (long step = 0; step < steps; step++) {
            loop.run(STEP);
            for (FakeWorker worker : workers()) {
                if (!worker.isHung() && !worker.isRemoved()) {
                    worker.advance();
                }
            }
            check();
        }
    }

    void runSeconds(double seconds) {
        run(Duration.ofMillis((long) (seconds * 1000)));
    }

    private void check() {
        if (wrong != null) {
            throw wrong;
        }
        historyChecker.checkStep(loop.now());
    }

    /** A worker has taken an order to start a task. */
    void onStartCommand(TaskId task) {
        startCommandCount++;
        historyChecker.recordStartCommand(task);
    }

    /** A task has its image now and is on its machine. */
    void onTaskStarted(FakeWorker worker, TaskId task) {
        startCount++;
        historyChecker.checkStart(worker, task, loop.now());
    }

    /** A gang runs, and so completes, only while each of its tasks is on a machine. */
    boolean mayComplete(JobId id) {
        JobSpec spec = spec(id);
        for (int task = 0; spec.kind() == JobKind.GANG && task < spec.taskCount(); task++) {
            TaskId each = new TaskId(id, task);
            if (!historyChecker.isCompleted(each) && machinesRunning(each).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Whether all tasks of a gang's attempt are there. */
    boolean isGangComplete(JobId id, AttemptNumber attemptNumber) {
        for (int task = 0; task < spec(id).taskCount(); task++) {
            TaskId each = new TaskId(id, task);
            if (workers.values().stream()
                    .noneMatch(worker -> worker.participatesIn(each, attemptNumber))) {
                return false;
            }
        }
        return true;
    }

    void onTaskCompleted(TaskId task) {
        historyChecker.recordCompletion(task);
        JobSpec spec = spec(task.jobId());
        boolean ends =
                spec.kind() == JobKind.GANG
                        || !historyChecker.isReportedEnded(spec.id())
                                && IntStream.range(0, spec.taskCount())
                                        .allMatch(
                                                at ->
                                                        historyChecker.isCompleted(
                                                                new TaskId(spec.id(), at)));
        if (ends && cancelling != null && cancelling.nextDouble() < cancelledAtEnd) {
            int node = cancelling.nextInt(members.size());
            loop.schedule(
                    Duration.ofMillis(cancelling.nextInt(400)), () -> cancelAsync(node, spec.id()));
        }
        if (spec.kind() == JobKind.GANG) {
            // The tasks of a gang complete together.
            for (int other = 0; other < spec.taskCount(); other++) {
                TaskId each = new TaskId(task.jobId(), other);
                if (historyChecker.recordCompletion(each)) {
                    machinesRunning(each).forEach(worker -> worker.completeTask(each));
                }
            }
        }
    }

    Duration runtimeOf(JobId id) {
        return runTimes.get(id);
    }

    /** The machines that a task is on. */
    List<FakeWorker> machinesRunning(TaskId task) {
        return workers.values().stream()
                .filter(worker -> worker.runningTasks().contains(task))
                .toList();
    }

    // ---- the network ----

    /** Hands a report to a node; null when there is no answer. */
    CompletableFuture<HeartbeatResponse> deliverHeartbeat(int node, Heartbeat heartbeat) {
        SimulatedNode simulatedNode = members.get(node);
        if (simulatedNode.controllerNode == null && !simulatedNode.silent) {
            return null;
        }
        CompletableFuture<HeartbeatResponse> answer = new CompletableFuture<>();
        if (simulatedNode.controllerNode == null
                || simulatedNode.mute
                || !simulatedNode.hears(heartbeat.zone())) {
            return answer;
        }
        ControllerNode asked = simulatedNode.controllerNode;
        reports++;
        if (keeping != null
                && keeping.nextDouble() < keptShare
                && kept.size() < MAX_KEPT_HEARTBEATS) {
            kept.add(heartbeat);
        }
        if (duplicateHeartbeatsLate != null && duplicateHeartbeatsLate.nextDouble() < lateShare) {
            loop.schedule(
                    Duration.ofMillis(2000 + duplicateHeartbeatsLate.nextInt(40_000)),
                    () -> {
                        if (simulatedNode.controllerNode != null && simulatedNode.frozen == null) {
                            simulatedNode.controllerNode.handleHeartbeat(heartbeat);
                        }
                    });
        }
        again(
                () -> {
                    if (simulatedNode.controllerNode != null && simulatedNode.frozen == null) {
                        simulatedNode.controllerNode.handleHeartbeat(heartbeat);
                    }
                });
        simulatedNode.whenAwake(
                () ->
                        asked.handleHeartbeat(heartbeat)
                                .thenAccept(
                                        given -> {
                                            if (simulatedNode.controllerNode == asked
                                                    && simulatedNode.hears(heartbeat.zone())) {
                                                answer.complete(given);
                                            }
                                        }));
        return answer;
    }

    private final class SimulatedWorkerGateway implements WorkerGateway {
        private final SimulatedNode simulatedNode;

        SimulatedWorkerGateway(SimulatedNode simulatedNode) {
            this.simulatedNode = simulatedNode;
        }

        @Override
        public CompletableFuture<Heartbeat> sendCommands(
                String address,
                FencingToken token,
                WorkerIncarnation workerIncarnation,
                List<WorkerCommand> orders) {
            for (WorkerCommand workerCommand : orders) {
                assertTrue(
                        workerCommand.action() != WorkerCommand.Action.START,
                        "a start went out directly: " + workerCommand);
            }
            directs++;
            again(
                    () -> {
                        FakeWorker worker =
                                workers.get(
                                        new MachineId(address.substring(0, address.indexOf(':'))));
                        if (worker != null) {
                            worker.handleDirectCommands(token, workerIncarnation, orders);
                        }
                    });
            CompletableFuture<Heartbeat> answer = new CompletableFuture<>();
            ControllerNode sender = simulatedNode.controllerNode;
            if (heldOrders != null && !orders.isEmpty()) {
                heldOrders.add(
                        () -> {
                            FakeWorker worker =
                                    workers.get(
                                            new MachineId(
                                                    address.substring(0, address.indexOf(':'))));
                            if (worker != null) {
                                worker.handleDirectCommands(token, workerIncarnation, orders);
                            }
                        });
                return answer;
            }
            loop.schedule(
                    Duration.ofMillis(5),
                    () -> {
                        FakeWorker worker =
                                workers.get(
                                        new MachineId(address.substring(0, address.indexOf(':'))));
                        Heartbeat heartbeat =
                                worker == null
                                                || !simulatedNode.hears(worker.zone())
                                                || !worker.reaches(members.indexOf(simulatedNode))
                                        ? null
                                        : worker.handleDirectCommands(
                                                token, workerIncarnation, orders);
                        simulatedNode.whenAwake(
                                () -> {
                                    if (heartbeat != null
                                            && simulatedNode.controllerNode == sender) {
                                        answer.complete(heartbeat);
                                    } else {
                                        answer.completeExceptionally(
                                                new IllegalStateException("no answer"));
                                    }
                                });
                    });
            return answer;
        }
    }

    boolean isReady(int node) {
        return members.get(node).controllerNode.isReadyForUsers();
    }

    private final class SimulatedPeerGateway implements PeerGateway {
        private final SimulatedNode from;

        SimulatedPeerGateway(SimulatedNode from) {
            this.from = from;
        }

        private boolean reaches(SimulatedNode other) {
            return !cutPeers && !from.apart && !other.apart;
        }

        @Override
        public CompletableFuture<Boolean> anyPeerReachesStore() {
            CompletableFuture<Boolean> any = new CompletableFuture<>();
            loop.schedule(
                    Duration.ofMillis(5),
                    () ->
                            any.complete(
                                    members.stream()
                                            .anyMatch(
                                                    simulatedNode ->
                                                            simulatedNode != from
                                                                    && reaches(simulatedNode)
                                                                    && !simulatedNode.refusesPeers
                                                                    && simulatedNode.controllerNode
                                                                            != null
                                                                    && !simulatedNode.connection
                                                                            .seemsUnavailable())));
            return any;
        }

        @Override
        public CompletableFuture<ProbeResult> probe(String name) {
            CompletableFuture<ProbeResult> sign = new CompletableFuture<>();
            SimulatedNode asked = members.get(indexOf(name));
            loop.schedule(
                    Duration.ofMillis(5),
                    () -> {
                        boolean othersAnswer =
                                members.stream()
                                        .anyMatch(
                                                other ->
                                                        other != from
                                                                && other != asked
                                                                && reaches(other)
                                                                && other.controllerNode != null
                                                                && !other.refusesPeers);
                        boolean refuses =
                                reaches(asked)
                                        && (asked.refusesPeers
                                                || asked.controllerNode == null && !asked.silent);
                        sign.complete(
                                refuses && othersAnswer
                                        ? ProbeResult.CONNECTION_REFUSED
                                        : refuses
                                                        || !reaches(asked)
                                                        || asked.controllerNode == null
                                                        || asked.frozen != null
                                                ? ProbeResult.UNRESPONSIVE
                                                : asked.controllerNode.isMissingHeartbeats()
                                                        ? ProbeResult.ISOLATED
                                                        : ProbeResult.HEALTHY);
                    });
            return sign;
        }

        @Override
        public CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
                List<MachineId> machines, Duration within) {
            CompletableFuture<List<PeerReachabilityReport>> answers = new CompletableFuture<>();
            loop.schedule(
                    Duration.ofMillis(5),
                    () ->
                            answers.complete(
                                    members.stream()
                                            .filter(other -> other != from)
                                            .map(
                                                    other ->
                                                            !reaches(other)
                                                                            || other.refusesPeers
                                                                            || other.controllerNode
                                                                                    == null
                                                                            || other.frozen != null
                                                                    ? PeerReachabilityReport
                                                                            .unanswered(other.name)
                                                                    : new PeerReachabilityReport(
                                                                            other.name,
                                                                            true,
                                                                            !other.connection
                                                                                    .seemsUnavailable(),
                                                                            other.controllerNode
                                                                                    .recentlyHeardMachines(
                                                                                            machines,
                                                                                            within)))
                                            .toList()));
            return answers;
        }

        @Override
        public CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
                String leader, RiskTableRequest question) {
            return told(
                    leader,
                    tablesLate,
                    controllerNode -> controllerNode.riskTableDelta(question).map(tablesChange));
        }

        @Override
        public CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader) {
            return told(leader, Duration.ofMillis(5), ControllerNode::recordDigests);
        }

        /** What another node says now, heard a little later. */
        private <T> CompletableFuture<Optional<T>> told(
                String name, Duration late, Function<ControllerNode, Optional<T>> what) {
            CompletableFuture<Optional<T>> answer = new CompletableFuture<>();
            SimulatedNode asked = members.get(indexOf(name));
            Optional<T> given;
            try {
                given =
                        !reaches(asked)
                                        || asked.refusesPeers
                                        || asked.controllerNode == null
                                        || asked.frozen != null
                                ? Optional.empty()
                                : what.apply(asked.controllerNode);
            } catch (PeerGateway.UnreadableResponseException broken) {
                loop.schedule(late, () -> answer.completeExceptionally(broken));
                return answer;
            }
            loop.schedule(late, () -> from.whenAwake(() -> answer.complete(given)));
            return answer;
        }

        @Override
        public void announceLeader(String leader, FencingToken fencingToken) {
            Runnable told =
                    () -> {
                        for (SimulatedNode simulatedNode : members) {
                            if (reaches(simulatedNode)
                                    && !simulatedNode.refusesPeers
                                    && simulatedNode != from
                                    && simulatedNode.controllerNode != null) {
                                simulatedNode.whenAwake(
                                        () -> {
                                            if (simulatedNode.controllerNode != null) {
                                                simulatedNode.controllerNode.observeLeader(
                                                        fencingToken, leader);
                                            }
                                        });
                            }
                        }
                    };
            loop.schedule(Duration.ofMillis(5), told);
            again(told);
        }
    }

    private boolean isListed(MachineId id) {
        return !rentedAt.containsKey(id)
                || loop.now().elapsedSince(rentedAt.get(id)).compareTo(listLag) > 0;
    }

    private final class SimulatedCloudProvider implements CloudProvider {
        private <T> CompletableFuture<T> after(CompletableFuture<T> answer, Runnable work) {
            loop.schedule(
                    Duration.ofMillis(200),
                    () -> {
                        if (failCloud) {
                            answer.completeExceptionally(
                                    new CloudProvider.RequestRefusedException("trouble"));
                        } else {
                            work.run();
                        }
                    });
            return answer;
        }

        @Override
        public CompletableFuture<List<MachineType>> listMachineTypes() {
            CompletableFuture<List<MachineType>> answer = new CompletableFuture<>();
            return after(answer, () -> answer.complete(List.of(SMALL, LARGE)));
        }

        @Override
        public CompletableFuture<Optional<List<MachineId>>> rentMachines(
                String request, String type, String zone, boolean spot, int count) {
            CompletableFuture<Optional<List<MachineId>>> answer = new CompletableFuture<>();
            return after(
                    answer,
                    () -> {
                        assertTrue(
                                !rentalCount.containsKey(request),
                                "a rental's name was used twice: " + request);
                        List<MachineId> ids = new ArrayList<>();
                        for (int at = 0;
                                at < count && workers.size() + ids.size() < limitRentedMachines;
                                at++) {
                            MachineId id = new MachineId("vm-%06d".formatted(++nextMachine));
                            ids.add(id);
                            rentedAt.put(id, loop.now());
                            if (failNextBoots > 0) {
                                failNextBoots--;
                                continue;
                            }
                            loop.schedule(
                                    boot,
                                    () ->
                                            workers.put(
                                                    id,
                                                    new FakeWorker(
                                                            SimulatedCluster.this,
                                                            id.value(),
                                                            type,
                                                            zone)));
                        }
                        rentalCount.put(request, ids);
                        // A machine that is up at once may report before its rental is answered.
                        loop.schedule(
                                RENTAL_RESPONSE_DELAY,
                                () ->
                                        answer.complete(
                                                ids.isEmpty()
                                                        ? Optional.empty()
                                                        : Optional.of(ids)));
                    });
        }

        @Override
        public CompletableFuture<Void> releaseMachines(List<MachineId> machines) {
            CompletableFuture<Void> answer = new CompletableFuture<>();
            again(() -> returnAll(machines));
            return after(
                    answer,
                    () -> {
                        returnAll(machines);
                        answer.complete(null);
                    });
        }

        private void returnAll(List<MachineId> machines) {
            for (MachineId id : machines) {
                FakeWorker worker = workers.remove(id);
                if (worker != null) {
                    returnedMachines.add(worker);
                    worker.remove();
                }
            }
        }

        @Override
        public CompletableFuture<List<ListedMachine>> listMachines() {
            CompletableFuture<List<ListedMachine>> answer = new CompletableFuture<>();
            return after(
                    answer,
                    () ->
                            answer.complete(
                                    workers.values().stream()
                                            .filter(
                                                    worker ->
                                                            !taken.contains(worker.id())
                                                                    && isListed(worker.id()))
                                            .map(
                                                    worker ->
                                                            new ListedMachine(
                                                                    worker.id(),
                                                                    worker.id().value() + ":9000",
                                                                    worker.type(),
                                                                    worker.zone(),
                                                                    false,
                                                                    failed.contains(worker.id())
                                                                            ? MachinePhase.FAILED
                                                                            : MachinePhase.RUNNING,
                                                                    60))
                                            .toList()));
        }
    }
}
