package org.meadowhollow.simulation;

import io.undertow.server.DefaultByteBufferPool;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;

/**
 * A machine's worker over HTTP, with the field names of the wire. Everything happens on the thread
 * of one event loop.
 */
final class LoopbackWorker implements AutoCloseable {
    private static final Duration REPORT = Duration.ofMillis(500);
    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final Duration ANSWER = Duration.ofSeconds(2);
    private static final Duration NEXT = Duration.ofMillis(100);

    private static final class Task {
        private final long attempt;
        private String phase = "running";
        private String cause;

        Task(long attempt) {
            this.attempt = attempt;
        }
    }

    private final String name;
    private final XnioEventLoop loop;
    private final HttpClient http;
    private final Map<String, String> nodes;
    private final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private String node;
    private long tenure = 1;
    private long tally;
    private long baton;
    private long renewedAt = System.nanoTime();
    private boolean endsAll;
    private boolean closed;

    /**
     * @param nodes their addresses by member
     */
    LoopbackWorker(String name, XnioEventLoop loop, Map<String, String> nodes) {
        this.name = name;
        this.loop = loop;
        this.nodes = nodes;
        this.node = nodes.keySet().iterator().next();
        this.http = new HttpClient(loop, new DefaultByteBufferPool(false, 8192));
        this.server =
                new HttpServer(
                        loop,
                        new DefaultByteBufferPool(false, 8192),
                        "127.0.0.1",
                        0,
                        0,
                        Duration.ofMinutes(1),
                        (Http.SimpleRequestHandler) this::ordered);
        tick();
    }

    /** As the cloud lists it. */
    Map<String, Object> listed() {
        return MessageReader.mapOf(
                "ref",
                name,
                "endpoint",
                "127.0.0.1:" + server.port(),
                "breed",
                "t",
                "field",
                "z",
                "loaners",
                false,
                "phase",
                "running",
                "heldS",
                60.0);
    }

    /** From now on all tasks are done as soon as they run; until then they run on. */
    void endAll() {
        endsAll = true;
        report();
    }

    List<TaskId> running() {
        List<TaskId> all = new ArrayList<>();
        tasks.forEach(
                (task, held) -> {
                    if (held.phase.equals("running")) {
                        all.add(TaskId.parse(task));
                    }
                });
        return all;
    }

    private void tick() {
        if (!closed) {
            loop.schedule(REPORT, this::tick);
            report();
        }
    }

    private void report() {
        if (System.nanoTime() - renewedAt > LEASE.toNanos()) {
            tasks.clear();
            tenure++;
            renewedAt = System.nanoTime();
        }
        if (endsAll) {
            tasks.values().forEach(task -> end(task, "done"));
        }
        long sentAt = System.nanoTime();
        long reporting = tenure;
        http.send(nodes.get(node), "POST", "/hello", snapshot(), ANSWER)
                .whenComplete(
                        (reply, failure) -> {
                            if (closed || reporting != tenure) {
                                return;
                            }
                            try {
                                if (failure != null || reply.status() != 200) {
                                    moveOn(
                                            failure == null && reply.status() == 421
                                                    ? MessageReader.decode(reply.body())
                                                            .stringOrNull("herder")
                                                    : null);
                                    return;
                                }
                                MessageReader answer = MessageReader.decode(reply.body());
                                if (answer.nonNegativeLong("baton") >= baton) {
                                    renewedAt = sentAt;
                                    obey(answer);
                                }
                            } catch (MalformedMessageException broken) {
                                throw new AssertionError(broken);
                            }
                        });
    }

    private void moveOn(String leader) {
        List<String> all = List.copyOf(nodes.keySet());
        node = leader != null ? leader : all.get((all.indexOf(node) + 1) % all.size());
        loop.schedule(NEXT, this::report);
    }

    private byte[] snapshot() {
        List<Object> chores = new ArrayList<>();
        tasks.forEach(
                (task, held) ->
                        chores.add(
                                MessageReader.mapOf(
                                        "chore",
                                        task,
                                        "try",
                                        held.attempt,
                                        "phase",
                                        held.phase,
                                        "cause",
                                        held.cause)));
        return org.meadowhollow.protocol.MessagePackCodec.encode(
                MessageReader.mapOf(
                        "stall",
                        name,
                        "endpoint",
                        "127.0.0.1:" + server.port(),
                        "breed",
                        "t",
                        "field",
                        "z",
                        "loaners",
                        false,
                        "tenure",
                        tenure,
                        "tally",
                        ++tally,
                        "baton",
                        baton,
                        "chores",
                        chores));
    }

    private CompletableFuture<Http.Reply> ordered(String method, String path, byte[] body) {
        try {
            MessageReader orders = MessageReader.decode(body);
            boolean obeys =
                    orders.nonNegativeLong("baton") >= baton
                            && orders.nonNegativeLong("tenure") == tenure;
            if (obeys) {
                obey(orders);
            }
            return CompletableFuture.completedFuture(
                    new Http.Reply(obeys ? 200 : 409, snapshot(), 0));
        } catch (MalformedMessageException broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, broken.getMessage()));
        }
    }

    private void obey(MessageReader message) throws MalformedMessageException {
        boolean news = message.nonNegativeLong("baton") > baton;
        baton = message.nonNegativeLong("baton");
        for (MessageReader order : message.nestedList("orders")) {
            String id = order.string("chore");
            Task task = tasks.get(id);
            boolean same = task != null && task.attempt == order.nonNegativeLong("try");
            switch (order.string("verb")) {
                case "run" -> {
                    if (!same) {
                        if (task != null && !task.phase.equals("ended")) {
                            throw new AssertionError("started beside another attempt: " + id);
                        }
                        tasks.put(id, new Task(order.nonNegativeLong("try")));
                        news = true;
                    }
                }
                case "halt" -> {
                    if (same) {
                        end(task, "stopped");
                        news = true;
                    }
                }
                case "reap" -> {
                    if (same && task.phase.equals("ended")) {
                        tasks.remove(id);
                    }
                }
                default -> throw new MalformedMessageException("unknown verb");
            }
        }
        if (news) {
            loop.schedule(NEXT, this::report);
        }
    }

    private static void end(Task task, String cause) {
        if (!task.phase.equals("ended")) {
            task.phase = "ended";
            task.cause = cause;
        }
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }
}
