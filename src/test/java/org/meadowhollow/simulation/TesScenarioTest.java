package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.RecordKeys;

/** Tests tasks of the task execution API, together with native jobs, while faults happen. */
class TesScenarioTest extends ClusterTestBase {
    private static final String TASK =
            """
            {"name": "%s", "executors": [{"image": "image", "command": ["true"]}], "tags": {"night": "%s"},
             "inputs": [{"content": "abc", "path": "/in"}],
             "resources": {"cpu_cores": 1, "ram_gb": 4, "backend_parameters": {"gpus": "1" %s}}}""";

    private Http.Reply create(int node, String body, String key) {
        return cluster.clients()
                .sendTesRequest(
                        node,
                        "secret",
                        "POST",
                        "/tasks",
                        Map.of(),
                        key == null ? Map.of() : Map.of("Idempotency-Key", key),
                        body);
    }

    private Http.Reply ask(int node, String method, String path, Map<String, List<String>> query) {
        return cluster.clients().sendTesRequest(node, "secret", method, path, query, Map.of(), "");
    }

    private static Map<String, Object> body(Http.Reply reply) {
        try {
            assertEquals(200, reply.status(), new String(reply.body(), StandardCharsets.UTF_8));
            return JsonCodec.decode(reply.body());
        } catch (MalformedMessageException wrong) {
            throw new AssertionError(wrong);
        }
    }

    private String createTask(String name, String tag, String parameters, Duration runs) {
        String id = (String) body(create(0, TASK.formatted(name, tag, parameters), null)).get("id");
        cluster.setRuntime(new JobId(id), runs);
        return id;
    }

    private String createTask(Duration runs) {
        return createTask("task", "1", "", runs);
    }

    private String state(int node, String id) {
        return (String) body(ask(node, "GET", "/tasks/" + id, Map.of())).get("state");
    }

    private TaskId task(String id) {
        return new TaskId(new JobId(id), 0);
    }

    /**
     * Whether a machine that does not hang runs the task, or holds it while its image is pulled.
     * The latter counts only with image pulls of more than 30 s.
     */
    private boolean isOnAnyMachine(String id) {
        return cluster.workers().stream()
                .anyMatch(
                        worker ->
                                !worker.isHung()
                                        && worker.hasTask(task(id))
                                        && (worker.runningTasks().contains(task(id))
                                                || cluster.imagePullTime().toSeconds() > 30));
    }

    @Test
    void taskRunsAndEveryControllerReportsTheSame() throws MalformedMessageException {
        String id = createTask(SHORT_RUNTIME);
        assertEquals("QUEUED", state(1, id));
        cluster.runSeconds(6);
        assertEquals("RUNNING", state(2, id));
        cluster.runSeconds(20);
        for (int node = 0; node < 3; node++) {
            Map<String, Object> full =
                    body(ask(node, "GET", "/tasks/" + id, Map.of("view", List.of("FULL"))));
            assertEquals("COMPLETE", full.get("state"));
            MessageReader reported = new MessageReader(full);
            assertEquals("abc", reported.nestedList("inputs").get(0).string("content"));
            MessageReader log = reported.nestedList("logs").get(0);
            assertEquals(0, log.nestedList("logs").get(0).nonNegativeLong("exit_code"));
            assertTrue(log.string("start_time").compareTo(log.string("end_time")) < 0);
            assertTrue(reported.string("creation_time").compareTo(log.string("start_time")) < 0);
        }
        Map<String, Object> basic =
                body(ask(1, "GET", "/tasks/" + id, Map.of("view", List.of("BASIC"))));
        assertFalse(new MessageReader(basic).nestedList("inputs").get(0).has("content"));
    }

    @Test
    void taskCompletedBetweenTwoHeartbeatsHasStartTime() throws MalformedMessageException {
        String id = createTask(Duration.ofMillis(10));
        cluster.runSeconds(12);
        MessageReader reported =
                new MessageReader(
                        body(ask(1, "GET", "/tasks/" + id, Map.of("view", List.of("BASIC")))));
        assertEquals("COMPLETE", reported.string("state"));
        MessageReader log = reported.nestedList("logs").get(0);
        assertTrue(log.string("start_time").compareTo(log.string("end_time")) < 0);
    }

    @Test
    void imagePullIsReportedAsInitializing() {
        cluster.setImagePullTime(Duration.ofSeconds(20));
        String id = createTask(SHORT_RUNTIME);
        cluster.runSeconds(8);
        assertEquals("INITIALIZING", state(1, id));
        cluster.runSeconds(20);
        assertEquals("RUNNING", state(1, id));
    }

    @Test
    void cancelledTaskNeverRunsAfterwards() {
        // No machine has capacity, and the task is cancelled while it is queued.
        cluster.workers().forEach(worker -> worker.setHung(true));
        cluster.cloud().setOutage(true);
        cluster.runSeconds(10);
        String waiting = createTask(LONG_RUNTIME);
        body(ask(1, "POST", "/tasks/" + waiting + ":cancel", Map.of()));
        assertTrue(Set.of("CANCELING", "CANCELED").contains(state(2, waiting)));
        cluster.runSeconds(2);
        assertEquals("CANCELED", state(0, waiting));
        cluster.workers().forEach(worker -> worker.setHung(false));
        cluster.runSeconds(10);
        // The start is committed, but every response that carries the start command is lost.
        cluster.workers().forEach(worker -> worker.loseIncoming(true));
        String unsent = createTask(LONG_RUNTIME);
        cluster.runSeconds(2);
        body(ask(1, "POST", "/tasks/" + unsent + ":cancel", Map.of()));
        assertTrue(Set.of("CANCELING", "CANCELED").contains(state(2, unsent)));
        cluster.workers().forEach(worker -> worker.loseIncoming(false));
        cluster.runSeconds(20);
        assertEquals("CANCELED", state(0, unsent));
        assertEquals(0, cluster.startCount());
        // The task is cancelled while its image is pulled.
        cluster.setImagePullTime(Duration.ofSeconds(40));
        String fetching = createTask(LONG_RUNTIME);
        cluster.runSeconds(6);
        assertEquals("INITIALIZING", state(0, fetching));
        body(ask(1, "POST", "/tasks/" + fetching + ":cancel", Map.of()));
        cluster.runSeconds(10);
        assertEquals("CANCELED", state(2, fetching));
        cluster.runSeconds(50);
        assertEquals(0, cluster.startCount());
    }

    @Test
    void taskCancelledDuringFailoverStopsAndIsReportedCancelled() {
        String id = createTask(LONG_RUNTIME);
        cluster.runSeconds(6);
        assertEquals("RUNNING", state(0, id));
        int leader = cluster.leader();
        cluster.crash(leader);
        int other = (leader + 1) % 3;
        body(ask(other, "POST", "/tasks/" + id + ":cancel", Map.of()));
        assertEquals("CANCELING", state((leader + 2) % 3, id));
        cluster.runSeconds(30);
        assertFalse(isOnAnyMachine(id));
        assertEquals("CANCELED", state(other, id));
        assertEquals(1, cluster.startCount());
    }

    @Test
    void reportedCancellationIsNeverRetracted() {
        String id = createTask(LONG_RUNTIME);
        cluster.runSeconds(6);
        // The leader's watches do not deliver the cancellation for a while, and the leader has
        // changes of its own to write.
        cluster.storeConnection(cluster.leader()).hideAllChanges(true);
        body(ask((cluster.leader() + 1) % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
        cluster.workers()
                .forEach(
                        worker -> {
                            if (worker.hasTask(task(id))) {
                                worker.failTask(task(id));
                            }
                        });
        for (int second = 0; second < 20; second++) {
            assertTrue(Set.of("CANCELING", "CANCELED").contains(state(second % 3, id)));
            cluster.runSeconds(1);
        }
        assertEquals("CANCELED", state(0, id));
    }

    @Test
    void lateCancellationKeepsAttemptsInLog() throws MalformedMessageException {
        cluster.workers().forEach(worker -> worker.setHung(true));
        cluster.cloud().setOutage(true);
        cluster.runSeconds(10);
        String id = createTask(LONG_RUNTIME);
        // The other controller reads the task's entry before the task is placed, and its write is
        // committed only afterwards.
        int other = (cluster.leader() + 1) % 3;
        cluster.storeConnection(other).holdCommits();
        cluster.loop()
                .schedule(
                        Duration.ofSeconds(1),
                        () -> cluster.workers().forEach(worker -> worker.setHung(false)));
        Http.Reply unanswered = ask(other, "POST", "/tasks/" + id + ":cancel", Map.of());
        assertTrue(unanswered == null || unanswered.status() == 503);
        cluster.runSeconds(10);
        assertEquals("RUNNING", state(cluster.leader(), id));
        cluster.storeConnection(other).holdRequests(false);
        for (int second = 0; second < 10; second++) {
            Map<String, Object> full =
                    body(
                            ask(
                                    cluster.leader(),
                                    "GET",
                                    "/tasks/" + id,
                                    Map.of("view", List.of("FULL"))));
            assertEquals(1, new MessageReader(full).nestedList("logs").size());
            cluster.runSeconds(1);
        }
    }

    @Test
    void cancellationAfterCompletionHasNoEffect() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        assertTrue(cluster.users().submit(0, job, SHORT_RUNTIME));
        String id = createTask(SHORT_RUNTIME);
        cluster.runSeconds(6);
        int other = (cluster.leader() + 1) % 3;
        cluster.storeConnection(other).holdCommits();
        assertFalse(cluster.users().cancel(other, job.id()));
        ask(other, "POST", "/tasks/" + id + ":cancel", Map.of());
        cluster.runSeconds(20);
        cluster.storeConnection(other).holdRequests(false);
        cluster.runSeconds(10);
        assertEquals("COMPLETE", state(0, id));
        assertEquals(
                AdmissionService.Phase.DONE,
                cluster.users().poll(0, job.id()).orElseThrow().phase());
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX),
                "no record of an ended job is written again");
        assertEquals(2, cluster.startCount());
    }

    @Test
    void endedTasksAreReportedAfterRestartOfAllControllers() {
        List<String> ids = new ArrayList<>();
        for (int at = 0; at < 20; at++) {
            ids.add(createTask(Duration.ofSeconds(2)));
        }
        cluster.runSeconds(30);
        cluster.crashAll();
        cluster.runSeconds(8);
        cluster.restartAll();
        cluster.runSeconds(8);
        for (String id : ids) {
            assertEquals("COMPLETE", state(1, id));
            body(ask(2, "POST", "/tasks/" + id + ":cancel", Map.of()));
            assertEquals("COMPLETE", state(0, id), "a cancellation after the end has no effect");
        }
        assertEquals(20, cluster.startCount());
    }

    @Test
    void repeatedCreateMakesOneTask() {
        String body = TASK.formatted("once", "1", "");
        cluster.storeConnection(0).loseResponses(true);
        Http.Reply lost = create(0, body, "night-1");
        assertTrue(lost == null || lost.status() == 503);
        cluster.storeConnection(0).loseResponses(false);
        String id = (String) body(create(1, body, "night-1")).get("id");
        cluster.setRuntime(new JobId(id), SHORT_RUNTIME);
        assertEquals(id, body(create(2, body, "night-1")).get("id"));
        assertEquals(400, create(2, TASK.formatted("another", "1", ""), "night-1").status());
        cluster.runSeconds(30);
        assertEquals(
                id, body(create(0, body, "night-1")).get("id"), "also after the task has ended");
        assertEquals(1, cluster.startCount());
    }

    @Test
    void attemptsEndAtClientLimitAndOtherwiseContinue() throws MalformedMessageException {
        String bounded = createTask("bounded", "1", ", \"max_attempts\": \"2\"", LONG_RUNTIME);
        String free = createTask("free", "1", "", LONG_RUNTIME);
        for (int second = 0; second < 60; second++) {
            cluster.workers()
                    .forEach(
                            worker -> {
                                for (String id : List.of(bounded, free)) {
                                    if (worker.runningTasks().contains(task(id))) {
                                        worker.failTask(task(id));
                                    }
                                }
                            });
            cluster.runSeconds(1);
        }
        assertEquals("EXECUTOR_ERROR", state(1, bounded));
        Map<String, Object> full =
                body(ask(2, "GET", "/tasks/" + bounded, Map.of("view", List.of("FULL"))));
        List<MessageReader> logs = new MessageReader(full).nestedList("logs");
        assertEquals(2, logs.size());
        assertEquals("ERROR", logs.get(1).nested("metadata").string("cause"));
        assertNotEquals("EXECUTOR_ERROR", state(1, free));
    }

    @Test
    void attemptCountSurvivesLeaderFailureBetweenAttempts() {
        String id = createTask("bounded", "1", ", \"max_attempts\": \"2\"", LONG_RUNTIME);
        cluster.runSeconds(6);
        for (int attempt = 1; attempt <= 2; attempt++) {
            cluster.machinesRunning(task(id)).forEach(worker -> worker.failTask(task(id)));
            cluster.runSeconds(4);
            cluster.crash(cluster.leader());
            cluster.runSeconds(2);
            cluster.restartAll();
            cluster.runSeconds(12);
        }
        assertEquals("EXECUTOR_ERROR", state(0, id));
        assertEquals(2, cluster.startCount());
    }

    @Test
    void taskIsVisibleOnlyToItsTeam() {
        String id = createTask(LONG_RUNTIME);
        String path = "/tasks/" + id;
        assertEquals(401, statusFor("wrong", "GET", path));
        assertEquals(403, statusFor("other secret", "GET", path));
        assertEquals(403, statusFor("other secret", "POST", path + ":cancel"));
        assertEquals(200, statusFor("reader", "GET", path));
        assertEquals(403, statusFor("reader", "POST", path + ":cancel"));
        Http.Reply others =
                cluster.clients()
                        .sendTesRequest(1, "other secret", "GET", "/tasks", Map.of(), Map.of(), "");
        assertEquals(List.of(), body(others).get("tasks"));
        assertEquals(
                404, ask(0, "GET", "/tasks/tes-00000000000000000000000000", Map.of()).status());
        assertEquals(
                404,
                ask(0, "GET", "/tasks/req-1", Map.of()).status(),
                "a native job is not a TES task");
        assertFalse(JobId.isWellFormed(id), "a TES task is not a native job");
    }

    /** Returns the status with which the first node answers a request that carries a token. */
    private int statusFor(String token, String method, String path) {
        return cluster.clients()
                .sendTesRequest(0, token, method, path, Map.of(), Map.of(), "")
                .status();
    }

    @Test
    void paginationIsCompleteAndFreeOfDuplicatesUnderConcurrentChanges()
            throws MalformedMessageException {
        Set<String> there = createTwelveTaggedTasks();
        List<String> reported = new ArrayList<>();
        String token = null;
        int node = 0;
        do {
            Map<String, List<String>> query =
                    token == null
                            ? Map.of("page_size", List.of("5"))
                            : Map.of("page_size", List.of("5"), "page_token", List.of(token));
            MessageReader page = new MessageReader(body(ask(node, "GET", "/tasks", query)));
            for (MessageReader task : page.nestedList("tasks")) {
                reported.add(task.string("id"));
            }
            token = page.stringOrNull("next_page_token");
            // The next page is requested from another controller, after a failover, and other
            // tasks were created in between.
            createTask("later", "9", "", LONG_RUNTIME);
            cluster.crash(cluster.leader());
            cluster.runSeconds(8);
            cluster.restartAll();
            cluster.runSeconds(6);
            node = (node + 1) % 3;
        } while (token != null);
        assertEquals(reported.size(), new HashSet<>(reported).size());
        assertEquals(there, new HashSet<>(reported));
        Map<String, List<String>> tagged =
                Map.of(
                        "tag_key",
                        List.of("night"),
                        "tag_value",
                        List.of("1"),
                        "name_prefix",
                        List.of("a"),
                        "view",
                        List.of("BASIC"));
        assertEquals(6, listedTaskCount(tagged));
        assertTrue(listedTaskCount(Map.of("state", List.of("COMPLETE"))) >= 4);
    }

    private Set<String> createTwelveTaggedTasks() {
        Set<String> ids = new HashSet<>();
        for (int at = 0; at < 12; at++) {
            Duration runtime = Duration.ofSeconds(at % 3 == 0 ? 2 : 200);
            ids.add(createTask("a" + at, String.valueOf(at % 2), "", runtime));
        }
        return ids;
    }

    private int listedTaskCount(Map<String, List<String>> query) throws MalformedMessageException {
        return new MessageReader(body(ask(0, "GET", "/tasks", query))).nestedList("tasks").size();
    }

    @Test
    void undecidableRequestIsAnsweredImmediately() {
        cluster.storeConnection(1).refuseRequests(true);
        cluster.runSeconds(5);
        Http.Reply refused = create(1, TASK.formatted("task", "1", ""), null);
        assertEquals(503, refused.status());
        assertEquals(1, refused.retryAfterSeconds());
        cluster.store().setOutage(true);
        assertEquals(503, create(0, TASK.formatted("task", "1", ""), null).status());
    }

    @Test
    void delayedCreateOnSlowStoreIsFoundByIdempotencyKey() {
        cluster.storeConnection(1).holdRequests(true);
        String body = TASK.formatted("late", "1", "");
        Http.Reply reply = create(1, body, "night-2");
        assertTrue(reply == null || reply.status() == 503, "the outcome of the create is unknown");
        cluster.storeConnection(1).holdRequests(false);
        cluster.runSeconds(3);
        String id = (String) body(create(2, body, "night-2")).get("id");
        cluster.setRuntime(new JobId(id), SHORT_RUNTIME);
        cluster.runSeconds(25);
        assertEquals("COMPLETE", state(0, id));
        assertEquals(1, cluster.startCount());
        assertEquals(1, cluster.store().recordCount("tesx/"));
    }

    @Test
    void unschedulableOrInvalidTaskIsRejectedByField() {
        for (String[] wrong :
                new String[][] {
                    {"{\"executors\": []}", "executors"},
                    {"[]", "JSON"},
                    {"{\"executors\": [{\"image\": \"i\", \"command\": []}]}", "command"},
                    {TASK.formatted("t", "1", ", \"priority\": \"high\""), "priority"},
                    {TASK.formatted("t", "1", ", \"max_attempts\": \"2.5\""), "max_attempts"},
                    {TASK.formatted("t", "1", "").replace("\"1\" }", "\"9\"}"), "machine type"},
                    {TASK.formatted("t", "1", ", \"machine_types\": \"huge\""), "machine type"},
                    {
                        TASK.formatted("t", "1", "")
                                .replace("\"cpu_cores\"", "\"zones\": [\"z\"], \"cpu_cores\""),
                        "zone"
                    },
                    {
                        TASK.formatted("t", "1", ", \"x\": \"1\"")
                                .replace("}}}", "}, \"backend_parameters_strict\": true}}"),
                        "backend parameter x"
                    }
                }) {
            Http.Reply reply = create(0, wrong[0], null);
            String said = new String(reply.body(), StandardCharsets.UTF_8);
            assertEquals(400, reply.status(), said);
            assertTrue(said.contains(wrong[1]), said);
        }
        for (String number : List.of("-1", "NaN", "1e400", "0x", "")) {
            String said =
                    new String(
                            create(
                                            0,
                                            TASK.formatted(
                                                    "t",
                                                    "1",
                                                    ", \"deadline_s\": \"" + number + '"'),
                                            null)
                                    .body(),
                            StandardCharsets.UTF_8);
            assertTrue(said.contains("deadline_s"), said);
        }
        assertEquals(413, create(0, TASK.formatted("x".repeat(20_000), "1", ""), null).status());
        assertEquals(400, create(0, TASK.formatted("t", "1", ""), "").status());
        assertEquals(400, create(0, TASK.formatted("t", "1", ""), "k".repeat(201)).status());
    }

    @Test
    void listsReadBoundedNumberOfRecords() throws Exception {
        List<CompletableFuture<Http.Reply>> lists = new ArrayList<>();
        for (int at = 0; at < 6; at++) {
            lists.add(
                    cluster.clients()
                            .sendTesRequestAsync(
                                    0, "secret", "GET", "/tasks", Map.of(), Map.of(), new byte[0]));
        }
        assertEquals(
                List.of(503, 503),
                lists.stream()
                        .filter(CompletableFuture::isDone)
                        .map(reply -> reply.join().status())
                        .toList(),
                "four lists run at a time, and the others are rejected immediately");
        cluster.runSeconds(1);
        assertTrue(lists.stream().limit(4).allMatch(reply -> reply.join().status() == 200));
        for (int at = 0; at < 40; at++) {
            createTask("t", "1", "", LONG_RUNTIME);
        }
        MessageReader whole =
                new MessageReader(body(ask(1, "GET", "/tasks", Map.of("view", List.of("BASIC")))));
        assertEquals(
                32, whole.nestedList("tasks").size(), "each BASIC entry takes a read of its own");
        assertTrue(whole.has("next_page_token"));
        storeEndedTasks(5000);
        MessageReader none =
                new MessageReader(
                        body(ask(2, "GET", "/tasks", Map.of("name_prefix", List.of("t")))));
        assertEquals(0, none.nestedList("tasks").size());
        assertTrue(
                none.has("next_page_token"),
                "a filter without matches reads a bounded number of records");
    }

    /** Stores list entries of ended tasks of the first team. */
    private void storeEndedTasks(int count) throws NoSuchAlgorithmException {
        String team =
                HexFormat.of()
                        .formatHex(
                                MessageDigest.getInstance("SHA-256")
                                        .digest("team".getBytes(StandardCharsets.UTF_8)))
                        .substring(0, 16);
        for (int at = 0; at < count; at++) {
            String id = "tes-%026x".formatted(at);
            cluster.store()
                    .put(
                            "tesx/" + team + "/%013d-".formatted(at) + id,
                            MessageReader.mapOf(
                                    "id",
                                    id,
                                    "name",
                                    "old",
                                    "tags",
                                    Map.of(),
                                    "created",
                                    1L,
                                    "progress",
                                    "DONE",
                                    "log",
                                    List.of()));
        }
    }

    @Test
    void cachedTaskCountIsBounded() {
        List<String> ids = new ArrayList<>();
        for (int at = 0; at < 300; at++) {
            ids.add(createTask("t", "1", "", LONG_RUNTIME));
        }
        cluster.runSeconds(20);
        int other = (cluster.leader() + 1) % 3;
        int[] before = {0};
        ToIntFunction<String> cost =
                id -> {
                    before[0] = cluster.storeConnection(other).readCount();
                    state(other, id);
                    return cluster.storeConnection(other).readCount() - before[0];
                };
        assertEquals(2, cost.applyAsInt(ids.get(0)));
        assertEquals(1, cost.applyAsInt(ids.get(0)), "a task that was read once is cached");
        ids.forEach(id -> state(other, id));
        assertEquals(2, cost.applyAsInt(ids.get(0)), "later reads have evicted the first task");
    }

    @Test
    void repeatedlyFailingTaskKeepsItsLastAttempts() throws MalformedMessageException {
        String id = createTask(Duration.ofHours(1));
        for (int failures = 0; failures < 14; ) {
            List<FakeWorker> on =
                    cluster.workers().stream()
                            .filter(worker -> worker.runningTasks().contains(task(id)))
                            .toList();
            on.forEach(worker -> worker.failTask(task(id)));
            failures += on.size();
            cluster.runSeconds(4);
        }
        MessageReader told =
                new MessageReader(
                        body(ask(1, "GET", "/tasks/" + id, Map.of("view", List.of("FULL")))));
        assertTrue(told.nestedList("logs").size() == 10, () -> "" + told);
        assertEquals("14", told.nestedList("logs").get(9).nested("metadata").string("attempt"));
    }

    @Test
    void unknownPageTokenIsRejected() {
        for (String forged :
                List.of(
                        "",
                        "x",
                        "&prefix=tesx/",
                        "../",
                        "9999999999999-tes-0",
                        "0".repeat(13) + "-tes-" + "0".repeat(26) + "&prefix=job/")) {
            String token =
                    Base64.getUrlEncoder().encodeToString(forged.getBytes(StandardCharsets.UTF_8))
                            + (forged.isEmpty() ? "AA" : "");
            assertEquals(
                    400,
                    ask(0, "GET", "/tasks", Map.of("page_token", List.of(token))).status(),
                    forged);
        }
    }

    @Test
    void nativeAndTesJobsOfTeamShareQuotaInSubmissionOrder() {
        cluster.withTeam("team", 0, 4);
        List<JobId> came = new ArrayList<>();
        for (int at = 1; at <= 6; at++) {
            JobSpec job = SimulatedCluster.spec(at, JobKind.ARRAY, 2, 1);
            assertTrue(cluster.users().submit(at % 3, job, SHORT_RUNTIME));
            came.add(job.id());
            came.add(new JobId(createTask(SHORT_RUNTIME)));
        }
        JobId cancelled = new JobId(createTask(SHORT_RUNTIME));
        body(ask(1, "POST", "/tasks/" + cancelled + ":cancel", Map.of()));
        cluster.runSeconds(20);
        cluster.crash(cluster.leader());
        cluster.runSeconds(8);
        cluster.restartAll();
        cluster.runSeconds(150);
        assertEquals(18, cluster.startCount());
        List<JobEventLog.Event> events = cluster.events();
        assertEquals(
                came,
                events.stream()
                        .filter(event -> event.type() == JobEventLog.EventType.ACCEPTED)
                        .map(JobEventLog.Event::jobId)
                        .filter(job -> !job.equals(cancelled))
                        .toList());
        assertEquals(
                came,
                events.stream()
                        .filter(event -> event.type() == JobEventLog.EventType.PLACED)
                        .map(JobEventLog.Event::jobId)
                        .distinct()
                        .toList(),
                "jobs of both APIs are placed in the order of their submission");
        JobEventLogChecker.check(events, 4);
        assertEquals(
                came.size() + 1,
                events.stream()
                        .filter(event -> event.type() == JobEventLog.EventType.ENDED)
                        .count());
    }

    private String createTracedTask(String parameters, Duration runs) {
        String id =
                (String)
                        body(cluster.clients()
                                        .sendTesRequest(
                                                0,
                                                "secret",
                                                "POST",
                                                "/tasks",
                                                Map.of(),
                                                Map.of("traceparent", "ctx"),
                                                TASK.formatted("traced", "1", parameters)))
                                .get("id");
        cluster.setRuntime(new JobId(id), runs);
        return id;
    }

    @Test
    void tracedTaskIsReportedOnceAcrossFailover() {
        String id = createTracedTask(", \"max_attempts\": \"9\"", Duration.ofSeconds(20));
        createTask(SHORT_RUNTIME);
        cluster.runSeconds(6);
        cluster.machinesRunning(task(id)).forEach(worker -> worker.failTask(task(id)));
        cluster.runSeconds(8);
        assertEquals("RUNNING", state(0, id));
        cluster.crash(cluster.leader());
        cluster.runSeconds(40);
        assertEquals("COMPLETE", state((cluster.leader() + 1) % 3, id));
        assertEquals(
                List.of(
                        "ctx accepted",
                        "ctx attempt 1 ERROR",
                        "ctx attempt 2 DONE",
                        "ctx ended DONE"),
                cluster.traceNotes());
    }

    @Test
    void tracedTaskIsReportedWhenItsFinalCommitTimesOut() {
        String id = createTracedTask("", Duration.ofSeconds(8));
        cluster.runSeconds(6);
        assertEquals("RUNNING", state(0, id));
        for (int step = 0;
                step < 80
                        && cluster.workers().stream()
                                .anyMatch(worker -> worker.runningTasks().contains(task(id)));
                step++) {
            cluster.runSeconds(0.25);
        }
        // The task has completed, but no heartbeat has reported it yet. The response to the commit
        // of the job's end is lost.
        int leader = cluster.leader();
        cluster.storeConnection(leader).loseResponses(true);
        cluster.runSeconds(3.5);
        cluster.storeConnection(leader).loseResponses(false);
        assertEquals(List.of("ctx accepted"), cluster.traceNotes());
        cluster.runSeconds(10);
        assertEquals(leader, cluster.leader());
        assertEquals("COMPLETE", state(0, id));
        assertEquals(
                List.of("ctx accepted", "ctx attempt 1 DONE", "ctx ended DONE"),
                cluster.traceNotes());
    }

    @Test
    void thousandEndedTasksAreAllListed() {
        List<String> ids = new ArrayList<>();
        for (int at = 0; at < 1000; at++) {
            ids.add(createTask("t" + at, "1", "", LONG_RUNTIME));
            if (at % 50 == 49) {
                for (String id : ids.subList(at - 49, at + 1)) {
                    body(ask(at % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
                }
            }
        }
        cluster.runSeconds(60);
        cluster.crashAll();
        cluster.runSeconds(8);
        cluster.restartAll();
        cluster.runSeconds(8);
        for (int at = 0; at < ids.size(); at++) {
            assertEquals("CANCELED", state(at % 3, ids.get(at)));
        }
        Set<String> listed = new HashSet<>();
        String token = null;
        do {
            Map<String, List<String>> query =
                    token == null
                            ? Map.of("page_size", List.of("300"))
                            : Map.of("page_size", List.of("300"), "page_token", List.of(token));
            Map<String, Object> page = body(ask(listed.size() % 3, "GET", "/tasks", query));
            for (Object task : (List<?>) page.get("tasks")) {
                assertTrue(listed.add((String) ((Map<?, ?>) task).get("id")));
            }
            token = (String) page.get("next_page_token");
        } while (token != null);
        assertEquals(new HashSet<>(ids), listed);
    }

    @Test
    void taskCancelledDuringItsPlacementRoundNeverRuns() {
        // The task is placed and cancelled between two responses of the store; the delay varies so
        // that either of the two can arrive first.
        for (int at = 0; at < 12; at++) {
            String id = createTask(LONG_RUNTIME);
            cluster.run(Duration.ofMillis(250L * (at % 6)));
            body(ask(at % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
            int before = cluster.startCount();
            cluster.runSeconds(12);
            assertEquals("CANCELED", state(at % 3, id));
            assertFalse(isOnAnyMachine(id));
            assertEquals(before, cluster.startCount(), "no task starts after its cancellation");
        }
        JobEventLogChecker.check(cluster.events(), 100);
    }

    @Test
    void taskOfTeamBelowItsGuaranteeGoesFirst() {
        cluster.withTeam("other", 2, 0);
        for (int at = 1; at <= 40; at++) {
            assertTrue(
                    cluster.users()
                            .submit(
                                    0,
                                    SimulatedCluster.spec(at, JobKind.ARRAY, 2, 1),
                                    LONG_RUNTIME));
        }
        cluster.cloud().setOutage(true);
        // All rented machines have booted and are full.
        cluster.runSeconds(20);
        long before =
                cluster.workers().stream().mapToLong(worker -> worker.runningTasks().size()).sum();
        String id =
                (String)
                        body(cluster.clients()
                                        .sendTesRequest(
                                                0,
                                                "other secret",
                                                "POST",
                                                "/tasks",
                                                Map.of(),
                                                Map.of(),
                                                TASK.formatted(
                                                        "first", "1", ", \"save_s\": \"1\"")))
                                .get("id");
        cluster.setRuntime(new JobId(id), LONG_RUNTIME);
        cluster.runSeconds(40);
        assertTrue(
                before > 0
                        && before
                                == cluster.workers().stream()
                                        .mapToLong(worker -> worker.runningTasks().size())
                                        .sum());
        Http.Reply reply =
                cluster.clients()
                        .sendTesRequest(
                                1, "other secret", "GET", "/tasks/" + id, Map.of(), Map.of(), "");
        assertEquals(
                "RUNNING",
                body(reply).get("state"),
                "tasks of another team are preempted, as for a native job of that team");
    }

    @Test
    void concurrentListsAreCompleteUnderConcurrentChanges() {
        Set<String> there = new HashSet<>();
        for (int at = 0; at < 10; at++) {
            there.add(createTask("a" + at, "1", "", LONG_RUNTIME));
        }
        String[] tokens = {"", ""};
        List<Set<String>> reported = List.of(new HashSet<>(), new HashSet<>());
        for (int step = 0; tokens[0] != null || tokens[1] != null; step++) {
            int client = step % 2;
            if (tokens[client] == null) {
                continue;
            }
            Map<String, List<String>> query =
                    new HashMap<>(Map.of("page_size", List.of(client == 0 ? "3" : "4")));
            if (!tokens[client].isEmpty()) {
                query.put("page_token", List.of(tokens[client]));
            }
            Map<String, Object> page = body(ask(step % 3, "GET", "/tasks", query));
            for (Object task : (List<?>) page.get("tasks")) {
                assertTrue(
                        reported.get(client).add((String) ((Map<?, ?>) task).get("id")),
                        "reported twice");
            }
            tokens[client] = (String) page.get("next_page_token");
            String passing = createTask("passing", "2", "", SHORT_RUNTIME);
            body(ask(0, "POST", "/tasks/" + passing + ":cancel", Map.of()));
        }
        assertTrue(reported.get(0).containsAll(there) && reported.get(1).containsAll(there));
    }
}
