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
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;

/**
 * The GA4GH task execution API, version 1.1, on the same admission as native jobs: any node
 * answers, from the state service alone, so that no answer is older than another node's. {@code
 * docs/tes.md} has the ways that were weighed.
 */
public final class TesApi implements Http.RequestHandler {
    private static final String ROOT = "/ga4gh/tes/v1";
    private static final String TASKS = ROOT + "/tasks";
    private static final String CANCEL_SUFFIX = ":cancel";
    private static final String JSON_TYPE = "application/json";
    private static final int RETRY_AFTER_SECONDS = 1;

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

    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;

    /** Tasks, which never change once accepted, that are kept in memory: some kilobytes each. */
    private static final int MAX_CACHED_TASKS = 256;

    /** Bytes around the fields of a record. */
    private static final int RECORD_OVERHEAD_BYTES = 512;

    private final AdmissionService admissionService;
    private final KeyValueStore store;
    private final EventLoop loop;
    private final DeploymentSettings deploymentSettings;
    private final BearerTokens tokens;
    private final RandomGenerator random;
    private final TaskTracer tracer;
    private final TesTaskListing listing;
    private final Map<String, StoredTask> taskCache =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StoredTask> eldest) {
                    return size() > MAX_CACHED_TASKS;
                }
            };

    /** What is kept of a task for ever, as its client sent it. */
    record StoredTask(
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
            BearerTokens tokens,
            TaskTracer traces,
            RandomGenerator random) {
        this.tracer = traces;
        this.admissionService = admissionService;
        this.store = store;
        this.loop = loop;
        this.deploymentSettings = deploymentSettings;
        this.tokens = tokens;
        this.random = random;
        this.listing = new TesTaskListing(this, store);
    }

    /** The request cannot be answered as it was asked; the text says why. */
    static final class HttpStatusException extends RuntimeException {
        private final int status;

        HttpStatusException(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    @Override
    public Http.Reply invalidBodyReply() {
        return errorReply(413, "the body is larger than 64 KiB or was cut short");
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        CompletableFuture<Http.Reply> reply;
        try {
            reply = route(request);
        } catch (MalformedMessageException | HttpStatusException refused) {
            reply = CompletableFuture.failedFuture(refused);
        }
        return reply.exceptionally(TesApi::failureReply);
    }

    private static Http.Reply failureReply(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof HttpStatusException httpStatusException) {
            return errorReply(httpStatusException.status, httpStatusException.getMessage());
        }
        if (cause instanceof MalformedMessageException
                || cause instanceof AdmissionService.UnschedulableJobException) {
            return errorReply(400, cause.getMessage());
        }
        if (cause instanceof AdmissionService.TemporarilyUnavailableException
                || cause instanceof KeyValueStoreException) {
            return retryLater(cause.getMessage());
        }
        throw new CompletionException(cause);
    }

    static Http.Reply retryLater(String why) {
        return new Http.Reply(
                503,
                JsonCodec.encode(MessageReader.mapOf("status_code", 503, "msg", why)),
                RETRY_AFTER_SECONDS,
                JSON_TYPE);
    }

    private static Http.Reply errorReply(int status, String why) {
        return new Http.Reply(
                status,
                JsonCodec.encode(MessageReader.mapOf("status_code", status, "msg", why)),
                0,
                JSON_TYPE);
    }

    static Http.Reply okReply(Map<String, Object> body) {
        return new Http.Reply(200, JsonCodec.encode(body), 0, JSON_TYPE);
    }

    private CompletableFuture<Http.Reply> route(Http.Request request)
            throws MalformedMessageException {
        String path = request.path();
        if (path.equals(ROOT + "/service-info")) {
            requireMethod(request, "GET");
            return CompletableFuture.completedFuture(okReply(serviceInfo()));
        }
        if (!path.equals(TASKS) && !path.startsWith(TASKS + "/")) {
            throw new HttpStatusException(404, "no such path");
        }
        String team =
                tokens.teamOf(request.header().apply("Authorization"))
                        .orElseThrow(
                                () ->
                                        new HttpStatusException(
                                                401, "no token, or one that is not known"));
        if (path.equals(TASKS)) {
            if (request.method().equals("POST")) {
                return create(request, team);
            }
            requireMethod(request, "GET");
            return listing.list(team, request.query());
        }
        String id = path.substring(TASKS.length() + 1);
        if (id.endsWith(CANCEL_SUFFIX)) {
            requireMethod(request, "POST");
            return cancel(id.substring(0, id.length() - CANCEL_SUFFIX.length()), team);
        }
        requireMethod(request, "GET");
        View view = View.fromQuery(request.query());
        return get(id, team, view);
    }

    private static void requireMethod(Http.Request request, String method) {
        if (!request.method().equals(method)) {
            throw new HttpStatusException(405, "wrong method");
        }
    }

    private Map<String, Object> serviceInfo() {
        return MessageReader.mapOf(
                "id",
                "org.meadowhollow." + deploymentSettings.member(),
                "name",
                "meadowhollow",
                "type",
                MessageReader.mapOf("group", "org.ga4gh", "artifact", "tes", "version", "1.1.0"),
                "description",
                "Tasks on the cluster that meadowhollow schedules",
                "organization",
                MessageReader.mapOf("name", "meadowhollow", "url", "urn:meadowhollow"),
                "version",
                Optional.ofNullable(TesApi.class.getPackage().getImplementationVersion())
                        .orElse("not packaged"),
                "storage",
                List.of(),
                "tesResources_backend_parameters",
                TesCodec.SUPPORTED_PARAMETERS);
    }

    // ---- one task ----

    private CompletableFuture<Http.Reply> create(Http.Request request, String team)
            throws MalformedMessageException {
        requireWriteAccess(team);
        TesCodec.TaskRequest taskRequest =
                TesCodec.decode(new MessageReader(JsonCodec.decode(request.body())));
        String repeatKey = request.header().apply("Idempotency-Key");
        if (repeatKey != null
                && (repeatKey.isEmpty() || repeatKey.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
            throw new MalformedMessageException(
                    "Idempotency-Key is empty or longer than " + MAX_IDEMPOTENCY_KEY_LENGTH);
        }
        JobId id = repeatKey == null ? randomId() : idForIdempotencyKey(team, repeatKey);
        JobSpec spec = TesCodec.toJobSpec(id, team, taskRequest, deploymentSettings.zones());
        long now = loop.wallClockMillis();
        byte[] document = JsonCodec.encode(taskRequest.document());
        TesTaskListing.ListedTask listedTask =
                new TesTaskListing.ListedTask(
                        id.value(), taskRequest.name(), taskRequest.tags(), now);
        StoredTask storedTask =
                new StoredTask(
                        team,
                        now,
                        TesTaskListing.entryKey(team, now, id),
                        digest(document),
                        taskRequest.document());
        int room = deploymentSettings.maxValueBytes() - RECORD_OVERHEAD_BYTES;
        // The job's own record holds the entry as well, with what it takes to place the task.
        if (document.length > room || 2 * listedTask.encodedSize() > room) {
            throw new HttpStatusException(
                    413,
                    "the task takes "
                            + document.length
                            + " bytes, its name and tags "
                            + listedTask.encodedSize()
                            + "; at most "
                            + room
                            + " and "
                            + room / 2
                            + " can be kept");
        }
        SecondaryRecord secondaryRecord =
                new SecondaryRecord(
                        storedTask.entryKey(),
                        listedTask.encode(),
                        TesCodec.maxAttempts(taskRequest),
                        tracer.traceContextOf(request.header().apply("traceparent")));
        return admissionService
                .submit(
                        spec,
                        secondaryRecord,
                        Map.of(recordKey(id.value()), encodeTask(storedTask)))
                .thenCompose(
                        submissionResult ->
                                submissionResult.isNew()
                                        ? CompletableFuture.completedFuture(storedTask)
                                        : loadTask(id.value(), RequestPriority.USER))
                .thenApply(
                        stands -> {
                            if (!stands.digest().equals(storedTask.digest())) {
                                throw new HttpStatusException(
                                        400, "the Idempotency-Key was used for another task");
                            }
                            return okReply(MessageReader.mapOf("id", id.value()));
                        });
    }

    private void requireWriteAccess(String team) {
        if (team.equals(BearerTokens.READ_ONLY_TEAM)) {
            throw new HttpStatusException(403, "this token may only read");
        }
    }

    private JobId randomId() {
        byte[] bytes = new byte[ID_DIGITS / 2];
        random.nextBytes(bytes);
        return new JobId(TesTaskListing.ID_PREFIX + HexFormat.of().formatHex(bytes));
    }

    /** The same key of the same team always gives the same id. */
    private static JobId idForIdempotencyKey(String team, String repeatKey) {
        String hash = HexFormat.of().formatHex(BearerTokens.sha256(team + '\n' + repeatKey));
        return new JobId(TesTaskListing.ID_PREFIX + hash.substring(0, ID_DIGITS));
    }

    private static String digest(byte[] document) {
        return HexFormat.of()
                .formatHex(BearerTokens.sha256(new String(document, StandardCharsets.UTF_8)));
    }

    private static String recordKey(String id) {
        return "tes/" + id;
    }

    private static Map<String, Object> encodeTask(StoredTask storedTask) {
        return MessageReader.mapOf(
                "team",
                storedTask.team(),
                "created",
                storedTask.createdMillis(),
                "entry",
                storedTask.entryKey(),
                "digest",
                storedTask.digest(),
                "document",
                storedTask.document());
    }

    @SuppressWarnings("unchecked")
    private static StoredTask decodeTask(Map<String, Object> record) {
        return new StoredTask(
                (String) record.get("team"),
                ((Number) record.get("created")).longValue(),
                (String) record.get("entry"),
                (String) record.get("digest"),
                (Map<String, Object>) record.get("document"));
    }

    /** What is kept of a task; fails with 404 if there is none. */
    CompletableFuture<StoredTask> loadTask(String id, RequestPriority requestPriority) {
        if (!TesTaskListing.isId(id)) {
            throw new HttpStatusException(404, "no such task");
        }
        synchronized (taskCache) {
            StoredTask known = taskCache.get(id);
            if (known != null) {
                return CompletableFuture.completedFuture(known);
            }
        }
        return store.get(recordKey(id), requestPriority)
                .thenApply(
                        found -> {
                            StoredTask storedTask =
                                    decodeTask(
                                            found.orElseThrow(
                                                            () ->
                                                                    new HttpStatusException(
                                                                            404, "no such task"))
                                                    .value());
                            synchronized (taskCache) {
                                taskCache.put(id, storedTask);
                            }
                            return storedTask;
                        });
    }

    private CompletableFuture<StoredTask> loadReadableTask(String id, String team) {
        return loadTask(id, RequestPriority.USER)
                .thenApply(
                        storedTask -> {
                            if (!storedTask.team().equals(team)
                                    && !team.equals(BearerTokens.READ_ONLY_TEAM)) {
                                throw new HttpStatusException(
                                        403, "the task belongs to another team");
                            }
                            return storedTask;
                        });
    }

    private CompletableFuture<Http.Reply> get(String id, String team, View view) {
        return loadReadableTask(id, team)
                .thenCompose(
                        storedTask ->
                                store.get(storedTask.entryKey(), RequestPriority.USER)
                                        .thenApply(
                                                entry -> {
                                                    Map<String, Object> state =
                                                            entry.orElseThrow(
                                                                            () ->
                                                                                    new AdmissionService
                                                                                            .TemporarilyUnavailableException(
                                                                                            "the task's entry is missing"))
                                                                    .value();
                                                    return okReply(
                                                            view == View.MINIMAL
                                                                    ? minimalView(state)
                                                                    : detailedView(
                                                                            id,
                                                                            storedTask,
                                                                            state,
                                                                            view));
                                                }));
    }

    private CompletableFuture<Http.Reply> cancel(String id, String team) {
        requireWriteAccess(team);
        // A task that is over stays as it is, and the request has nothing left to do.
        return loadReadableTask(id, team)
                .thenCompose(storedTask -> admissionService.cancel(new JobId(id)))
                .thenApply(state -> okReply(Map.of()));
    }

    // ---- how a task is told ----

    /** How much of a task is told. */
    enum View {
        MINIMAL,
        BASIC,
        FULL;

        static View fromQuery(Map<String, List<String>> query) throws MalformedMessageException {
            String name = query.getOrDefault("view", List.of("MINIMAL")).get(0);
            for (View view : values()) {
                if (view.name().equals(name)) {
                    return view;
                }
            }
            throw new MalformedMessageException("view is none of MINIMAL, BASIC, FULL");
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

    static Map<String, Object> minimalView(Map<String, Object> entry) {
        return MessageReader.mapOf(
                "id", entry.get("id"), "state", stateName(SecondaryRecord.phaseOf(entry)));
    }

    static Map<String, Object> detailedView(
            String id, StoredTask storedTask, Map<String, Object> entry, View view) {
        Map<String, Object> task =
                MessageReader.mapOf("id", id, "state", stateName(SecondaryRecord.phaseOf(entry)));
        storedTask
                .document()
                .forEach(
                        (key, value) ->
                                task.put(
                                        key,
                                        key.equals("inputs") && view == View.BASIC
                                                ? withoutInlineContent(value)
                                                : value));
        task.put("creation_time", formatTime(storedTask.createdMillis()));
        List<Object> logs = new ArrayList<>();
        for (AttemptRecord attempt : SecondaryRecord.attemptsOf(entry)) {
            logs.add(attemptLogView(attempt, view));
        }
        task.put("logs", logs);
        return task;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> withoutInlineContent(Object inputs) {
        List<Object> shorter = new ArrayList<>();
        for (Object input : (List<?>) inputs) {
            Map<String, Object> copy = new LinkedHashMap<>((Map<String, Object>) input);
            copy.remove("content");
            shorter.add(copy);
        }
        return shorter;
    }

    private static Map<String, Object> attemptLogView(AttemptRecord attempt, View view) {
        boolean completed = "DONE".equals(attempt.endReason());
        Map<String, Object> log =
                MessageReader.mapOf(
                        "logs",
                        completed ? List.of(MessageReader.mapOf("exit_code", 0)) : List.of(),
                        "metadata",
                        MessageReader.mapOf(
                                "attempt",
                                String.valueOf(attempt.attemptNumber()),
                                "machine",
                                attempt.machineName(),
                                "cause",
                                attempt.endReason() == null ? "" : attempt.endReason()),
                        "outputs",
                        List.of());
        if (attempt.startedAtMillis() > 0) {
            log.put("start_time", formatTime(attempt.startedAtMillis()));
        }
        if (attempt.endedAtMillis() > 0) {
            log.put("end_time", formatTime(attempt.endedAtMillis()));
        }
        if (view == View.FULL) {
            List<Object> system = new ArrayList<>();
            system.add(
                    "placed on "
                            + attempt.machineName()
                            + " at "
                            + formatTime(attempt.placedAtMillis()));
            if (attempt.endReason() != null && !completed) {
                system.add("ended: " + attempt.endReason());
            }
            log.put("system_logs", system);
        }
        return log;
    }

    private static String formatTime(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
