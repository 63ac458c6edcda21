import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: the project's controllers as processes, all else stand-ins. */
final class Bed implements AutoCloseable {
    /** One controller. */
    final class Node {
        final String member;
        final String area;
        final int listen;
        final int back;
        /** The state service, as this node reaches it. */
        final Http.Server state;
        /** Where workers reach this node. */
        String workerAddress;
        Process process;

        Node(String member, String area) throws IOException {
            this.member = member;
            this.area = area;
            this.listen = freePort();
            this.back = freePort();
            this.state = Bed.this.state.listen(member);
            this.workerAddress = address();
        }

        String address() {
            return "127.0.0.1:" + listen;
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runLine.split(" ")));
            command.add(folder.resolve(member + ".json").toString());
            process =
                    new ProcessBuilder(command)
                            .directory(project.toFile())
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(member + ".log").toFile()))
                            .start();
            note("start " + member + " pid " + process.pid());
        }

        void signal(String name) throws IOException, InterruptedException {
            note("signal " + name + " " + member);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            note("kill " + member);
            process.destroyForcibly().waitFor();
        }
    }

    final List<Node> nodes = new ArrayList<>();
    final Map<String, Map<String, Object>> specs = new ConcurrentHashMap<>();
    final double reportS = 3;
    final double leaseS = 18;
    final double gangWaitS = 30;
    final double cancelS = 48;
    final double listLagS = 10;
    final StateService state = new StateService(80, 30, 16, 12);
    final Cloud cloud;
    private final Path project;
    private final Path folder;
    private final String runLine;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    /** The machines on which a task is now. */
    private final Map<String, List<String>> places = new TreeMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Long> lastStart = new HashMap<>();
    private final Map<String, Integer> completed = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    private int nextId = 400;

    Bed(Path project, Path record, List<String> zones, int size, List<Map<String, Object>> breeds,
            List<Map<String, Object>> teams, List<Map<String, Object>> objectives) throws IOException {
        this.project = project;
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        this.folder = Files.createTempDirectory("review");
        this.cloud = new Cloud(this, breeds);
        String deploy = Files.readString(project.resolve("deploy/service.toml"));
        this.runLine = deploy.lines().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow().split("\"")[1];
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
        String cloudAddress = cloud.listen().address();
        for (int i = 0; i < size; i++) {
            nodes.add(new Node("stall-" + i, zones.get(i % zones.size())));
        }
        for (Node node : nodes) {
            List<Object> known = new ArrayList<>();
            for (Node other : nodes) {
                if (other != node) {
                    known.add(map("member", other.member, "area", other.area, "addr", "127.0.0.1:" + other.back));
                }
            }
            Map<String, Object> settings =
                    map("size", size, "zones", zones, "teams", teams, "objectives", objectives,
                            "workers", map("report_s", reportS, "lease_s", leaseS, "gang_wait_s", gangWaitS,
                                    "gang_peer_s", 6.0, "cancel_s", cancelS),
                            "state", map("rps", 80.0, "write_rps", 30.0, "value_kb", 16.0, "txn_ops", 12),
                            "cloud", map("rps", 8.0, "list_lag_s", listLagS),
                            "quota", map("cores", 0.264, "mem_mb", 263.0, "fd_limit", 2000),
                            "skew_ms", 100.0);
            Map<String, Object> file =
                    map("member", node.member, "area", node.area, "listen", node.address(),
                            "back", "127.0.0.1:" + node.back, "known", known,
                            "external", map("cloud", cloudAddress, "state", node.state.address()),
                            "settings", settings);
            Files.writeString(folder.resolve(node.member + ".json"), MsgPack.json(file));
        }
    }

    // ---- helpers ----

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException stop) {
            throw new IllegalStateException(stop);
        }
    }

    /** Each run has a block of ports of its own, below the range that outgoing connections use. */
    private static int nextPort = 12_000 + (int) (ProcessHandle.current().pid() % 800) * 25;

    static synchronized int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(nextPort++, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // The next one.
            }
        }
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    void sleepUntil(double seconds) {
        sleep((long) ((seconds - now()) * 1000));
    }

    synchronized void note(String text) {
        record.printf("%8.3f %s%n", now(), text);
    }

    synchronized void breach(String text) {
        broken.add(text);
        note("BROKEN " + text);
    }

    int indexOf(String member) {
        for (int i = 0; i < nodes.size(); i++) {
            if (nodes.get(i).member.equals(member)) {
                return i;
            }
        }
        return -1;
    }

    /** The node that the state service names as the leader, or null. */
    @SuppressWarnings("unchecked")
    Node leader() {
        Map<String, Object> value = (Map<String, Object>) state.valueOf("meta/leader");
        if (value != null) {
            for (Object each : value.values()) {
                if (each instanceof String text && indexOf(text) >= 0) {
                    return nodes.get(indexOf(text));
                }
            }
        }
        return null;
    }

    boolean awaitReady(double seconds) throws InterruptedException {
        double end = now() + seconds;
        while (now() < end) {
            int ready = 0;
            for (Node node : nodes) {
                try {
                    ready += Http.send(node.address(), "GET", "/ready", null, 1000).status() == 200 ? 1 : 0;
                } catch (IOException notYet) {
                    // Not listening yet.
                }
            }
            if (ready == nodes.size() && leader() != null) {
                note("all nodes are ready, leader " + leader().member);
                return true;
            }
            sleep(100);
        }
        return false;
    }

    // ---- what runs ----

    synchronized void came(String chore, long attempt, Worker worker, Map<String, Object> spec) {
        note("on machine " + chore + " try " + attempt + " " + worker.name + " " + worker.field);
        List<String> where = places.computeIfAbsent(chore, unused -> new ArrayList<>());
        if (!where.isEmpty()) {
            breach("ran_twice " + chore + " starts on " + worker.name + " while on " + where);
        }
        where.add(worker.name);
        starts.merge(chore, 1, Integer::sum);
        lastStart.put(chore, System.nanoTime());
    }

    synchronized void left(String chore, long attempt, Worker worker, String why) {
        note("off machine " + chore + " try " + attempt + " " + worker.name + " " + why);
        places.getOrDefault(chore, new ArrayList<>()).remove(worker.name);
    }

    synchronized void completed(String chore) {
        completed.merge(chore.substring(0, chore.indexOf('/')), 1, Integer::sum);
    }

    /** How often tasks of a job have come onto a machine. */
    synchronized int starts(String ref) {
        int count = 0;
        for (Map.Entry<String, Integer> each : starts.entrySet()) {
            count += each.getKey().startsWith(ref + "/") ? each.getValue() : 0;
        }
        return count;
    }

    /** How many tasks of a job have completed. */
    synchronized int completed(Map<String, Object> spec) {
        return completed.getOrDefault((String) spec.get("ref"), 0);
    }

    /** The number of tasks of a job that are on a machine now. */
    synchronized int running(String ref) {
        int count = 0;
        for (Map.Entry<String, List<String>> each : places.entrySet()) {
            count += each.getKey().startsWith(ref + "/") && !each.getValue().isEmpty() ? 1 : 0;
        }
        return count;
    }

    /** The machine on which a task is now, or null. */
    Worker hostOf(String chore) {
        List<String> where;
        synchronized (this) {
            where = List.copyOf(places.getOrDefault(chore, List.of()));
        }
        for (Worker worker : cloud.workers()) {
            if (where.contains(worker.name)) {
                return worker;
            }
        }
        return null;
    }

    synchronized boolean isPlaced(String chore) {
        return !places.getOrDefault(chore, List.of()).isEmpty();
    }

    synchronized boolean gangComplete(String chore, long attempt, Map<String, Object> spec) {
        String ref = chore.substring(0, chore.indexOf('/'));
        return running(ref) >= ((Number) spec.get("chores")).intValue();
    }

    // ---- users ----

    /** A submission with the fields of the protocol page. */
    Map<String, Object> submission(String shape, int chores, Object... changes) {
        Map<String, Object> spec =
                map("ref", String.format("req-%06d", ++nextId), "herd", "bin-lookup", "crew", "routing-desk",
                        "shape", shape, "urgency", "critical", "chores", chores, "cores", 4.0, "gpus", 1.0,
                        "memGb", 14.0, "bundle", "img-07", "pullGb", 0.1, "breeds", null, "field", null,
                        "together", false, "spread", false, "loaners", false, "expectedS", 0.0,
                        "bookmarkS", 0.0, "stashS", 0.0, "dueS", null);
        spec.putAll(map(changes));
        return spec;
    }

    /** Submits a job as the page says, for up to 60 s; the last status, or 0 without an answer. */
    int submit(Node first, Map<String, Object> spec) {
        specs.put((String) spec.get("ref"), spec);
        Map<String, Object> sent = new LinkedHashMap<>(spec);
        sent.remove("runS");
        int at = nodes.indexOf(first);
        int status = 0;
        for (double end = now() + 60; now() < end; sleep(1000), at++) {
            status = call(nodes.get(at % nodes.size()), "POST", "/submissions", sent, 5000);
            if (status == 201 || status == 200 || status == 400 || status == 422) {
                return status;
            }
        }
        return status;
    }

    Http.Reply lastReply;

    int call(Node node, String method, String path, Map<String, ?> body, int timeoutMillis) {
        try {
            lastReply = Http.send(node.address(), method, path, body, timeoutMillis);
            note(method + " " + path + " at " + node.member + (body == null ? "" : " " + MsgPack.json(body)) + " -> "
                    + lastReply.status() + " " + MsgPack.json(lastReply.map()));
            return lastReply.status();
        } catch (IOException failure) {
            note(method + " " + path + " at " + node.member + " -> no answer: " + failure.getMessage());
            return 0;
        }
    }

    // ---- end ----

    private void stopAll() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws Exception {
        stopAll();
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.waitFor(5, TimeUnit.SECONDS);
            }
        }
        note("all processes ended");
        String keep = System.getenv("KEEP");
        if (keep != null) {
            new ProcessBuilder("cp", "-r", folder.toString(), keep).start().waitFor();
        }
        for (var file : folder.toFile().listFiles()) {
            file.delete();
        }
        folder.toFile().delete();
    }
}
