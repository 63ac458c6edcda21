package org.meadowhollow.protocol.training;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

/**
 * A stub of the key-value store and the cloud for the training run of class data sharing, with just
 * enough behavior for one controller to lead and to run one job. Of the stored data it keeps only
 * the revision counter. Its state is guarded by its own lock. It is the server side of the
 * protocols and therefore uses their field names as they are on the wire.
 */
public final class PlatformStub implements Http.SimpleRequestHandler {
    private static final String JOB = "req-1";
    private static final String MACHINE = "vm-1";
    private static final String TYPE = "t";

    private final CompletableFuture<Http.Reply> firstWatch = new CompletableFuture<>();
    private boolean watchStarted;
    private long revision;

    @Override
    public synchronized CompletableFuture<Http.Reply> handle(
            String method, String path, byte[] body) {
        if (path.equals("/changes")) {
            CompletableFuture<Http.Reply> watch =
                    watchStarted ? new CompletableFuture<>() : firstWatch;
            watchStarted = true;
            return watch;
        }
        return CompletableFuture.completedFuture(replyTo(method, path, body));
    }

    private Http.Reply replyTo(String method, String path, byte[] body) {
        return switch (path) {
            case "/kv" ->
                    Http.Reply.of(
                            200,
                            MessageReader.mapOf(
                                    "items", List.of(), "truncated", false, "ledgerRev", revision));
            case "/multi" -> commitReply(body);
            case "/grants" -> Http.Reply.of(200, MessageReader.mapOf("tether", 1L));
            case "/machine_types" ->
                    Http.Reply.of(200, MessageReader.mapOf("breeds", List.of(machineType())));
            case "/rentals" ->
                    Http.Reply.of(
                            200,
                            method.equals("POST")
                                    ? MessageReader.mapOf("stalls", List.of(MACHINE))
                                    : MessageReader.mapOf(
                                            "stalls", List.of(machine()), "truncated", false));
            default ->
                    path.startsWith("/kv/")
                            ? Http.Reply.of(404, MessageReader.mapOf("ledgerRev", revision))
                            : Http.Reply.of(200, MessageReader.mapOf());
        };
    }

    private static Map<String, Object> machineType() {
        return MessageReader.mapOf(
                "label",
                TYPE,
                "cores",
                8.0,
                "gpus",
                1.0,
                "memGb",
                32.0,
                "cacheGb",
                50.0,
                "fetchGbPerS",
                1.0,
                "hourly",
                1.0,
                "spotPrice",
                0.5,
                "readyS",
                30.0,
                "fields",
                List.of("z"));
    }

    private static Map<String, Object> machine() {
        return MessageReader.mapOf(
                "ref",
                MACHINE,
                "endpoint",
                "127.0.0.1:9",
                "breed",
                TYPE,
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
     * Accepts every transaction, and sends the first job that one of them adds to the leader's
     * watch.
     */
    private Http.Reply commitReply(byte[] body) {
        revision++;
        try {
            for (MessageReader write : MessageReader.decode(body).nestedList("writes")) {
                if (write.has("set") && write.string("set").startsWith("job/")) {
                    firstWatch.complete(
                            Http.Reply.of(
                                    200,
                                    MessageReader.mapOf(
                                            "ledgerRev",
                                            revision,
                                            "log",
                                            List.of(
                                                    MessageReader.mapOf(
                                                            "set",
                                                            write.string("set"),
                                                            "v",
                                                            write.nested("v").map(),
                                                            "stamp",
                                                            revision)))));
                }
            }
        } catch (MalformedMessageException impossible) {
            throw new IllegalStateException(impossible);
        }
        return Http.Reply.of(200, MessageReader.mapOf("ledgerRev", revision));
    }

    /** Returns the body with which a user submits the job. */
    public static byte[] submissionBody() {
        return MessagePackCodec.encode(
                MessageReader.mapOf(
                        "ref",
                        JOB,
                        "herd",
                        "c",
                        "crew",
                        "t",
                        "shape",
                        "array",
                        "urgency",
                        "normal",
                        "chores",
                        1L,
                        "cores",
                        1.0,
                        "gpus",
                        0.0,
                        "memGb",
                        1.0,
                        "bundle",
                        "i",
                        "pullGb",
                        1.0,
                        "expectedS",
                        1.0,
                        "bookmarkS",
                        0.0,
                        "stashS",
                        0.0,
                        "dueS",
                        60.0));
    }

    /**
     * Returns the body of a heartbeat of the machine.
     *
     * @param phase the phase of the job's task as it is on the wire; null while the machine has no
     *     task
     */
    public static byte[] heartbeatBody(long sequenceNumber, long fencingToken, String phase) {
        return MessagePackCodec.encode(
                MessageReader.mapOf(
                        "stall",
                        MACHINE,
                        "endpoint",
                        "127.0.0.1:9",
                        "breed",
                        TYPE,
                        "field",
                        "z",
                        "loaners",
                        false,
                        "tenure",
                        1L,
                        "tally",
                        sequenceNumber,
                        "baton",
                        fencingToken,
                        "chores",
                        phase == null
                                ? List.of()
                                : List.of(
                                        Map.of(
                                                "chore",
                                                JOB + "/0",
                                                "try",
                                                1L,
                                                "phase",
                                                phase,
                                                "cause",
                                                "done"))));
    }
}
