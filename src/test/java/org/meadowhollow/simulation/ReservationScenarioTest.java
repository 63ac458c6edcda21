package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/**
 * Reservations and maintenance windows, and the work that overlaps them, on a fleet of four
 * machines that cannot grow.
 */
class ReservationScenarioTest extends ClusterTestBase {
    private static final Duration HOUR = Duration.ofHours(1);

    @BeforeEach
    void startWithReservations() {
        cluster.enableReservations(Map.of());
        cluster.cloud().limitMachines(cluster.workers().size());
        cluster.runSeconds(20);
    }

    /** The date and time some seconds from now, in the API's format. */
    private String timeAfterSeconds(long seconds) {
        return LocalDateTime.ofEpochSecond(
                        cluster.loop().wallClockMillis() / 1000 + seconds, 0, ZoneOffset.UTC)
                .toString();
    }

    private Http.Reply put(int node, String path, String version, Object... fields) {
        return cluster.clients()
                .sendReservationRequest(
                        node,
                        "secret",
                        "PUT",
                        path,
                        version,
                        new String(
                                JsonCodec.encode(MessageReader.mapOf(fields)),
                                StandardCharsets.UTF_8));
    }

    private Http.Reply putReservation(
            String name, String team, int tasks, double gpus, long inS, long lengthS) {
        return put(
                0,
                "reservations/" + name,
                null,
                "team",
                team,
                "priority",
                "urgent",
                "tasks",
                tasks,
                "cpus",
                1.0,
                "gpus",
                gpus,
                "ram_gb",
                4.0,
                "class",
                "night",
                "start",
                timeAfterSeconds(inS),
                "length_s",
                (double) lengthS);
    }

    private Http.Reply putWindow(
            String name, String key, String target, long inS, long lengthS, long noticeS) {
        return put(
                1,
                "windows/" + name,
                null,
                key,
                List.of(target),
                "start",
                timeAfterSeconds(inS),
                "length_s",
                (double) lengthS,
                "notice_s",
                (double) noticeS);
    }

    private static MessageReader bodyWithStatus(Http.Reply reply, int status) {
        assertNotNull(reply);
        try {
            assertEquals(status, reply.status(), new String(reply.body(), StandardCharsets.UTF_8));
            return new MessageReader(JsonCodec.decode(reply.body()));
        } catch (MalformedMessageException malformed) {
            throw new AssertionError(malformed);
        }
    }

    private MessageReader getPlan(int node) {
        return bodyWithStatus(
                cluster.clients().sendReservationRequest(node, "reader", "GET", "plan", null, ""),
                200);
    }

    private static JobSpec arrayJob(
            int number,
            String jobClass,
            Priority priority,
            int tasks,
            double gpus,
            double estimateS,
            double saveS) {
        JobSpec spec = SimulatedCluster.spec(number, JobKind.ARRAY, tasks, gpus);
        return JobSpecBuilder.from(spec)
                .jobClass(jobClass)
                .priority(priority)
                .estimatedRuntimeSeconds(estimateS)
                .checkpoints(saveS > 0 ? 10 : 0, saveS)
                .build();
    }

    /**
     * Submits work that could fill the whole fleet three times over, each task a quarter of an hour
     * long, as its estimate says.
     */
    private void submitLongWork() {
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                arrayJob(1, "long", Priority.HIGH, 3 * totalGpuCount(), 1, 900, 0),
                                Duration.ofMinutes(15)));
    }

    /** Submits the job that uses a reservation, at its start or later. */
    private JobSpec submitReservedRun(int number, int tasks) {
        JobSpec run = arrayJob(number, "night", Priority.HIGH, tasks, 1, 60, 0);
        assertTrue(cluster.users().submit(1, run, Duration.ofSeconds(60)));
        return run;
    }

    private int runningTaskCount(JobSpec spec) {
        int count = 0;
        for (int task = 0; task < spec.taskCount(); task++) {
            count += cluster.machinesRunning(new TaskId(spec.id(), task)).isEmpty() ? 0 : 1;
        }
        return count;
    }

    private int totalGpuCount() {
        return cluster.workers().stream()
                .mapToInt(worker -> worker.type().equals("small") ? 2 : 8)
                .sum();
    }

    /**
     * Fills the free capacity with long work, then submits the run at the time of its reservation.
     *
     * @return how many tasks of the run have started 10 s later
     */
    private int runReservedJobAmongLongWork(boolean reserved) {
        if (reserved) {
            bodyWithStatus(putReservation("calendars", "team", 6, 1, 300, 600), 201);
        }
        submitLongWork();
        cluster.runSeconds(305);
        JobSpec run = submitReservedRun(2, 6);
        cluster.runSeconds(10);
        return runningTaskCount(run);
    }

    @Test
    void reservedRunStartsOnTimeDespiteBacklogOfLongWork() {
        assertEquals(6, runReservedJobAmongLongWork(true));
    }

    @Test
    void unreservedRunWaitsBehindLongWork() {
        assertEquals(0, runReservedJobAmongLongWork(false));
    }

    @Test
    void shortWorkUsesReservedCapacityUntilSlotBegins() {
        bodyWithStatus(putReservation("calendars", "team", totalGpuCount(), 1, 300, 600), 201);
        JobSpec brief = arrayJob(1, "brief", Priority.HIGH, 8, 1, 20, 0);
        JobSpec endless = arrayJob(2, "long", Priority.HIGH, 4, 1, 2000, 0);
        assertTrue(cluster.users().submit(0, brief, Duration.ofSeconds(20)));
        assertTrue(cluster.users().submit(0, endless, HOUR));
        cluster.runSeconds(15);
        assertEquals(8, runningTaskCount(brief));
        assertEquals(0, runningTaskCount(endless));
        cluster.runSeconds(40);
        assertEquals(Phase.DONE, phaseOf(brief));
        // The slot passes unused and is released.
        cluster.runSeconds(300 + 600);
        assertEquals(4, runningTaskCount(endless));
    }

    @Test
    void unusedSlotIsReleasedBeforeItsEnd() {
        bodyWithStatus(putReservation("calendars", "team", totalGpuCount(), 1, 60, 7200), 201);
        JobSpec endless = arrayJob(2, "long", Priority.HIGH, 4, 1, 2000, 0);
        assertTrue(cluster.users().submit(0, endless, HOUR));
        cluster.runSeconds(500);
        assertEquals(0, runningTaskCount(endless));
        cluster.runSeconds(200);
        assertEquals(4, runningTaskCount(endless), "ten minutes after its start");
    }

    @Test
    void reservationSurvivesLossOfLeaderAndOfAllControllersAtItsStart()
            throws MalformedMessageException {
        bodyWithStatus(putReservation("calendars", "team", 6, 1, 300, 600), 201);
        submitLongWork();
        cluster.runSeconds(290);
        cluster.crash(cluster.leader());
        cluster.runSeconds(5);
        cluster.crashAll();
        cluster.runSeconds(4);
        cluster.restartAll();
        cluster.runSeconds(8);
        JobSpec run = submitReservedRun(2, 6);
        cluster.runSeconds(12);
        assertEquals(6, runningTaskCount(run));
        assertEquals(1, getPlan(2).nestedList("slots").size());
    }

    @Test
    void newLeaderPlacesNothingBeforeReservationsAreLoaded() {
        bodyWithStatus(putReservation("calendars", "team", totalGpuCount(), 1, 60, 7200), 201);
        cluster.crashAll();
        cluster.runSeconds(8);
        cluster.restartAll();
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).hidePrefix("cal/");
        }
        cluster.runSeconds(3);
        JobSpec work = arrayJob(1, "long", Priority.HIGH, 4, 1, 900, 0);
        assertTrue(cluster.users().submit(0, work, HOUR));
        cluster.runSeconds(20);
        assertEquals(0, runningTaskCount(work));
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).hidePrefix("/");
        }
        cluster.runSeconds(20);
        assertEquals(0, runningTaskCount(work), "all capacity is reserved");
        assertEquals(Phase.QUEUED, phaseOf(work));
    }

    @Test
    void reservedRunInItsSlotPrecedesOlderWorkOfSameTeam() {
        cluster.withTeam("team", 0, 4);
        cluster.enableReservations(Map.of());
        cluster.runSeconds(15);
        bodyWithStatus(putReservation("calendars", "team", 4, 1, 60, 600), 201);
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                arrayJob(1, "other", Priority.HIGH, 200, 1, 10, 0),
                                Duration.ofSeconds(10)));
        cluster.runSeconds(62);
        JobSpec run = arrayJob(2, "night", Priority.HIGH, 4, 1, 300, 0);
        assertTrue(cluster.users().submit(1, run, Duration.ofMinutes(5)));
        cluster.runSeconds(35);
        assertEquals(4, runningTaskCount(run));
    }

    @Test
    void taskOverrunningItsEstimateIsWarnedAndStoppedInTime() {
        bodyWithStatus(putReservation("calendars", "team", totalGpuCount(), 1, 200, 600), 201);
        JobSpec overrunning = arrayJob(1, "other", Priority.LOW, totalGpuCount(), 1, 100, 0);
        assertTrue(cluster.users().submit(0, overrunning, HOUR));
        cluster.runSeconds(15);
        assertEquals(
                totalGpuCount(),
                runningTaskCount(overrunning),
                "its estimate ends before the slot begins");
        cluster.runSeconds(188);
        JobSpec run = submitReservedRun(2, totalGpuCount());
        cluster.runSeconds(12);
        assertEquals(totalGpuCount(), runningTaskCount(run));
    }

    @Test
    void noMachineIsRentedDuringMaintenanceWindow() {
        bodyWithStatus(putWindow("patches", "zones", "a", 30, 600, 0), 201);
        cluster.cloud().limitMachines(40);
        List<FakeWorker> before = cluster.workers();
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                arrayJob(1, "other", Priority.HIGH, 200, 1, 300, 0),
                                Duration.ofMinutes(5)));
        cluster.runSeconds(60);
        List<FakeWorker> rented =
                cluster.workers().stream().filter(worker -> !before.contains(worker)).toList();
        assertFalse(rented.isEmpty());
        assertTrue(rented.stream().allMatch(worker -> worker.zone().equals("b")));
    }

    @Test
    void leaderKeepsReservationsDuringStoreOutage() {
        bodyWithStatus(putReservation("calendars", "team", 6, 1, 300, 600), 201);
        submitLongWork();
        cluster.runSeconds(280);
        JobSpec run = submitReservedRun(2, 6);
        cluster.runSeconds(5);
        cluster.store().setOutage(true);
        assertEquals(503, putReservation("another", "team", 1, 1, 500, 60).status());
        cluster.runSeconds(10);
        cluster.store().setOutage(false);
        cluster.runSeconds(25);
        assertEquals(6, runningTaskCount(run));
    }

    @Test
    void noTaskStartsThatWouldOverlapMaintenanceWindow() {
        bodyWithStatus(putWindow("patches", "zones", "a", 120, 300, 0), 201);
        JobSpec longJob = arrayJob(1, "long", Priority.HIGH, totalGpuCount(), 1, 200, 0);
        assertTrue(cluster.users().submit(0, longJob, Duration.ofSeconds(200)));
        for (int second = 0; second < 420; second += 10) {
            cluster.runSeconds(10);
            assertTrue(
                    cluster.workers().stream()
                            .filter(worker -> worker.zone().equals("a"))
                            .allMatch(worker -> worker.runningTasks().isEmpty()),
                    "at second " + second);
        }
        cluster.runSeconds(30);
        assertTrue(
                cluster.workers().stream()
                                .filter(worker -> worker.zone().equals("a"))
                                .anyMatch(worker -> !worker.runningTasks().isEmpty())
                        || runningTaskCount(longJob) == 0);
    }

    @Test
    void tasksOverlappingWindowAreWarnedAndStoppedAndServicesMoveOneByOne() {
        JobSpec work = arrayJob(1, "long", Priority.HIGH, totalGpuCount() / 2, 1, 1000, 5);
        assertTrue(cluster.users().submit(0, work, HOUR));
        JobSpec service = SimulatedCluster.spec(2, JobKind.SERVICE, 4, 0);
        assertTrue(cluster.users().submit(0, service, HOUR));
        cluster.runSeconds(20);
        assertEquals(4, runningTaskCount(service));
        long startMillis = cluster.loop().wallClockMillis();
        bodyWithStatus(putWindow("patches", "zones", "a", 240, 600, 180), 201);
        int fewestReplicas = 4;
        for (int second = 0; second < 235; second++) {
            cluster.runSeconds(1);
            fewestReplicas = Math.min(fewestReplicas, runningTaskCount(service));
        }
        assertTrue(fewestReplicas >= 3, "replicas left: " + fewestReplicas);
        assertEquals(4, runningTaskCount(service));
        cluster.runSeconds(5);
        assertTrue(
                cluster.workers().stream()
                        .filter(worker -> worker.zone().equals("a"))
                        .allMatch(worker -> worker.runningTasks().isEmpty()),
                "no task is left in the zone when the window begins");
        assertTrue(cluster.loop().wallClockMillis() - startMillis < 260_000);
    }

    @Test
    void immediateWindowStillWarnsFirst() {
        JobSpec work = arrayJob(1, "long", Priority.HIGH, totalGpuCount(), 1, 1000, 5);
        assertTrue(cluster.users().submit(0, work, HOUR));
        cluster.runSeconds(10);
        assertEquals(totalGpuCount(), runningTaskCount(work));
        bodyWithStatus(putWindow("now", "zones", "a", 0, 600, 0), 201);
        cluster.runSeconds(25);
        assertEquals(
                totalGpuCount(),
                runningTaskCount(work),
                "a warning precedes the stop by half a minute");
        cluster.runSeconds(20);
        assertTrue(runningTaskCount(work) < totalGpuCount());
    }

    @Test
    void lowerPriorityWorkIsWarnedAndPreemptedAndEqualPriorityWorkIsNot() {
        JobSpec low = arrayJob(1, "long", Priority.LOW, totalGpuCount() / 2, 1, 5000, 5);
        JobSpec equal = arrayJob(2, "other", Priority.HIGH, totalGpuCount() / 2, 1, 5000, 5);
        assertTrue(cluster.users().submit(0, low, HOUR));
        assertTrue(cluster.users().submit(0, equal, HOUR));
        cluster.runSeconds(15);
        int before = runningTaskCount(equal);
        assertEquals(totalGpuCount(), runningTaskCount(low) + before);
        bodyWithStatus(putReservation("calendars", "team", 4, 1, 200, 600), 201);
        cluster.runSeconds(202);
        JobSpec run = submitReservedRun(3, 4);
        cluster.runSeconds(12);
        assertEquals(4, runningTaskCount(run));
        assertEquals(before, runningTaskCount(equal));
    }

    @Test
    void machinesAreRentedInTimeForSlot() {
        cluster.cloud().limitMachines(40);
        int before = cluster.workers().size();
        int tasks = totalGpuCount() + 8;
        bodyWithStatus(putReservation("calendars", "team", tasks, 1, 600, 600), 201);
        cluster.runSeconds(400);
        assertTrue(cluster.workers().size() <= before, "nothing is rented long before the slot");
        cluster.runSeconds(190);
        assertTrue(totalGpuCount() >= tasks, "GPUs in the fleet: " + totalGpuCount());
        JobSpec run = submitReservedRun(2, tasks);
        cluster.runSeconds(20);
        assertEquals(tasks, runningTaskCount(run));
    }

    @Test
    void machinesLostBeforeSlotAreReplaced() {
        cluster.cloud().limitMachines(40);
        bodyWithStatus(putReservation("calendars", "team", 6, 1, 300, 600), 201);
        submitLongWork();
        cluster.runSeconds(180);
        cluster.workers().stream()
                .filter(worker -> worker.runningTasks().isEmpty())
                .forEach(cluster.cloud()::reclaim);
        cluster.cloud().limitMachines(80);
        cluster.runSeconds(125);
        JobSpec run = submitReservedRun(2, 6);
        cluster.runSeconds(12);
        assertEquals(6, runningTaskCount(run));
    }

    @Test
    void capacityOfJobCancelledInItsSlotIsReused() {
        bodyWithStatus(putReservation("calendars", "team", 6, 1, 300, 600), 201);
        submitLongWork();
        cluster.runSeconds(305);
        JobSpec cancelled = arrayJob(2, "night", Priority.HIGH, 6, 1, 60, 0);
        assertTrue(cluster.users().submit(1, cancelled, HOUR));
        cluster.runSeconds(15);
        assertTrue(cluster.users().cancel(2, cancelled.id()));
        cluster.runSeconds(8);
        JobSpec replacement = submitReservedRun(3, 6);
        cluster.runSeconds(12);
        assertEquals(6, runningTaskCount(replacement));
    }

    @Test
    void gangStoppedByWindowLeavesCompletelyAndRestartsElsewhere() {
        JobSpec spec = SimulatedCluster.spec(1, JobKind.GANG, 4, 1);
        JobSpec gang =
                JobSpecBuilder.from(spec)
                        .jobClass("gang")
                        .priority(Priority.HIGH)
                        .singleZone(true)
                        .estimatedRuntimeSeconds(500)
                        .checkpoints(10, 4)
                        .build();
        assertTrue(cluster.users().submit(0, gang, HOUR));
        cluster.runSeconds(15);
        assertEquals(4, runningTaskCount(gang));
        String zone = machineRunning(gang, 0).zone();
        bodyWithStatus(putWindow("patches", "zones", zone, 150, 600, 0), 201);
        cluster.runSeconds(120);
        assertEquals(4, runningTaskCount(gang), "the gang is not stopped early");
        cluster.runSeconds(45);
        assertTrue(
                cluster.workers().stream()
                        .filter(worker -> worker.zone().equals(zone))
                        .allMatch(worker -> worker.runningTasks().isEmpty()));
        assertEquals(4, runningTaskCount(gang), "in the other zone");
    }

    @Test
    void windowsCoveringAllZonesStopEverythingUntilTheyEnd() {
        bodyWithStatus(putWindow("one", "zones", "a", 60, 300, 0), 201);
        bodyWithStatus(putWindow("two", "zones", "b", 120, 120, 0), 201);
        JobSpec work = arrayJob(1, "long", Priority.HIGH, 4, 1, 100, 0);
        assertTrue(cluster.users().submit(0, work, Duration.ofSeconds(100)));
        cluster.runSeconds(130);
        assertEquals(0, runningTaskCount(work));
        cluster.runSeconds(90);
        assertEquals(0, runningTaskCount(work));
        cluster.runSeconds(40);
        assertEquals(4, runningTaskCount(work), "in the zone whose window is over");
    }

    @Test
    void requestIsDecidedOnceForAllControllersAndIsIdempotent() throws MalformedMessageException {
        cluster.withTeam("team", 0, 10);
        cluster.enableReservations(Map.of());
        cluster.runSeconds(15);
        String start = timeAfterSeconds(600);

        Object[] first = sixGpuReservation(start);
        long version =
                bodyWithStatus(put(0, "reservations/first", null, first), 201)
                        .nonNegativeLong("version");
        assertEquals(
                version,
                bodyWithStatus(put(1, "reservations/first", null, first), 200)
                        .nonNegativeLong("version"),
                "repeated");
        first[3] = 7;
        assertEquals(
                412,
                put(2, "reservations/first", null, first).status(),
                "it differs from the accepted reservation");
        assertEquals(412, put(2, "reservations/first", "1", first).status());
        long changed =
                bodyWithStatus(put(2, "reservations/first", "\"" + version + "\"", first), 200)
                        .nonNegativeLong("version");
        assertTrue(changed > version);

        assertOnlyOneIsAccepted(concurrentThreeGpuReservations(start));

        assertEquals(200, delete(0, "reservations/first", String.valueOf(changed)).status());
        assertEquals(200, delete(1, "reservations/first", null).status(), "repeated");
        assertEquals(404, get(1, "reservations/first").status());
        assertEquals(
                1, bodyWithStatus(get(1, "reservations"), 200).nestedList("reservations").size());
    }

    /** The fields of a reservation of six tasks; their number is at index 3. */
    private static Object[] sixGpuReservation(String start) {
        return new Object[] {
            "team",
            "team",
            "tasks",
            6,
            "cpus",
            1.0,
            "gpus",
            1.0,
            "ram_gb",
            4.0,
            "start",
            start,
            "length_s",
            60.0
        };
    }

    /**
     * Requests two reservations, which fit alone but not together, from two controllers at the same
     * moment.
     */
    private List<CompletableFuture<Http.Reply>> concurrentThreeGpuReservations(String start) {
        Object[] fields = sixGpuReservation(start);
        fields[3] = 3;
        String body =
                new String(JsonCodec.encode(MessageReader.mapOf(fields)), StandardCharsets.UTF_8);
        List<CompletableFuture<Http.Reply>> replies =
                List.of(
                        cluster.clients()
                                .sendReservationRequestAsync(
                                        0, "secret", "PUT", "reservations/one", null, body),
                        cluster.clients()
                                .sendReservationRequestAsync(
                                        1, "secret", "PUT", "reservations/two", null, body));
        cluster.runSeconds(3);
        return replies;
    }

    private static void assertOnlyOneIsAccepted(List<CompletableFuture<Http.Reply>> replies)
            throws MalformedMessageException {
        assertEquals(
                List.of(201, 409),
                replies.stream().map(reply -> reply.join().status()).sorted().toList());
        Http.Reply rejection =
                replies.stream()
                        .map(CompletableFuture::join)
                        .filter(reply -> reply.status() == 409)
                        .findFirst()
                        .orElseThrow();
        String error = new MessageReader(JsonCodec.decode(rejection.body())).string("error");
        assertTrue(error.contains("limit of team team") && error.contains("nearest"), error);
    }

    private Http.Reply delete(int node, String path, String version) {
        return cluster.clients()
                .sendReservationRequest(node, "secret", "DELETE", path, version, "");
    }

    private Http.Reply get(int node, String path) {
        return cluster.clients().sendReservationRequest(node, "reader", "GET", path, null, "");
    }

    @Test
    void invalidRequestIsRejectedByFieldAndUnauthorizedCallerIsDenied()
            throws MalformedMessageException {
        assertEquals(
                401,
                cluster.clients()
                        .sendReservationRequest(0, "guess", "GET", "plan", null, "")
                        .status());
        assertEquals(
                403,
                cluster.clients()
                        .sendReservationRequest(0, "reader", "PUT", "windows/w", null, "{}")
                        .status());
        assertEquals(
                405,
                cluster.clients()
                        .sendReservationRequest(0, "secret", "POST", "windows/w", null, "{}")
                        .status());
        assertEquals(
                404,
                cluster.clients()
                        .sendReservationRequest(0, "secret", "GET", "elsewhere", null, "")
                        .status());
        for (String[] invalidRequest :
                new String[][] {
                    {"windows/w", "{}", "machines"},
                    {"windows/W", "{}", "name"},
                    {"windows/w", "null", "JSON"},
                    {"windows/w", "{\"zones\":[\"a\"],\"start\":\"soon\",\"length_s\":5}", "start"},
                    {"windows/w", "{\"zones\":[\"a\"],\"machines\":[\"m\"]}", "either"},
                    {
                        "windows/w",
                        "{\"zones\":[\"a\"],\"start\":\"2026-01-01T00:00\",\"length_s\":0}",
                        "length_s"
                    },
                    {
                        "windows/w",
                        "{\"zones\":[\"a\"],\"start\":\"2026-01-01T00:00\",\"length_s\":5,\"time_zone\":\"Moon\"}",
                        "time_zone"
                    },
                    {
                        "windows/w",
                        "{\"zones\":[\"a\"],\"start\":\"2026-01-01T00:00\",\"length_s\":5,\"rule\":\"FREQ=MINUTELY\"}",
                        "rule"
                    },
                    {"reservations/r", "{\"team\":\"t\",\"tasks\":0}", "tasks"}
                }) {
            Http.Reply reply =
                    cluster.clients()
                            .sendReservationRequest(
                                    0, "secret", "PUT", invalidRequest[0], null, invalidRequest[1]);
            assertTrue(
                    bodyWithStatus(reply, 400).string("error").contains(invalidRequest[2]),
                    new String(reply.body(), StandardCharsets.UTF_8));
        }
        assertEquals(422, putReservation("r", "nobody", 1, 1, 60, 60).status());
        assertEquals(422, putWindow("w", "zones", "moon", 60, 60, 0).status());
        assertFalse(cluster.store().recordCount("cal/") > 0, "no rejected request is stored");
    }
}
