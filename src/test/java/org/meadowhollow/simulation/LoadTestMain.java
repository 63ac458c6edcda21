package org.meadowhollow.simulation;

import io.undertow.server.DefaultByteBufferPool;
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
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.jobs.SubmissionCodec;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;

/**
 * Measures one controller process that is bound to one core; this process holds stand-ins for the
 * store and the cloud. It prints the requests per second of both APIs, the store requests that
 * lists cause, and the memory in use after hostile requests. Run by hand as described in {@code
 * docs/measurements.md}.
 */
final class LoadTestMain {
    private static final int CONCURRENT_REQUESTS = 16;
    private static final int REQUEST_COUNT = 2000;
    private static final int TASK_COUNT = 10_000;
    private static final String TOKEN_HASH =
            "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    private static final String TASK_TEMPLATE =
            """
            {"name": "night", "executors": [{"image": "i", "command": ["true"]}], "tags": {"n": "%d"}}""";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger storeRequests = new AtomicInteger();
    private final AtomicLong storeBytes = new AtomicLong();
    private final Queue<String> createdTaskIds = new ConcurrentLinkedQueue<>();
    private int apiPort;
    private int tesPort;
    private Process controller;

    private LoadTestMain() {}

    /**
     * Runs the load test and ends the process.
     *
     * @param args the command that starts a controller, up to its {@code --config}
     */
    public static void main(String[] args) throws Exception {
        new LoadTestMain().run(args);
        System.exit(0);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void run(String[] command) throws Exception {
        XnioEventLoop loop = new XnioEventLoop();
        FakeKeyValueStore store = new FakeKeyValueStore(loop, Duration.ZERO);
        Http.RequestHandler storeHandler =
                loop.callAndWait(() -> new KeyValueStoreHttpServer(store.connect(), () -> {}));
        int storePort =
                startServer(
                        loop,
                        request -> {
                            storeRequests.incrementAndGet();
                            return storeHandler
                                    .answer(request)
                                    .thenApply(
                                            reply -> {
                                                storeBytes.addAndGet(reply.body().length);
                                                return reply;
                                            });
                        });
        int cloudPort = startServer(loop, (Http.SimpleRequestHandler) LoadTestMain::answerAsCloud);
        apiPort = freePort();
        tesPort = freePort();
        Path settings = Files.createTempFile("load", ".json");
        Files.writeString(
                settings,
                """
                {"member":"n0","area":"z","listen":"127.0.0.1:%d","back":"127.0.0.1:0","known":[],
                 "external":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
                 "settings":{"size":3,"zones":["z"],"teams":[{"name":"team"}],
                  "objectives":[{"kind":"wait","class":"class","within_s":1.0}],
                  "workers":{"report_s":3.0,"lease_s":18.0,"gang_wait_s":30.0,"gang_peer_s":6.0,"cancel_s":48.0},
                  "state":{"rps":100000.0,"write_rps":100000.0,"value_kb":16.0,"txn_ops":12},
                  "cloud":{"rps":20.0,"list_lag_s":10.0}}}"""
                        .formatted(apiPort, cloudPort, storePort));
        String[] arguments = Arrays.copyOf(command, command.length + 6);
        System.arraycopy(
                new String[] {
                    "--tes-listen",
                    "127.0.0.1:" + tesPort,
                    "--tes-token",
                    "team=" + TOKEN_HASH,
                    "--config",
                    settings.toString()
                },
                0,
                arguments,
                command.length,
                6);
        controller =
                new ProcessBuilder(arguments)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        try {
            measure();
        } finally {
            controller.destroy();
            Files.delete(settings);
        }
    }

    private static CompletableFuture<Http.Reply> answerAsCloud(
            String method, String path, byte[] body) {
        if (path.equals("/machine_types")) {
            return CompletableFuture.completedFuture(CloudWireReplies.machineTypes());
        }
        return CompletableFuture.completedFuture(
                method.equals("POST")
                        ? CloudWireReplies.noCapacity()
                        : CloudWireReplies.machines(List.of()));
    }

    private static int startServer(XnioEventLoop loop, Http.RequestHandler requestHandler) {
        return new HttpServer(
                        loop,
                        new DefaultByteBufferPool(false, 8192),
                        "127.0.0.1",
                        0,
                        0,
                        Duration.ofMinutes(5),
                        requestHandler)
                .port();
    }

    private void measure() throws Exception {
        long deadline = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (System.nanoTime() < deadline && !isReady()) {
            Thread.onSpinWait();
        }
        System.out.println("at rest: " + memoryStatus());
        // Measures both APIs twice: the first round only warms up the JIT compiler.
        for (int round = 0; round < 2; round++) {
            int from = round * 3 * REQUEST_COUNT;
            measureRequests(
                    "native submit",
                    REQUEST_COUNT,
                    i ->
                            nativeRequest(
                                    "POST",
                                    "/submissions",
                                    MessagePackCodec.encode(
                                            SubmissionCodec.encode(
                                                    SimulatedCluster.spec(
                                                            from + i + 1, JobKind.ARRAY, 1, 1)))));
            measureRequests(
                    "native poll",
                    REQUEST_COUNT,
                    i ->
                            nativeRequest(
                                    "GET", "/submissions/req-%06d".formatted(from + i + 1), null));
            measureRequests(
                    "native cancel",
                    REQUEST_COUNT,
                    i ->
                            nativeRequest(
                                    "POST",
                                    "/submissions/req-%06d/cancel".formatted(from + i + 1),
                                    new byte[0]));
            measureRequests(
                    "TES create",
                    REQUEST_COUNT,
                    i -> tesRequest("POST", "/tasks", TASK_TEMPLATE.formatted(i)));
            String[] taskIds = createdTaskIds.toArray(String[]::new);
            measureRequests(
                    "TES get", REQUEST_COUNT, i -> tesRequest("GET", "/tasks/" + taskIds[i], null));
            measureRequests(
                    "TES get FULL",
                    REQUEST_COUNT,
                    i -> tesRequest("GET", "/tasks/" + taskIds[i] + "?view=FULL", null));
            measureRequests(
                    "TES list of 20",
                    REQUEST_COUNT / 4,
                    i -> tesRequest("GET", "/tasks?page_size=20", null));
            measureRequests(
                    "TES cancel",
                    REQUEST_COUNT,
                    i -> tesRequest("POST", "/tasks/" + taskIds[i] + ":cancel", ""));
            createdTaskIds.clear();
        }
        System.out.println("after both kinds: " + memoryStatus());
        while (createdTaskIds.size() < TASK_COUNT - 2 * REQUEST_COUNT) {
            measureRequests(
                    "",
                    REQUEST_COUNT,
                    i -> tesRequest("POST", "/tasks", TASK_TEMPLATE.formatted(i)));
        }
        measureList("MINIMAL", "page_size=2048");
        measureList("MINIMAL of one state", "page_size=2048&state=COMPLETE");
        measureList("BASIC", "page_size=2048&view=BASIC");
        System.out.println("after lists: " + memoryStatus());
        String deep = "{\"executors\": " + "[".repeat(60_000);
        String wide = "{\"tags\": {" + "\"a\":1,".repeat(8_000) + "\"b\":1}}";
        measureRequests(
                "deep nesting, 60 KB", REQUEST_COUNT, i -> tesRequest("POST", "/tasks", deep));
        measureRequests(
                "wide object, 56 KB", REQUEST_COUNT, i -> tesRequest("POST", "/tasks", wide));
        measureRequests(
                "too large",
                REQUEST_COUNT / 4,
                i -> tesRequest("POST", "/tasks", "x".repeat(70_000)));
        System.out.println("after hostile requests: " + memoryStatus());
    }

    private boolean isReady() {
        try {
            return http.send(
                                    nativeRequest("GET", "/ready", null),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException | InterruptedException notYet) {
            return false;
        }
    }

    private void measureList(String name, String query) throws Exception {
        int requests = 0;
        int taskCount = 0;
        int storeRequestsBefore = storeRequests.get();
        long bytesBefore = storeBytes.get();
        double cpuBefore = cpuSeconds();
        String token = null;
        do {
            HttpResponse<byte[]> reply =
                    http.send(
                            tesRequest(
                                    "GET",
                                    "/tasks?"
                                            + query
                                            + (token == null ? "" : "&page_token=" + token),
                                    null),
                            HttpResponse.BodyHandlers.ofByteArray());
            MessageReader page = new MessageReader(JsonCodec.decode(reply.body()));
            taskCount += page.nestedList("tasks").size();
            token = page.stringOrNull("next_page_token");
            requests++;
        } while (token != null);
        System.out.printf(
                "list of %s: %d told in %d requests, %d state requests, %d KB from it, %.2f s of processor%n",
                name,
                taskCount,
                requests,
                storeRequests.get() - storeRequestsBefore,
                (storeBytes.get() - bytesBefore) / 1024,
                cpuSeconds() - cpuBefore);
    }

    private HttpRequest nativeRequest(String method, String path, byte[] body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + apiPort + path))
                .timeout(Duration.ofSeconds(20))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
    }

    private HttpRequest tesRequest(String method, String path, String body) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + tesPort + "/ga4gh/tes/v1" + path))
                .timeout(Duration.ofSeconds(20))
                .header("Authorization", "Bearer secret")
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /** Sends requests, several at a time, and prints the results unless the name is empty. */
    private void measureRequests(String name, int count, IntFunction<HttpRequest> request)
            throws Exception {
        AtomicInteger next = new AtomicInteger();
        Map<Integer, Integer> countsByStatus = new ConcurrentHashMap<>();
        CountDownLatch remaining = new CountDownLatch(count);
        double cpuBefore = cpuSeconds();
        int storeRequestsBefore = storeRequests.get();
        long startNanos = System.nanoTime();
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            sendNext(next, count, request, remaining, countsByStatus);
        }
        remaining.await();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        if (!name.isEmpty()) {
            System.out.printf(
                    "%-20s %7.0f a second, %.3f ms of processor each, %.2f state requests each, answers %s%n",
                    name,
                    count / seconds,
                    (cpuSeconds() - cpuBefore) * 1000 / count,
                    (storeRequests.get() - storeRequestsBefore) / (double) count,
                    countsByStatus);
        }
    }

    private void sendNext(
            AtomicInteger next,
            int count,
            IntFunction<HttpRequest> request,
            CountDownLatch remaining,
            Map<Integer, Integer> countsByStatus) {
        int i = next.getAndIncrement();
        if (i >= count) {
            return;
        }
        HttpRequest sent = request.apply(i);
        CompletableFuture<HttpResponse<String>> unused =
                http.sendAsync(sent, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
                        .whenComplete(
                                (reply, failure) -> {
                                    int status = failure != null ? 0 : reply.statusCode();
                                    countsByStatus.merge(status, 1, Integer::sum);
                                    if (status == 200
                                            && sent.method().equals("POST")
                                            && reply.body().startsWith("{\"id\":\"")) {
                                        createdTaskIds.add(
                                                reply.body()
                                                        .substring(7, reply.body().length() - 2));
                                    }
                                    remaining.countDown();
                                    sendNext(next, count, request, remaining, countsByStatus);
                                });
    }

    private double cpuSeconds() throws IOException {
        String[] stat =
                Files.readString(Path.of("/proc/" + controller.pid() + "/stat"))
                        .replaceAll(".*\\) ", "")
                        .split(" ", -1);
        return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / 100.0;
    }

    private String memoryStatus() throws IOException {
        StringBuilder status = new StringBuilder();
        for (String line : Files.readAllLines(Path.of("/proc/" + controller.pid() + "/status"))) {
            if (line.startsWith("VmRSS") || line.startsWith("Threads")) {
                status.append(line.replaceAll("\\s+", " ")).append("; ");
            }
        }
        return status.toString();
    }
}
