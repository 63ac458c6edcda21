package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
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

/**
 * A month of nights on a fleet that other work could fill, with a run at two o'clock each night;
 * the clocks skip the time between nights. Daylight saving time ends within the month.
 */
class NightlyReservationsScenarioTest {
    private static final ZoneId ZONE = ZoneId.of("America/New_York");
    private static final LocalDate FIRST_NIGHT = LocalDate.of(2026, 10, 20);
    private static final int NIGHTS = 30;
    private static final int TASKS = 8;

    /**
     * Longest delay of a start that counts as on time: scheduling rounds are 1 s apart, heartbeats
     * 3 s, and an image pull takes 2 s.
     */
    private static final double MAX_START_DELAY_S = 15;

    /**
     * The results of one month.
     *
     * @param onTimeNights nights on which all of the run ran within {@link #MAX_START_DELAY_S}
     * @param otherTasksDone tasks of other work that completed
     */
    private record MonthResult(int onTimeNights, int otherTasksDone) {}

    private static MonthResult simulateMonth(long seed, boolean reserved, boolean faults) {
        return new MonthSimulation(seed, faults).run(reserved);
    }

    /** Simulates one month on a cluster of its own. */
    private static final class MonthSimulation {
        private final Random random;
        private final boolean faults;
        private final SimulatedCluster cluster = new SimulatedCluster();
        private int jobNumber;
        private int onTimeNights;
        private int otherTasksDone;

        MonthSimulation(long seed, boolean faults) {
            this.random = new Random(seed);
            this.faults = faults;
        }

        MonthResult run(boolean reserved) {
            startFleet();
            if (reserved) {
                reserveNightlyRun();
            }
            for (int night = 0; night < NIGHTS; night++) {
                simulateNight(FIRST_NIGHT.plusDays(night));
            }
            return new MonthResult(onTimeNights, otherTasksDone);
        }

        private void startFleet() {
            for (int at = 0; at < 4; at++) {
                cluster.addMachine(SimulatedCluster.SMALL, at % 2 == 0 ? "a" : "b");
            }
            cluster.addMachine(SimulatedCluster.LARGE, "a");
            cluster.addMachine(SimulatedCluster.LARGE, "b");
            cluster.cloud().limitMachines(6);
            cluster.enableReservations(Map.of());
            skipTo(FIRST_NIGHT.atStartOfDay(ZONE).toInstant());
            cluster.runSeconds(15);
        }

        private void skipTo(Instant time) {
            Instant now = Instant.ofEpochMilli(cluster.loop().wallClockMillis());
            cluster.loop().advanceWallClock(Duration.between(now, time));
        }

        private void reserveNightlyRun() {
            Map<String, Object> reservation = new LinkedHashMap<>();
            reservation.put("team", "team");
            reservation.put("priority", "urgent");
            reservation.put("tasks", TASKS);
            reservation.put("cpus", 1.0);
            reservation.put("gpus", 1.0);
            reservation.put("ram_gb", 4.0);
            reservation.put("class", "nightly");
            reservation.put("start", FIRST_NIGHT.atTime(2, 0).toString());
            reservation.put("time_zone", ZONE.getId());
            reservation.put("rule", "FREQ=DAILY");
            reservation.put("length_s", 900.0);
            String body = new String(JsonCodec.encode(reservation), StandardCharsets.UTF_8);
            Http.Reply reply =
                    cluster.clients()
                            .sendReservationRequest(
                                    0, "secret", "PUT", "reservations/nightly", null, body);
            assertEquals(201, reply.status(), new String(reply.body(), StandardCharsets.UTF_8));
        }

        private void simulateNight(LocalDate night) {
            Instant runTime = night.atTime(LocalTime.of(2, 0)).atZone(ZONE).toInstant();
            skipTo(runTime.minusSeconds(600));
            List<JobSpec> backgroundJobs = submitBackgroundJobs();
            injectFault(cluster, faults ? random.nextInt(5) : -1);
            double leftS = (runTime.toEpochMilli() - cluster.loop().wallClockMillis()) / 1000.0;
            cluster.runSeconds(Math.max(0, leftS));
            JobSpec run = submitNightlyRun();
            cluster.runSeconds(MAX_START_DELAY_S);
            onTimeNights += runningTaskCount(run) == TASKS ? 1 : 0;
            cluster.runSeconds(200);
            cluster.restartAll();
            cluster.runSeconds(5);
            for (JobSpec each : backgroundJobs) {
                otherTasksDone += cluster.users().poll(0, each.id()).orElseThrow().completedTasks();
                cluster.users().cancel(1, each.id());
            }
            cluster.users().cancel(1, run.id());
            cluster.runSeconds(30);
        }

        /** Submits other work that fills the fleet, over the minutes before the run. */
        private List<JobSpec> submitBackgroundJobs() {
            List<JobSpec> backgroundJobs = new ArrayList<>();
            for (int at = 0; at < 6; at++) {
                double estimate = 100 + random.nextInt(800);
                JobSpec spec = SimulatedCluster.spec(++jobNumber, JobKind.ARRAY, 8, 1);
                JobSpec other =
                        JobSpecBuilder.from(spec)
                                .jobClass("other")
                                .priority(random.nextBoolean() ? Priority.NORMAL : Priority.HIGH)
                                .estimatedRuntimeSeconds(estimate)
                                .checkpoints(20, 4)
                                .build();
                backgroundJobs.add(other);
                // The estimate is wrong by up to half, in either direction.
                long runtimeMillis = (long) (estimate * (500 + random.nextInt(1000)));
                assertTrue(cluster.users().submit(at % 3, other, Duration.ofMillis(runtimeMillis)));
                cluster.runSeconds(random.nextInt(60));
            }
            return backgroundJobs;
        }

        private JobSpec submitNightlyRun() {
            JobSpec spec = SimulatedCluster.spec(++jobNumber, JobKind.ARRAY, TASKS, 1);
            JobSpec run =
                    JobSpecBuilder.from(spec)
                            .jobClass("nightly")
                            .priority(Priority.HIGH)
                            .estimatedRuntimeSeconds(60)
                            .build();
            int node = 0;
            while (!cluster.users().submit(node % 3, run, Duration.ofSeconds(60))) {
                assertTrue(node < 10, "no controller accepts the run");
                node++;
            }
            return run;
        }

        private int runningTaskCount(JobSpec run) {
            int running = 0;
            for (int task = 0; task < TASKS; task++) {
                running += cluster.machinesRunning(new TaskId(run.id(), task)).isEmpty() ? 0 : 1;
            }
            return running;
        }
    }

    /** Injects a fault in the last minutes before the run. */
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
        MonthResult reserved = simulateMonth(1, true, false);
        MonthResult unreserved = simulateMonth(1, false, false);
        assertEquals(NIGHTS, reserved.onTimeNights());
        assertTrue(unreserved.onTimeNights() < NIGHTS / 2, () -> "" + unreserved);
    }

    @Test
    void reservedRunsStartOnTimeDespiteFaults() {
        MonthResult reserved = simulateMonth(8, true, true);
        assertEquals(NIGHTS, reserved.onTimeNights());
    }
}
