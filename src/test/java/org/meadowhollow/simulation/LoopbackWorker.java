package org.meadowhollow.simulation;

import io.undertow.server.DefaultByteBufferPool;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.RandomEncoding;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;

/**
 * The worker of one machine, which speaks the wire protocol over HTTP. Everything runs on the
 * thread of one event loop.
 */
final class LoopbackWorker implements AutoCloseable {
    private static final int ENCODING_SEED = 13;
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CHANGED_HEARTBEAT_DELAY = Duration.ofMillis(100);

    /** The wire's words for a running and an exited task. */
    private static final String RUNNING = "running";

    private static final String EXITED = "ended";

    /** The wire's field names of the fencing token, the incarnation, a task and its attempt. */
    private static final String FENCING_TOKEN = "baton";

    private static final String INCARNATION = "tenure";
    private static final String TASK = "chore";
    private static final String ATTEMPT = "try";

    /** A task on the machine; its state and exit reason are the wire's words. */
    private static final class Task {
        private final long attempt;
        private String state = RUNNING;

        /** Null until it has exited. */
        private String exitReason;

        Task(long attempt) {
            this.attempt = attempt;
        }
    }

    private final String name;
    private final XnioEventLoop loop;
    private final HttpClient http;
    private final Map<String, String> controllers;
    private final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final RandomEncoding encoding = new RandomEncoding(new Random(ENCODING_SEED));
    private String currentController;
    private long incarnation = 1;
    private long heartbeatNumber;
    private long fencingToken;
    private long renewedAt = System.nanoTime();
    private boolean completesTasks;
    private boolean closed;

    /**
     * @param controllers addresses of the controllers by name
     */
    LoopbackWorker(String name, XnioEventLoop loop, Map<String, String> controllers) {
        this.name = name;
        this.loop = loop;
        this.controllers = controllers;
        this.currentController = controllers.keySet().iterator().next();
        this.http = new HttpClient(loop, new DefaultByteBufferPool(false, 8192));
        this.server =
                new HttpServer(
                        loop,
                        new DefaultByteBufferPool(false, 8192),
                        "127.0.0.1",
                        0,
                        0,
                        Duration.ofMinutes(1),
                        (Http.SimpleRequestHandler) this::handleDirectCommands);
        sendHeartbeatsPeriodically();
    }

    /** Returns the machine as the cloud lists it, with the field names of the wire. */
    Map<String, Object> cloudListing() {
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

    /**
     * Completes all tasks, and from now on each new task too; before this call, no task completes.
     */
    void completeAll() {
        completesTasks = true;
        sendHeartbeat();
    }

    List<TaskId> runningTasks() {
        List<TaskId> all = new ArrayList<>();
        tasks.forEach(
                (id, task) -> {
                    if (task.state.equals(RUNNING)) {
                        all.add(TaskId.parse(id));
                    }
                });
        return all;
    }

    private void sendHeartbeatsPeriodically() {
        if (!closed) {
            loop.schedule(HEARTBEAT_INTERVAL, this::sendHeartbeatsPeriodically);
            sendHeartbeat();
        }
    }

    private void sendHeartbeat() {
        if (System.nanoTime() - renewedAt > LEASE.toNanos()) {
            tasks.clear();
            incarnation++;
            renewedAt = System.nanoTime();
        }
        if (completesTasks) {
            tasks.values().forEach(task -> exit(task, "done"));
        }
        long sentAt = System.nanoTime();
        long senderIncarnation = incarnation;
        CompletableFuture<?> unused =
                http.send(
                                controllers.get(currentController),
                                "POST",
                                "/hello",
                                snapshot(),
                                RESPONSE_TIMEOUT)
                        .whenComplete(
                                (reply, failure) -> {
                                    if (closed || senderIncarnation != incarnation) {
                                        return;
                                    }
                                    try {
                                        if (failure != null || reply.status() != 200) {
                                            connectToNext(
                                                    failure == null && reply.status() == 421
                                                            ? MessageReader.decode(reply.body())
                                                                    .stringOrNull("herder")
                                                            : null);
                                            return;
                                        }
                                        MessageReader answer = MessageReader.decode(reply.body());
                                        if (answer.nonNegativeLong(FENCING_TOKEN) >= fencingToken) {
                                            renewedAt = sentAt;
                                            execute(answer);
                                        }
                                    } catch (MalformedMessageException malformed) {
                                        throw new AssertionError(malformed);
                                    }
                                });
    }

    private void connectToNext(String leader) {
        List<String> all = List.copyOf(controllers.keySet());
        currentController =
                leader != null
                        ? leader
                        : all.get((all.indexOf(currentController) + 1) % all.size());
        loop.schedule(CHANGED_HEARTBEAT_DELAY, this::sendHeartbeat);
    }

    private byte[] snapshot() {
        List<Object> statuses = new ArrayList<>();
        tasks.forEach(
                (id, task) ->
                        statuses.add(
                                MessageReader.mapOf(
                                        TASK,
                                        id,
                                        ATTEMPT,
                                        task.attempt,
                                        "phase",
                                        task.state,
                                        "cause",
                                        task.exitReason)));
        return encoding.encode(
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
                        INCARNATION,
                        incarnation,
                        "tally",
                        ++heartbeatNumber,
                        FENCING_TOKEN,
                        fencingToken,
                        "chores",
                        statuses));
    }

    private CompletableFuture<Http.Reply> handleDirectCommands(
            String method, String path, byte[] body) {
        try {
            MessageReader commands = MessageReader.decode(body);
            boolean accepted =
                    commands.nonNegativeLong(FENCING_TOKEN) >= fencingToken
                            && commands.nonNegativeLong(INCARNATION) == incarnation;
            if (accepted) {
                execute(commands);
            }
            return CompletableFuture.completedFuture(
                    new Http.Reply(accepted ? 200 : 409, snapshot(), 0));
        } catch (MalformedMessageException malformed) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, malformed.getMessage()));
        }
    }

    private void execute(MessageReader message) throws MalformedMessageException {
        boolean changed = message.nonNegativeLong(FENCING_TOKEN) > fencingToken;
        fencingToken = message.nonNegativeLong(FENCING_TOKEN);
        for (MessageReader command : message.nestedList("orders")) {
            String id = command.string(TASK);
            Task task = tasks.get(id);
            boolean sameAttempt = task != null && task.attempt == command.nonNegativeLong(ATTEMPT);
            switch (command.string("verb")) {
                case "run" -> {
                    if (!sameAttempt) {
                        if (task != null && !task.state.equals(EXITED)) {
                            throw new AssertionError(
                                    "started while another attempt is on the machine: " + id);
                        }
                        tasks.put(id, new Task(command.nonNegativeLong(ATTEMPT)));
                        changed = true;
                    }
                }
                case "halt" -> {
                    if (sameAttempt) {
                        exit(task, "stopped");
                        changed = true;
                    }
                }
                case "reap" -> {
                    if (sameAttempt && task.state.equals(EXITED)) {
                        tasks.remove(id);
                    }
                }
                default -> throw new MalformedMessageException("unknown verb");
            }
        }
        if (changed) {
            loop.schedule(CHANGED_HEARTBEAT_DELAY, this::sendHeartbeat);
        }
    }

    private static void exit(Task task, String reason) {
        if (!task.state.equals(EXITED)) {
            task.state = EXITED;
            task.exitReason = reason;
        }
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }
}
