import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Stand-ins for the state service, the cloud, the workers and the users, and the process starter. */
final class StandIn {
    private StandIn() {}

    // ---- record ----

    /** Writes what was sent, answered and run, with seconds since the start. */
    static final class Recorder implements AutoCloseable {
        private final long startedAt = System.nanoTime();
        private final PrintWriter out;

        Recorder(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        }

        double seconds() {
            return (System.nanoTime() - startedAt) / 1e9;
        }

        synchronized void log(String format, Object... arguments) {
            out.printf("%9.3f  %s%n", seconds(), String.format(format, arguments));
        }

        @Override
        public void close() {
            out.close();
        }
    }

    // ---- MessagePack ----

    static byte[] pack(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        packInto(out, value);
        return out.toByteArray();
    }

    private static void packInto(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xc0);
        } else if (value instanceof Boolean flag) {
            out.write(flag ? 0xc3 : 0xc2);
        } else if (value instanceof Double number) {
            out.write(0xcb);
            out.writeBytes(ByteBuffer.allocate(8).putDouble(number).array());
        } else if (value instanceof Number number) {
            long whole = number.longValue();
            if (whole >= 0 && whole < 128) {
                out.write((int) whole);
            } else {
                out.write(0xd3);
                out.writeBytes(ByteBuffer.allocate(8).putLong(whole).array());
            }
        } else if (value instanceof String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.write(0xda);
            out.writeBytes(ByteBuffer.allocate(2).putShort((short) bytes.length).array());
            out.writeBytes(bytes);
        } else if (value instanceof List<?> list) {
            out.write(0xdc);
            out.writeBytes(ByteBuffer.allocate(2).putShort((short) list.size()).array());
            list.forEach(item -> packInto(out, item));
        } else if (value instanceof Map<?, ?> map) {
            out.write(0xde);
            out.writeBytes(ByteBuffer.allocate(2).putShort((short) map.size()).array());
            map.forEach(
                    (key, item) -> {
                        packInto(out, key);
                        packInto(out, item);
                    });
        } else {
            throw new IllegalArgumentException("cannot pack " + value.getClass());
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> unpack(byte[] bytes) {
        return bytes.length == 0
                ? new LinkedHashMap<>()
                : (Map<String, Object>) unpackFrom(ByteBuffer.wrap(bytes));
    }

    private static Object unpackFrom(ByteBuffer in) {
        int head = in.get() & 0xff;
        if (head < 0x80) {
            return (long) head;
        } else if (head < 0x90) {
            return unpackMap(in, head & 0x0f);
        } else if (head < 0xa0) {
            return unpackList(in, head & 0x0f);
        } else if (head < 0xc0) {
            return unpackText(in, head & 0x1f);
        } else if (head >= 0xe0) {
            return (long) (byte) head;
        }
        return switch (head) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xca -> (double) in.getFloat();
            case 0xcb -> in.getDouble();
            case 0xcc -> (long) (in.get() & 0xff);
            case 0xcd -> (long) (in.getShort() & 0xffff);
            case 0xce -> in.getInt() & 0xffffffffL;
            case 0xcf, 0xd3 -> in.getLong();
            case 0xd0 -> (long) in.get();
            case 0xd1 -> (long) in.getShort();
            case 0xd2 -> (long) in.getInt();
            case 0xd9 -> unpackText(in, in.get() & 0xff);
            case 0xda -> unpackText(in, in.getShort() & 0xffff);
            case 0xdb -> unpackText(in, in.getInt());
            case 0xdc -> unpackList(in, in.getShort() & 0xffff);
            case 0xdd -> unpackList(in, in.getInt());
            case 0xde -> unpackMap(in, in.getShort() & 0xffff);
            case 0xdf -> unpackMap(in, in.getInt());
            default -> throw new IllegalArgumentException("unused MessagePack type " + head);
        };
    }

    private static String unpackText(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<Object> unpackList(ByteBuffer in, int size) {
        List<Object> list = new ArrayList<>();
        for (int at = 0; at < size; at++) {
            list.add(unpackFrom(in));
        }
        return list;
    }

    private static Map<String, Object> unpackMap(ByteBuffer in, int size) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int at = 0; at < size; at++) {
            String key = (String) unpackFrom(in);
            map.put(key, unpackFrom(in));
        }
        return map;
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int at = 0; at < pairs.length; at += 2) {
            map.put((String) pairs[at], pairs[at + 1]);
        }
        return map;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static long number(Object value) {
        return value == null ? 0 : ((Number) value).longValue();
    }

    // ---- HTTP ----

    record Reply(int status, Object body) {}

    interface Handler {
        Reply answer(String method, String path, Map<String, String> query, byte[] body)
                throws Exception;
    }

    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        work -> {
                            Thread thread = new Thread(work);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", exchange -> respond(exchange, handler));
        server.start();
        return server;
    }

    private static void respond(HttpExchange exchange, Handler handler) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        Reply reply;
        try {
            reply =
                    handler.answer(
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().getPath(),
                            query,
                            body);
        } catch (Exception failure) {
            failure.printStackTrace();
            reply = new Reply(500, map("error", String.valueOf(failure)));
        }
        byte[] bytes = pack(reply.body());
        exchange.getResponseHeaders().set("Content-Type", "application/msgpack");
        exchange.sendResponseHeaders(reply.status(), bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    record Answer(int status, Map<String, Object> body) {}

    static HttpClient newClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(2))
                .build();
    }

    static Answer send(
            HttpClient client, String address, String method, String path, Object body, double timeoutS)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(pack(body)))
                        .build();
        HttpResponse<byte[]> response =
                client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        return new Answer(response.statusCode(), unpack(response.body()));
    }

    /**
     * The next free port of this run's own block of 20, below the range from which the system takes
     * ports for outgoing connections. Runs beside one another have different process ids, so none
     * takes a port of another one before its controller does.
     */
    static synchronized int freePort() throws IOException {
        int block = 12_000 + 20 * (int) (ProcessHandle.current().pid() % 900);
        while (nextPort < 20) {
            int port = block + nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // The next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    private static int nextPort;

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- state service ----

    /** The key-value store of the protocol page, one listener for each controller. */
    static final class Store {
        /** Seconds that a request takes before it is carried out, and its answer after that. */
        interface Delays {
            double[] of(int node, String method, String path, Map<String, String> query);
        }

        private record Value(Object value, long stamp, long lease) {}

        private record Lease(long ttlMs, long endsAt) {}

        private final TreeMap<String, Value> values = new TreeMap<>();
        private final Map<Long, Lease> leases = new HashMap<>();
        private final List<Map<String, Object>> log = new ArrayList<>();
        private final double rps;
        private final double writeRps;
        private int maxOps;
        private int maxValueBytes;
        private double requestBudget;
        private double writeBudget;
        private long refilledAt = System.nanoTime();
        private long revision;
        private long lastLease;
        volatile Delays delays = (node, method, path, query) -> new double[2];
        volatile int refusedAsTooLarge;

        Store(double rps, double writeRps, int maxOps, int valueKb) {
            this.rps = rps;
            this.writeRps = writeRps;
            this.maxOps = maxOps;
            this.maxValueBytes = valueKb * 1024;
            this.requestBudget = rps;
            this.writeBudget = writeRps;
            Thread expiry =
                    new Thread(
                            () -> {
                                while (true) {
                                    sleep(0.02);
                                    expireLeases();
                                }
                            });
            expiry.setDaemon(true);
            expiry.start();
        }

        HttpServer listen(int node) throws IOException {
            return serve(
                    (method, path, query, body) -> {
                        double[] delay = delays.of(node, method, path, query);
                        sleep(delay[0]);
                        Reply reply = answer(method, path, query, body);
                        sleep(delay[1]);
                        return reply;
                    });
        }

        synchronized void lowerLimits(int ops, int valueBytes) {
            maxOps = ops;
            maxValueBytes = valueBytes;
        }

        synchronized Object valueOf(String key) {
            Value value = values.get(key);
            return value == null ? null : value.value();
        }

        private Reply answer(String method, String path, Map<String, String> query, byte[] body)
                throws InterruptedException {
            if (!path.equals("/multi") && !takeRequest()) {
                return new Reply(429, map("error", "too many requests"));
            }
            if (path.startsWith("/kv/")) {
                return get(path.substring("/kv/".length()));
            } else if (path.equals("/kv")) {
                return list(query);
            } else if (path.equals("/multi")) {
                return commit(unpack(body));
            } else if (path.equals("/changes")) {
                return watch(query);
            } else if (path.equals("/grants")) {
                return grant(number(unpack(body).get("ttlMs")));
            } else if (path.startsWith("/grants/")) {
                return renewOrEnd(method, path);
            }
            return new Reply(400, map("error", "malformed"));
        }

        private synchronized boolean takeRequest() {
            refill();
            if (requestBudget < 1) {
                return false;
            }
            requestBudget--;
            return true;
        }

        private void refill() {
            long now = System.nanoTime();
            double elapsed = (now - refilledAt) / 1e9;
            refilledAt = now;
            requestBudget = Math.min(rps, requestBudget + elapsed * rps);
            writeBudget = Math.min(writeRps, writeBudget + elapsed * writeRps);
        }

        private synchronized Reply get(String key) {
            Value value = values.get(key);
            if (value == null) {
                return new Reply(404, map("ledgerRev", revision));
            }
            Map<String, Object> entry = entry(key, value);
            if (value.lease() != 0) {
                entry.put("tether", value.lease());
            }
            return new Reply(200, entry);
        }

        private static Map<String, Object> entry(String key, Value value) {
            return map("key", key, "v", value.value(), "stamp", value.stamp());
        }

        private synchronized Reply list(Map<String, String> query) {
            String prefix = query.get("prefix");
            String after = query.getOrDefault("after", "");
            int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
            List<Object> items = new ArrayList<>();
            boolean truncated = false;
            for (Map.Entry<String, Value> each : values.tailMap(prefix).entrySet()) {
                if (!each.getKey().startsWith(prefix)) {
                    break;
                }
                if (each.getKey().compareTo(after) <= 0) {
                    continue;
                }
                if (items.size() == most) {
                    truncated = true;
                    break;
                }
                items.add(entry(each.getKey(), each.getValue()));
            }
            return new Reply(
                    200, map("items", items, "truncated", truncated, "ledgerRev", revision));
        }

        private synchronized Reply commit(Map<String, Object> transaction) {
            List<Map<String, Object>> writes = maps(transaction.get("writes"));
            if (writes.size() > maxOps || hasLargeValue(writes)) {
                refusedAsTooLarge++;
                return new Reply(400, map("error", "over the limits"));
            }
            refill();
            if (requestBudget < 1 || writeBudget < writes.size()) {
                return new Reply(429, map("error", "too many changes"));
            }
            requestBudget--;
            writeBudget -= writes.size();
            for (Map<String, Object> write : writes) {
                if (write.get("tether") != null && !leases.containsKey(number(write.get("tether")))) {
                    return new Reply(400, map("error", "no such lease"));
                }
            }
            List<Object> failed = new ArrayList<>();
            for (Map<String, Object> guard : maps(transaction.get("guards"))) {
                Value value = values.get((String) guard.get("key"));
                if ((value == null ? 0 : value.stamp()) != number(guard.get("stamp"))) {
                    failed.add(guard.get("key"));
                }
            }
            if (!failed.isEmpty()) {
                return new Reply(409, map("failed", failed, "ledgerRev", revision));
            }
            if (!writes.isEmpty()) {
                revision++;
                writes.forEach(this::apply);
                notifyAll();
            }
            return new Reply(200, map("ledgerRev", revision));
        }

        private boolean hasLargeValue(List<Map<String, Object>> writes) {
            for (Map<String, Object> write : writes) {
                if (write.get("v") != null && jsonLength(write.get("v")) > maxValueBytes) {
                    return true;
                }
            }
            return false;
        }

        private void apply(Map<String, Object> write) {
            if (write.get("remove") != null) {
                remove((String) write.get("remove"));
                return;
            }
            String key = (String) write.get("set");
            values.put(key, new Value(write.get("v"), revision, number(write.get("tether"))));
            log.add(map("set", key, "v", write.get("v"), "stamp", revision));
        }

        private void remove(String key) {
            if (values.remove(key) != null) {
                log.add(map("remove", key, "stamp", revision));
            }
        }

        private synchronized Reply watch(Map<String, String> query) throws InterruptedException {
            String prefix = query.get("prefix");
            long after = Long.parseLong(query.get("after"));
            long until =
                    System.nanoTime()
                            + Long.parseLong(query.getOrDefault("blockMs", "0")) * 1_000_000;
            while (true) {
                List<Object> found = new ArrayList<>();
                for (Map<String, Object> change : log) {
                    String key = (String) change.getOrDefault("set", change.get("remove"));
                    if (number(change.get("stamp")) > after && key.startsWith(prefix)) {
                        found.add(change);
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    return new Reply(200, map("ledgerRev", revision, "log", found));
                }
                wait(left);
            }
        }

        private synchronized Reply grant(long ttlMs) {
            leases.put(++lastLease, newLease(ttlMs));
            return new Reply(200, map("tether", lastLease));
        }

        private static Lease newLease(long ttlMs) {
            return new Lease(ttlMs, System.nanoTime() + ttlMs * 1_000_000);
        }

        private synchronized Reply renewOrEnd(String method, String path) {
            String[] parts = path.split("/");
            long id = Long.parseLong(parts[2]);
            Lease lease = leases.get(id);
            if (lease == null) {
                return new Reply(404, map("error", "no such lease"));
            }
            if (method.equals("DELETE")) {
                endLease(id);
            } else {
                leases.put(id, newLease(lease.ttlMs()));
            }
            return new Reply(200, map());
        }

        private synchronized void expireLeases() {
            for (Map.Entry<Long, Lease> each : Map.copyOf(leases).entrySet()) {
                if (System.nanoTime() - each.getValue().endsAt() > 0) {
                    endLease(each.getKey());
                }
            }
        }

        private void endLease(long id) {
            leases.remove(id);
            for (Map.Entry<String, Value> each : new TreeMap<>(values).entrySet()) {
                if (each.getValue().lease() == id) {
                    revision++;
                    remove(each.getKey());
                    notifyAll();
                }
            }
        }
    }

    static int jsonLength(Object value) {
        if (value instanceof Map<?, ?> map) {
            int sum = 1;
            for (Map.Entry<?, ?> each : map.entrySet()) {
                sum += jsonLength(each.getKey()) + 2 + jsonLength(each.getValue());
            }
            return Math.max(2, sum);
        }
        if (value instanceof List<?> list) {
            int sum = 1;
            for (Object item : list) {
                sum += 1 + jsonLength(item);
            }
            return Math.max(2, sum);
        }
        return value instanceof String text
                ? text.getBytes(StandardCharsets.UTF_8).length + 2
                : String.valueOf(value).length();
    }

    // ---- cloud ----

    /** A cloud whose machines are all up and which has no others to give. */
    static final class Cloud {
        private final Recorder recorder;
        private final List<Worker> workers;
        private final Map<String, Object> machineTypes;
        private final long startedAt = System.nanoTime();

        Cloud(Recorder recorder, List<Worker> workers, List<String> zones) {
            this.recorder = recorder;
            this.workers = workers;
            this.machineTypes =
                    map(
                            "breeds",
                            List.of(
                                    map(
                                            "label", "depot-box", "cores", 24.0, "gpus", 4.0,
                                            "memGb", 96.0, "cacheGb", 80.0, "fetchGbPerS", 0.12,
                                            "hourly", 9.16, "spotPrice", 4.08, "readyS", 45.0,
                                            "fields", zones)));
        }

        HttpServer listen() throws IOException {
            return serve(this::answer);
        }

        private Reply answer(String method, String path, Map<String, String> query, byte[] body) {
            if (path.equals("/machine_types")) {
                return new Reply(200, machineTypes);
            }
            if (path.equals("/rentals/release")) {
                List<?> names = (List<?>) unpack(body).get("stalls");
                recorder.log("cloud: return of %s", names);
                for (Worker worker : workers) {
                    if (names.contains(worker.name)) {
                        worker.stopMachine();
                    }
                }
                return new Reply(200, map());
            }
            if (method.equals("POST")) {
                return new Reply(503, map("error", "no capacity"));
            }
            List<Object> listed = new ArrayList<>();
            for (Worker worker : workers) {
                if (!worker.gone && worker.name.compareTo(query.getOrDefault("after", "")) > 0) {
                    listed.add(
                            map(
                                    "ref", worker.name,
                                    "endpoint", worker.address(),
                                    "breed", "depot-box",
                                    "field", worker.zone,
                                    "loaners", worker.spot,
                                    "phase", "running",
                                    "heldS", 300.0 + (System.nanoTime() - startedAt) / 1e9));
                }
            }
            return new Reply(200, map("stalls", listed, "truncated", false));
        }
    }

    // ---- workers ----

    /** What users uploaded about a job, which workers fetch by themselves. */
    record JobText(String image, int tasks, boolean gang, double runS, double saveS) {}

    /** Shared by all workers: uploaded jobs, gangs that wait, and which task is on which machine. */
    static final class Plant {
        final Recorder recorder;
        final double reportS;
        final double leaseS;
        final double gangWaitS;
        final Map<String, JobText> jobs = new HashMap<>();
        final List<String> ranTwice = new ArrayList<>();
        private final Map<String, List<Task>> onMachine = new HashMap<>();

        Plant(Recorder recorder, double reportS, double leaseS, double gangWaitS) {
            this.recorder = recorder;
            this.reportS = reportS;
            this.leaseS = leaseS;
            this.gangWaitS = gangWaitS;
        }

        synchronized void upload(String job, JobText text) {
            jobs.put(job, text);
        }

        synchronized JobText textOf(String job) {
            return jobs.get(job);
        }

        /** The task has its image from now on, so it is on its machine. */
        synchronized void begin(Task task) {
            List<Task> others = onMachine.computeIfAbsent(task.id, unused -> new ArrayList<>());
            recorder.log(
                    "worker %s: task %s try %d is on its machine", task.worker.name, task.id, task.attempt);
            for (Task other : others) {
                if (other.worker != task.worker) {
                    String text =
                            String.format(
                                    "task %s starts on %s (try %d) while it is on %s (try %d)",
                                    task.id, task.worker.name, task.attempt, other.worker.name, other.attempt);
                    ranTwice.add(text);
                    recorder.log("RAN TWICE: %s", text);
                }
            }
            others.add(task);
        }

        synchronized void end(Task task, String why) {
            if (onMachine.containsKey(task.id) && onMachine.get(task.id).remove(task)) {
                recorder.log(
                        "worker %s: task %s try %d left its machine: %s",
                        task.worker.name, task.id, task.attempt, why);
            }
        }

        /** The tasks of the gang's attempt, if all of them wait. */
        synchronized List<Task> completeGang(Task task, int size) {
            List<Task> waiting = new ArrayList<>();
            for (Map.Entry<String, List<Task>> each : onMachine.entrySet()) {
                if (each.getKey().startsWith(task.job() + "/")) {
                    for (Task other : each.getValue()) {
                        if (other.attempt == task.attempt && other.state.equals("waiting")) {
                            waiting.add(other);
                            break;
                        }
                    }
                }
            }
            return waiting.size() == size ? waiting : List.of();
        }
    }

    static final class Task {
        final Worker worker;
        final String id;
        final long attempt;
        volatile String state = "pulling";
        volatile String cause;
        volatile boolean stored;

        Task(Worker worker, String id, long attempt) {
            this.worker = worker;
            this.id = id;
            this.attempt = attempt;
        }

        String job() {
            return id.substring(0, id.indexOf('/'));
        }
    }

    /** A worker as the protocol page describes it. */
    static final class Worker {
        /** Seconds by which the answer to a report is held up on its way to the worker. */
        interface AnswerDelay {
            double of(Map<String, Object> report, Answer answer);
        }

        final String name;
        final String zone;
        final boolean spot;
        private final Plant plant;
        private final List<String> members;
        private final Map<String, String> controllers;
        private final Map<String, Double> fetchSeconds;
        private final Map<String, Task> tasks = new LinkedHashMap<>();
        private final HttpServer server;
        private final HttpClient client = newClient();
        private final ScheduledExecutorService timers =
                Executors.newScheduledThreadPool(
                        2,
                        work -> {
                            Thread thread = new Thread(work);
                            thread.setDaemon(true);
                            return thread;
                        });
        private final Random random;
        private int current;
        private long tenure = 1;
        private long tally;
        private long baton;
        private long leaseFrom = System.nanoTime();
        private Double warningS;
        private long warnedAt;
        private boolean changed = true;
        volatile boolean gone;
        volatile AnswerDelay answerDelay = (report, answer) -> 0;

        Worker(
                String name,
                String zone,
                boolean spot,
                Plant plant,
                Map<String, String> controllers,
                Map<String, Double> fetchSeconds,
                long seed)
                throws IOException {
            this.name = name;
            this.zone = zone;
            this.spot = spot;
            this.plant = plant;
            this.members = List.copyOf(controllers.keySet());
            this.controllers = controllers;
            this.fetchSeconds = fetchSeconds;
            this.random = new Random(seed);
            this.current = random.nextInt(members.size());
            this.server = serve(this::answer);
        }

        String address() {
            return StandIn.address(server);
        }

        void start() {
            Thread reports = new Thread(this::reportLoop, name);
            reports.setDaemon(true);
            reports.start();
        }

        void stopMachine() {
            gone = true;
            server.stop(0);
            synchronized (this) {
                tasks.values().forEach(task -> plant.end(task, "machine gone"));
                tasks.clear();
            }
        }

        synchronized void giveNotice(double seconds) {
            plant.recorder.log("worker %s: notice, the cloud takes it in %.0f s", name, seconds);
            warningS = seconds;
            warnedAt = System.nanoTime();
            changed = true;
            notifyAll();
        }

        synchronized void finish(String task) {
            Task running = tasks.get(task);
            if (running != null && running.state.equals("running")) {
                exit(running, "done");
            }
        }

        synchronized void fail(String task) {
            Task running = tasks.get(task);
            if (running != null && running.state.equals("running")) {
                exit(running, "error");
            }
        }

        synchronized boolean isEmpty() {
            return tasks.values().stream().allMatch(task -> task.state.equals("ended"));
        }

        synchronized boolean has(String task, String state) {
            Task held = tasks.get(task);
            return held != null && held.state.equals(state);
        }

        private void reportLoop() {
            long nextAt = System.nanoTime();
            long lastSentAt = System.nanoTime() - 1_000_000_000L;
            while (!gone) {
                Map<String, Object> report;
                String member;
                long sentAt;
                long sentTenure;
                synchronized (this) {
                    while (!gone) {
                        long now = System.nanoTime();
                        if (now - leaseFrom > plant.leaseS * 1e9) {
                            expireLease(now);
                        }
                        long at = changed ? Math.min(nextAt, lastSentAt + 500_000_000L) : nextAt;
                        if (now - at >= 0) {
                            break;
                        }
                        try {
                            wait(Math.max(1, Math.min(100, (at - now) / 1_000_000)));
                        } catch (InterruptedException interrupted) {
                            return;
                        }
                    }
                    changed = false;
                    report = snapshot();
                    member = members.get(current);
                    sentAt = System.nanoTime();
                    sentTenure = tenure;
                }
                lastSentAt = sentAt;
                nextAt = sentAt + (long) (plant.reportS * (0.75 + 0.5 * random.nextDouble()) * 1e9);
                double pause = report(report, member, sentAt, sentTenure);
                if (pause >= 0) {
                    sleep(pause);
                    nextAt = System.nanoTime();
                }
            }
        }

        private void expireLease(long now) {
            plant.recorder.log("worker %s: lease expired, session %d begins", name, tenure + 1);
            tasks.values().forEach(task -> plant.end(task, "lease expired"));
            tasks.clear();
            tenure++;
            leaseFrom = now;
            changed = true;
        }

        /** Sends a report; returns the pause before the next node is tried, or -1. */
        private double report(Map<String, Object> report, String member, long sentAt, long sentTenure) {
            Answer answer;
            try {
                answer = send(client, controllers.get(member), "POST", "/hello", report, 4);
                double delay = answerDelay.of(report, answer);
                if (delay > 0) {
                    sleep(delay);
                    plant.recorder.log(
                            "worker %s: the held-up answer to report %s arrives %.2f s after the report was sent",
                            name, report.get("tally"), (System.nanoTime() - sentAt) / 1e9);
                }
            } catch (IOException | InterruptedException failed) {
                answer = null;
            }
            synchronized (this) {
                if (answer == null || System.nanoTime() - sentAt > 4e9) {
                    current = (current + 1) % members.size();
                    return 1;
                }
                if (answer.status() == 421) {
                    int named = members.indexOf(answer.body().get("herder"));
                    if (named >= 0 && named != current) {
                        current = named;
                        return 0.05;
                    }
                    current = (current + 1) % members.size();
                    return 1;
                }
                if (answer.status() != 200) {
                    current = (current + 1) % members.size();
                    return 1;
                }
                if (sentTenure != tenure || !answer.body().containsKey("baton")) {
                    return -1;
                }
                long token = number(answer.body().get("baton"));
                if (token < baton) {
                    return -1;
                }
                if (!maps(answer.body().get("orders")).isEmpty()) {
                    plant.recorder.log(
                            "worker %s: report %s %s answered by %s: %s",
                            name, report.get("tally"), report.get("chores"), member, answer.body());
                }
                leaseFrom = Math.max(leaseFrom, sentAt);
                execute(token, answer.body());
                return -1;
            }
        }

        private Map<String, Object> snapshot() {
            List<Object> listed = new ArrayList<>();
            for (Task task : tasks.values()) {
                Map<String, Object> entry =
                        map("chore", task.id, "try", task.attempt, "phase", task.state);
                if (task.cause != null) {
                    entry.put("cause", task.cause);
                }
                if (task.stored) {
                    entry.put("stored", true);
                }
                listed.add(entry);
            }
            return map(
                    "stall", name,
                    "endpoint", address(),
                    "breed", "depot-box",
                    "field", zone,
                    "loaners", spot,
                    "tenure", tenure,
                    "tally", ++tally,
                    "baton", baton,
                    "warningS",
                    warningS == null
                            ? null
                            : (Object) Math.max(0.0, warningS - (System.nanoTime() - warnedAt) / 1e9),
                    "chores", listed);
        }

        private synchronized Reply answer(
                String method, String path, Map<String, String> query, byte[] body) {
            if (path.equals("/inspect")) {
                return new Reply(200, snapshot());
            }
            Map<String, Object> message = unpack(body);
            if (!message.containsKey("baton") || !message.containsKey("tenure")) {
                return new Reply(400, map("error", "baton or tenure is missing"));
            }
            long token = number(message.get("baton"));
            boolean accepted = token >= baton && number(message.get("tenure")) == tenure;
            if (accepted) {
                execute(token, message);
            }
            Map<String, Object> report = snapshot();
            if (!maps(message.get("orders")).isEmpty()) {
                plant.recorder.log(
                        "worker %s: direct command %s answered %d with report %s %s",
                        name, message, accepted ? 200 : 409, report.get("tally"), report.get("chores"));
            }
            return new Reply(accepted ? 200 : 409, report);
        }

        private void execute(long token, Map<String, Object> message) {
            if (token > baton) {
                baton = token;
                changed = true;
            }
            for (Map<String, Object> order : maps(message.get("orders"))) {
                String id = (String) order.get("chore");
                long attempt = number(order.get("try"));
                Task task = tasks.get(id);
                boolean same = task != null && task.attempt == attempt;
                switch ((String) order.get("verb")) {
                    case "run" -> {
                        if (!same) {
                            run(id, attempt, task);
                        }
                    }
                    case "halt" -> {
                        if (same && !task.state.equals("ended")) {
                            halt(task, ((Number) order.get("leewayS")).doubleValue());
                        }
                    }
                    case "reap" -> {
                        if (same && task.state.equals("ended")) {
                            tasks.remove(id);
                            changed = true;
                        }
                    }
                    default -> throw new IllegalArgumentException("unknown verb");
                }
            }
            notifyAll();
        }

        private void run(String id, long attempt, Task other) {
            Task task = new Task(this, id, attempt);
            changed = true;
            if (other != null && !other.state.equals("ended")) {
                plant.recorder.log("worker %s: %s try %d refused, in use", name, id, attempt);
                return;
            }
            JobText text = plant.textOf(task.job());
            tasks.put(id, task);
            if (text == null) {
                task.state = "ended";
                task.cause = "unknown";
                return;
            }
            plant.recorder.log("worker %s: runs %s try %d", name, id, attempt);
            double seconds = fetchSeconds.getOrDefault(text.image(), 0.0);
            if (seconds == 0) {
                onImage(task, text);
            } else {
                later(seconds, () -> onFetched(task, text));
            }
        }

        private void later(double seconds, Runnable work) {
            timers.schedule(work, (long) (seconds * 1000), TimeUnit.MILLISECONDS);
        }

        private synchronized void onFetched(Task task, JobText text) {
            if (isHeld(task) && task.state.equals("pulling")) {
                fetchSeconds.put(text.image(), 0.0);
                onImage(task, text);
            }
        }

        private boolean isHeld(Task task) {
            return !gone && tasks.get(task.id) == task;
        }

        private void onImage(Task task, JobText text) {
            if (!text.gang()) {
                plant.begin(task);
                become(task, "running");
                if (text.runS() < 0) {
                    // A job with a mistake fails as soon as it runs.
                    exit(task, "error");
                } else {
                    later(text.runS(), () -> finishRun(task));
                }
                return;
            }
            become(task, "waiting");
            plant.begin(task);
            later(plant.gangWaitS, () -> giveUpWaiting(task));
            List<Task> complete = plant.completeGang(task, text.tasks());
            // Other workers are told on their own threads: no two workers' locks are held together.
            complete.forEach(each -> each.worker.later(0, () -> each.worker.beginGang(each, text)));
        }

        private synchronized void beginGang(Task task, JobText text) {
            if (isHeld(task) && task.state.equals("waiting")) {
                become(task, "running");
                later(text.runS(), () -> finishRun(task));
            }
        }

        private synchronized void giveUpWaiting(Task task) {
            if (isHeld(task) && task.state.equals("waiting")) {
                exit(task, "incomplete");
            }
        }

        private synchronized void finishRun(Task task) {
            if (isHeld(task) && task.state.equals("running")) {
                exit(task, "done");
            }
        }

        private void become(Task task, String state) {
            task.state = state;
            changed = true;
            notifyAll();
        }

        private void halt(Task task, double leewayS) {
            double saveS = plant.textOf(task.job()).saveS();
            if (task.state.equals("running") && saveS > 0 && leewayS >= saveS) {
                become(task, "flushing");
                later(saveS, () -> finishSaving(task));
            } else if (!task.state.equals("flushing") || leewayS == 0) {
                exit(task, "stopped");
            }
        }

        private synchronized void finishSaving(Task task) {
            if (isHeld(task) && task.state.equals("flushing")) {
                task.stored = true;
                exit(task, "stopped");
            }
        }

        private void exit(Task task, String cause) {
            plant.end(task, cause);
            task.cause = cause;
            become(task, "ended");
        }
    }

    // ---- controllers ----

    /** Starts controllers with the command of the deploy file, as separate processes. */
    static final class Controllers implements AutoCloseable {
        final Map<String, String> listen = new LinkedHashMap<>();
        private final Map<String, String> back = new LinkedHashMap<>();
        private final Map<String, Process> processes = new LinkedHashMap<>();
        private final Path root;
        private final Path folder;
        private final Recorder recorder;
        private final List<String> command;

        Controllers(Path root, Path folder, Recorder recorder, int count) throws IOException {
            this.root = root;
            this.folder = folder;
            this.recorder = recorder;
            this.command = runLine(root.resolve("deploy/service.toml"));
            for (int node = 0; node < count; node++) {
                listen.put("stall-" + node, "127.0.0.1:" + freePort());
                back.put("stall-" + node, "127.0.0.1:" + freePort());
            }
            Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        }

        private static List<String> runLine(Path file) throws IOException {
            for (String line : Files.readAllLines(file)) {
                if (line.startsWith("run = \"")) {
                    return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
                }
            }
            throw new IOException("no run line in " + file);
        }

        /** Starts one controller; SETTINGS is the JSON text of the settings object. */
        void start(String member, String area, String cloud, String state, String settings)
                throws IOException {
            StringBuilder known = new StringBuilder();
            back.forEach(
                    (other, address) -> {
                        if (!other.equals(member)) {
                            known.append(known.isEmpty() ? "" : ",")
                                    .append("{\"member\":\"" + other + "\",\"area\":\"" + area)
                                    .append("\",\"addr\":\"" + address + "\"}");
                        }
                    });
            Path file = folder.resolve(member + ".json");
            Files.writeString(
                    file,
                    "{\"member\":\"" + member + "\",\"area\":\"" + area
                            + "\",\"listen\":\"" + listen.get(member)
                            + "\",\"back\":\"" + back.get(member)
                            + "\",\"known\":[" + known + "],\"external\":{\"cloud\":\"" + cloud
                            + "\",\"state\":\"" + state + "\"},\"settings\":" + settings + "}");
            List<String> line = new ArrayList<>(command);
            line.add(file.toString());
            ProcessBuilder builder = new ProcessBuilder(line).directory(root.toFile());
            builder.environment().put("LOG_LEVEL", "info");
            builder.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(member + ".log").toFile()));
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
            processes.put(member, builder.start());
            recorder.log("controller %s started, listens on %s", member, listen.get(member));
        }

        boolean awaitReady(HttpClient client, double seconds) {
            long until = System.nanoTime() + (long) (seconds * 1e9);
            for (String address : listen.values()) {
                while (true) {
                    try {
                        if (send(client, address, "GET", "/ready", null, 1).status() == 200) {
                            break;
                        }
                    } catch (IOException | InterruptedException notYet) {
                        // Tried again below.
                    }
                    if (System.nanoTime() - until > 0) {
                        return false;
                    }
                    sleep(0.1);
                }
            }
            return true;
        }

        boolean allAlive() {
            return processes.values().stream().allMatch(Process::isAlive);
        }

        /** Copies the lines of the controllers' logs that hold one of the words into the record. */
        void recordLogs(String... words) {
            for (String member : processes.keySet()) {
                try {
                    for (String line : Files.readAllLines(folder.resolve(member + ".log"))) {
                        for (String word : words) {
                            if (line.contains(word)) {
                                recorder.log("log of %s: %s", member, line);
                                break;
                            }
                        }
                    }
                } catch (IOException unreadable) {
                    recorder.log("log of %s cannot be read", member);
                }
            }
        }

        @Override
        public void close() {
            processes.values().forEach(Process::destroyForcibly);
            for (Process process : processes.values()) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** The settings object of a small deployment; TEAMS is a JSON list. */
    static String settings(String zones, String teams) {
        return "{\"size\":3,\"zones\":" + zones + ",\"teams\":" + teams
                + ",\"objectives\":[{\"kind\":\"wait\",\"class\":\"bin-lookup\",\"within_s\":80.0,\"share\":0.8},"
                + "{\"kind\":\"wait\",\"class\":\"fleet-solve\",\"within_s\":100.0,\"share\":0.8}],"
                + "\"workers\":{\"report_s\":3.0,\"lease_s\":18.0,\"gang_wait_s\":30.0,\"gang_peer_s\":6.0,\"cancel_s\":48.0},"
                + "\"state\":{\"rps\":80.0,\"write_rps\":30.0,\"value_kb\":16.0,\"txn_ops\":12},"
                + "\"cloud\":{\"rps\":8.0,\"list_lag_s\":10.0},"
                + "\"quota\":{\"cores\":0.264,\"mem_mb\":263.0,\"fd_limit\":2000},\"skew_ms\":100.0}";
    }

    /** A submission with all its fields. */
    static Map<String, Object> submission(
            String ref, String herd, String shape, int tasks, double cores, double gpus, double memGb,
            String image, double imageGb, boolean spot, boolean together, double expectedS,
            double bookmarkS, double stashS) {
        return map(
                "ref", ref, "herd", herd, "crew", "routing-desk", "shape", shape,
                "urgency", "normal", "chores", tasks, "cores", cores, "gpus", gpus, "memGb", memGb,
                "bundle", image, "pullGb", imageGb, "breeds", null, "field", null,
                "together", together, "spread", false, "loaners", spot, "expectedS", expectedS,
                "bookmarkS", bookmarkS, "stashS", stashS, "dueS", null);
    }
}
