package org.meadowhollow.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import java.util.zip.InflaterInputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.failover.RiskTableSnapshotStore;
import org.meadowhollow.coordination.leadership.CandidacyPolicy;
import org.meadowhollow.golden.GoldenFile;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.AttemptRecord;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobPhase;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Reservation;

/**
 * Guards the persisted format against changes: decodes each kind of record as an earlier version
 * wrote it, checks every field, and encodes it to the same bytes, so that the earlier version can
 * read it as well. This pins keys, field names and stored names of enum constants. No test writes a
 * file.
 */
class GoldenRecordsTest {
    private static final MonotonicTime NOW = new MonotonicTime(0);
    private static final Revision RECORD_REVISION = new Revision(9);
    private static final long SNAPSHOT_AT_MILLIS = 1_700_000_000_000L;

    private static Job decodeJob(GoldenFile file) {
        JobId id = RecordKeys.jobIdOfKey(file.key());
        assertEquals(file.key(), RecordKeys.job(id));
        Job job = JobRecordCodec.decode(id, file.value(), RECORD_REVISION, NOW);
        assertEquals(id, job.id());
        assertEquals(RECORD_REVISION, job.recordRevision());
        return job;
    }

    private static Map<String, Object> encodeJob(Job job) {
        Map<String, Object> record =
                JobRecordCodec.encode(
                        job.spec(),
                        job.acceptedAtMillis(),
                        job.shardSize(),
                        false,
                        job.secondaryRecord());
        return job.isCancelled() ? JobRecordCodec.withCancellation(record) : record;
    }

    private static void assertJob(
            JobSpec expected, long acceptedAtMillis, boolean cancelled, Job job) {
        assertEquals(expected, job.spec());
        assertEquals(acceptedAtMillis, job.acceptedAtMillis());
        assertEquals(100, job.shardSize());
        assertEquals(cancelled, job.isCancelled());
    }

    // ---- jobs ----

    @Test
    void arrayJobWithAllOptionalFieldsRoundTrips() {
        GoldenFile file = GoldenFile.read("job-array");
        assertEquals("job/req-000101", file.key());
        Job job = decodeJob(file);
        assertJob(
                new JobSpec(
                        new JobId("req-000101"),
                        "batch",
                        "team",
                        JobKind.ARRAY,
                        Priority.PRODUCTION,
                        250,
                        new Resources(1_500_000, 1_000_000, 4_250_000),
                        List.of("large", "huge"),
                        "a",
                        true,
                        true,
                        true,
                        "registry/image:1",
                        2.5,
                        30.25,
                        600,
                        15,
                        86_400.5),
                1_700_000_000_000L,
                false,
                job);
        assertNull(job.secondaryRecord());
        assertNull(JobRecordCodec.secondaryRecordKeyOf(file.value()));
        assertEquals("team", JobRecordCodec.teamOf(file.value()));
        assertEquals(250, JobRecordCodec.taskCountOf(file.value()));
        assertFalse(JobRecordCodec.isCancelled(file.value()));
        file.assertSameBytes(encodeJob(job));
    }

    @Test
    void gangJobRoundTrips() {
        GoldenFile file = GoldenFile.read("job-gang");
        Job job = decodeJob(file);
        assertJob(
                new JobSpec(
                        new JobId("req-000102"),
                        "train",
                        "other",
                        JobKind.GANG,
                        Priority.HIGH,
                        4,
                        new Resources(2_000_000, 2_000_000, 8_000_000),
                        null,
                        null,
                        true,
                        false,
                        false,
                        "gang-image",
                        1,
                        20,
                        0,
                        0,
                        Double.NaN),
                1_700_000_000_100L,
                false,
                job);
        file.assertSameBytes(encodeJob(job));
    }

    @Test
    void serviceJobRoundTrips() {
        GoldenFile file = GoldenFile.read("job-service");
        Job job = decodeJob(file);
        assertJob(
                new JobSpec(
                        new JobId("req-000103"),
                        "web",
                        "team",
                        JobKind.SERVICE,
                        Priority.NORMAL,
                        3,
                        new Resources(500_000, 0, 1_000_000),
                        null,
                        null,
                        false,
                        true,
                        false,
                        "web-image",
                        0.5,
                        0,
                        0,
                        0,
                        Double.NaN),
                1_700_000_000_200L,
                false,
                job);
        file.assertSameBytes(encodeJob(job));
    }

    @Test
    void cancelledJobRoundTrips() {
        GoldenFile file = GoldenFile.read("job-cancelled");
        Job job = decodeJob(file);
        assertJob(
                new JobSpec(
                        new JobId("req-000104"),
                        "batch",
                        "team",
                        JobKind.ARRAY,
                        Priority.LOW,
                        2,
                        new Resources(1_000_000, 0, 1_000_000),
                        null,
                        null,
                        false,
                        false,
                        true,
                        "image",
                        1,
                        10,
                        0,
                        0,
                        Double.NaN),
                1_700_000_000_300L,
                true,
                job);
        assertTrue(JobRecordCodec.isCancelled(file.value()));
        file.assertSameBytes(encodeJob(job));
    }

    private static Job jobWithSecondaryRecord() {
        return decodeJob(GoldenFile.read("job-accompanied"));
    }

    @Test
    void jobWithSecondaryRecordRoundTrips() {
        GoldenFile file = GoldenFile.read("job-accompanied");
        assertEquals("job/tes-00112233445566778899aabbcc", file.key());
        Job job = jobWithSecondaryRecord();
        assertJob(
                new JobSpec(
                        new JobId("tes-00112233445566778899aabbcc"),
                        "tes",
                        "team",
                        JobKind.ARRAY,
                        Priority.NORMAL,
                        1,
                        new Resources(1_000_000, 1_000_000, 4_000_000),
                        null,
                        null,
                        false,
                        false,
                        false,
                        "image",
                        2,
                        0,
                        0,
                        0,
                        Double.NaN),
                1_700_000_000_400L,
                false,
                job);
        String key = "tesx/0123456789abcdef/9998299999998-tes-00112233445566778899aabbcc";
        assertEquals(key, job.secondaryRecord().key());
        assertEquals(key, JobRecordCodec.secondaryRecordKeyOf(file.value()));
        assertEquals(
                Map.of(
                        "key",
                        key,
                        "entry",
                        Map.of(
                                "id",
                                "tes-00112233445566778899aabbcc",
                                "name",
                                "align",
                                "tags",
                                Map.of("night", "1", "run", "x"),
                                "created",
                                1_700_000_000_001L),
                        "most",
                        12L,
                        "trace",
                        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"),
                job.secondaryRecord().encodeReference());
        assertEquals(
                "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                job.secondaryRecord().tracedTask(job.id(), "team").traceContext());
        // The twelfth attempt is the last one allowed.
        job.secondaryRecord()
                .recordAttemptEnd(new AttemptNumber(11), SecondaryRecord.LOST_REASON, 1);
        assertFalse(job.hasExhaustedAttempts());
        job.secondaryRecord()
                .recordAttemptEnd(new AttemptNumber(12), SecondaryRecord.LOST_REASON, 1);
        assertTrue(job.hasExhaustedAttempts());
        file.assertSameFields(encodeJob(job));
    }

    // ---- tasks ----

    private static TaskShard restoreShard(GoldenFile file, Job job, int index) {
        assertTrue(TaskShardCodec.restore(file.entry(7), Map.of(job.id(), job), NOW));
        TaskShard taskShard = job.shard(index);
        assertEquals(new Revision(7), taskShard.recordRevision());
        assertEquals(file.key(), RecordKeys.taskShard(taskShard));
        return taskShard;
    }

    private static void assertPlacement(
            int attempt, String machine, long incarnation, Placement placement) {
        assertEquals(new AttemptNumber(attempt), placement.attemptNumber());
        assertEquals(new MachineId(machine), placement.machineId());
        assertEquals(new WorkerIncarnation(incarnation), placement.incarnation());
    }

    @Test
    void shardOfCompletedTasksRoundTrips() {
        GoldenFile file = GoldenFile.read("chunk-done");
        assertEquals("task/req-000101/0", file.key());
        Job job = decodeJob(GoldenFile.read("job-array"));
        TaskShard taskShard = restoreShard(file, job, 0);
        assertEquals(300, taskShard.highestAttempt());
        BitSet completed = new BitSet();
        completed.set(0, 100);
        assertEquals(completed, job.completedTasks());
        assertTrue(job.placements().isEmpty());
        file.assertSameBytes(TaskShardCodec.encode(taskShard));
    }

    @Test
    void shardOfCompletedAndPlacedTasksRoundTrips() {
        GoldenFile file = GoldenFile.read("chunk-mixed");
        assertEquals("task/req-000101/1", file.key());
        Job job = decodeJob(GoldenFile.read("job-array"));
        TaskShard taskShard = restoreShard(file, job, 1);
        assertEquals(7, taskShard.highestAttempt());
        BitSet completed = new BitSet();
        completed.set(100, 150);
        completed.set(152);
        completed.set(199);
        assertEquals(completed, job.completedTasks());
        assertEquals(2, job.placements().size());
        assertPlacement(2, "vm-000001", 1, job.placement(160));
        assertPlacement(7, "vm-000003", 4_294_967_297L, job.placement(161));
        file.assertSameBytes(TaskShardCodec.encode(taskShard));
    }

    @Test
    void shardOfGangRoundTrips() {
        GoldenFile file = GoldenFile.read("chunk-gang");
        assertEquals("task/req-000102/0", file.key());
        Job job = decodeJob(GoldenFile.read("job-gang"));
        TaskShard taskShard = restoreShard(file, job, 0);
        assertEquals(3, taskShard.highestAttempt());
        assertEquals(new AttemptNumber(3), job.gangAttemptNumber());
        assertTrue(job.completedTasks().isEmpty());
        assertEquals(4, job.placements().size());
        for (int task = 0; task < 4; task++) {
            assertPlacement(3, task % 2 == 0 ? "vm-000001" : "vm-000002", 1, job.placement(task));
        }
        file.assertSameBytes(TaskShardCodec.encode(taskShard));
    }

    /**
     * The stored reason for the end of each attempt, in the order of attempts; null for the tenth,
     * which has not ended.
     */
    private static final List<String> END_REASONS =
            Arrays.asList(
                    "PREEMPTED",
                    "LOST",
                    "PEERS",
                    "ALONE",
                    "ERROR",
                    "NO_ROOM",
                    "BUSY",
                    "UNKNOWN",
                    "DONE",
                    null);

    private static void assertAttempts(List<AttemptRecord> attempts) {
        assertEquals(END_REASONS.size(), attempts.size());
        for (int index = 0; index < END_REASONS.size(); index++) {
            long placedAtMillis = 1_700_000_001_000L + 1000L * index;
            boolean hasEnded = END_REASONS.get(index) != null;
            assertEquals(
                    new AttemptRecord(
                            index + 1,
                            "vm-%06d".formatted(index + 1),
                            placedAtMillis,
                            hasEnded ? placedAtMillis + 100 : 0,
                            hasEnded ? placedAtMillis + 200 : 0,
                            END_REASONS.get(index)),
                    attempts.get(index));
        }
    }

    @Test
    void shardWithAttemptsRoundTrips() {
        GoldenFile file = GoldenFile.read("chunk-accompanied");
        assertEquals("task/tes-00112233445566778899aabbcc/0", file.key());
        Job job = jobWithSecondaryRecord();
        TaskShard taskShard = restoreShard(file, job, 0);
        assertEquals(10, taskShard.highestAttempt());
        assertTrue(job.completedTasks().isEmpty());
        assertEquals(1, job.placements().size());
        assertPlacement(10, "vm-000010", 1, job.placement(0));
        assertAttempts(SecondaryRecord.attemptsOf(Map.of("log", file.value().get("log"))));
        file.assertSameBytes(TaskShardCodec.encode(taskShard));
    }

    /**
     * Builds the same attempt log step by step, with the reasons that production code uses instead
     * of those decoded from the record.
     */
    @Test
    void attemptEndReasonsEncodeToStoredNames() {
        GoldenFile file = GoldenFile.read("chunk-accompanied");
        Job job = jobWithSecondaryRecord();
        List<String> endReasons =
                Stream.concat(
                                Stream.of(
                                        SecondaryRecord.PREEMPTED_REASON,
                                        SecondaryRecord.LOST_REASON),
                                Stream.of(
                                                ExitReason.PEERS,
                                                ExitReason.ALONE,
                                                ExitReason.ERROR,
                                                ExitReason.NO_ROOM,
                                                ExitReason.BUSY,
                                                ExitReason.UNKNOWN,
                                                ExitReason.DONE)
                                        .map(ExitReason::storedName))
                        .toList();
        for (int index = 0; index < 10; index++) {
            AttemptNumber attemptNumber = new AttemptNumber(index + 1);
            MachineId machine = new MachineId("vm-%06d".formatted(index + 1));
            long placedAtMillis = 1_700_000_001_000L + 1000L * index;
            job.secondaryRecord().recordPlacement(attemptNumber, machine, placedAtMillis);
            if (index < 9) {
                job.secondaryRecord().recordStart(attemptNumber, placedAtMillis + 100);
                job.secondaryRecord()
                        .recordAttemptEnd(
                                attemptNumber, endReasons.get(index), placedAtMillis + 200);
            } else {
                job.addPlacement(0, attemptNumber, machine, new WorkerIncarnation(1), NOW);
            }
        }
        file.assertSameBytes(TaskShardCodec.encode(job.shard(0)));
    }

    // ---- records of another API ----

    @Test
    void secondaryRecordRoundTrips() {
        GoldenFile file = GoldenFile.read("entry");
        Job job = jobWithSecondaryRecord();
        assertEquals(file.key(), job.secondaryRecord().key());
        Map<String, Object> value = file.value();
        assertEquals(Set.of("id", "name", "tags", "created", "progress", "log"), value.keySet());
        assertEquals("tes-00112233445566778899aabbcc", value.get("id"));
        assertEquals("align", value.get("name"));
        assertEquals(Map.of("night", "1", "run", "x"), value.get("tags"));
        assertEquals(1_700_000_000_001L, value.get("created"));
        assertEquals(JobPhase.PREPARING, SecondaryRecord.phaseOf(value));
        assertAttempts(SecondaryRecord.attemptsOf(value));
        restoreShard(GoldenFile.read("chunk-accompanied"), job, 0);
        file.assertSameFields(job.secondaryRecord().encode(job.phase()));
    }

    static Stream<Arguments> storedPhases() {
        return Stream.of(
                Arguments.of("QUEUED", JobPhase.QUEUED),
                Arguments.of("PREPARING", JobPhase.PREPARING),
                Arguments.of("RUNNING", JobPhase.RUNNING),
                Arguments.of("CANCELING", JobPhase.CANCELING),
                Arguments.of("DONE", JobPhase.DONE),
                Arguments.of("CANCELLED", JobPhase.CANCELLED),
                Arguments.of("FAILED", JobPhase.FAILED),
                Arguments.of("LOST", JobPhase.LOST),
                Arguments.of("PREEMPTED", JobPhase.PREEMPTED));
    }

    @ParameterizedTest
    @MethodSource("storedPhases")
    void secondaryRecordStoresJobPhase(String storedName, JobPhase jobPhase) {
        Map<String, Object> stored = new LinkedHashMap<>(GoldenFile.read("entry").value());
        stored.put("progress", storedName);
        assertEquals(jobPhase, SecondaryRecord.phaseOf(stored));
        Job job = jobWithSecondaryRecord();
        restoreShard(GoldenFile.read("chunk-accompanied"), job, 0);
        assertEquals(
                GoldenFile.sorted(stored),
                GoldenFile.sorted(job.secondaryRecord().encode(jobPhase)));
    }

    @Test
    void secondaryRecordShowsAcceptanceAndCancellation() {
        Map<String, Object> stored = new HashMap<>(GoldenFile.read("entry").value());
        stored.put("progress", "CANCELING");
        assertEquals(
                stored,
                SecondaryRecord.withCancellationRequested(GoldenFile.read("entry").value()));
        stored.put("progress", "QUEUED");
        stored.put("log", List.of());
        assertEquals(stored, jobWithSecondaryRecord().secondaryRecord().encodeAccepted());
    }

    /** All stored names of enum constants. A new constant is added after the others. */
    @Test
    void storedNamesOfEnumConstantsAreUnchanged() {
        assertEquals(
                List.of("ARRAY", "GANG", "SERVICE"),
                Stream.of(JobKind.values()).map(JobKind::storedName).toList());
        assertEquals(
                List.of("PRODUCTION", "HIGH", "NORMAL", "LOW"),
                Stream.of(Priority.values()).map(Priority::storedName).toList());
        List<String> exitReasons =
                List.of("DONE", "STOPPED", "PEERS", "ALONE", "ERROR", "NO_ROOM", "BUSY", "UNKNOWN");
        assertEquals(
                exitReasons, Stream.of(ExitReason.values()).map(ExitReason::storedName).toList());
        // The leader stores the name of the constant.
        assertEquals(exitReasons, Stream.of(ExitReason.values()).map(ExitReason::name).toList());
        assertEquals(
                List.of(
                        "QUEUED",
                        "PREPARING",
                        "RUNNING",
                        "CANCELING",
                        "DONE",
                        "CANCELLED",
                        "FAILED",
                        "LOST",
                        "PREEMPTED"),
                Stream.of(JobPhase.values()).map(JobPhase::storedName).toList());
        assertEquals(
                List.of("MACHINE", "TYPE", "ZONE"),
                Stream.of(MaintenanceWindow.Scope.values())
                        .map(MaintenanceWindow.Scope::storedName)
                        .toList());
        assertEquals("PREEMPTED", SecondaryRecord.PREEMPTED_REASON);
        assertEquals("LOST", SecondaryRecord.LOST_REASON);
    }

    // ---- ended jobs, images, machine types ----

    @Test
    void completedJobEndRoundTrips() {
        GoldenFile file = GoldenFile.read("ended-done");
        assertEquals(file.key(), RecordKeys.endedJob(new JobId("req-000105")));
        assertEquals("ended/req-000105", file.key());
        assertFalse(EndedJobCodec.isCancelled(file.value()));
        assertEquals(4, EndedJobCodec.taskCountOf(file.value()));
        assertEquals(4, EndedJobCodec.completedTaskCountOf(file.value()));
        Job job = decodeJob(GoldenFile.read("job-gang"));
        job.restoreCompletedTasks(0, 4);
        file.assertSameBytes(EndedJobCodec.encode(job));
    }

    @Test
    void cancelledJobEndRoundTrips() {
        GoldenFile file = GoldenFile.read("ended-cancelled");
        assertEquals(file.key(), RecordKeys.endedJob(new JobId("req-000106")));
        assertTrue(EndedJobCodec.isCancelled(file.value()));
        assertEquals(3, EndedJobCodec.taskCountOf(file.value()));
        assertEquals(1, EndedJobCodec.completedTaskCountOf(file.value()));
        Job job = decodeJob(GoldenFile.read("job-service"));
        job.markTaskComplete(1);
        job.cancel(NOW);
        file.assertSameBytes(EndedJobCodec.encode(job));
    }

    @Test
    void imageLocationsRoundTrip() {
        GoldenFile file = GoldenFile.read("image");
        assertEquals("image/registry/image:1", file.key());
        assertEquals("registry/image:1", RecordKeys.imageOfKey(file.key()));
        assertEquals(file.key(), RecordKeys.image("registry/image:1"));
        assertEquals(2.5, ImageLocationsCodec.sizeGbOf(file.value()));
        // The record lists the latest machine first.
        assertEquals(
                List.of(new MachineId("vm-000002"), new MachineId("vm-000001")),
                ImageLocationsCodec.machinesOf(file.value()));
        file.assertSameBytes(
                ImageLocationsCodec.encode(
                                ImageLocationsCodec.sizeGbOf(file.value()),
                                List.of(new MachineId("vm-000001"), new MachineId("vm-000002")),
                                16 * 1024)
                        .fields());
    }

    @Test
    void machineTypesRoundTrip() {
        GoldenFile file = GoldenFile.read("types");
        assertEquals("meta/types", file.key());
        assertEquals(file.key(), RecordKeys.MACHINE_TYPES_KEY);
        List<MachineType> types = MachineTypesCodec.decode(file.value());
        assertEquals(
                List.of(
                        new MachineType(
                                "small",
                                new Resources(8_000_000, 2_000_000, 32_000_000),
                                50,
                                1,
                                2,
                                1,
                                10,
                                List.of("a", "b")),
                        new MachineType(
                                "large",
                                new Resources(32_000_000, 8_000_000, 128_000_000),
                                50.5,
                                1.25,
                                8,
                                4,
                                10.75,
                                List.of("a"))),
                types);
        file.assertSameBytes(MachineTypesCodec.encode(types));
    }

    // ---- leadership ----

    @Test
    void electionWritesTokenAndLeaderRecords() {
        GoldenFile term = GoldenFile.read("term");
        GoldenFile leader = GoldenFile.read("leader");
        assertEquals("meta/term", term.key());
        assertEquals("meta/leader", leader.key());
        assertEquals(Map.of("term", 42L), term.value());
        assertEquals(
                Map.of("member", "n1", "term", 42L, "lease", GoldenStore.LEASE_ID), leader.value());

        GoldenStore store = new GoldenStore();
        store.put("meta/term", Map.of("term", 41L));
        GoldenStore.RecordingListener listener = new GoldenStore.RecordingListener();
        GoldenStore.createCandidate("n1", store, listener).start();
        assertEquals(List.of(new FencingToken(42)), listener.elected);
        term.assertSameBytes(store.get("meta/term"));
        leader.assertSameFields(store.get("meta/leader"));
    }

    @Test
    void nodeFollowsLeaderOfStoredRecord() {
        GoldenStore store = new GoldenStore();
        store.put(GoldenFile.read("term"));
        store.put(GoldenFile.read("leader"));
        GoldenStore.RecordingListener listener = new GoldenStore.RecordingListener();
        var follower = GoldenStore.createCandidate("n2", store, listener);
        follower.start();
        assertEquals(List.of("n1"), listener.following);
        assertEquals(List.of(), listener.elected);
        assertEquals("n1", follower.lastKnownLeader());
        assertEquals(new FencingToken(42), follower.highestObservedToken());
    }

    @Test
    void electionIncrementsStoredToken() {
        GoldenStore store = new GoldenStore();
        store.put(GoldenFile.read("term"));
        GoldenStore.RecordingListener listener = new GoldenStore.RecordingListener();
        GoldenStore.createCandidate("n2", store, listener).start();
        assertEquals(List.of(new FencingToken(43)), listener.elected);
        assertEquals(Map.of("term", 43L), store.get(RecordKeys.FENCING_TOKEN_KEY));
        assertEquals(
                Map.of("member", "n2", "term", 43L, "lease", GoldenStore.LEASE_ID),
                store.get(RecordKeys.LEADER_KEY));
    }

    @Test
    void resignationRecordRoundTripsAndSetsCandidacyDelays() {
        GoldenFile file = GoldenFile.read("term-resigned");
        assertEquals(Map.of("term", 42L, "deaf", "n1", "heir", "n2"), file.value());
        assertEquals(
                Duration.ZERO,
                CandidacyPolicy.candidacyDelay(file.value(), "n2", false, false),
                "n2 is the named successor");
        assertEquals(
                Duration.ofSeconds(1),
                CandidacyPolicy.candidacyDelay(file.value(), "n3", true, false));
        assertEquals(
                Duration.ofSeconds(6),
                CandidacyPolicy.candidacyDelay(file.value(), "n3", false, false));
        assertEquals(
                Duration.ofSeconds(4),
                CandidacyPolicy.candidacyDelay(file.value(), "n1", false, false),
                "n1 resigned");
        file.assertSameBytes(CandidacyPolicy.resignationRecord(42, "n1", "n2"));
        Map<String, Object> withoutSuccessor = new LinkedHashMap<>(file.value());
        withoutSuccessor.remove("heir");
        assertEquals(withoutSuccessor, CandidacyPolicy.resignationRecord(42, "n1", null));
    }

    @Test
    void handOverRecordRoundTripsAndSetsCandidacyDelays() {
        GoldenFile file = GoldenFile.read("term-handed-over");
        assertEquals(Map.of("term", 42L, "heir", "n2"), file.value());
        assertEquals(
                Duration.ZERO,
                CandidacyPolicy.candidacyDelay(file.value(), "n2", false, false),
                "n2 is the named successor");
        assertEquals(
                Duration.ofSeconds(1),
                CandidacyPolicy.candidacyDelay(file.value(), "n3", false, false));
        GoldenStore store = new GoldenStore();
        store.put("meta/term", Map.of("term", 41L));
        var leader = GoldenStore.createCandidate("n1", store, new GoldenStore.RecordingListener());
        leader.start();
        leader.handOver("n2");
        assertNull(store.get(RecordKeys.LEADER_KEY));
        file.assertSameFields(store.get(RecordKeys.FENCING_TOKEN_KEY));
    }

    // ---- risk tables ----

    private static final List<String> TABLE_CHUNK_FILES = List.of("table-chunk-0", "table-chunk-1");

    private static GoldenStore storeWithTables() {
        GoldenStore store = new GoldenStore();
        store.put(GoldenFile.read("table-head"));
        TABLE_CHUNK_FILES.forEach(name -> store.put(GoldenFile.read(name)));
        return store;
    }

    private static byte[] readBody(GoldenStore store, int set, int chunks) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < chunks; index++) {
            Map<String, Object> chunk = store.get("table/" + set + "/" + index);
            assertEquals(Set.of("text"), chunk.keySet());
            text.append(chunk.get("text"));
        }
        return Base64.getDecoder().decode(text.toString());
    }

    private static byte[] inflate(byte[] body) throws IOException {
        return new InflaterInputStream(new ByteArrayInputStream(body)).readAllBytes();
    }

    private static long checksum(byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(body);
        return sum.getValue();
    }

    private static List<RiskTableDelta.MachineEntry> readMachineEntries(GoldenStore store) {
        Optional<RiskTableSnapshotStore.StoredTables> read =
                RiskTableSnapshotStore.read(
                                store, new GoldenStore.FrozenEventLoop(SNAPSHOT_AT_MILLIS + 2500))
                        .join();
        assertEquals(Duration.ofMillis(2500), read.orElseThrow().age());
        return read.get().machineEntries();
    }

    /**
     * Compares the uncompressed content: another build of zlib may compress the same content to
     * different bytes, which can be read as well.
     */
    @Test
    void riskTableSnapshotRoundTrips() throws IOException {
        GoldenFile head = GoldenFile.read("table-head");
        assertEquals("table/head", head.key());
        assertEquals(head.key(), RecordKeys.RISK_TABLE_HEAD_KEY);
        assertEquals("table/1/0", GoldenFile.read("table-chunk-0").key());
        assertEquals("table/1/1", GoldenFile.read("table-chunk-1").key());
        byte[] body = readBody(storeWithTables(), 1, TABLE_CHUNK_FILES.size());
        assertEquals(
                Map.of(
                        "form",
                        1L,
                        "set",
                        1L,
                        "chunks",
                        (long) TABLE_CHUNK_FILES.size(),
                        "at",
                        SNAPSHOT_AT_MILLIS,
                        "checksum",
                        checksum(body)),
                head.value());

        List<RiskTableDelta.MachineEntry> machineEntries = readMachineEntries(storeWithTables());
        assertEquals(2, machineEntries.size());
        assertEquals(new MachineId("vm-000001"), machineEntries.get(0).machine());
        assertEquals(-77, machineEntries.get(0).machineIdentityHash());
        assertEquals(new WorkerIncarnation(1), machineEntries.get(0).workerIncarnation());
        assertEquals(12, machineEntries.get(0).sequenceNumber());
        assertArrayEquals(new int[] {1, 2, -3}, machineEntries.get(0).table());
        assertArrayEquals(new long[0], machineEntries.get(0).samples());
        assertEquals(new MachineId("vm-000002"), machineEntries.get(1).machine());
        assertEquals(78, machineEntries.get(1).machineIdentityHash());
        assertEquals(
                new WorkerIncarnation(4_294_967_297L), machineEntries.get(1).workerIncarnation());
        assertEquals(13, machineEntries.get(1).sequenceNumber());
        assertArrayEquals(
                new int[] {
                    1_928_374_655,
                    -1_020_304_050,
                    77,
                    0,
                    1_357_924_680,
                    -2_147_483_648,
                    2_147_483_647,
                    900,
                    -8,
                    314_159_265,
                    271_828_182,
                    -141_421_356,
                    173_205_080,
                    1,
                    65_536,
                    -1_618_033_988
                },
                machineEntries.get(1).table());
        assertArrayEquals(new long[0], machineEntries.get(1).samples());

        GoldenStore rewritten =
                GoldenStore.withSnapshot(machineEntries, Optional.empty(), SNAPSHOT_AT_MILLIS, 160);
        Map<String, Object> rewrittenHead = rewritten.get(RecordKeys.RISK_TABLE_HEAD_KEY);
        int chunks = ((Number) rewrittenHead.get("chunks")).intValue();
        byte[] rewrittenBody = readBody(rewritten, 1, chunks);
        assertArrayEquals(inflate(body), inflate(rewrittenBody));
        assertEquals(
                Map.of(
                        "form",
                        1L,
                        "set",
                        1L,
                        "chunks",
                        (long) chunks,
                        "at",
                        SNAPSHOT_AT_MILLIS,
                        "checksum",
                        checksum(rewrittenBody)),
                rewrittenHead);
    }

    @Test
    void nextSnapshotIsWrittenToOtherSet() {
        GoldenStore next =
                GoldenStore.withSnapshot(
                        readMachineEntries(storeWithTables()),
                        Optional.of(GoldenFile.read("table-head")),
                        SNAPSHOT_AT_MILLIS,
                        160);
        assertEquals(0L, next.get("table/head").get("set"));
        assertNotNull(next.get("table/0/0"));
        assertNull(next.get("table/1/0"));
    }

    // ---- the calendar ----

    private static CalendarSnapshot readCalendar(String... files) {
        return CalendarSnapshot.fromRecords(
                Stream.of(files).map(name -> GoldenFile.read(name).entry(5)).toList());
    }

    @Test
    void reservationWithAllOptionalFieldsRoundTrips() {
        GoldenFile file = GoldenFile.read("reservation");
        assertEquals("cal/reservation/nightly", file.key());
        CalendarSnapshot.CalendarEntry<Reservation> calendarEntry =
                readCalendar("reservation").findReservation("nightly").orElseThrow();
        assertEquals(3, calendarEntry.acceptanceOrder());
        assertEquals(new Revision(5), calendarEntry.revision());
        Reservation reservation = calendarEntry.item();
        assertEquals("nightly", reservation.name());
        assertEquals("team", reservation.team());
        assertEquals(Priority.HIGH, reservation.priority());
        assertEquals(6, reservation.taskCount());
        assertEquals(
                new Resources(1_000_000, 2_000_000, 3_000_000), reservation.resourcesPerTask());
        assertEquals(List.of("large"), reservation.allowedMachineTypes());
        assertEquals("b", reservation.requiredZone());
        assertTrue(reservation.allowsSpot());
        assertEquals("registry/image:1", reservation.image());
        assertEquals(2.5, reservation.imageSizeGb());
        assertEquals("batch", reservation.jobClass());
        assertEquals(List.of("req-000101", "req-000999"), reservation.allowedJobs());
        assertEquals(LocalDateTime.of(2030, 3, 31, 1, 30), reservation.schedule().firstStart());
        assertEquals(ZoneId.of("Europe/Berlin"), reservation.schedule().timeZone());
        assertEquals(Duration.ofMinutes(90), reservation.schedule().duration());
        assertEquals("FREQ=DAILY;COUNT=10", reservation.schedule().recurrenceRule());
        assertEquals(file.key(), CalendarRecordCodec.reservationKey(reservation.name()));
        file.assertSameBytes(
                CalendarRecordCodec.encode(reservation, calendarEntry.acceptanceOrder()));
    }

    @Test
    void reservationWithoutOptionalFieldsRoundTrips() {
        GoldenFile file = GoldenFile.read("reservation-plain");
        CalendarSnapshot.CalendarEntry<Reservation> calendarEntry =
                readCalendar("reservation-plain").findReservation("once").orElseThrow();
        Reservation reservation = calendarEntry.item();
        assertEquals(4, calendarEntry.acceptanceOrder());
        assertEquals("other", reservation.team());
        assertEquals(Priority.PRODUCTION, reservation.priority());
        assertEquals(1, reservation.taskCount());
        assertEquals(new Resources(1, 0, 0), reservation.resourcesPerTask());
        assertNull(reservation.allowedMachineTypes());
        assertNull(reservation.requiredZone());
        assertFalse(reservation.allowsSpot());
        assertEquals("", reservation.image());
        assertEquals(0, reservation.imageSizeGb());
        assertNull(reservation.jobClass());
        assertNull(reservation.allowedJobs());
        assertEquals(LocalDateTime.of(2030, 1, 1, 0, 0, 1), reservation.schedule().firstStart());
        assertEquals(ZoneId.of("UTC"), reservation.schedule().timeZone());
        assertEquals(Duration.ofMillis(1500), reservation.schedule().duration());
        assertNull(reservation.schedule().recurrenceRule());
        file.assertSameBytes(
                CalendarRecordCodec.encode(reservation, calendarEntry.acceptanceOrder()));
    }

    static Stream<Arguments> maintenanceWindows() {
        return Stream.of(
                Arguments.of(
                        "window-machine",
                        "cal/window/window-0",
                        MaintenanceWindow.Scope.MACHINE,
                        5,
                        "FREQ=WEEKLY"),
                Arguments.of(
                        "window-type",
                        "cal/window/window-1",
                        MaintenanceWindow.Scope.TYPE,
                        6,
                        null),
                Arguments.of(
                        "window-zone",
                        "cal/window/window-2",
                        MaintenanceWindow.Scope.ZONE,
                        7,
                        "FREQ=WEEKLY"));
    }

    @ParameterizedTest
    @MethodSource("maintenanceWindows")
    void maintenanceWindowRoundTrips(
            String name, String key, MaintenanceWindow.Scope scope, long order, String rule) {
        GoldenFile file = GoldenFile.read(name);
        assertEquals(key, file.key());
        String windowName = key.substring("cal/window/".length());
        CalendarSnapshot.CalendarEntry<MaintenanceWindow> calendarEntry =
                readCalendar(name).findWindow(windowName).orElseThrow();
        MaintenanceWindow window = calendarEntry.item();
        assertEquals(order, calendarEntry.acceptanceOrder());
        assertEquals(windowName, window.name());
        assertEquals(scope, window.scope());
        assertEquals(List.of("x", "y"), window.targets());
        assertEquals(Duration.ofSeconds(90), window.serviceEvictionLead());
        assertEquals(LocalDateTime.of(2031, 2, 3, 4, 5), window.schedule().firstStart());
        assertEquals(ZoneId.of("America/New_York"), window.schedule().timeZone());
        assertEquals(Duration.ofHours(2), window.schedule().duration());
        assertEquals(rule, window.schedule().recurrenceRule());
        assertEquals(key, CalendarRecordCodec.windowKey(window.name()));
        file.assertSameBytes(CalendarRecordCodec.encode(window, order));
    }

    @Test
    void calendarKeepsRevisionAndAcceptanceOrder() {
        GoldenFile file = GoldenFile.read("calendar-stamp");
        assertEquals("cal/stamp", file.key());
        assertEquals(CalendarRecordCodec.REVISION_KEY, file.key());
        file.assertSameBytes(Map.of());
        CalendarSnapshot calendarSnapshot =
                readCalendar(
                        "reservation-plain",
                        "window-zone",
                        "calendar-stamp",
                        "reservation",
                        "window-type",
                        "window-machine");
        assertEquals(new Revision(5), calendarSnapshot.revision());
        assertEquals(
                List.of("nightly", "once"),
                calendarSnapshot.reservations().stream()
                        .map(calendarEntry -> calendarEntry.item().name())
                        .toList());
        assertEquals(
                List.of("window-0", "window-1", "window-2"),
                calendarSnapshot.windows().stream()
                        .map(calendarEntry -> calendarEntry.item().name())
                        .toList());
    }

    @Test
    void schemaVersionAndKeyPrefixesAreUnchanged() {
        assertEquals(1, RecordKeys.SCHEMA_VERSION);
        assertEquals(100, TaskShardCodec.shardSizeFor(16 * 1024));
        assertEquals("job/", RecordKeys.JOB_PREFIX);
        assertEquals("task/", RecordKeys.TASK_PREFIX);
        assertEquals("image/", RecordKeys.IMAGE_PREFIX);
        assertEquals("table/", RecordKeys.RISK_TABLE_PREFIX);
        assertEquals("cal/", CalendarRecordCodec.CALENDAR_PREFIX);
    }
}
