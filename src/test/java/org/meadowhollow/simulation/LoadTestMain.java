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
    private static final int AT_ONCE = 16;
    private static final int REQUESTS = 2000;
    private static final int TASKS = 10_000;
    private static final String HASH =
            "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    private static final String TASK =
            """
            {"name": "night", "executors": [{"image": "i", "command": ["true"]}], "tags": {"n": "%d"}}""";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger stateRequests = new AtomicInteger();
    private final AtomicLong stateBytes = new AtomicLong();
    private final Queue<String> ids = new ConcurrentLinkedQueue<>();
    private int front;
    private int tes;
    private Process node;

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
        Http.RequestHandler state =
                loop.callAndWait(() -> new KeyValueStoreHttpServer(store.connect(), () -> {}));
        int statePort =
                serve(
                        loop,
                        request -> {
                            stateRequests.incrementAndGet();
                            return state.answer(request)
                                    .thenApply(
                                            reply -> {
                                                stateBytes.addAndGet(reply.body().length);
                                                return reply;
                                            });
                        });
        int cloud = serve(loop, (Http.SimpleRequestHandler) LoadTestMain::answerAsCloud);
        front = freePort();
        tes = freePort();
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
                        .formatted(front, cloud, statePort));
        String[] all = Arrays.copyOf(command, command.length + 6);
        System.arraycopy(
                new String[] {
                    "--tes-listen",
                    "127.0.0.1:" + tes,
                    "--tes-token",
                    "team=" + HASH,
                    "--config",
                    settings.toString()
                },
                0,
                all,
                command.length,
                6);
        node =
                new ProcessBuilder(all)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        try {
            measure();
        } finally {
            node.destroy();
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

    private static int serve(XnioEventLoop loop, Http.RequestHandler requestHandler) {
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
        long until = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (System.nanoTime() < until && !ready()) {
            Thread.onSpinWait();
        }
        System.out.println("at rest: " + memory());
        // Measures both APIs twice: the first round only warms up the JIT compiler.
        for (int round = 0; round < 2; round++) {
            int from = round * 3 * REQUESTS;
            load(
                    "native submit",
                    REQUESTS,
                    at ->
                            plain(
                                    "POST",
                                    "/submissions",
                                    MessagePackCodec.encode(
                                            SubmissionCodec.encode(
                                                    SimulatedCluster.spec(
                                                            from + at + 1, JobKind.ARRAY, 1, 1)))));
            load(
                    "native poll",
                    REQUESTS,
                    at -> plain("GET", "/submissions/req-%06d".formatted(from + at + 1), null));
            load(
                    "native cancel",
                    REQUESTS,
                    at ->
                            plain(
                                    "POST",
                                    "/submissions/req-%06d/cancel".formatted(from + at + 1),
                                    new byte[0]));
            load("TES create", REQUESTS, at -> api("POST", "/tasks", TASK.formatted(at)));
            String[] made = ids.toArray(String[]::new);
            load("TES get", REQUESTS, at -> api("GET", "/tasks/" + made[at], null));
            load(
                    "TES get FULL",
                    REQUESTS,
                    at -> api("GET", "/tasks/" + made[at] + "?view=FULL", null));
            load("TES list of 20", REQUESTS / 4, at -> api("GET", "/tasks?page_size=20", null));
            load("TES cancel", REQUESTS, at -> api("POST", "/tasks/" + made[at] + ":cancel", ""));
            ids.clear();
        }
        System.out.println("after both kinds: " + memory());
        while (ids.size() < TASKS - 2 * REQUESTS) {
            load("", REQUESTS, at -> api("POST", "/tasks", TASK.formatted(at)));
        }
        lists("MINIMAL", "page_size=2048");
        lists("MINIMAL of one state", "page_size=2048&state=COMPLETE");
        lists("BASIC", "page_size=2048&view=BASIC");
        System.out.println("after lists: " + memory());
        String deep = "{\"executors\": " + "[".repeat(60_000);
        String wide = "{\"tags\": {" + "\"a\":1,".repeat(8_000) + "\"b\":1}}";
        load("deep nesting, 60 KB", REQUESTS, at -> api("POST", "/tasks", deep));
        load("wide object, 56 KB", REQUESTS, at -> api("POST", "/tasks", wide));
        load("too large", REQUESTS / 4, at -> api("POST", "/tasks", "x".repeat(70_000)));
        System.out.println("after hostile requests: " + memory());
    }

    private boolean ready() {
        try {
            return http.send(plain("GET", "/ready", null), HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException | InterruptedException notYet) {
            return false;
        }
    }

    private void lists(String what, String query) throws Exception {
        int requests = 0;
        int told = 0;
        int before = stateRequests.get();
        long bytes = stateBytes.get();
        double cpu = cpuS();
        String token = null;
        do {
            HttpResponse<byte[]> reply =
                    http.send(
                            api(
                                    "GET",
                                    "/tasks?"
                                            + query
                                            + (token == null ? "" : "&page_token=" + token),
                                    null),
                            HttpResponse.BodyHandlers.ofByteArray());
            MessageReader page = new MessageReader(JsonCodec.decode(reply.body()));
            told += page.nestedList("tasks").size();
            token = page.stringOrNull("next_page_token");
            requests++;
        } while (token != null);
        System.out.printf(
                "list of %s: %d told in %d requests, %d state requests, %d KB from it, %.2f s of processor%n",
                what,
                told,
                requests,
                stateRequests.get() - before,
                (stateBytes.get() - bytes) / 1024,
                cpuS() - cpu);
    }

    private HttpRequest plain(String method, String path, byte[] body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + front + path))
                .timeout(Duration.ofSeconds(20))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
    }

    private HttpRequest api(String method, String path, String body) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + tes + "/ga4gh/tes/v1" + path))
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
    private void load(String what, int count, IntFunction<HttpRequest> request) throws Exception {
        AtomicInteger next = new AtomicInteger();
        Map<Integer, Integer> answers = new ConcurrentHashMap<>();
        CountDownLatch left = new CountDownLatch(count);
        double cpu = cpuS();
        int before = stateRequests.get();
        long begun = System.nanoTime();
        for (int at = 0; at < AT_ONCE; at++) {
            one(next, count, request, left, answers);
        }
        left.await();
        double seconds = (System.nanoTime() - begun) / 1e9;
        if (!what.isEmpty()) {
            System.out.printf(
                    "%-20s %7.0f a second, %.3f ms of processor each, %.2f state requests each, answers %s%n",
                    what,
                    count / seconds,
                    (cpuS() - cpu) * 1000 / count,
                    (stateRequests.get() - before) / (double) count,
                    answers);
        }
    }

    private void one(
            AtomicInteger next,
            int count,
            IntFunction<HttpRequest> request,
            CountDownLatch left,
            Map<Integer, Integer> answers) {
        int at = next.getAndIncrement();
        if (at >= count) {
            return;
        }
        HttpRequest sent = request.apply(at);
        CompletableFuture<HttpResponse<String>> unused =
                http.sendAsync(sent, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
                        .whenComplete(
                                (reply, failure) -> {
                                    int status = failure != null ? 0 : reply.statusCode();
                                    answers.merge(status, 1, Integer::sum);
                                    if (status == 200
                                            && sent.method().equals("POST")
                                            && reply.body().startsWith("{\"id\":\"")) {
                                        ids.add(
                                                reply.body()
                                                        .substring(7, reply.body().length() - 2));
                                    }
                                    left.countDown();
                                    one(next, count, request, left, answers);
                                });
    }

    private double cpuS() throws IOException {
        String[] stat =
                Files.readString(Path.of("/proc/" + node.pid() + "/stat"))
                        .replaceAll(".*\\) ", "")
                        .split(" ", -1);
        return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / 100.0;
    }

    private String memory() throws IOException {
        StringBuilder told = new StringBuilder();
        for (String line : Files.readAllLines(Path.of("/proc/" + node.pid() + "/status"))) {
            if (line.startsWith("VmRSS") || line.startsWith("Threads")) {
                told.append(line.replaceAll("\\s+", " ")).append("; ");
            }
        }
        return told.toString();
    }
}
