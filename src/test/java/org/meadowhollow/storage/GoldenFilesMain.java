package org.meadowhollow.storage;

import java.io.IOException;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.leadership.CandidacyPolicy;
import org.meadowhollow.golden.GoldenFile;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.RecurringSchedule;
import org.meadowhollow.model.reservation.Reservation;

/**
 * Writes the golden files of the stored records. Run it again only to add a file for a new kind of
 * record: an existing file shows what deployed versions have written, so a change of the file means
 * a change of the persisted format.
 */
final class GoldenFilesMain {
    private static final MonotonicTime NOW = new MonotonicTime(0);
    private static final Revision RECORD_REVISION = new Revision(1);

    private GoldenFilesMain() {}

    public static void main(String[] unused) throws IOException {
        writeJobs();
        writeTaskShards();
        writeEndedJobsImagesAndTypes();
        writeLeadershipRecords();
        writeRiskTables();
        writeCalendar();
    }

    private static JobSpec arraySpec() {
        return new JobSpec(
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
                86_400.5);
    }

    private static JobSpec gangSpec() {
        return new JobSpec(
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
                Double.NaN);
    }

    private static JobSpec serviceSpec() {
        return new JobSpec(
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
                Double.NaN);
    }

    private static JobSpec cancelledSpec() {
        return new JobSpec(
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
                Double.NaN);
    }

    private static JobSpec specWithSecondaryRecord() {
        return new JobSpec(
                new JobId("tes-00112233445566778899aabbcc"),
                "tes",
                "team",
                JobKind.ARRAY,
                Priority.NORMAL,
                1,
                Resources.of(1, 1, 4),
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
                Double.NaN);
    }

    private static SecondaryRecord secondaryRecord(String traceContext) {
        return new SecondaryRecord(
                "tesx/0123456789abcdef/9998299999998-tes-00112233445566778899aabbcc",
                Map.of(
                        "id",
                        "tes-00112233445566778899aabbcc",
                        "name",
                        "align",
                        "tags",
                        Map.of("night", "1", "run", "x"),
                        "created",
                        1_700_000_000_001L),
                12,
                traceContext);
    }

    private static void writeJobs() throws IOException {
        writeJob(
                "job-array",
                JobRecordCodec.encode(arraySpec(), 1_700_000_000_000L, 100, false, null),
                "req-000101");
        writeJob(
                "job-gang",
                JobRecordCodec.encode(gangSpec(), 1_700_000_000_100L, 100, false, null),
                "req-000102");
        writeJob(
                "job-service",
                JobRecordCodec.encode(serviceSpec(), 1_700_000_000_200L, 100, false, null),
                "req-000103");
        writeJob(
                "job-cancelled",
                JobRecordCodec.withCancellation(
                        JobRecordCodec.encode(
                                cancelledSpec(), 1_700_000_000_300L, 100, false, null)),
                "req-000104");
        writeJob(
                "job-accompanied",
                GoldenFile.sorted(
                        JobRecordCodec.encode(
                                specWithSecondaryRecord(),
                                1_700_000_000_400L,
                                100,
                                false,
                                secondaryRecord(
                                        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))),
                "tes-00112233445566778899aabbcc");
    }

    private static void writeJob(String name, Map<String, Object> record, String id)
            throws IOException {
        GoldenFile.write(name, RecordKeys.job(new JobId(id)), record);
    }

    private static void writeTaskShard(String name, TaskShard taskShard) throws IOException {
        GoldenFile.write(name, RecordKeys.taskShard(taskShard), TaskShardCodec.encode(taskShard));
    }

    private static void writeTaskShards() throws IOException {
        Job array = new Job(arraySpec(), 0, 100, RECORD_REVISION);
        array.restoreCompletedTasks(0, 150);
        array.markTaskComplete(152);
        array.markTaskComplete(199);
        array.addPlacement(
                160,
                new AttemptNumber(2),
                new MachineId("vm-000001"),
                new WorkerIncarnation(1),
                NOW);
        array.addPlacement(
                161,
                new AttemptNumber(7),
                new MachineId("vm-000003"),
                new WorkerIncarnation(4_294_967_297L),
                NOW);
        array.shard(0).recordAttempt(300);
        writeTaskShard("chunk-done", array.shard(0));
        writeTaskShard("chunk-mixed", array.shard(1));
        Job gang = new Job(gangSpec(), 0, 100, RECORD_REVISION);
        for (int task = 0; task < 4; task++) {
            gang.addPlacement(
                    task,
                    new AttemptNumber(3),
                    new MachineId("vm-%06d".formatted(1 + task % 2)),
                    new WorkerIncarnation(1),
                    NOW);
        }
        writeTaskShard("chunk-gang", gang.shard(0));
        Job task =
                new Job(specWithSecondaryRecord(), 0, 100, RECORD_REVISION, secondaryRecord(null));
        long placedAtMillis = 1_700_000_001_000L;
        int attempt = 0;
        List<String> endReasons =
                new ArrayList<>(
                        List.of(SecondaryRecord.PREEMPTED_REASON, SecondaryRecord.LOST_REASON));
        for (ExitReason exitReason :
                List.of(
                        ExitReason.PEERS,
                        ExitReason.ALONE,
                        ExitReason.ERROR,
                        ExitReason.NO_ROOM,
                        ExitReason.BUSY,
                        ExitReason.UNKNOWN,
                        ExitReason.DONE)) {
            endReasons.add(exitReason.name());
        }
        for (String endReason : endReasons) {
            AttemptNumber attemptNumber = new AttemptNumber(++attempt);
            task.secondaryRecord()
                    .recordPlacement(
                            attemptNumber,
                            new MachineId("vm-%06d".formatted(attempt)),
                            placedAtMillis);
            task.secondaryRecord().recordStart(attemptNumber, placedAtMillis + 100);
            task.secondaryRecord().recordAttemptEnd(attemptNumber, endReason, placedAtMillis + 200);
            placedAtMillis += 1000;
        }
        task.addPlacement(
                0,
                new AttemptNumber(10),
                new MachineId("vm-000010"),
                new WorkerIncarnation(1),
                NOW);
        task.secondaryRecord()
                .recordPlacement(new AttemptNumber(10), new MachineId("vm-000010"), placedAtMillis);
        writeTaskShard("chunk-accompanied", task.shard(0));
        GoldenFile.write(
                "entry",
                task.secondaryRecord().key(),
                GoldenFile.sorted(task.secondaryRecord().encode(task.phase())));
    }

    private static void writeEndedJobsImagesAndTypes() throws IOException {
        Job completedJob = new Job(gangSpec(), 0, 100, RECORD_REVISION);
        completedJob.restoreCompletedTasks(0, 4);
        GoldenFile.write(
                "ended-done",
                RecordKeys.endedJob(new JobId("req-000105")),
                EndedJobCodec.encode(completedJob));
        Job cancelledJob = new Job(serviceSpec(), 0, 100, RECORD_REVISION);
        cancelledJob.markTaskComplete(1);
        cancelledJob.cancel(NOW);
        GoldenFile.write(
                "ended-cancelled",
                RecordKeys.endedJob(new JobId("req-000106")),
                EndedJobCodec.encode(cancelledJob));
        GoldenFile.write(
                "image",
                RecordKeys.image("registry/image:1"),
                ImageLocationsCodec.encode(
                                2.5,
                                List.of(new MachineId("vm-000001"), new MachineId("vm-000002")),
                                16 * 1024)
                        .fields());
        GoldenFile.write(
                "types",
                RecordKeys.MACHINE_TYPES_KEY,
                MachineTypesCodec.encode(
                        List.of(
                                new MachineType(
                                        "small",
                                        Resources.of(8, 2, 32),
                                        50,
                                        1,
                                        2,
                                        1,
                                        10,
                                        List.of("a", "b")),
                                new MachineType(
                                        "large",
                                        Resources.of(32, 8, 128),
                                        50.5,
                                        1.25,
                                        8,
                                        4,
                                        10.75,
                                        List.of("a")))));
    }

    private static void writeLeadershipRecords() throws IOException {
        GoldenStore store = new GoldenStore();
        store.put(RecordKeys.FENCING_TOKEN_KEY, Map.of("term", 41L));
        GoldenStore.createCandidate("n1", store, new GoldenStore.RecordingListener()).start();
        GoldenFile.write(
                "term", RecordKeys.FENCING_TOKEN_KEY, store.get(RecordKeys.FENCING_TOKEN_KEY));
        GoldenFile.write(
                "leader",
                RecordKeys.LEADER_KEY,
                GoldenFile.sorted(store.get(RecordKeys.LEADER_KEY)));
        GoldenFile.write(
                "term-resigned",
                RecordKeys.FENCING_TOKEN_KEY,
                CandidacyPolicy.resignationRecord(42, "n1", "n2"));
        store = new GoldenStore();
        store.put(RecordKeys.FENCING_TOKEN_KEY, Map.of("term", 41L));
        var leader = GoldenStore.createCandidate("n1", store, new GoldenStore.RecordingListener());
        leader.start();
        GoldenStore.handOver(leader, "n2");
        GoldenFile.write(
                "term-handed-over",
                RecordKeys.FENCING_TOKEN_KEY,
                GoldenFile.sorted(store.get(RecordKeys.FENCING_TOKEN_KEY)));
    }

    private static void writeRiskTables() throws IOException {
        List<RiskTableDelta.MachineEntry> machineEntries =
                List.of(
                        new RiskTableDelta.MachineEntry(
                                new MachineId("vm-000001"),
                                -77,
                                new WorkerIncarnation(1),
                                12,
                                new int[] {1, 2, -3},
                                new long[0]),
                        new RiskTableDelta.MachineEntry(
                                new MachineId("vm-000002"),
                                78,
                                new WorkerIncarnation(4_294_967_297L),
                                13,
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
                                new long[0]));
        GoldenStore store =
                GoldenStore.withSnapshot(machineEntries, Optional.empty(), 1_700_000_000_000L, 160);
        GoldenFile.write(
                "table-head",
                RecordKeys.RISK_TABLE_HEAD_KEY,
                GoldenFile.sorted(store.get(RecordKeys.RISK_TABLE_HEAD_KEY)));
        for (int index = 0;
                index
                        < ((Number) store.get(RecordKeys.RISK_TABLE_HEAD_KEY).get("chunks"))
                                .intValue();
                index++) {
            String key = RecordKeys.riskTableChunk(1, index);
            GoldenFile.write("table-chunk-" + index, key, store.get(key));
        }
    }

    private static void writeCalendar() throws IOException {
        Reservation full =
                new Reservation(
                        "nightly",
                        "team",
                        Priority.HIGH,
                        6,
                        new Resources(1_000_000, 2_000_000, 3_000_000),
                        List.of("large"),
                        "b",
                        true,
                        "registry/image:1",
                        2.5,
                        "batch",
                        List.of("req-000101", "req-000999"),
                        new RecurringSchedule(
                                LocalDateTime.of(2030, 3, 31, 1, 30),
                                ZoneId.of("Europe/Berlin"),
                                Duration.ofMinutes(90),
                                "FREQ=DAILY;COUNT=10"));
        GoldenFile.write(
                "reservation",
                CalendarRecordCodec.reservationKey(full.name()),
                CalendarRecordCodec.encode(full, 3));
        Reservation plain =
                new Reservation(
                        "once",
                        "other",
                        Priority.PRODUCTION,
                        1,
                        new Resources(1, 0, 0),
                        null,
                        null,
                        false,
                        "",
                        0,
                        null,
                        null,
                        new RecurringSchedule(
                                LocalDateTime.of(2030, 1, 1, 0, 0, 1),
                                ZoneId.of("UTC"),
                                Duration.ofMillis(1500),
                                null));
        GoldenFile.write(
                "reservation-plain",
                CalendarRecordCodec.reservationKey(plain.name()),
                CalendarRecordCodec.encode(plain, 4));
        List<MaintenanceWindow.Scope> scopes = List.of(MaintenanceWindow.Scope.values());
        for (int index = 0; index < scopes.size(); index++) {
            MaintenanceWindow.Scope scope = scopes.get(index);
            MaintenanceWindow window =
                    new MaintenanceWindow(
                            "window-" + index,
                            scope,
                            List.of("x", "y"),
                            new RecurringSchedule(
                                    LocalDateTime.of(2031, 2, 3, 4, 5),
                                    ZoneId.of("America/New_York"),
                                    Duration.ofHours(2),
                                    scope == MaintenanceWindow.Scope.TYPE ? null : "FREQ=WEEKLY"),
                            Duration.ofSeconds(90));
            GoldenFile.write(
                    "window-" + List.of("machine", "type", "zone").get(index),
                    CalendarRecordCodec.windowKey(window.name()),
                    CalendarRecordCodec.encode(window, 5 + index));
        }
        GoldenFile.write("calendar-stamp", CalendarRecordCodec.REVISION_KEY, Map.of());
    }
}
