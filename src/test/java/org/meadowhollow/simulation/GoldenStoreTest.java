package org.meadowhollow.simulation;

import static java.util.Map.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.golden.GoldenFile;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;

/**
 * Starts a cluster on a key-value store as an earlier version left it, filled from the golden
 * files. A leader of this version loads the records, continues the running tasks and completes
 * every job, so this version can read the records of the earlier one. The opposite direction is not
 * run here, because no earlier version is available; {@code GoldenRecordsTest} covers it by
 * encoding each kind of record to the same bytes as the earlier version did.
 */
class GoldenStoreTest {
    private static final Duration SHORT_RUNTIME = Duration.ofSeconds(10);
    private static final List<String> GOLDEN_FILES =
            List.of(
                    "job-array",
                    "job-gang",
                    "job-service",
                    "job-cancelled",
                    "job-accompanied",
                    "chunk-done",
                    "chunk-mixed",
                    "chunk-gang",
                    "chunk-accompanied",
                    "entry",
                    "ended-done",
                    "ended-cancelled",
                    "image",
                    "types",
                    "table-head",
                    "table-chunk-0",
                    "table-chunk-1",
                    "reservation",
                    "reservation-plain",
                    "window-machine",
                    "window-type",
                    "window-zone",
                    "calendar-stamp",
                    "tes-task",
                    "tes-job",
                    "tes-entry");
    private static final JobId ARRAY = new JobId("req-000101");
    private static final JobId GANG = new JobId("req-000102");
    private static final JobId SERVICE = new JobId("req-000103");
    private static final JobId CANCELLED = new JobId("req-000104");
    private static final JobId ACCOMPANIED = new JobId("tes-00112233445566778899aabbcc");
    private static final JobId TES = new JobId(GoldenTesTask.ID);
    private static final String RESERVED_YEAR_PREFIX = "2030-";

    private final SimulatedCluster cluster = new SimulatedCluster();

    /**
     * Fills the store from the golden files. The first two machines run the tasks that the records
     * place on them; the third machine has rebooted and runs none.
     */
    private void fillFromGoldenFiles(String... leadershipFiles) {
        cluster.loop().advanceWallClock(Duration.ofMillis(GoldenTesTask.START_EPOCH_MILLIS));
        cluster.crashAll();
        GOLDEN_FILES.forEach(this::putGoldenRecord);
        List.of(leadershipFiles).forEach(this::putGoldenRecord);
        for (JobId job : List.of(ARRAY, GANG, SERVICE, CANCELLED, ACCOMPANIED, TES)) {
            cluster.spec(job);
            cluster.setRuntime(job, job.equals(SERVICE) ? Duration.ofHours(2) : SHORT_RUNTIME);
        }
        cluster.historyChecker().recordCancelRequest(CANCELLED);
        for (int task = 0; task < 150; task++) {
            cluster.historyChecker().recordCompletion(new TaskId(ARRAY, task));
        }
        cluster.historyChecker().recordCompletion(new TaskId(ARRAY, 152));
        cluster.historyChecker().recordCompletion(new TaskId(ARRAY, 199));
        for (int i = 0; i < 6; i++) {
            cluster.addMachine(SimulatedCluster.LARGE, i < 3 ? "a" : "b");
        }
        // Prevents rentals, because a rented machine could get the name of the tenth one, which is
        // gone.
        cluster.cloud().limitMachines(6);
        deliverStart(0, ARRAY, 160, 2);
        for (int task = 0; task < 4; task++) {
            deliverStart(task % 2, GANG, task, 3);
        }
        cluster.enableReservations(Map.of("large", 30));
        cluster.enableStandbys();
    }

    private void putGoldenRecord(String name) {
        GoldenFile file = GoldenFile.read(name);
        cluster.store().put(file.key(), file.value());
    }

    private void deliverStart(int machine, JobId job, int task, int attempt) {
        cluster.workers()
                .get(machine)
                .handleDirectCommands(
                        new FencingToken(42),
                        new WorkerIncarnation(1),
                        List.of(
                                new WorkerCommand.Start(
                                        new TaskId(job, task), new AttemptNumber(attempt))));
    }

    private void assertEnded(JobId id, Phase phase, int done) {
        var state = cluster.users().poll(1, id).orElseThrow();
        assertEquals(phase, state.phase(), id.value());
        assertEquals(done, state.completedTasks(), id.value());
        assertNull(cluster.store().valueOf("job/" + id.value()));
        assertEquals(0, cluster.store().recordCount("task/" + id.value() + '/'));
        assertEquals(
                Map.of(
                        "cancelled",
                        phase == Phase.CANCELLED,
                        "tasks",
                        (long) cluster.spec(id).taskCount(),
                        "done",
                        (long) done),
                cluster.store().valueOf("ended/" + id.value()));
    }

    @Test
    void leaderLoadsGoldenRecordsAndCompletesTheirJobs() throws MalformedMessageException {
        fillFromGoldenFiles("term", "leader");
        cluster.runSeconds(3);
        assertEquals(
                1,
                cluster.leader(),
                "the node named in the record is back before its lease expires");
        assertEquals(43, cluster.fencingToken());
        cluster.runSeconds(5);
        // Running tasks continue with the same attempts on the same machines.
        for (int task = 0; task < 4; task++) {
            assertEquals(1, cluster.machinesRunning(new TaskId(GANG, task)).size());
            assertEquals(
                    new AttemptNumber(3),
                    cluster.workers().get(task % 2).attemptOf(new TaskId(GANG, task)));
        }
        assertEquals(
                new AttemptNumber(2), cluster.workers().get(0).attemptOf(new TaskId(ARRAY, 160)));
        cluster.runSeconds(240);
        assertEnded(ARRAY, Phase.DONE, 250);
        assertEnded(GANG, Phase.DONE, 4);
        assertEnded(CANCELLED, Phase.CANCELLED, 0);
        assertEnded(ACCOMPANIED, Phase.DONE, 1);
        assertEnded(TES, Phase.DONE, 1);
        assertEquals(
                Phase.RUNNING,
                cluster.users().poll(cluster.leader(), SERVICE).orElseThrow().phase());
        for (int task = 0; task < 3; task++) {
            assertEquals(1, cluster.machinesRunning(new TaskId(SERVICE, task)).size());
        }
        assertTrue(cluster.users().cancel(2, SERVICE));
        cluster.runSeconds(30);
        assertEnded(SERVICE, Phase.CANCELLED, 0);

        assertTesEntryShowsLostAndDoneAttempts();
        assertTesTask("COMPLETE");
        assertUnchangedRecords();
    }

    /** Asserts that attempt 10 was lost with its machine, and that attempt 11 completed. */
    private void assertTesEntryShowsLostAndDoneAttempts() {
        Map<String, Object> entry = cluster.store().valueOf(GoldenFile.read("entry").key());
        assertEquals("DONE", entry.get("progress"));
        List<?> log = (List<?>) entry.get("log");
        assertEquals("LOST", ((Map<?, ?>) log.get(log.size() - 2)).get("cause"));
        assertEquals(10L, ((Map<?, ?>) log.get(log.size() - 2)).get("attempt"));
        assertEquals("DONE", ((Map<?, ?>) log.get(log.size() - 1)).get("cause"));
        assertEquals(11L, ((Map<?, ?>) log.get(log.size() - 1)).get("attempt"));
    }

    /** Asserts that the records which no controller has to change still have the same bytes. */
    private void assertUnchangedRecords() {
        for (String name :
                List.of(
                        "ended-done",
                        "ended-cancelled",
                        "types",
                        "tes-task",
                        "reservation",
                        "reservation-plain",
                        "window-machine",
                        "window-type",
                        "window-zone",
                        "calendar-stamp")) {
            GoldenFile file = GoldenFile.read(name);
            file.assertSameBytes(cluster.store().valueOf(file.key()));
        }
    }

    @Test
    void preferredSuccessorFromGoldenRecordLeadsNext() {
        fillFromGoldenFiles("term-handed-over");
        cluster.runSeconds(3);
        assertEquals(2, cluster.leader());
        assertEquals(43, cluster.fencingToken());
        assertEquals(Map.of("term", 43L), cluster.store().valueOf("meta/term"));
    }

    @Test
    void endedGoldenJobsAreReportedAndNotRunAgain() {
        fillFromGoldenFiles("term", "leader");
        JobSpec done = SimulatedCluster.spec(105, JobKind.GANG, 4, 1);
        JobSpec cancelled = SimulatedCluster.spec(106, JobKind.SERVICE, 3, 1);
        for (int task = 0; task < 4; task++) {
            cluster.historyChecker().recordCompletion(new TaskId(done.id(), task));
        }
        cluster.historyChecker().recordCancelRequest(cancelled.id());
        cluster.runSeconds(8);
        assertTrue(cluster.users().submit(0, done, SHORT_RUNTIME));
        assertTrue(cluster.users().submit(2, cancelled, SHORT_RUNTIME));
        cluster.runSeconds(30);
        assertEquals(Phase.DONE, cluster.users().poll(1, done.id()).orElseThrow().phase());
        assertEquals(4, cluster.users().poll(1, done.id()).orElseThrow().completedTasks());
        assertEquals(
                Phase.CANCELLED, cluster.users().poll(1, cancelled.id()).orElseThrow().phase());
        assertEquals(1, cluster.users().poll(1, cancelled.id()).orElseThrow().completedTasks());
        assertNull(cluster.store().valueOf("job/req-000105"));
        assertNull(cluster.store().valueOf("job/req-000106"));
    }

    @Test
    void reservationCalendarShowsGoldenRecords() throws MalformedMessageException {
        fillFromGoldenFiles("term", "leader");
        cluster.runSeconds(8);
        String text =
                new String(
                        cluster.clients()
                                .sendReservationRequest(
                                        0, "secret", "GET", "reservations", null, "")
                                .body(),
                        StandardCharsets.UTF_8);
        for (String part :
                List.of(
                        "nightly",
                        "once",
                        "batch",
                        "req-000999",
                        "Europe/Berlin",
                        "FREQ=DAILY;COUNT=10",
                        RESERVED_YEAR_PREFIX)) {
            assertTrue(text.contains(part), part + " is not in " + text);
        }
    }

    // ---- task of the task execution API ----

    private static Map<String, Object> okBody(Http.Reply reply) throws MalformedMessageException {
        assertEquals(200, reply.status(), new String(reply.body(), StandardCharsets.UTF_8));
        return JsonCodec.decode(reply.body());
    }

    private void assertTesTask(String state) throws MalformedMessageException {
        Map<String, Object> task =
                okBody(
                        cluster.clients()
                                .sendTesRequest(
                                        0,
                                        "secret",
                                        "GET",
                                        "/tasks/" + GoldenTesTask.ID,
                                        Map.of("view", List.of("FULL")),
                                        Map.of(),
                                        ""));
        assertEquals(state, task.get("state"));
        assertEquals(GoldenTesTask.ID, task.get("id"));
        assertEquals("2023-11-14T22:14:32Z", task.get("creation_time"));
        Map<String, Object> requested =
                JsonCodec.decode(GoldenTesTask.BODY.getBytes(StandardCharsets.UTF_8));
        requested.forEach((key, value) -> assertEquals(value, task.get(key), key));
        Map<String, Object> listPage =
                okBody(
                        cluster.clients()
                                .sendTesRequest(
                                        2,
                                        "secret",
                                        "GET",
                                        "/tasks",
                                        Map.of(
                                                "view",
                                                List.of("MINIMAL"),
                                                "name_prefix",
                                                List.of("align"),
                                                "state",
                                                List.of(state),
                                                "tag_key",
                                                List.of("night"),
                                                "tag_value",
                                                List.of("1")),
                                        Map.of(),
                                        ""));
        assertTrue(
                ((List<?>) listPage.get("tasks"))
                        .contains(Map.of("id", GoldenTesTask.ID, "state", state)));
    }

    @Test
    void tesTaskIsStoredAsGoldenRecord() {
        FakeKeyValueStore store = GoldenTesTask.clusterWithAcceptedTask().store();
        GoldenFile task = GoldenFile.read("tes-task");
        assertEquals("tes/" + GoldenTesTask.ID, task.key());
        task.assertSameBytes(store.valueOf(task.key()));
        GoldenFile job = GoldenFile.read("tes-job");
        assertEquals("job/" + GoldenTesTask.ID, job.key());
        job.assertSameFields(store.valueOf(job.key()));
        GoldenFile entry = GoldenFile.read("tes-entry");
        assertEquals(task.value().get("entry"), entry.key());
        entry.assertSameFields(store.valueOf(entry.key()));
    }

    @Test
    void tesTaskRecordsMatchGoldenFiles() throws MalformedMessageException {
        Map<String, Object> task = GoldenFile.read("tes-task").value();
        String entryKey = "tesx/ca8b22d0db83a22d/8299999927999-" + GoldenTesTask.ID;
        assertEquals(
                List.of("team", "created", "entry", "digest", "document"),
                List.copyOf(task.keySet()));
        assertEquals("team", task.get("team"));
        assertEquals(1_700_000_072_000L, task.get("created"));
        assertEquals(entryKey, task.get("entry"));
        assertEquals(
                "78870d7c944a25f146bda50eade3e1ad2299f950b9a8ff7bef7a452ec590d94f",
                task.get("digest"));
        assertEquals(
                JsonCodec.decode(GoldenTesTask.BODY.getBytes(StandardCharsets.UTF_8)),
                task.get("document"));
        Map<String, Object> entryFields =
                Map.of(
                        "id",
                        GoldenTesTask.ID,
                        "name",
                        "align",
                        "tags",
                        Map.of("night", "1"),
                        "created",
                        1_700_000_072_000L);
        assertEquals(
                Map.of(
                        "id",
                        GoldenTesTask.ID,
                        "name",
                        "align",
                        "tags",
                        Map.of("night", "1"),
                        "created",
                        1_700_000_072_000L,
                        "progress",
                        "QUEUED",
                        "log",
                        List.of()),
                GoldenFile.read("tes-entry").value());
        assertJobRecordMatches(Map.of("key", entryKey, "entry", entryFields, "most", 3L));
    }

    private static void assertJobRecordMatches(Map<String, Object> secondaryRecord) {
        Map<String, Object> job = GoldenFile.read("tes-job").value();
        assertEquals(secondaryRecord, job.get("companion"));
        Map<String, Object> otherFields = new HashMap<>(job);
        otherFields.remove("companion");
        assertEquals(
                Map.ofEntries(
                        entry("class", "night"),
                        entry("team", "team"),
                        entry("kind", "ARRAY"),
                        entry("priority", "HIGH"),
                        entry("tasks", 1L),
                        entry("cpu", 2_000_000L),
                        entry("gpu", 1_000_000L),
                        entry("memory", 4_500_000L),
                        entry("types", List.of("large", "small")),
                        entry("zone", "a"),
                        entry("oneZone", false),
                        entry("spread", false),
                        entry("spot", true),
                        entry("image", "image"),
                        entry("imageGb", 1.5),
                        entry("estimate", 12.0),
                        entry("checkpoint", 30.0),
                        entry("save", 2.0),
                        entry("deadline", 9000.0),
                        entry("accepted", 1_700_000_072_000L),
                        entry("chunk", 100L),
                        entry("cancelled", false)),
                otherFields);
    }

    @Test
    void tesTaskIsReportedFromGoldenRecord() throws MalformedMessageException {
        fillFromGoldenFiles("term", "leader");
        assertTesTask("QUEUED");
    }
}
