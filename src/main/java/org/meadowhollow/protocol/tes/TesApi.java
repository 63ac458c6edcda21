package org.meadowhollow.protocol.tes;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.AttemptRecord;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobPhase;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskTracer;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Json;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;

/**
 * The GA4GH task execution API, version 1.1, on the same admission as native jobs: any node
 * answers, from the state service alone, so that no answer is older than another node's. {@code
 * docs/tes.md} has the ways that were weighed.
 */
public final class TesApi implements Http.Service {
    private static final String ROOT = "/ga4gh/tes/v1";
    private static final String TASKS = ROOT + "/tasks";
    private static final String CANCEL = ":cancel";
    private static final String JSON_TYPE = "application/json";
    private static final int COME_BACK_S = 1;

    /** The states that the API names; the first and PAUSED never occur here. */
    static final List<String> STATES =
            List.of(
                    "UNKNOWN",
                    "QUEUED",
                    "INITIALIZING",
                    "RUNNING",
                    "PAUSED",
                    "COMPLETE",
                    "EXECUTOR_ERROR",
                    "SYSTEM_ERROR",
                    "CANCELED",
                    "PREEMPTED",
                    "CANCELING");

    /**
     * Hex digits of an id after its prefix: 104 bits, which nobody guesses and no two tasks share.
     */
    private static final int ID_DIGITS = 26;

    private static final int LONGEST_KEY = 200;

    /** Tasks, which never change once accepted, that are kept in memory: some kilobytes each. */
    private static final int MOST_CACHED = 256;

    /** Bytes around the fields of a record. */
    private static final int FRAMING = 512;

    private final AdmissionService admissionService;
    private final KeyValueStore store;
    private final EventLoop loop;
    private final DeploymentSettings deploymentSettings;
    private final TesTokens tokens;
    private final RandomGenerator random;
    private final TaskTracer traces;
    private final TesListing listing;
    private final Map<String, Kept> cache =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Kept> eldest) {
                    return size() > MOST_CACHED;
                }
            };

    /** What is kept of a task for ever, as its client sent it. */
    record Kept(
            String team,
            long createdMillis,
            String entryKey,
            String digest,
            Map<String, Object> document) {}

    public TesApi(
            AdmissionService admissionService,
            KeyValueStore store,
            EventLoop loop,
            DeploymentSettings deploymentSettings,
            TesTokens tokens,
            TaskTracer traces,
            RandomGenerator random) {
        this.traces = traces;
        this.admissionService = admissionService;
        this.store = store;
        this.loop = loop;
        this.deploymentSettings = deploymentSettings;
        this.tokens = tokens;
        this.random = random;
        this.listing = new TesListing(this, store);
    }

    /** The request cannot be answered as it was asked; the text says why. */
    static final class Refused extends RuntimeException {
        private final int status;

        Refused(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    @Override
    public Http.Reply refusal() {
        return error(413, "the body is larger than 64 KiB or was cut short");
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        CompletableFuture<Http.Reply> reply;
        try {
            reply = route(request);
        } catch (Malformed | Refused refused) {
            reply = CompletableFuture.failedFuture(refused);
        }
        return reply.exceptionally(TesApi::failure);
    }

    private static Http.Reply failure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof Refused refused) {
            return error(refused.status, refused.getMessage());
        }
        if (cause instanceof Malformed
                || cause instanceof AdmissionService.UnschedulableJobException) {
            return error(400, cause.getMessage());
        }
        if (cause instanceof AdmissionService.TemporarilyUnavailableException
                || cause instanceof KeyValueStoreException) {
            return comeBack(cause.getMessage());
        }
        throw new CompletionException(cause);
    }

    static Http.Reply comeBack(String why) {
        return new Http.Reply(
                503,
                Json.encode(Fields.of("status_code", 503, "msg", why)),
                COME_BACK_S,
                JSON_TYPE);
    }

    private static Http.Reply error(int status, String why) {
        return new Http.Reply(
                status, Json.encode(Fields.of("status_code", status, "msg", why)), 0, JSON_TYPE);
    }

    static Http.Reply ok(Map<String, Object> body) {
        return new Http.Reply(200, Json.encode(body), 0, JSON_TYPE);
    }

    private CompletableFuture<Http.Reply> route(Http.Request request) throws Malformed {
        String path = request.path();
        if (path.equals(ROOT + "/service-info")) {
            allow(request, "GET");
            return CompletableFuture.completedFuture(ok(serviceInfo()));
        }
        if (!path.equals(TASKS) && !path.startsWith(TASKS + "/")) {
            throw new Refused(404, "no such path");
        }
        String team =
                tokens.teamOf(request.header().apply("Authorization"))
                        .orElseThrow(() -> new Refused(401, "no token, or one that is not known"));
        if (path.equals(TASKS)) {
            if (request.method().equals("POST")) {
                return create(request, team);
            }
            allow(request, "GET");
            return listing.list(team, request.query());
        }
        String id = path.substring(TASKS.length() + 1);
        if (id.endsWith(CANCEL)) {
            allow(request, "POST");
            return cancel(id.substring(0, id.length() - CANCEL.length()), team);
        }
        allow(request, "GET");
        View view = View.of(request.query());
        return get(id, team, view);
    }

    private static void allow(Http.Request request, String method) {
        if (!request.method().equals(method)) {
            throw new Refused(405, "wrong method");
        }
    }

    private Map<String, Object> serviceInfo() {
        return Fields.of(
                "id",
                "org.meadowhollow." + deploymentSettings.member(),
                "name",
                "meadowhollow",
                "type",
                Fields.of("group", "org.ga4gh", "artifact", "tes", "version", "1.1.0"),
                "description",
                "Tasks on the cluster that meadowhollow schedules",
                "organization",
                Fields.of("name", "meadowhollow", "url", "urn:meadowhollow"),
                "version",
                Optional.ofNullable(TesApi.class.getPackage().getImplementationVersion())
                        .orElse("not packaged"),
                "storage",
                List.of(),
                "tesResources_backend_parameters",
                TesCodec.PARAMETERS);
    }

    // ---- one task ----

    private CompletableFuture<Http.Reply> create(Http.Request request, String team)
            throws Malformed {
        mayWrite(team);
        TesCodec.Task task = TesCodec.decode(new Fields(Json.decode(request.body())));
        String repeatKey = request.header().apply("Idempotency-Key");
        if (repeatKey != null && (repeatKey.isEmpty() || repeatKey.length() > LONGEST_KEY)) {
            throw new Malformed("Idempotency-Key is empty or longer than " + LONGEST_KEY);
        }
        JobId id = repeatKey == null ? newId() : idOf(team, repeatKey);
        JobSpec spec = TesCodec.job(id, team, task, deploymentSettings.zones());
        long now = loop.wallClockMillis();
        byte[] document = Json.encode(task.document());
        TesListing.Entry entry = new TesListing.Entry(id.value(), task.name(), task.tags(), now);
        Kept kept =
                new Kept(
                        team,
                        now,
                        TesListing.key(team, now, id),
                        digest(document),
                        task.document());
        int room = deploymentSettings.maxValueBytes() - FRAMING;
        // The job's own record holds the entry as well, with what it takes to place the task.
        if (document.length > room || 2 * entry.bytes() > room) {
            throw new Refused(
                    413,
                    "the task takes "
                            + document.length
                            + " bytes, its name and tags "
                            + entry.bytes()
                            + "; at most "
                            + room
                            + " and "
                            + room / 2
                            + " can be kept");
        }
        SecondaryRecord secondaryRecord =
                new SecondaryRecord(
                        kept.entryKey(),
                        entry.encode(),
                        TesCodec.mostAttempts(task),
                        traces.traceContextOf(request.header().apply("traceparent")));
        return admissionService
                .submit(spec, secondaryRecord, Map.of(recordKey(id.value()), encode(kept)))
                .thenCompose(
                        submissionResult ->
                                submissionResult.isNew()
                                        ? CompletableFuture.completedFuture(kept)
                                        : kept(id.value(), RequestPriority.USER))
                .thenApply(
                        stands -> {
                            if (!stands.digest().equals(kept.digest())) {
                                throw new Refused(
                                        400, "the Idempotency-Key was used for another task");
                            }
                            return ok(Fields.of("id", id.value()));
                        });
    }

    private void mayWrite(String team) {
        if (team.equals(TesTokens.READERS)) {
            throw new Refused(403, "this token may only read");
        }
    }

    private JobId newId() {
        byte[] bytes = new byte[ID_DIGITS / 2];
        random.nextBytes(bytes);
        return new JobId(TesListing.PREFIX + HexFormat.of().formatHex(bytes));
    }

    /** The same key of the same team always gives the same id. */
    private static JobId idOf(String team, String repeatKey) {
        String hash = HexFormat.of().formatHex(TesTokens.sha256(team + '\n' + repeatKey));
        return new JobId(TesListing.PREFIX + hash.substring(0, ID_DIGITS));
    }

    private static String digest(byte[] document) {
        return HexFormat.of()
                .formatHex(TesTokens.sha256(new String(document, StandardCharsets.UTF_8)));
    }

    private static String recordKey(String id) {
        return "tes/" + id;
    }

    private static Map<String, Object> encode(Kept kept) {
        return Fields.of(
                "team",
                kept.team(),
                "created",
                kept.createdMillis(),
                "entry",
                kept.entryKey(),
                "digest",
                kept.digest(),
                "document",
                kept.document());
    }

    @SuppressWarnings("unchecked")
    private static Kept decode(Map<String, Object> record) {
        return new Kept(
                (String) record.get("team"),
                ((Number) record.get("created")).longValue(),
                (String) record.get("entry"),
                (String) record.get("digest"),
                (Map<String, Object>) record.get("document"));
    }

    /** What is kept of a task; fails with 404 if there is none. */
    CompletableFuture<Kept> kept(String id, RequestPriority requestPriority) {
        if (!TesListing.isId(id)) {
            throw new Refused(404, "no such task");
        }
        synchronized (cache) {
            Kept known = cache.get(id);
            if (known != null) {
                return CompletableFuture.completedFuture(known);
            }
        }
        return store.get(recordKey(id), requestPriority)
                .thenApply(
                        found -> {
                            Kept kept =
                                    decode(
                                            found.orElseThrow(
                                                            () -> new Refused(404, "no such task"))
                                                    .value());
                            synchronized (cache) {
                                cache.put(id, kept);
                            }
                            return kept;
                        });
    }

    private CompletableFuture<Kept> owned(String id, String team) {
        return kept(id, RequestPriority.USER)
                .thenApply(
                        kept -> {
                            if (!kept.team().equals(team) && !team.equals(TesTokens.READERS)) {
                                throw new Refused(403, "the task belongs to another team");
                            }
                            return kept;
                        });
    }

    private CompletableFuture<Http.Reply> get(String id, String team, View view) {
        return owned(id, team)
                .thenCompose(
                        kept ->
                                store.get(kept.entryKey(), RequestPriority.USER)
                                        .thenApply(
                                                entry -> {
                                                    Map<String, Object> state =
                                                            entry.orElseThrow(
                                                                            () ->
                                                                                    new AdmissionService
                                                                                            .TemporarilyUnavailableException(
                                                                                            "the task's entry is missing"))
                                                                    .value();
                                                    return ok(
                                                            view == View.MINIMAL
                                                                    ? minimal(state)
                                                                    : whole(id, kept, state, view));
                                                }));
    }

    private CompletableFuture<Http.Reply> cancel(String id, String team) {
        mayWrite(team);
        // A task that is over stays as it is, and the request has nothing left to do.
        return owned(id, team)
                .thenCompose(kept -> admissionService.cancel(new JobId(id)))
                .thenApply(state -> ok(Map.of()));
    }

    // ---- how a task is told ----

    /** How much of a task is told. */
    enum View {
        MINIMAL,
        BASIC,
        FULL;

        static View of(Map<String, List<String>> query) throws Malformed {
            String name = query.getOrDefault("view", List.of("MINIMAL")).get(0);
            for (View view : values()) {
                if (view.name().equals(name)) {
                    return view;
                }
            }
            throw new Malformed("view is none of MINIMAL, BASIC, FULL");
        }
    }

    static String stateName(JobPhase jobPhase) {
        return switch (jobPhase) {
            case QUEUED -> "QUEUED";
            case PREPARING -> "INITIALIZING";
            case RUNNING -> "RUNNING";
            case CANCELING -> "CANCELING";
            case DONE -> "COMPLETE";
            case CANCELLED -> "CANCELED";
            case FAILED -> "EXECUTOR_ERROR";
            case LOST -> "SYSTEM_ERROR";
            case PREEMPTED -> "PREEMPTED";
        };
    }

    static Map<String, Object> minimal(Map<String, Object> entry) {
        return Fields.of("id", entry.get("id"), "state", stateName(SecondaryRecord.phaseOf(entry)));
    }

    static Map<String, Object> whole(String id, Kept kept, Map<String, Object> entry, View view) {
        Map<String, Object> task =
                Fields.of("id", id, "state", stateName(SecondaryRecord.phaseOf(entry)));
        kept.document()
                .forEach(
                        (key, value) ->
                                task.put(
                                        key,
                                        key.equals("inputs") && view == View.BASIC
                                                ? withoutContent(value)
                                                : value));
        task.put("creation_time", time(kept.createdMillis()));
        List<Object> logs = new ArrayList<>();
        for (AttemptRecord attempt : SecondaryRecord.attemptsOf(entry)) {
            logs.add(log(attempt, view));
        }
        task.put("logs", logs);
        return task;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> withoutContent(Object inputs) {
        List<Object> shorter = new ArrayList<>();
        for (Object input : (List<?>) inputs) {
            Map<String, Object> copy = new LinkedHashMap<>((Map<String, Object>) input);
            copy.remove("content");
            shorter.add(copy);
        }
        return shorter;
    }

    private static Map<String, Object> log(AttemptRecord attempt, View view) {
        boolean completed = "DONE".equals(attempt.endReason());
        Map<String, Object> log =
                Fields.of(
                        "logs",
                        completed ? List.of(Fields.of("exit_code", 0)) : List.of(),
                        "metadata",
                        Fields.of(
                                "attempt",
                                String.valueOf(attempt.attemptNumber()),
                                "machine",
                                attempt.machineName(),
                                "cause",
                                attempt.endReason() == null ? "" : attempt.endReason()),
                        "outputs",
                        List.of());
        if (attempt.startedAtMillis() > 0) {
            log.put("start_time", time(attempt.startedAtMillis()));
        }
        if (attempt.endedAtMillis() > 0) {
            log.put("end_time", time(attempt.endedAtMillis()));
        }
        if (view == View.FULL) {
            List<Object> system = new ArrayList<>();
            system.add(
                    "placed on " + attempt.machineName() + " at " + time(attempt.placedAtMillis()));
            if (attempt.endReason() != null && !completed) {
                system.add("ended: " + attempt.endReason());
            }
            log.put("system_logs", system);
        }
        return log;
    }

    private static String time(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
