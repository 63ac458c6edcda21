package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.storage.RecordKeys;

/**
 * Tests a deployment of 900 machines with a backlog of 1000 tasks. The assertions count messages
 * and records instead of measuring wall-clock time.
 */
class ScaleTest {
    private static final int MACHINE_COUNT = 900;
    private static final int JOB_COUNT = 40;
    private static final int TASKS_PER_JOB = 25;

    private SimulatedCluster cluster;
    private final List<JobSpec> jobs = new ArrayList<>();

    @BeforeEach
    void startNineHundredMachinesWithThousandTasks() {
        cluster = new SimulatedCluster();
        for (int i = 0; i < MACHINE_COUNT; i++) {
            cluster.addMachine(SimulatedCluster.SMALL, i % 2 == 0 ? "a" : "b");
        }
        cluster.runSeconds(12);
        cluster.cloud().setOutage(true);
        for (int number = 0; number < JOB_COUNT; number++) {
            JobSpec job = SimulatedCluster.spec(number, JobKind.ARRAY, TASKS_PER_JOB, 1);
            jobs.add(job);
            assertTrue(cluster.users().submit(number % 3, job, Duration.ofSeconds(60)));
        }
        cluster.runSeconds(10);
    }

    @Test
    void backlogStartsWithinFewRoundsWithOneRecordPerJob() {
        assertEquals(JOB_COUNT * TASKS_PER_JOB, cluster.startCount());
        assertEquals(JOB_COUNT, cluster.store().recordCount("task/"));
    }

    @Test
    void failoverLosesNoTaskAndProbesNoReportingMachine() {
        cluster.network().takeDirectMessageCount();
        cluster.crash(cluster.leader());
        cluster.runSeconds(70);
        assertEquals(
                0,
                cluster.network().takeDirectMessageCount(),
                "every worker finds the new leader by itself, so no machine is probed");
        assertEquals(JOB_COUNT * TASKS_PER_JOB, cluster.startCount());
        for (JobSpec job : jobs) {
            assertEquals(
                    Phase.DONE,
                    cluster.users().poll(cluster.leader(), job.id()).orElseThrow().phase());
        }
    }

    @Test
    void warmStandbyPlacesWithinOneSecondWithoutReadingRecords() {
        cluster.enableStandbys();
        cluster.runSeconds(60);
        int failedLeader = cluster.leader();
        int[] pageReads = new int[3];
        int[] watches = new int[3];
        for (int node = 0; node < 3; node++) {
            pageReads[node] = cluster.storeConnection(node).pageReadCount();
            watches[node] = cluster.storeConnection(node).watchCount();
        }
        for (int second = 0; second < 20; second++) {
            assertTrue(
                    cluster.users()
                            .submit(
                                    failedLeader,
                                    SimulatedCluster.spec(
                                            JOB_COUNT + 1 + second, JobKind.ARRAY, 2, 1),
                                    Duration.ofSeconds(3)));
            cluster.runSeconds(0.75);
        }
        int follower = (failedLeader + 1) % 3;
        int newWatches = cluster.storeConnection(follower).watchCount() - watches[follower];
        assertTrue(
                newWatches <= 3 * 11,
                newWatches + " watches of three prefixes in 20 s, at most one each in 2 s");
        JobSpec waitingJob = SimulatedCluster.spec(JOB_COUNT, JobKind.ARRAY, 1, 1);
        cluster.crash(failedLeader);
        assertTrue(cluster.users().submit(follower, waitingJob, Duration.ofSeconds(20)));
        for (int step = 0;
                step < 40 && (cluster.leader() < 0 || cluster.leader() == failedLeader);
                step++) {
            cluster.runSeconds(0.25);
        }
        int next = cluster.leader();
        cluster.runSeconds(1);
        assertEquals(
                1,
                cluster.store().recordCount(RecordKeys.TASK_PREFIX + waitingJob.id().value()),
                "placed within a second or so");
        assertEquals(
                pageReads[next],
                cluster.storeConnection(next).pageReadCount(),
                "the replica holds all records, so no page is read");
    }

    @Test
    void silentMachinesAreProbedInSmallBatches() {
        cluster.workers().stream().limit(MACHINE_COUNT / 2).forEach(worker -> worker.setHung(true));
        cluster.network().takeDirectMessageCount();
        int maxProbesPerSecond = 0;
        int totalProbes = 0;
        for (int second = 0; second < 15; second++) {
            cluster.runSeconds(1);
            int probes = cluster.network().takeDirectMessageCount();
            maxProbesPerSecond = Math.max(maxProbesPerSecond, probes);
            totalProbes += probes;
        }
        assertTrue(
                maxProbesPerSecond <= 100,
                maxProbesPerSecond + " machines were probed in one second");
        assertTrue(
                totalProbes >= MACHINE_COUNT / 2,
                "all silent machines are probed in the end: " + totalProbes);
    }
}
