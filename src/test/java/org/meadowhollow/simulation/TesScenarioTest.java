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
    private static final String TASK_TEMPLATE =
            """
            {"name": "%s", "executors": [{"image": "image", "command": ["true"]}], "tags": {"night": "%s"},
             "inputs": [{"content": "abc", "path": "/in"}],
             "resources": {"cpu_cores": 1, "ram_gb": 4, "backend_parameters": {"gpus": "1" %s}}}""";

    private Http.Reply sendCreate(int node, String body, String key) {
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

    private Http.Reply sendRequest(
            int node, String method, String path, Map<String, List<String>> query) {
        return cluster.clients().sendTesRequest(node, "secret", method, path, query, Map.of(), "");
    }

    private static Map<String, Object> okBody(Http.Reply reply) {
        try {
            assertEquals(200, reply.status(), new String(reply.body(), StandardCharsets.UTF_8));
            return JsonCodec.decode(reply.body());
        } catch (MalformedMessageException malformed) {
            throw new AssertionError(malformed);
        }
    }

    private String createTask(String name, String tag, String parameters, Duration runtime) {
        String id =
                (String)
                        okBody(sendCreate(0, TASK_TEMPLATE.formatted(name, tag, parameters), null))
                                .get("id");
        cluster.setRuntime(new JobId(id), runtime);
        return id;
    }

    private String createTask(Duration runtime) {
        return createTask("task", "1", "", runtime);
    }

    private String stateOf(int node, String id) {
        return (String) okBody(sendRequest(node, "GET", "/tasks/" + id, Map.of())).get("state");
    }

    private TaskId taskId(String id) {
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
                                        && worker.hasTask(taskId(id))
                                        && (worker.runningTasks().contains(taskId(id))
                                                || cluster.imagePulls().fixedDuration().toSeconds()
                                                        > 30));
    }

    @Test
    void everyControllerReportsSameTaskProgress() throws MalformedMessageException {
        String id = createTask(SHORT_RUNTIME);
        assertEquals("QUEUED", stateOf(1, id));
        cluster.runSeconds(6);
        assertEquals("RUNNING", stateOf(2, id));
        cluster.runSeconds(20);
        for (int node = 0; node < 3; node++) {
            Map<String, Object> full =
                    okBody(
                            sendRequest(
                                    node, "GET", "/tasks/" + id, Map.of("view", List.of("FULL"))));
            assertEquals("COMPLETE", full.get("state"));
            MessageReader reported = new MessageReader(full);
            assertEquals("abc", reported.nestedList("inputs").get(0).string("content"));
            MessageReader log = reported.nestedList("logs").get(0);
            assertEquals(0, log.nestedList("logs").get(0).nonNegativeLong("exit_code"));
            assertTrue(log.string("start_time").compareTo(log.string("end_time")) < 0);
            assertTrue(reported.string("creation_time").compareTo(log.string("start_time")) < 0);
        }
        Map<String, Object> basic =
                okBody(sendRequest(1, "GET", "/tasks/" + id, Map.of("view", List.of("BASIC"))));
        assertFalse(new MessageReader(basic).nestedList("inputs").get(0).has("content"));
    }

    @Test
    void taskCompletedBetweenTwoHeartbeatsHasStartTime() throws MalformedMessageException {
        String id = createTask(Duration.ofMillis(10));
        cluster.runSeconds(12);
        MessageReader reported =
                new MessageReader(
                        okBody(
                                sendRequest(
                                        1,
                                        "GET",
                                        "/tasks/" + id,
                                        Map.of("view", List.of("BASIC")))));
        assertEquals("COMPLETE", reported.string("state"));
        MessageReader log = reported.nestedList("logs").get(0);
        assertTrue(log.string("start_time").compareTo(log.string("end_time")) < 0);
    }

    @Test
    void imagePullIsReportedAsInitializing() {
        cluster.setImagePullTime(Duration.ofSeconds(20));
        String id = createTask(SHORT_RUNTIME);
        cluster.runSeconds(8);
        assertEquals("INITIALIZING", stateOf(1, id));
        cluster.runSeconds(20);
        assertEquals("RUNNING", stateOf(1, id));
    }

    @Test
    void cancelledTaskNeverRunsAfterwards() {
        // No machine has capacity, and the task is cancelled while it is queued.
        cluster.workers().forEach(worker -> worker.setHung(true));
        cluster.cloud().setOutage(true);
        cluster.runSeconds(10);
        String queuedId = createTask(LONG_RUNTIME);
        okBody(sendRequest(1, "POST", "/tasks/" + queuedId + ":cancel", Map.of()));
        assertTrue(Set.of("CANCELING", "CANCELED").contains(stateOf(2, queuedId)));
        cluster.runSeconds(2);
        assertEquals("CANCELED", stateOf(0, queuedId));
        cluster.workers().forEach(worker -> worker.setHung(false));
        cluster.runSeconds(10);
        // The start is committed, but every response that carries the start command is lost.
        cluster.workers().forEach(worker -> worker.loseIncoming(true));
        String undeliveredId = createTask(LONG_RUNTIME);
        cluster.runSeconds(2);
        okBody(sendRequest(1, "POST", "/tasks/" + undeliveredId + ":cancel", Map.of()));
        assertTrue(Set.of("CANCELING", "CANCELED").contains(stateOf(2, undeliveredId)));
        cluster.workers().forEach(worker -> worker.loseIncoming(false));
        cluster.runSeconds(20);
        assertEquals("CANCELED", stateOf(0, undeliveredId));
        assertEquals(0, cluster.startCount());
        // The task is cancelled while its image is pulled.
        cluster.setImagePullTime(Duration.ofSeconds(40));
        String pullingId = createTask(LONG_RUNTIME);
        cluster.runSeconds(6);
        assertEquals("INITIALIZING", stateOf(0, pullingId));
        okBody(sendRequest(1, "POST", "/tasks/" + pullingId + ":cancel", Map.of()));
        cluster.runSeconds(10);
        assertEquals("CANCELED", stateOf(2, pullingId));
        cluster.runSeconds(50);
        assertEquals(0, cluster.startCount());
    }

    @Test
    void taskCancelledDuringFailoverStopsAndIsReportedCancelled() {
        String id = createTask(LONG_RUNTIME);
        cluster.runSeconds(6);
        assertEquals("RUNNING", stateOf(0, id));
        int leader = cluster.leader();
        cluster.crash(leader);
        int other = (leader + 1) % 3;
        okBody(sendRequest(other, "POST", "/tasks/" + id + ":cancel", Map.of()));
        assertEquals("CANCELING", stateOf((leader + 2) % 3, id));
        cluster.runSeconds(30);
        assertFalse(isOnAnyMachine(id));
        assertEquals("CANCELED", stateOf(other, id));
        assertEquals(1, cluster.startCount());
    }

    @Test
    void reportedCancellationIsNeverRetracted() {
        String id = createTask(LONG_RUNTIME);
        cluster.runSeconds(6);
        // The leader's watches do not deliver the cancellation for a while, and the leader has
        // changes of its own to write.
        cluster.storeConnection(cluster.leader()).hideAllChanges(true);
        okBody(
                sendRequest(
                        (cluster.leader() + 1) % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
        cluster.workers()
                .forEach(
                        worker -> {
                            if (worker.hasTask(taskId(id))) {
                                worker.failTask(taskId(id));
                            }
                        });
        for (int second = 0; second < 20; second++) {
            assertTrue(Set.of("CANCELING", "CANCELED").contains(stateOf(second % 3, id)));
            cluster.runSeconds(1);
        }
        assertEquals("CANCELED", stateOf(0, id));
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
        Http.Reply unanswered = sendRequest(other, "POST", "/tasks/" + id + ":cancel", Map.of());
        assertTrue(unanswered == null || unanswered.status() == 503);
        cluster.runSeconds(10);
        assertEquals("RUNNING", stateOf(cluster.leader(), id));
        cluster.storeConnection(other).holdRequests(false);
        for (int second = 0; second < 10; second++) {
            Map<String, Object> full =
                    okBody(
                            sendRequest(
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
        sendRequest(other, "POST", "/tasks/" + id + ":cancel", Map.of());
        cluster.runSeconds(20);
        cluster.storeConnection(other).holdRequests(false);
        cluster.runSeconds(10);
        assertEquals("COMPLETE", stateOf(0, id));
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
        for (int i = 0; i < 20; i++) {
            ids.add(createTask(Duration.ofSeconds(2)));
        }
        cluster.runSeconds(30);
        cluster.crashAll();
        cluster.runSeconds(8);
        cluster.restartAll();
        cluster.runSeconds(8);
        for (String id : ids) {
            assertEquals("COMPLETE", stateOf(1, id));
            okBody(sendRequest(2, "POST", "/tasks/" + id + ":cancel", Map.of()));
            assertEquals("COMPLETE", stateOf(0, id), "a cancellation after the end has no effect");
        }
        assertEquals(20, cluster.startCount());
    }

    @Test
    void repeatedCreateMakesOneTask() {
        String body = TASK_TEMPLATE.formatted("once", "1", "");
        cluster.storeConnection(0).loseResponses(true);
        Http.Reply lost = sendCreate(0, body, "night-1");
        assertTrue(lost == null || lost.status() == 503);
        cluster.storeConnection(0).loseResponses(false);
        String id = (String) okBody(sendCreate(1, body, "night-1")).get("id");
        cluster.setRuntime(new JobId(id), SHORT_RUNTIME);
        assertEquals(id, okBody(sendCreate(2, body, "night-1")).get("id"));
        assertEquals(
                400,
                sendCreate(2, TASK_TEMPLATE.formatted("another", "1", ""), "night-1").status());
        cluster.runSeconds(30);
        assertEquals(
                id,
                okBody(sendCreate(0, body, "night-1")).get("id"),
                "also after the task has ended");
        assertEquals(1, cluster.startCount());
    }

    @Test
    void attemptsEndAtClientLimitAndOtherwiseContinue() throws MalformedMessageException {
        String limitedId = createTask("bounded", "1", ", \"max_attempts\": \"2\"", LONG_RUNTIME);
        String unlimitedId = createTask("free", "1", "", LONG_RUNTIME);
        for (int second = 0; second < 60; second++) {
            cluster.workers()
                    .forEach(
                            worker -> {
                                for (String id : List.of(limitedId, unlimitedId)) {
                                    if (worker.runningTasks().contains(taskId(id))) {
                                        worker.failTask(taskId(id));
                                    }
                                }
                            });
            cluster.runSeconds(1);
        }
        assertEquals("EXECUTOR_ERROR", stateOf(1, limitedId));
        Map<String, Object> full =
                okBody(
                        sendRequest(
                                2, "GET", "/tasks/" + limitedId, Map.of("view", List.of("FULL"))));
        List<MessageReader> logs = new MessageReader(full).nestedList("logs");
        assertEquals(2, logs.size());
        assertEquals("ERROR", logs.get(1).nested("metadata").string("cause"));
        assertNotEquals("EXECUTOR_ERROR", stateOf(1, unlimitedId));
    }

    @Test
    void attemptCountSurvivesLeaderFailureBetweenAttempts() {
        String id = createTask("bounded", "1", ", \"max_attempts\": \"2\"", LONG_RUNTIME);
        cluster.runSeconds(6);
        for (int attempt = 1; attempt <= 2; attempt++) {
            cluster.machinesRunning(taskId(id)).forEach(worker -> worker.failTask(taskId(id)));
            cluster.runSeconds(4);
            cluster.crash(cluster.leader());
            cluster.runSeconds(2);
            cluster.restartAll();
            cluster.runSeconds(12);
        }
        assertEquals("EXECUTOR_ERROR", stateOf(0, id));
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
        Http.Reply otherTeamReply =
                cluster.clients()
                        .sendTesRequest(1, "other secret", "GET", "/tasks", Map.of(), Map.of(), "");
        assertEquals(List.of(), okBody(otherTeamReply).get("tasks"));
        assertEquals(
                404,
                sendRequest(0, "GET", "/tasks/tes-00000000000000000000000000", Map.of()).status());
        assertEquals(
                404,
                sendRequest(0, "GET", "/tasks/req-1", Map.of()).status(),
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
        Set<String> expectedIds = createTwelveTaggedTasks();
        List<String> listedIds = new ArrayList<>();
        String token = null;
        int node = 0;
        do {
            Map<String, List<String>> query =
                    token == null
                            ? Map.of("page_size", List.of("5"))
                            : Map.of("page_size", List.of("5"), "page_token", List.of(token));
            MessageReader page =
                    new MessageReader(okBody(sendRequest(node, "GET", "/tasks", query)));
            for (MessageReader task : page.nestedList("tasks")) {
                listedIds.add(task.string("id"));
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
        assertEquals(listedIds.size(), new HashSet<>(listedIds).size());
        assertEquals(expectedIds, new HashSet<>(listedIds));
        Map<String, List<String>> tagFilter =
                Map.of(
                        "tag_key",
                        List.of("night"),
                        "tag_value",
                        List.of("1"),
                        "name_prefix",
                        List.of("a"),
                        "view",
                        List.of("BASIC"));
        assertEquals(6, listedTaskCount(tagFilter));
        assertTrue(listedTaskCount(Map.of("state", List.of("COMPLETE"))) >= 4);
    }

    private Set<String> createTwelveTaggedTasks() {
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            Duration runtime = Duration.ofSeconds(i % 3 == 0 ? 2 : 200);
            ids.add(createTask("a" + i, String.valueOf(i % 2), "", runtime));
        }
        return ids;
    }

    private int listedTaskCount(Map<String, List<String>> query) throws MalformedMessageException {
        return new MessageReader(okBody(sendRequest(0, "GET", "/tasks", query)))
                .nestedList("tasks")
                .size();
    }

    @Test
    void requestWithoutReachableStoreIsRejectedImmediately() {
        cluster.storeConnection(1).refuseRequests(true);
        cluster.runSeconds(5);
        Http.Reply refused = sendCreate(1, TASK_TEMPLATE.formatted("task", "1", ""), null);
        assertEquals(503, refused.status());
        assertEquals(1, refused.retryAfterSeconds());
        cluster.store().setOutage(true);
        assertEquals(503, sendCreate(0, TASK_TEMPLATE.formatted("task", "1", ""), null).status());
    }

    @Test
    void delayedCreateOnSlowStoreIsFoundByIdempotencyKey() {
        cluster.storeConnection(1).holdRequests(true);
        String body = TASK_TEMPLATE.formatted("late", "1", "");
        Http.Reply reply = sendCreate(1, body, "night-2");
        assertTrue(reply == null || reply.status() == 503, "the outcome of the create is unknown");
        cluster.storeConnection(1).holdRequests(false);
        cluster.runSeconds(3);
        String id = (String) okBody(sendCreate(2, body, "night-2")).get("id");
        cluster.setRuntime(new JobId(id), SHORT_RUNTIME);
        cluster.runSeconds(25);
        assertEquals("COMPLETE", stateOf(0, id));
        assertEquals(1, cluster.startCount());
        assertEquals(1, cluster.store().recordCount("tesx/"));
    }

    @Test
    void rejectionOfUnschedulableOrInvalidTaskNamesField() {
        for (String[] invalidCase :
                new String[][] {
                    {"{\"executors\": []}", "executors"},
                    {"[]", "JSON"},
                    {"{\"executors\": [{\"image\": \"i\", \"command\": []}]}", "command"},
                    {TASK_TEMPLATE.formatted("t", "1", ", \"priority\": \"high\""), "priority"},
                    {
                        TASK_TEMPLATE.formatted("t", "1", ", \"max_attempts\": \"2.5\""),
                        "max_attempts"
                    },
                    {
                        TASK_TEMPLATE.formatted("t", "1", "").replace("\"1\" }", "\"9\"}"),
                        "machine type"
                    },
                    {
                        TASK_TEMPLATE.formatted("t", "1", ", \"machine_types\": \"huge\""),
                        "machine type"
                    },
                    {
                        TASK_TEMPLATE
                                .formatted("t", "1", "")
                                .replace("\"cpu_cores\"", "\"zones\": [\"z\"], \"cpu_cores\""),
                        "zone"
                    },
                    {
                        TASK_TEMPLATE
                                .formatted("t", "1", ", \"x\": \"1\"")
                                .replace("}}}", "}, \"backend_parameters_strict\": true}}"),
                        "backend parameter x"
                    }
                }) {
            Http.Reply reply = sendCreate(0, invalidCase[0], null);
            String message = new String(reply.body(), StandardCharsets.UTF_8);
            assertEquals(400, reply.status(), message);
            assertTrue(message.contains(invalidCase[1]), message);
        }
        for (String number : List.of("-1", "NaN", "1e400", "0x", "")) {
            String message =
                    new String(
                            sendCreate(
                                            0,
                                            TASK_TEMPLATE.formatted(
                                                    "t",
                                                    "1",
                                                    ", \"deadline_s\": \"" + number + '"'),
                                            null)
                                    .body(),
                            StandardCharsets.UTF_8);
            assertTrue(message.contains("deadline_s"), message);
        }
        assertEquals(
                413,
                sendCreate(0, TASK_TEMPLATE.formatted("x".repeat(20_000), "1", ""), null).status());
        assertEquals(400, sendCreate(0, TASK_TEMPLATE.formatted("t", "1", ""), "").status());
        assertEquals(
                400,
                sendCreate(0, TASK_TEMPLATE.formatted("t", "1", ""), "k".repeat(201)).status());
    }

    @Test
    void listsReadBoundedNumberOfRecords() throws Exception {
        List<CompletableFuture<Http.Reply>> lists = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
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
        for (int i = 0; i < 40; i++) {
            createTask("t", "1", "", LONG_RUNTIME);
        }
        MessageReader firstPage =
                new MessageReader(
                        okBody(sendRequest(1, "GET", "/tasks", Map.of("view", List.of("BASIC")))));
        assertEquals(
                32,
                firstPage.nestedList("tasks").size(),
                "each BASIC entry takes a read of its own");
        assertTrue(firstPage.has("next_page_token"));
        storeEndedTasks(5000);
        MessageReader unmatchedPage =
                new MessageReader(
                        okBody(
                                sendRequest(
                                        2, "GET", "/tasks", Map.of("name_prefix", List.of("t")))));
        assertEquals(0, unmatchedPage.nestedList("tasks").size());
        assertTrue(
                unmatchedPage.has("next_page_token"),
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
        for (int i = 0; i < count; i++) {
            String id = "tes-%026x".formatted(i);
            cluster.store()
                    .put(
                            "tesx/" + team + "/%013d-".formatted(i) + id,
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
        for (int i = 0; i < 300; i++) {
            ids.add(createTask("t", "1", "", LONG_RUNTIME));
        }
        cluster.runSeconds(20);
        int other = (cluster.leader() + 1) % 3;
        int[] readsBefore = {0};
        ToIntFunction<String> storeReads =
                id -> {
                    readsBefore[0] = cluster.storeConnection(other).readCount();
                    stateOf(other, id);
                    return cluster.storeConnection(other).readCount() - readsBefore[0];
                };
        assertEquals(2, storeReads.applyAsInt(ids.get(0)));
        assertEquals(1, storeReads.applyAsInt(ids.get(0)), "a task that was read once is cached");
        ids.forEach(id -> stateOf(other, id));
        assertEquals(
                2, storeReads.applyAsInt(ids.get(0)), "later reads have evicted the first task");
    }

    @Test
    void repeatedlyFailingTaskKeepsItsLastAttempts() throws MalformedMessageException {
        String id = createTask(Duration.ofHours(1));
        for (int failures = 0; failures < 14; ) {
            List<FakeWorker> machines =
                    cluster.workers().stream()
                            .filter(worker -> worker.runningTasks().contains(taskId(id)))
                            .toList();
            machines.forEach(worker -> worker.failTask(taskId(id)));
            failures += machines.size();
            cluster.runSeconds(4);
        }
        MessageReader fullTask =
                new MessageReader(
                        okBody(
                                sendRequest(
                                        1,
                                        "GET",
                                        "/tasks/" + id,
                                        Map.of("view", List.of("FULL")))));
        assertTrue(fullTask.nestedList("logs").size() == 10, () -> "" + fullTask);
        assertEquals("14", fullTask.nestedList("logs").get(9).nested("metadata").string("attempt"));
    }

    @Test
    void unknownPageTokenIsRejected() {
        for (String forgedCursor :
                List.of(
                        "",
                        "x",
                        "&prefix=tesx/",
                        "../",
                        "9999999999999-tes-0",
                        "0".repeat(13) + "-tes-" + "0".repeat(26) + "&prefix=job/")) {
            String token =
                    Base64.getUrlEncoder()
                                    .encodeToString(forgedCursor.getBytes(StandardCharsets.UTF_8))
                            + (forgedCursor.isEmpty() ? "AA" : "");
            assertEquals(
                    400,
                    sendRequest(0, "GET", "/tasks", Map.of("page_token", List.of(token))).status(),
                    forgedCursor);
        }
    }

    @Test
    void nativeAndTesJobsOfTeamShareQuotaInSubmissionOrder() {
        cluster.withTeam("team", 0, 4);
        List<JobId> submittedInOrder = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            JobSpec job = SimulatedCluster.spec(i, JobKind.ARRAY, 2, 1);
            assertTrue(cluster.users().submit(i % 3, job, SHORT_RUNTIME));
            submittedInOrder.add(job.id());
            submittedInOrder.add(new JobId(createTask(SHORT_RUNTIME)));
        }
        JobId cancelled = new JobId(createTask(SHORT_RUNTIME));
        okBody(sendRequest(1, "POST", "/tasks/" + cancelled + ":cancel", Map.of()));
        cluster.runSeconds(20);
        cluster.crash(cluster.leader());
        cluster.runSeconds(8);
        cluster.restartAll();
        cluster.runSeconds(150);
        assertEquals(18, cluster.startCount());
        List<JobEventLog.Event> events = cluster.events();
        assertEquals(
                submittedInOrder,
                events.stream()
                        .filter(event -> event.type() == JobEventLog.EventType.ACCEPTED)
                        .map(JobEventLog.Event::jobId)
                        .filter(job -> !job.equals(cancelled))
                        .toList());
        assertEquals(
                submittedInOrder,
                events.stream()
                        .filter(event -> event.type() == JobEventLog.EventType.PLACED)
                        .map(JobEventLog.Event::jobId)
                        .distinct()
                        .toList(),
                "jobs of both APIs are placed in the order of their submission");
        JobEventLogChecker.check(events, 4);
        assertEquals(
                submittedInOrder.size() + 1,
                events.stream()
                        .filter(event -> event.type() == JobEventLog.EventType.ENDED)
                        .count());
    }

    private String createTracedTask(String parameters, Duration runtime) {
        String id =
                (String)
                        okBody(
                                        cluster.clients()
                                                .sendTesRequest(
                                                        0,
                                                        "secret",
                                                        "POST",
                                                        "/tasks",
                                                        Map.of(),
                                                        Map.of("traceparent", "ctx"),
                                                        TASK_TEMPLATE.formatted(
                                                                "traced", "1", parameters)))
                                .get("id");
        cluster.setRuntime(new JobId(id), runtime);
        return id;
    }

    @Test
    void tracedTaskIsReportedOnceAcrossFailover() {
        String id = createTracedTask(", \"max_attempts\": \"9\"", Duration.ofSeconds(20));
        createTask(SHORT_RUNTIME);
        cluster.runSeconds(6);
        cluster.machinesRunning(taskId(id)).forEach(worker -> worker.failTask(taskId(id)));
        cluster.runSeconds(8);
        assertEquals("RUNNING", stateOf(0, id));
        cluster.crash(cluster.leader());
        cluster.runSeconds(40);
        assertEquals("COMPLETE", stateOf((cluster.leader() + 1) % 3, id));
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
        assertEquals("RUNNING", stateOf(0, id));
        for (int step = 0;
                step < 80
                        && cluster.workers().stream()
                                .anyMatch(worker -> worker.runningTasks().contains(taskId(id)));
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
        assertEquals("COMPLETE", stateOf(0, id));
        assertEquals(
                List.of("ctx accepted", "ctx attempt 1 DONE", "ctx ended DONE"),
                cluster.traceNotes());
    }

    @Test
    void thousandEndedTasksAreAllListed() {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            ids.add(createTask("t" + i, "1", "", LONG_RUNTIME));
            if (i % 50 == 49) {
                for (String id : ids.subList(i - 49, i + 1)) {
                    okBody(sendRequest(i % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
                }
            }
        }
        cluster.runSeconds(60);
        cluster.crashAll();
        cluster.runSeconds(8);
        cluster.restartAll();
        cluster.runSeconds(8);
        for (int i = 0; i < ids.size(); i++) {
            assertEquals("CANCELED", stateOf(i % 3, ids.get(i)));
        }
        Set<String> listedIds = new HashSet<>();
        String token = null;
        do {
            Map<String, List<String>> query =
                    token == null
                            ? Map.of("page_size", List.of("300"))
                            : Map.of("page_size", List.of("300"), "page_token", List.of(token));
            Map<String, Object> page =
                    okBody(sendRequest(listedIds.size() % 3, "GET", "/tasks", query));
            for (Object task : (List<?>) page.get("tasks")) {
                assertTrue(listedIds.add((String) ((Map<?, ?>) task).get("id")));
            }
            token = (String) page.get("next_page_token");
        } while (token != null);
        assertEquals(new HashSet<>(ids), listedIds);
    }

    @Test
    void taskCancelledDuringItsPlacementRoundNeverRuns() {
        // The task is placed and cancelled between two responses of the store; the delay varies so
        // that either of the two can arrive first.
        for (int i = 0; i < 12; i++) {
            String id = createTask(LONG_RUNTIME);
            cluster.run(Duration.ofMillis(250L * (i % 6)));
            okBody(sendRequest(i % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
            int startsBefore = cluster.startCount();
            cluster.runSeconds(12);
            assertEquals("CANCELED", stateOf(i % 3, id));
            assertFalse(isOnAnyMachine(id));
            assertEquals(
                    startsBefore, cluster.startCount(), "no task starts after its cancellation");
        }
        JobEventLogChecker.check(cluster.events(), 100);
    }

    @Test
    void taskOfTeamBelowGuaranteePreemptsOtherTeams() {
        cluster.withTeam("other", 2, 0);
        for (int i = 1; i <= 40; i++) {
            assertTrue(
                    cluster.users()
                            .submit(
                                    0,
                                    SimulatedCluster.spec(i, JobKind.ARRAY, 2, 1),
                                    LONG_RUNTIME));
        }
        cluster.cloud().setOutage(true);
        // All rented machines have booted and are full.
        cluster.runSeconds(20);
        long runningBefore =
                cluster.workers().stream().mapToLong(worker -> worker.runningTasks().size()).sum();
        String id =
                (String)
                        okBody(
                                        cluster.clients()
                                                .sendTesRequest(
                                                        0,
                                                        "other secret",
                                                        "POST",
                                                        "/tasks",
                                                        Map.of(),
                                                        Map.of(),
                                                        TASK_TEMPLATE.formatted(
                                                                "first",
                                                                "1",
                                                                ", \"save_s\": \"1\"")))
                                .get("id");
        cluster.setRuntime(new JobId(id), LONG_RUNTIME);
        cluster.runSeconds(40);
        assertTrue(
                runningBefore > 0
                        && runningBefore
                                == cluster.workers().stream()
                                        .mapToLong(worker -> worker.runningTasks().size())
                                        .sum());
        Http.Reply reply =
                cluster.clients()
                        .sendTesRequest(
                                1, "other secret", "GET", "/tasks/" + id, Map.of(), Map.of(), "");
        assertEquals(
                "RUNNING",
                okBody(reply).get("state"),
                "tasks of another team are preempted, as for a native job of that team");
    }

    @Test
    void concurrentListsAreCompleteUnderConcurrentChanges() {
        Set<String> expectedIds = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            expectedIds.add(createTask("a" + i, "1", "", LONG_RUNTIME));
        }
        String[] tokens = {"", ""};
        List<Set<String>> listedIds = List.of(new HashSet<>(), new HashSet<>());
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
            Map<String, Object> page = okBody(sendRequest(step % 3, "GET", "/tasks", query));
            for (Object task : (List<?>) page.get("tasks")) {
                assertTrue(
                        listedIds.get(client).add((String) ((Map<?, ?>) task).get("id")),
                        "reported twice");
            }
            tokens[client] = (String) page.get("next_page_token");
            String shortLivedId = createTask("passing", "2", "", SHORT_RUNTIME);
            okBody(sendRequest(0, "POST", "/tasks/" + shortLivedId + ":cancel", Map.of()));
        }
        assertTrue(
                listedIds.get(0).containsAll(expectedIds)
                        && listedIds.get(1).containsAll(expectedIds));
    }
}
