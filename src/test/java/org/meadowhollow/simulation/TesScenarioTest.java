package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.MessageDigest;
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
import org.meadowhollow.storage.RecordCodec;

/** Tasks that come by the task execution API, beside native jobs, while things fail. */
class TesScenarioTest extends ClusterTestBase {
    private static final String TASK =
            """
            {"name": "%s", "executors": [{"image": "image", "command": ["true"]}], "tags": {"night": "%s"},
             "inputs": [{"content": "abc", "path": "/in"}],
             "resources": {"cpu_cores": 1, "ram_gb": 4, "backend_parameters": {"gpus": "1" %s}}}""";

    private Http.Reply create(int node, String body, String key) {
        return cluster.tes(
                node,
                "secret",
                "POST",
                "/tasks",
                Map.of(),
                key == null ? Map.of() : Map.of("Idempotency-Key", key),
                body);
    }

    private Http.Reply ask(int node, String method, String path, Map<String, List<String>> query) {
        return cluster.tes(node, "secret", method, path, query, Map.of(), "");
    }

    private static Map<String, Object> body(Http.Reply reply) {
        try {
            assertEquals(200, reply.status(), new String(reply.body()));
            return JsonCodec.decode(reply.body());
        } catch (MalformedMessageException wrong) {
            throw new AssertionError(wrong);
        }
    }

    private String created(String name, String tag, String parameters, Duration runs) {
        String id = (String) body(create(0, TASK.formatted(name, tag, parameters), null)).get("id");
        cluster.runs(new JobId(id), runs);
        return id;
    }

    private String created(Duration runs) {
        return created("task", "1", "", runs);
    }

    private String state(int node, String id) {
        return (String) body(ask(node, "GET", "/tasks/" + id, Map.of())).get("state");
    }

    private TaskId task(String id) {
        return new TaskId(new JobId(id), 0);
    }

    /** Whether the task is on some machine, with its image or without. */
    private boolean isSomewhere(String id) {
        return cluster.workers().stream()
                .anyMatch(
                        worker ->
                                !worker.hung()
                                        && worker.holds(task(id))
                                        && (worker.running().contains(task(id))
                                                || cluster.fetch().toSeconds() > 30));
    }

    @Test
    void aTaskRunsAndEveryNodeTellsTheSameOfIt() throws MalformedMessageException {
        String id = created(SHORT);
        assertEquals("QUEUED", state(1, id));
        cluster.runS(6);
        assertEquals("RUNNING", state(2, id));
        cluster.runS(20);
        for (int node = 0; node < 3; node++) {
            Map<String, Object> full =
                    body(ask(node, "GET", "/tasks/" + id, Map.of("view", List.of("FULL"))));
            assertEquals("COMPLETE", full.get("state"));
            MessageReader told = new MessageReader(full);
            assertEquals("abc", told.nestedList("inputs").get(0).string("content"));
            MessageReader log = told.nestedList("logs").get(0);
            assertEquals(0, log.nestedList("logs").get(0).nonNegativeLong("exit_code"));
            assertTrue(log.string("start_time").compareTo(log.string("end_time")) < 0);
            assertTrue(told.string("creation_time").compareTo(log.string("start_time")) < 0);
        }
        Map<String, Object> basic =
                body(ask(1, "GET", "/tasks/" + id, Map.of("view", List.of("BASIC"))));
        assertFalse(new MessageReader(basic).nestedList("inputs").get(0).has("content"));
    }

    @Test
    void aTaskThatIsDoneBetweenTwoReportsHasAStartAllTheSame() throws MalformedMessageException {
        String id = created(Duration.ofMillis(10));
        cluster.runS(12);
        MessageReader told =
                new MessageReader(
                        body(ask(1, "GET", "/tasks/" + id, Map.of("view", List.of("BASIC")))));
        assertEquals("COMPLETE", told.string("state"));
        MessageReader log = told.nestedList("logs").get(0);
        assertTrue(log.string("start_time").compareTo(log.string("end_time")) < 0);
    }

    @Test
    void anImageOnItsWayIsToldAsInitializing() {
        cluster.fetch(Duration.ofSeconds(20));
        String id = created(SHORT);
        cluster.runS(8);
        assertEquals("INITIALIZING", state(1, id));
        cluster.runS(20);
        assertEquals("RUNNING", state(1, id));
    }

    @Test
    void aCancelledTaskNeverRunsAfterwardsWhereverItIs() {
        // Nothing has room: cancelled while it waits.
        cluster.workers().forEach(worker -> worker.hang(true));
        cluster.cloudOut(true);
        cluster.runS(10);
        String waiting = created(LONG);
        body(ask(1, "POST", "/tasks/" + waiting + ":cancel", Map.of()));
        assertTrue(Set.of("CANCELING", "CANCELED").contains(state(2, waiting)));
        cluster.runS(2);
        assertEquals("CANCELED", state(0, waiting));
        cluster.workers().forEach(worker -> worker.hang(false));
        cluster.runS(10);
        // Its start is committed, but every answer that holds it is lost.
        cluster.workers().forEach(worker -> worker.deaf(true));
        String unsent = created(LONG);
        cluster.runS(2);
        body(ask(1, "POST", "/tasks/" + unsent + ":cancel", Map.of()));
        assertTrue(Set.of("CANCELING", "CANCELED").contains(state(2, unsent)));
        cluster.workers().forEach(worker -> worker.deaf(false));
        cluster.runS(20);
        assertEquals("CANCELED", state(0, unsent));
        assertEquals(0, cluster.starts());
        // Its image is on the way.
        cluster.fetch(Duration.ofSeconds(40));
        String fetching = created(LONG);
        cluster.runS(6);
        assertEquals("INITIALIZING", state(0, fetching));
        body(ask(1, "POST", "/tasks/" + fetching + ":cancel", Map.of()));
        cluster.runS(10);
        assertEquals("CANCELED", state(2, fetching));
        cluster.runS(50);
        assertEquals(0, cluster.starts());
    }

    @Test
    void aTaskCancelledDuringATakeoverIsGoneAndSaysSo() {
        String id = created(LONG);
        cluster.runS(6);
        assertEquals("RUNNING", state(0, id));
        int leader = cluster.leader();
        cluster.crash(leader);
        int other = (leader + 1) % 3;
        body(ask(other, "POST", "/tasks/" + id + ":cancel", Map.of()));
        assertEquals("CANCELING", state((leader + 2) % 3, id));
        cluster.runS(30);
        assertFalse(isSomewhere(id));
        assertEquals("CANCELED", state(other, id));
        assertEquals(1, cluster.starts());
    }

    @Test
    void aCancellationIsNeverToldAsTakenBack() {
        String id = created(LONG);
        cluster.runS(6);
        // The leader cannot see the cancellation by itself for a while, and has news of its own to
        // write.
        cluster.line(cluster.leader()).blind(true);
        body(ask((cluster.leader() + 1) % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
        cluster.workers()
                .forEach(
                        worker -> {
                            if (worker.holds(task(id))) {
                                worker.fail(task(id));
                            }
                        });
        for (int second = 0; second < 20; second++) {
            assertTrue(Set.of("CANCELING", "CANCELED").contains(state(second % 3, id)));
            cluster.runS(1);
        }
        assertEquals("CANCELED", state(0, id));
    }

    @Test
    void aCancellationThatComesLateTakesNoAttemptOutOfTheLog() throws MalformedMessageException {
        cluster.workers().forEach(worker -> worker.hang(true));
        cluster.cloudOut(true);
        cluster.runS(10);
        String id = created(LONG);
        // It reads the entry before the task has a place, and writes after.
        int other = (cluster.leader() + 1) % 3;
        cluster.line(other).holdCommits();
        cluster.loop()
                .schedule(
                        Duration.ofSeconds(1),
                        () -> cluster.workers().forEach(worker -> worker.hang(false)));
        Http.Reply unanswered = ask(other, "POST", "/tasks/" + id + ":cancel", Map.of());
        assertTrue(unanswered == null || unanswered.status() == 503);
        cluster.runS(10);
        assertEquals("RUNNING", state(cluster.leader(), id));
        cluster.line(other).hold(false);
        for (int second = 0; second < 10; second++) {
            Map<String, Object> full =
                    body(
                            ask(
                                    cluster.leader(),
                                    "GET",
                                    "/tasks/" + id,
                                    Map.of("view", List.of("FULL"))));
            assertEquals(1, new MessageReader(full).nestedList("logs").size());
            cluster.runS(1);
        }
    }

    @Test
    void aCancellationThatComesAfterTheEndChangesNothing() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        assertTrue(cluster.submit(0, job, SHORT));
        String id = created(SHORT);
        cluster.runS(6);
        int other = (cluster.leader() + 1) % 3;
        cluster.line(other).holdCommits();
        assertFalse(cluster.cancel(other, job.id()));
        ask(other, "POST", "/tasks/" + id + ":cancel", Map.of());
        cluster.runS(20);
        cluster.line(other).hold(false);
        cluster.runS(10);
        assertEquals("COMPLETE", state(0, id));
        assertEquals(AdmissionService.Phase.DONE, cluster.poll(0, job.id()).orElseThrow().phase());
        assertEquals(
                0,
                cluster.store().size(RecordCodec.JOB_PREFIX),
                "no record of a job that is over comes back");
        assertEquals(2, cluster.starts());
    }

    @Test
    void whatIsOverIsToldForEverAlsoAfterAllNodesWereRestarted() {
        List<String> ids = new ArrayList<>();
        for (int at = 0; at < 20; at++) {
            ids.add(created(Duration.ofSeconds(2)));
        }
        cluster.runS(30);
        cluster.crashAll();
        cluster.runS(8);
        cluster.restartAll();
        cluster.runS(8);
        for (String id : ids) {
            assertEquals("COMPLETE", state(1, id));
            body(ask(2, "POST", "/tasks/" + id + ":cancel", Map.of()));
            assertEquals("COMPLETE", state(0, id), "a cancellation comes too late");
        }
        assertEquals(20, cluster.starts());
    }

    @Test
    void aCreateThatIsRepeatedMakesOneTask() {
        String body = TASK.formatted("once", "1", "");
        cluster.line(0).loseAnswers(true);
        Http.Reply lost = create(0, body, "night-1");
        assertTrue(lost == null || lost.status() == 503);
        cluster.line(0).loseAnswers(false);
        String id = (String) body(create(1, body, "night-1")).get("id");
        cluster.runs(new JobId(id), SHORT);
        assertEquals(id, body(create(2, body, "night-1")).get("id"));
        assertEquals(400, create(2, TASK.formatted("another", "1", ""), "night-1").status());
        cluster.runS(30);
        assertEquals(id, body(create(0, body, "night-1")).get("id"), "also when it is over");
        assertEquals(1, cluster.starts());
    }

    @Test
    void attemptsEndWhereTheClientSaysAndElseGoOn() throws MalformedMessageException {
        String bounded = created("bounded", "1", ", \"max_attempts\": \"2\"", LONG);
        String free = created("free", "1", "", LONG);
        for (int second = 0; second < 60; second++) {
            cluster.workers()
                    .forEach(
                            worker -> {
                                for (String id : List.of(bounded, free)) {
                                    if (worker.running().contains(task(id))) {
                                        worker.fail(task(id));
                                    }
                                }
                            });
            cluster.runS(1);
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
    void aBoundedTaskWhoseLeaderDiesBetweenItsAttemptsKeepsItsCount() {
        String id = created("bounded", "1", ", \"max_attempts\": \"2\"", LONG);
        cluster.runS(6);
        for (int attempt = 1; attempt <= 2; attempt++) {
            cluster.on(task(id)).forEach(worker -> worker.fail(task(id)));
            cluster.runS(4);
            cluster.crash(cluster.leader());
            cluster.runS(2);
            cluster.restartAll();
            cluster.runS(12);
        }
        assertEquals("EXECUTOR_ERROR", state(0, id));
        assertEquals(2, cluster.starts());
    }

    @Test
    void aTaskIsItsTeamsAlone() {
        String id = created(LONG);
        assertEquals(
                401,
                cluster.tes(0, "wrong", "GET", "/tasks/" + id, Map.of(), Map.of(), "").status());
        assertEquals(
                403,
                cluster.tes(0, "other secret", "GET", "/tasks/" + id, Map.of(), Map.of(), "")
                        .status());
        assertEquals(
                403,
                cluster.tes(
                                0,
                                "other secret",
                                "POST",
                                "/tasks/" + id + ":cancel",
                                Map.of(),
                                Map.of(),
                                "")
                        .status());
        assertEquals(
                200,
                cluster.tes(0, "reader", "GET", "/tasks/" + id, Map.of(), Map.of(), "").status());
        assertEquals(
                403,
                cluster.tes(0, "reader", "POST", "/tasks/" + id + ":cancel", Map.of(), Map.of(), "")
                        .status());
        Http.Reply others = cluster.tes(1, "other secret", "GET", "/tasks", Map.of(), Map.of(), "");
        assertEquals(List.of(), body(others).get("tasks"));
        assertEquals(
                404, ask(0, "GET", "/tasks/tes-00000000000000000000000000", Map.of()).status());
        assertEquals(
                404, ask(0, "GET", "/tasks/req-1", Map.of()).status(), "a native job is no task");
        assertFalse(JobId.isWellFormed(id), "and a task no native job");
    }

    @Test
    void pagesMissNothingAndTellNothingTwiceWhileTasksComeAndGo() throws MalformedMessageException {
        Set<String> there = new HashSet<>();
        for (int at = 0; at < 12; at++) {
            there.add(
                    created(
                            "a" + at,
                            String.valueOf(at % 2),
                            "",
                            Duration.ofSeconds(at % 3 == 0 ? 2 : 200)));
        }
        List<String> told = new ArrayList<>();
        String token = null;
        int node = 0;
        do {
            Map<String, List<String>> query =
                    token == null
                            ? Map.of("page_size", List.of("5"))
                            : Map.of("page_size", List.of("5"), "page_token", List.of(token));
            MessageReader page = new MessageReader(body(ask(node, "GET", "/tasks", query)));
            for (MessageReader task : page.nestedList("tasks")) {
                told.add(task.string("id"));
            }
            token = page.stringOrNull("next_page_token");
            // The next page is asked of another node, after a takeover, and others have come in
            // between.
            created("later", "9", "", LONG);
            cluster.crash(cluster.leader());
            cluster.runS(8);
            cluster.restartAll();
            cluster.runS(6);
            node = (node + 1) % 3;
        } while (token != null);
        assertEquals(told.size(), new HashSet<>(told).size());
        assertEquals(there, new HashSet<>(told));
        MessageReader tagged =
                new MessageReader(
                        body(
                                ask(
                                        0,
                                        "GET",
                                        "/tasks",
                                        Map.of(
                                                "tag_key",
                                                List.of("night"),
                                                "tag_value",
                                                List.of("1"),
                                                "name_prefix",
                                                List.of("a"),
                                                "view",
                                                List.of("BASIC")))));
        assertEquals(6, tagged.nestedList("tasks").size());
        assertTrue(
                new MessageReader(
                                        body(
                                                ask(
                                                        0,
                                                        "GET",
                                                        "/tasks",
                                                        Map.of("state", List.of("COMPLETE")))))
                                .nestedList("tasks")
                                .size()
                        >= 4);
    }

    @Test
    void whatCannotBeDecidedIsAnsweredAtOnce() {
        cluster.line(1).cut(true);
        cluster.runS(5);
        Http.Reply refused = create(1, TASK.formatted("task", "1", ""), null);
        assertEquals(503, refused.status());
        assertEquals(1, refused.retryAfterSeconds());
        cluster.store().out(true);
        assertEquals(503, create(0, TASK.formatted("task", "1", ""), null).status());
    }

    @Test
    void aCreateThatASlowStateServiceTakesLateIsFoundByItsKey() {
        cluster.line(1).hold(true);
        String body = TASK.formatted("late", "1", "");
        Http.Reply reply = create(1, body, "night-2");
        assertTrue(reply == null || reply.status() == 503, "nobody knows whether it will be");
        cluster.line(1).hold(false);
        cluster.runS(3);
        String id = (String) body(create(2, body, "night-2")).get("id");
        cluster.runs(new JobId(id), SHORT);
        cluster.runS(25);
        assertEquals("COMPLETE", state(0, id));
        assertEquals(1, cluster.starts());
        assertEquals(1, cluster.store().size("tesx/"));
    }

    @Test
    void whatCanNeverRunAndWhatIsWrongIsRefusedByName() {
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
            String said = new String(reply.body());
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
                                    .body());
            assertTrue(said.contains("deadline_s"), said);
        }
        assertEquals(413, create(0, TASK.formatted("x".repeat(20_000), "1", ""), null).status());
        assertEquals(400, create(0, TASK.formatted("t", "1", ""), "").status());
        assertEquals(400, create(0, TASK.formatted("t", "1", ""), "k".repeat(201)).status());
    }

    @Test
    void listsTakeABoundedPartOfTheStateService() throws Exception {
        List<CompletableFuture<Http.Reply>> lists = new ArrayList<>();
        for (int at = 0; at < 6; at++) {
            lists.add(cluster.asked(0, "secret", "GET", "/tasks", Map.of(), Map.of(), new byte[0]));
        }
        assertEquals(
                List.of(503, 503),
                lists.stream()
                        .filter(CompletableFuture::isDone)
                        .map(reply -> reply.join().status())
                        .toList(),
                "four at a time, the others at once");
        cluster.runS(1);
        assertTrue(lists.stream().limit(4).allMatch(reply -> reply.join().status() == 200));
        for (int at = 0; at < 40; at++) {
            created("t", "1", "", LONG);
        }
        MessageReader whole =
                new MessageReader(body(ask(1, "GET", "/tasks", Map.of("view", List.of("BASIC")))));
        assertEquals(32, whole.nestedList("tasks").size(), "each takes a read of its own");
        assertTrue(whole.has("next_page_token"));
        String team =
                HexFormat.of()
                        .formatHex(MessageDigest.getInstance("SHA-256").digest("team".getBytes()))
                        .substring(0, 16);
        for (int at = 0; at < 5000; at++) {
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
        MessageReader none =
                new MessageReader(
                        body(ask(2, "GET", "/tasks", Map.of("name_prefix", List.of("t")))));
        assertEquals(0, none.nestedList("tasks").size());
        assertTrue(
                none.has("next_page_token"),
                "a filter that fits nothing reads no further than so far");
    }

    @Test
    void whatANodeKeepsOfTasksIsBounded() {
        List<String> ids = new ArrayList<>();
        for (int at = 0; at < 300; at++) {
            ids.add(created("t", "1", "", LONG));
        }
        cluster.runS(20);
        int other = (cluster.leader() + 1) % 3;
        int[] before = {0};
        ToIntFunction<String> cost =
                id -> {
                    before[0] = cluster.line(other).reads();
                    state(other, id);
                    return cluster.line(other).reads() - before[0];
                };
        assertEquals(2, cost.applyAsInt(ids.get(0)));
        assertEquals(1, cost.applyAsInt(ids.get(0)), "a task that was read once is known");
        ids.forEach(id -> state(other, id));
        assertEquals(2, cost.applyAsInt(ids.get(0)), "but not for ever");
    }

    @Test
    void aTaskThatFailsOnAndOnKeepsItsLastAttempts() throws MalformedMessageException {
        String id = created(Duration.ofHours(1));
        for (int failures = 0; failures < 14; ) {
            List<FakeWorker> on =
                    cluster.workers().stream()
                            .filter(worker -> worker.running().contains(task(id)))
                            .toList();
            on.forEach(worker -> worker.fail(task(id)));
            failures += on.size();
            cluster.runS(4);
        }
        MessageReader told =
                new MessageReader(
                        body(ask(1, "GET", "/tasks/" + id, Map.of("view", List.of("FULL")))));
        assertTrue(told.nestedList("logs").size() == 10, () -> "" + told);
        assertEquals("14", told.nestedList("logs").get(9).nested("metadata").string("attempt"));
    }

    @Test
    void aPageTokenThatNoListGaveLeadsNowhere() {
        for (String forged :
                List.of(
                        "",
                        "x",
                        "&prefix=tesx/",
                        "../",
                        "9999999999999-tes-0",
                        "0".repeat(13) + "-tes-" + "0".repeat(26) + "&prefix=job/")) {
            String token =
                    Base64.getUrlEncoder().encodeToString(forged.getBytes())
                            + (forged.isEmpty() ? "AA" : "");
            assertEquals(
                    400,
                    ask(0, "GET", "/tasks", Map.of("page_token", List.of(token))).status(),
                    forged);
        }
    }

    @Test
    void nativeJobsAndTasksOfATeamShareItsLimitAndNeitherOvertakes() {
        cluster.team("team", 0, 4);
        List<JobId> came = new ArrayList<>();
        for (int at = 1; at <= 6; at++) {
            JobSpec job = SimulatedCluster.spec(at, JobKind.ARRAY, 2, 1);
            assertTrue(cluster.submit(at % 3, job, SHORT));
            came.add(job.id());
            came.add(new JobId(created(SHORT)));
        }
        JobId cancelled = new JobId(created(SHORT));
        body(ask(1, "POST", "/tasks/" + cancelled + ":cancel", Map.of()));
        cluster.runS(20);
        cluster.crash(cluster.leader());
        cluster.runS(8);
        cluster.restartAll();
        cluster.runS(150);
        assertEquals(18, cluster.starts());
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
                "first come, first placed, by either way");
        JobEventLogChecker.check(events, 4);
        assertEquals(
                came.size() + 1,
                events.stream()
                        .filter(event -> event.type() == JobEventLog.EventType.ENDED)
                        .count());
    }

    private String createdTraced(String parameters, Duration runs) {
        String id =
                (String)
                        body(cluster.tes(
                                        0,
                                        "secret",
                                        "POST",
                                        "/tasks",
                                        Map.of(),
                                        Map.of("traceparent", "ctx"),
                                        TASK.formatted("traced", "1", parameters)))
                                .get("id");
        cluster.runs(new JobId(id), runs);
        return id;
    }

    @Test
    void aTracedTaskIsToldOfOnceThroughATakeover() {
        String id = createdTraced(", \"max_attempts\": \"9\"", Duration.ofSeconds(20));
        created(SHORT);
        cluster.runS(6);
        cluster.on(task(id)).forEach(worker -> worker.fail(task(id)));
        cluster.runS(8);
        assertEquals("RUNNING", state(0, id));
        cluster.crash(cluster.leader());
        cluster.runS(40);
        assertEquals("COMPLETE", state((cluster.leader() + 1) % 3, id));
        assertEquals(
                List.of(
                        "ctx accepted",
                        "ctx attempt 1 ERROR",
                        "ctx attempt 2 DONE",
                        "ctx ended DONE"),
                cluster.traced());
    }

    @Test
    void aTracedTaskWhoseEndGotNoAnswerIsToldOfAllTheSame() {
        String id = createdTraced("", Duration.ofSeconds(8));
        cluster.runS(6);
        assertEquals("RUNNING", state(0, id));
        for (int step = 0;
                step < 80
                        && cluster.workers().stream()
                                .anyMatch(worker -> worker.running().contains(task(id)));
                step++) {
            cluster.runS(0.25);
        }
        // The task is done and no report has said so yet: the answer to the job's end is lost.
        int leader = cluster.leader();
        cluster.line(leader).loseAnswers(true);
        cluster.runS(3.5);
        cluster.line(leader).loseAnswers(false);
        assertEquals(List.of("ctx accepted"), cluster.traced());
        cluster.runS(10);
        assertEquals(leader, cluster.leader());
        assertEquals("COMPLETE", state(0, id));
        assertEquals(
                List.of("ctx accepted", "ctx attempt 1 DONE", "ctx ended DONE"), cluster.traced());
    }

    @Test
    void aThousandTasksThatAreOverAreAllStillTold() {
        List<String> ids = new ArrayList<>();
        for (int at = 0; at < 1000; at++) {
            ids.add(created("t" + at, "1", "", LONG));
            if (at % 50 == 49) {
                for (String id : ids.subList(at - 49, at + 1)) {
                    body(ask(at % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
                }
            }
        }
        cluster.runS(60);
        cluster.crashAll();
        cluster.runS(8);
        cluster.restartAll();
        cluster.runS(8);
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
    void aTaskCancelledInTheRoundThatPlacesItNeverRuns() {
        // Placed and cancelled between two answers of the state service, whichever of the two gets
        // there first.
        for (int at = 0; at < 12; at++) {
            String id = created(LONG);
            cluster.run(Duration.ofMillis(250 * (at % 6)));
            body(ask(at % 3, "POST", "/tasks/" + id + ":cancel", Map.of()));
            int before = cluster.starts();
            cluster.runS(12);
            assertEquals("CANCELED", state(at % 3, id));
            assertFalse(isSomewhere(id));
            assertEquals(before, cluster.starts(), "none starts after the answer");
        }
        JobEventLogChecker.check(cluster.events(), 100);
    }

    @Test
    void aTaskOfATeamBelowItsGuaranteeGoesFirstLikeANativeJob() {
        cluster.team("other", 2, 0);
        for (int at = 1; at <= 40; at++) {
            assertTrue(cluster.submit(0, SimulatedCluster.spec(at, JobKind.ARRAY, 2, 1), LONG));
        }
        cluster.cloudOut(true);
        // All machines that were rented are up, and full.
        cluster.runS(20);
        long before = cluster.workers().stream().mapToLong(worker -> worker.running().size()).sum();
        String id =
                (String)
                        body(cluster.tes(
                                        0,
                                        "other secret",
                                        "POST",
                                        "/tasks",
                                        Map.of(),
                                        Map.of(),
                                        TASK.formatted("first", "1", ", \"save_s\": \"1\"")))
                                .get("id");
        cluster.runs(new JobId(id), LONG);
        cluster.runS(40);
        assertTrue(
                before > 0
                        && before
                                == cluster.workers().stream()
                                        .mapToLong(worker -> worker.running().size())
                                        .sum());
        Http.Reply reply =
                cluster.tes(1, "other secret", "GET", "/tasks/" + id, Map.of(), Map.of(), "");
        assertEquals(
                "RUNNING",
                body(reply).get("state"),
                "others make room, as for a native job of that team");
    }

    @Test
    void twoClientsListWhileTasksComeAndGoAndMissNothing() {
        Set<String> there = new HashSet<>();
        for (int at = 0; at < 10; at++) {
            there.add(created("a" + at, "1", "", LONG));
        }
        String[] tokens = {"", ""};
        List<Set<String>> told = List.of(new HashSet<>(), new HashSet<>());
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
                        told.get(client).add((String) ((Map<?, ?>) task).get("id")), "told twice");
            }
            tokens[client] = (String) page.get("next_page_token");
            String passing = created("passing", "2", "", SHORT);
            body(ask(0, "POST", "/tasks/" + passing + ":cancel", Map.of()));
        }
        assertTrue(told.get(0).containsAll(there) && told.get(1).containsAll(there));
    }
}
