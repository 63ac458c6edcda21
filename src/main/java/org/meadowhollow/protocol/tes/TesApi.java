package org.meadowhollow.protocol.tes;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PortGuard;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskTracer;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * The GA4GH task execution API, version 1.1, which uses the same admission as native jobs. Every
 * node serves it and answers from the key-value store alone, so no response is staler than another
 * node's. {@code docs/tes.md} describes the alternatives that were considered. Thread-safe.
 */
public final class TesApi implements Http.RequestHandler {
    private static final String ROOT = "/ga4gh/tes/v1";
    private static final String TASKS = ROOT + "/tasks";
    private static final String CANCEL_SUFFIX = ":cancel";

    /**
     * The number of hex digits of an id after its prefix. Their 104 bits make ids unguessable and
     * collisions practically impossible.
     */
    private static final int ID_DIGITS = 26;

    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;

    /** The size of a record, in bytes, beyond the document or list entry that it holds. */
    private static final int RECORD_OVERHEAD_BYTES = 512;

    private final AdmissionService admissionService;
    private final KeyValueStore store;
    private final EventLoop loop;
    private final DeploymentSettings deploymentSettings;
    private final BearerTokens tokens;
    private final RandomGenerator random;
    private final TaskTracer tracer;
    private final TesTaskStore taskStore;
    private final TesTaskListing listing;

    /**
     * Creates the API.
     *
     * @param store read for every response, so that it is no staler than another node's
     * @param tracer decides whether a client's trace is continued
     * @param random the source of random task ids
     */
    public TesApi(
            AdmissionService admissionService,
            KeyValueStore store,
            EventLoop loop,
            DeploymentSettings deploymentSettings,
            BearerTokens tokens,
            TaskTracer tracer,
            RandomGenerator random) {
        this.tracer = tracer;
        this.admissionService = admissionService;
        this.store = PortGuard.guard(store);
        this.loop = loop;
        this.deploymentSettings = deploymentSettings;
        this.tokens = tokens;
        this.random = random;
        this.taskStore = new TesTaskStore(this.store);
        this.listing = new TesTaskListing(taskStore, this.store);
    }

    @Override
    public Http.Reply invalidBodyReply() {
        return TesReplies.error(413, "the body is larger than 64 KiB or was cut short");
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        CompletableFuture<Http.Reply> reply;
        try {
            reply = route(request);
        } catch (MalformedMessageException | HttpStatusException rejected) {
            reply = CompletableFuture.failedFuture(rejected);
        }
        return reply.exceptionally(TesReplies::failure);
    }

    private CompletableFuture<Http.Reply> route(Http.Request request)
            throws MalformedMessageException {
        String path = request.path();
        if (path.equals(ROOT + "/service-info")) {
            requireMethod(request, "GET");
            return CompletableFuture.completedFuture(TesReplies.ok(serviceInfo()));
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
        return get(id, team, TesTaskView.fromQuery(request.query()));
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
        JobId id = newTaskId(request, team);
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
        requireFits(document.length, listedTask.encodedSize());
        SecondaryRecord listEntry =
                new SecondaryRecord(
                        storedTask.entryKey(),
                        listedTask.encode(),
                        TesCodec.maxAttempts(taskRequest),
                        tracer.traceContextOf(request.header().apply("traceparent")));
        return submit(spec, storedTask, listEntry);
    }

    /** Returns a random id, or the id that is derived from the request's idempotency key. */
    private JobId newTaskId(Http.Request request, String team) throws MalformedMessageException {
        String idempotencyKey = request.header().apply("Idempotency-Key");
        if (idempotencyKey == null) {
            return randomId();
        }
        if (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            throw new MalformedMessageException(
                    "Idempotency-Key is empty or longer than " + MAX_IDEMPOTENCY_KEY_LENGTH);
        }
        return idForIdempotencyKey(team, idempotencyKey);
    }

    /**
     * Checks that the records of a task fit into values of the key-value store. The list entry may
     * take only half of a value, because the job's own record also holds it, along with the fields
     * needed to place the task.
     */
    private void requireFits(int documentBytes, int listEntryBytes) {
        int maxBytes = deploymentSettings.maxValueBytes() - RECORD_OVERHEAD_BYTES;
        if (documentBytes > maxBytes || 2 * listEntryBytes > maxBytes) {
            throw new HttpStatusException(
                    413,
                    "the task takes "
                            + documentBytes
                            + " bytes, its name and tags "
                            + listEntryBytes
                            + "; at most "
                            + maxBytes
                            + " and "
                            + maxBytes / 2
                            + " can be kept");
        }
    }

    private CompletableFuture<Http.Reply> submit(
            JobSpec spec, StoredTask storedTask, SecondaryRecord listEntry) {
        String id = spec.id().value();
        return admissionService
                .submit(spec, listEntry, Map.of(StoredTask.recordKey(id), storedTask.encode()))
                .thenCompose(
                        result ->
                                result.isNew()
                                        ? CompletableFuture.completedFuture(storedTask)
                                        : taskStore.load(id, RequestPriority.USER))
                .thenApply(
                        accepted -> {
                            if (!accepted.digest().equals(storedTask.digest())) {
                                throw new HttpStatusException(
                                        400, "the Idempotency-Key was used for another task");
                            }
                            return TesReplies.ok(MessageReader.mapOf("id", id));
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

    /**
     * Derives an id from a team and its idempotency key; the same pair always gives the same id.
     */
    private static JobId idForIdempotencyKey(String team, String idempotencyKey) {
        String hash = HexFormat.of().formatHex(BearerTokens.sha256(team + '\n' + idempotencyKey));
        return new JobId(TesTaskListing.ID_PREFIX + hash.substring(0, ID_DIGITS));
    }

    private static String digest(byte[] document) {
        return HexFormat.of()
                .formatHex(BearerTokens.sha256(new String(document, StandardCharsets.UTF_8)));
    }

    private CompletableFuture<StoredTask> loadReadableTask(String id, String team) {
        return taskStore
                .load(id, RequestPriority.USER)
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

    private CompletableFuture<Http.Reply> get(String id, String team, TesTaskView view) {
        return loadReadableTask(id, team)
                .thenCompose(
                        storedTask ->
                                store.get(storedTask.entryKey(), RequestPriority.USER)
                                        .thenApply(
                                                entry ->
                                                        TesReplies.ok(
                                                                view.render(
                                                                        id,
                                                                        storedTask,
                                                                        requireEntry(entry)))));
    }

    private static Map<String, Object> requireEntry(Optional<KeyValueStore.Entry> entry) {
        return entry.orElseThrow(
                        () ->
                                new AdmissionService.TemporarilyUnavailableException(
                                        "the task's entry is missing"))
                .value();
    }

    private CompletableFuture<Http.Reply> cancel(String id, String team) {
        requireWriteAccess(team);
        // Cancelling a task that has ended changes nothing and succeeds.
        return loadReadableTask(id, team)
                .thenCompose(storedTask -> admissionService.cancel(new JobId(id)))
                .thenApply(state -> TesReplies.ok(Map.of()));
    }
}
