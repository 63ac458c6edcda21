package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest;
import io.opentelemetry.proto.trace.v1.Span;
import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.meadowhollow.cli.Controller;
import org.meadowhollow.cli.Settings;
import org.meadowhollow.cli.TesOptions;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.RandomEncoding;
import org.meadowhollow.protocol.jobs.SubmissionCodec;
import org.meadowhollow.protocol.tes.BearerTokens;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;
import org.meadowhollow.transport.tracing.OtlpTaskTracer;

/**
 * Runs three real controllers, stand-ins for the store, the cloud, the workers and the trace
 * collector, and a client of each API over real connections on ephemeral ports. Every wait has a
 * timeout, and ends as soon as the stand-ins observe the expected state.
 */
class LoopbackIntegrationTest {
    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(40);
    private static final int TEAM_GPU_LIMIT = 4;
    private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
    private static final String TOKEN_HASH =
            "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    private static final String TASK_TEMPLATE =
            """
            {"name": "night", "executors": [{"image": "i", "command": ["true"]}], "tags": {"n": "%d"},
             "resources": {"cpu_cores": 1, "ram_gb": 1, "backend_parameters": {"gpus": "1"}}}""";

    @TempDir private Path folder;
    private final Object changeSignal = new Object();
    private final List<JobEventLog.Event> events = new ArrayList<>();
    private final List<Span> spans = new ArrayList<>();
    private final Map<String, Controller> controllers = new LinkedHashMap<>();
    private final Map<String, String> apiAddresses = new LinkedHashMap<>();
    private final List<LoopbackWorker> workers = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private XnioEventLoop loop;
    private FakeKeyValueStore store;

    @BeforeEach
    void startControllers() throws Exception {
        loop = new XnioEventLoop();
        store = new FakeKeyValueStore(loop);
        int storePort =
                startServer(
                        loop.callAndWait(
                                () ->
                                        new KeyValueStoreHttpServer(
                                                store.connect(), this::signalChange)));
        int cloudPort = startServer((Http.SimpleRequestHandler) this::answerAsCloud);
        int collectorPort = startServer((Http.SimpleRequestHandler) this::receiveSpans);
        Map<String, String> peerAddresses = new LinkedHashMap<>();
        for (String name : List.of("n0", "n1", "n2")) {
            apiAddresses.put(name, "127.0.0.1:" + freePort());
            peerAddresses.put(name, "127.0.0.1:" + freePort());
        }
        for (int index = 0; index < 3; index++) {
            String name = "m" + index;
            workers.add(loop.callAndWait(() -> new LoopbackWorker(name, loop, apiAddresses)));
        }
        for (String name : apiAddresses.keySet()) {
            List<Object> peers = new ArrayList<>();
            peerAddresses.forEach(
                    (other, address) -> {
                        if (!other.equals(name)) {
                            peers.add(
                                    MessageReader.mapOf(
                                            "member", other, "area", "z", "addr", address));
                        }
                    });
            Path file = folder.resolve(name + ".json");
            Files.writeString(
                    file,
                    """
                    {"member":"%s","area":"z","listen":"%s","back":"%s","known":%s,
                     "external":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
                     "settings":{"size":3,"zones":["z"],"teams":[{"name":"team","gpus_max":%d}],
                      "objectives":[{"kind":"wait","class":"class","within_s":1.0}],
                      "workers":{"report_s":0.5,"lease_s":4.0,"gang_wait_s":5.0,"gang_peer_s":2.0,"cancel_s":12.0},
                      "state":{"rps":1000.0,"write_rps":500.0,"value_kb":16.0,"txn_ops":12},
                      "cloud":{"rps":20.0,"list_lag_s":1.0}}}"""
                            .formatted(
                                    name,
                                    apiAddresses.get(name),
                                    peerAddresses.get(name),
                                    new String(
                                                    JsonCodec.encode(
                                                            MessageReader.mapOf("l", peers)),
                                                    StandardCharsets.UTF_8)
                                            .replaceAll("^\\{\"l\":|\\}$", ""),
                                    cloudPort,
                                    storePort,
                                    TEAM_GPU_LIMIT));
            controllers.put(
                    name,
                    Controller.builder(Settings.read(file))
                            .tes(
                                    new TesOptions(
                                            new Settings.Endpoint("127.0.0.1", 0),
                                            BearerTokens.parse(List.of("team=" + TOKEN_HASH)),
                                            null,
                                            null))
                            .eventListeners(
                                    new JobEventListeners(
                                            new JobEventLog(this::recordEvent),
                                            OtlpTaskTracer.exportingTo(
                                                    URI.create("http://127.0.0.1:" + collectorPort),
                                                    name)))
                            .start());
        }
    }

    private int startServer(Http.RequestHandler requestHandler) {
        servers.add(
                new HttpServer(
                        loop,
                        new DefaultByteBufferPool(false, 8192),
                        "127.0.0.1",
                        0,
                        0,
                        Duration.ofMinutes(1),
                        requestHandler));
        return servers.get(servers.size() - 1).port();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @AfterEach
    void stopControllers() {
        controllers.values().forEach(Controller::close);
        loop.callAndWait(
                () -> {
                    workers.forEach(LoopbackWorker::close);
                    return null;
                });
        servers.forEach(HttpServer::close);
        loop.close();
    }

    private CompletableFuture<Http.Reply> answerAsCloud(String method, String path, byte[] body) {
        return CompletableFuture.completedFuture(
                switch (path) {
                    case "/machine_types" -> CloudWireReplies.machineTypes();
                    case "/rentals" ->
                            method.equals("POST")
                                    ? CloudWireReplies.noCapacity()
                                    : CloudWireReplies.machines(
                                            workers.stream()
                                                    .map(LoopbackWorker::cloudListing)
                                                    .toList());
                    default -> Http.Reply.of(200, MessageReader.mapOf());
                });
    }

    private CompletableFuture<Http.Reply> receiveSpans(String method, String path, byte[] body) {
        try {
            synchronized (spans) {
                ExportTraceServiceRequest.parseFrom(body)
                        .getResourceSpansList()
                        .forEach(
                                resource ->
                                        resource.getScopeSpansList()
                                                .forEach(
                                                        scope ->
                                                                spans.addAll(
                                                                        scope.getSpansList())));
            }
        } catch (InvalidProtocolBufferException malformed) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, "not a request"));
        }
        return CompletableFuture.completedFuture(
                new Http.Reply(200, new byte[0], 0, "application/x-protobuf"));
    }

    private void recordEvent(JobEventLog.Event event) {
        synchronized (changeSignal) {
            events.add(event);
            changeSignal.notifyAll();
        }
    }

    private void signalChange() {
        synchronized (changeSignal) {
            changeSignal.notifyAll();
        }
    }

    private List<JobEventLog.Event> events() {
        synchronized (changeSignal) {
            return events.stream()
                    .sorted(Comparator.comparing(JobEventLog.Event::revision))
                    .toList();
        }
    }

    /**
     * Waits until a condition holds. It is evaluated again after each change of the store or the
     * event log, and after each lease renewal.
     */
    private void awaitTrue(String description, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + WAIT_TIMEOUT.toNanos();
        while (!condition.call()) {
            long remainingMillis = (deadline - System.nanoTime()) / 1_000_000;
            assertTrue(
                    remainingMillis > 0,
                    () -> "timed out while waiting for: " + description + "; " + events());
            synchronized (changeSignal) {
                changeSignal.wait(remainingMillis);
            }
        }
    }

    // ---- clients of both APIs ----

    private HttpResponse<byte[]> send(HttpRequest.Builder request) throws Exception {
        return http.send(
                request.timeout(Duration.ofSeconds(10)).build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    private String controllerName(int index) {
        List<String> all = List.copyOf(controllers.keySet());
        return all.get(index % all.size());
    }

    private HttpResponse<byte[]> sendTes(int node, String method, String path, String body)
            throws Exception {
        return send(
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + controllers.get(controllerName(node)).tesPort()
                                                + "/ga4gh/tes/v1"
                                                + path))
                        .header("Authorization", "Bearer secret")
                        .header("traceparent", "00-" + TRACE_ID + "-b7ad6b7169203331-01")
                        .method(method, HttpRequest.BodyPublishers.ofString(body)));
    }

    private String createTesTask(int node, int number) throws Exception {
        HttpResponse<byte[]> reply =
                sendTes(node, "POST", "/tasks", TASK_TEMPLATE.formatted(number));
        assertEquals(200, reply.statusCode(), new String(reply.body(), StandardCharsets.UTF_8));
        return new MessageReader(JsonCodec.decode(reply.body())).string("id");
    }

    private String tesState(int node, String id) throws Exception {
        HttpResponse<byte[]> reply = sendTes(node, "GET", "/tasks/" + id, "");
        return reply.statusCode() == 200
                ? new MessageReader(JsonCodec.decode(reply.body())).string("state")
                : String.valueOf(reply.statusCode());
    }

    private HttpResponse<byte[]> sendNative(int node, String method, String path, byte[] body)
            throws Exception {
        return send(
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://" + apiAddresses.get(controllerName(node)) + path))
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body)));
    }

    /** Submits a job, and repeats it in another encoding and in chunks at another node. */
    private JobId submit(int node, int number) throws Exception {
        JobSpec job = SimulatedCluster.spec(number, JobKind.ARRAY, 1, 1);
        RandomEncoding encoding = new RandomEncoding(new Random(number));
        byte[] body = encoding.encode(SubmissionCodec.encode(job));
        assertEquals(201, sendNative(node, "POST", "/submissions", body).statusCode());
        byte[] repeated = encoding.encode(SubmissionCodec.encode(job));
        assertEquals(
                200,
                send(HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + apiAddresses.get(controllerName(node + 1))
                                                        + "/submissions"))
                                .POST(
                                        HttpRequest.BodyPublishers.ofInputStream(
                                                () -> new ByteArrayInputStream(repeated))))
                        .statusCode());
        return job.id();
    }

    private String jobPhase(int node, JobId id) throws Exception {
        HttpResponse<byte[]> reply = sendNative(node, "GET", "/submissions/" + id, new byte[0]);
        return reply.statusCode() == 200
                ? MessageReader.decode(reply.body()).string("phase")
                : String.valueOf(reply.statusCode());
    }

    private Set<TaskId> runningTasks() {
        return loop.callAndWait(
                () -> {
                    Set<TaskId> all = new HashSet<>();
                    workers.forEach(worker -> all.addAll(worker.runningTasks()));
                    return all;
                });
    }

    private String leader() {
        Map<String, Object> record = loop.callAndWait(() -> store.valueOf(RecordKeys.LEADER_KEY));
        return record == null ? null : (String) record.get("member");
    }

    private long eventCount(JobEventLog.EventType eventType) {
        return events().stream().filter(event -> event.type() == eventType).count();
    }

    @Test
    void nativeAndTesJobsShareQuotaAndOrderingAcrossFailover() throws Exception {
        for (int node = 0; node < 3; node++) {
            int index = node;
            awaitTrue(
                    "ready",
                    () -> sendNative(index, "GET", "/ready", new byte[0]).statusCode() == 200);
        }
        List<JobId> admitted = new ArrayList<>();
        List<String> tasks = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            admitted.add(submit(index, index + 1));
            tasks.add(createTesTask(index + 1, index));
            admitted.add(new JobId(tasks.get(index)));
        }
        List<TaskId> firstTasks =
                admitted.subList(0, TEAM_GPU_LIMIT).stream()
                        .map(job -> new TaskId(job, 0))
                        .toList();
        awaitTrue(
                "as many running tasks as the team's limit allows",
                () -> runningTasks().size() == TEAM_GPU_LIMIT);
        assertEquals(
                new HashSet<>(firstTasks),
                runningTasks(),
                "jobs of both APIs are placed in the order of their submission");
        awaitTrue(
                "reported by every node",
                () ->
                        tesState(0, tasks.get(0)).equals("RUNNING")
                                && tesState(1, tasks.get(1)).equals("RUNNING")
                                && tesState(2, tasks.get(2)).equals("QUEUED"));
        assertEquals(
                200, sendTes(2, "POST", "/tasks/" + tasks.get(3) + ":cancel", "").statusCode());
        awaitTrue("cancelled", () -> tesState(0, tasks.get(3)).equals("CANCELED"));
        String leader = leader();
        controllers.remove(leader).close();
        awaitTrue("another leader", () -> leader() != null && !leader().equals(leader));
        assertEquals(
                TEAM_GPU_LIMIT,
                eventCount(JobEventLog.EventType.PLACED),
                "no task is placed again after the failover");
        loop.callAndWait(
                () -> {
                    workers.forEach(LoopbackWorker::completeAll);
                    return null;
                });
        awaitTrue(
                "the end of all jobs",
                () -> eventCount(JobEventLog.EventType.ENDED) == admitted.size());
        for (int node = 0; node < 2; node++) {
            for (int index = 0; index < 4; index++) {
                assertEquals(index < 3 ? "COMPLETE" : "CANCELED", tesState(node, tasks.get(index)));
                assertEquals("done", jobPhase(node, admitted.get(2 * index)));
            }
        }
        assertEquals("404", jobPhase(0, new JobId(tasks.get(0))), "a TES task is not a native job");
        MessageReader completeTasks =
                new MessageReader(
                        JsonCodec.decode(
                                sendTes(0, "GET", "/tasks?state=COMPLETE&view=BASIC", "").body()));
        assertEquals(3, completeTasks.nestedList("tasks").size());
        assertEquals(
                401,
                send(HttpRequest.newBuilder(
                                        URI.create(
                                                "http://127.0.0.1:"
                                                        + controllers
                                                                .get(controllerName(0))
                                                                .tesPort()
                                                        + "/ga4gh/tes/v1/tasks"))
                                .GET())
                        .statusCode());
        JobEventLogChecker.check(events(), TEAM_GPU_LIMIT);
        List<JobId> placed =
                events().stream()
                        .filter(event -> event.type() == JobEventLog.EventType.PLACED)
                        .map(JobEventLog.Event::jobId)
                        .toList();
        List<JobId> expectedOrder = new ArrayList<>(admitted);
        expectedOrder.remove(new JobId(tasks.get(3)));
        assertEquals(expectedOrder, placed);
        assertSpans(tasks);
    }

    private void assertSpans(List<String> tasks) {
        controllers.values().forEach(Controller::close);
        controllers.clear();
        synchronized (spans) {
            assertTrue(
                    spans.stream()
                            .allMatch(
                                    span ->
                                            TRACE_ID.equals(
                                                    java.util.HexFormat.of()
                                                            .formatHex(
                                                                    span.getTraceId()
                                                                            .toByteArray()))));
            for (int index = 0; index < 4; index++) {
                String id = tasks.get(index);
                List<String> names =
                        spans.stream()
                                .filter(
                                        span ->
                                                span.getAttributesList().stream()
                                                        .anyMatch(
                                                                attribute ->
                                                                        attribute
                                                                                .getValue()
                                                                                .getStringValue()
                                                                                .equals(id)))
                                .map(Span::getName)
                                .sorted()
                                .toList();
                assertEquals(
                        index < 3
                                ? List.of("create task", "prepare", "run", "task", "wait")
                                : List.of("create task", "task"),
                        names);
            }
        }
        assertNotEquals(0, spans.size());
    }
}
