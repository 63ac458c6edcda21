package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MessageReader;

/**
 * A month of nights on a fleet that other work could fill, with a run at two each night; what lies
 * between is left out of the clocks. The month has a night on which the clocks go back.
 */
class NightlyReservationsScenarioTest {
    private static final ZoneId ZONE = ZoneId.of("America/New_York");
    private static final LocalDate FIRST = LocalDate.of(2026, 10, 20);
    private static final int NIGHTS = 30;
    private static final int TASKS = 8;

    /** Rounds are a second apart, reports three, and an image takes two. */
    private static final double ON_TIME_S = 15;

    /**
     * @param onTime nights on which all of the run ran within {@link #ON_TIME_S}
     * @param others tasks of other work that were done
     */
    private record Month(int onTime, int others) {}

    private static Month simulateMonth(long seed, boolean reserved, boolean faults) {
        Random random = new Random(seed);
        SimulatedCluster cluster = new SimulatedCluster();
        for (int at = 0; at < 4; at++) {
            cluster.addMachine(SimulatedCluster.SMALL, at % 2 == 0 ? "a" : "b");
        }
        cluster.addMachine(SimulatedCluster.LARGE, "a");
        cluster.addMachine(SimulatedCluster.LARGE, "b");
        cluster.cloud().limitMachines(6);
        cluster.enableReservations(Map.of());
        cluster.loop()
                .skip(
                        Duration.between(
                                Instant.ofEpochMilli(cluster.loop().wallClockMillis()),
                                FIRST.atStartOfDay(ZONE).toInstant()));
        cluster.runSeconds(15);
        if (reserved) {
            Http.Reply reply =
                    cluster.clients()
                            .sendReservationRequest(
                                    0,
                                    "secret",
                                    "PUT",
                                    "reservations/nightly",
                                    null,
                                    new String(
                                            JsonCodec.encode(
                                                    MessageReader.mapOf(
                                                            "team",
                                                            "team",
                                                            "priority",
                                                            "urgent",
                                                            "tasks",
                                                            TASKS,
                                                            "cpus",
                                                            1.0,
                                                            "gpus",
                                                            1.0,
                                                            "ram_gb",
                                                            4.0,
                                                            "class",
                                                            "nightly",
                                                            "start",
                                                            FIRST.atTime(2, 0).toString(),
                                                            "time_zone",
                                                            ZONE.getId(),
                                                            "rule",
                                                            "FREQ=DAILY",
                                                            "length_s",
                                                            900.0))));
            assertEquals(201, reply.status(), new String(reply.body()));
        }
        int number = 0;
        int onTime = 0;
        int others = 0;
        for (int night = 0; night < NIGHTS; night++) {
            Instant two = FIRST.plusDays(night).atTime(LocalTime.of(2, 0)).atZone(ZONE).toInstant();
            cluster.loop()
                    .skip(
                            Duration.between(
                                    Instant.ofEpochMilli(cluster.loop().wallClockMillis()),
                                    two.minusSeconds(600)));
            List<JobSpec> background = new ArrayList<>();
            for (int at = 0; at < 6; at++) {
                double estimate = 100 + random.nextInt(800);
                JobSpec spec = SimulatedCluster.spec(++number, JobKind.ARRAY, 8, 1);
                JobSpec other =
                        new JobSpec(
                                spec.id(),
                                "other",
                                "team",
                                spec.kind(),
                                random.nextBoolean() ? Priority.NORMAL : Priority.HIGH,
                                8,
                                spec.resourcesPerTask(),
                                null,
                                null,
                                false,
                                false,
                                false,
                                spec.image(),
                                1,
                                estimate,
                                20,
                                4,
                                Double.NaN);
                background.add(other);
                // Wrong by up to half, either way.
                assertTrue(
                        cluster.users()
                                .submit(
                                        at % 3,
                                        other,
                                        Duration.ofMillis(
                                                (long) (estimate * (500 + random.nextInt(1000))))));
                cluster.runSeconds(random.nextInt(60));
            }
            injectFault(cluster, faults ? random.nextInt(5) : -1);
            double leftS = (two.toEpochMilli() - cluster.loop().wallClockMillis()) / 1000.0;
            cluster.runSeconds(Math.max(0, leftS));
            JobSpec run = SimulatedCluster.spec(++number, JobKind.ARRAY, TASKS, 1);
            run =
                    new JobSpec(
                            run.id(),
                            "nightly",
                            "team",
                            run.kind(),
                            Priority.HIGH,
                            TASKS,
                            run.resourcesPerTask(),
                            null,
                            null,
                            false,
                            false,
                            false,
                            run.image(),
                            1,
                            60,
                            0,
                            0,
                            Double.NaN);
            for (int node = 0;
                    !cluster.users().submit(node % 3, run, Duration.ofSeconds(60));
                    node++) {
                assertTrue(node < 10, "nobody takes it");
            }
            cluster.runSeconds(ON_TIME_S);
            int running = 0;
            for (int task = 0; task < TASKS; task++) {
                running += cluster.machinesRunning(new TaskId(run.id(), task)).isEmpty() ? 0 : 1;
            }
            onTime += running == TASKS ? 1 : 0;
            cluster.runSeconds(200);
            cluster.restartAll();
            cluster.runSeconds(5);
            for (JobSpec each : background) {
                others += cluster.users().poll(0, each.id()).orElseThrow().done();
                cluster.users().cancel(1, each.id());
            }
            cluster.users().cancel(1, run.id());
            cluster.runSeconds(30);
        }
        return new Month(onTime, others);
    }

    /** Something that happens in the last minutes before the run. */
    private static void injectFault(SimulatedCluster cluster, int which) {
        switch (which) {
            case 0 -> {
                cluster.crash(cluster.leader());
                cluster.runSeconds(20);
            }
            case 1 -> {
                cluster.crashAll();
                cluster.runSeconds(3);
                cluster.restartAll();
            }
            case 2 -> {
                cluster.store().setOutage(true);
                cluster.runSeconds(20);
                cluster.store().setOutage(false);
            }
            case 3 -> cluster.cloud().setOutage(true);
            default -> cluster.cloud().setOutage(false);
        }
    }

    @Test
    void reservedRunsStartOnTimeAndUnreservedRunsDoNot() {
        Month with = simulateMonth(1, true, false);
        Month without = simulateMonth(1, false, false);
        assertEquals(NIGHTS, with.onTime());
        assertTrue(without.onTime() < NIGHTS / 2, () -> "" + without);
    }

    @Test
    void reservedRunsStartOnTimeDespiteFaults() {
        Month with = simulateMonth(8, true, true);
        assertEquals(NIGHTS, with.onTime());
    }
}
