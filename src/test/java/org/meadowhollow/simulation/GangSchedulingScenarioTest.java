package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;

/** Gang scheduling, and replicas that spread across zones. */
class GangSchedulingScenarioTest extends ClusterTestBase {
    /**
     * Submits a gang of large tasks, and runs until they are on their machines and pull their
     * images.
     */
    private JobSpec startGangPullingImages(int tasks, Duration pullTime) {
        cluster.setImagePullTime(pullTime);
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, tasks, 8);
        assertTrue(cluster.users().submit(0, gang, LONG_RUNTIME));
        cluster.runSeconds(10);
        return gang;
    }

    private void assertFirstAttempt(JobSpec gang) {
        for (int task = 0; task < gang.taskCount(); task++) {
            TaskId taskId = new TaskId(gang.id(), task);
            assertEquals(
                    1,
                    machineHolding(taskId).attemptOf(taskId).value(),
                    "the image pulls of the other tasks continue");
        }
    }

    /** The machine that is not hung and holds a task, in any state. */
    private FakeWorker machineHolding(TaskId task) {
        return cluster.workers().stream()
                .filter(worker -> !worker.isHung() && worker.hasTask(task))
                .findFirst()
                .orElseThrow();
    }

    private int runningTaskCount(JobSpec job) {
        int count = 0;
        for (int task = 0; task < job.taskCount(); task++) {
            count += cluster.machinesRunning(new TaskId(job.id(), task)).size();
        }
        return count;
    }

    @Test
    void gangRunsCompletelyOrNotAtAll() {
        JobSpec tooLarge = SimulatedCluster.spec(1, JobKind.GANG, 6, 8);
        JobSpec fits = SimulatedCluster.spec(2, JobKind.GANG, 3, 8);
        assertTrue(cluster.users().submit(0, fits, LONG_RUNTIME));
        assertTrue(cluster.users().submit(0, tooLarge, LONG_RUNTIME));
        cluster.cloud().setOutage(true);
        cluster.runSeconds(20);
        assertEquals(3, cluster.startCount(), "three machines are left for a gang of six");
        cluster.cloud().setOutage(false);
        cluster.runSeconds(60);
        assertEquals(9, cluster.startCount());
    }

    @Test
    void taskThatTimedOutWaitingForGangWaitsAgainInSameAttempt() {
        JobSpec gang = startGangPullingImages(3, Duration.ofSeconds(40));
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker = machineHolding(first);
        worker.exitForGangTimeout(first);
        cluster.runSeconds(90);
        assertEquals(3, cluster.startCount());
        assertFirstAttempt(gang);
        assertEquals(worker, machineHolding(first));
    }

    @Test
    void unstartedGangGetsReplacementTaskInSameAttempt() {
        JobSpec gang = startGangPullingImages(3, Duration.ofSeconds(40));
        TaskId lost = new TaskId(gang.id(), 1);
        FakeWorker worker = machineHolding(lost);
        worker.setHung(true);
        cluster.runSeconds(80);
        assertEquals(3, cluster.startCount());
        assertTrue(machineHolding(lost) != worker);
        assertFirstAttempt(gang);
    }

    @Test
    void gangWithoutReplacementReleasesItsMachines() {
        JobSpec gang = startGangPullingImages(6, Duration.ofMinutes(5));
        cluster.cloud().setOutage(true);
        machineHolding(new TaskId(gang.id(), 1)).setHung(true);
        cluster.runSeconds(70);
        assertTrue(
                cluster.workers().stream()
                        .noneMatch(
                                worker ->
                                        !worker.isHung()
                                                && worker.hasTask(new TaskId(gang.id(), 0))));
    }

    @Test
    void simultaneousTaskCompletionsCompleteGangOnce() {
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        JobSpec next = arrayJob(2, 2);
        assertTrue(cluster.users().submit(0, gang, SHORT_RUNTIME));
        cluster.runSeconds(25);
        assertEquals(Phase.DONE, phaseOf(gang));
        assertTrue(cluster.users().submit(0, next, SHORT_RUNTIME));
        cluster.runSeconds(25);
        assertEquals(
                Phase.DONE, phaseOf(next), "a write that fails for ever would block all others");
    }

    @Test
    void replicasSpreadAcrossZonesAndGangsStayInOneZone() {
        JobSpec spread =
                withZonePolicy(SimulatedCluster.spec(1, JobKind.SERVICE, 5, 2), false, true);
        JobSpec together =
                withZonePolicy(SimulatedCluster.spec(2, JobKind.GANG, 2, 8), true, false);
        assertTrue(cluster.users().submit(0, together, LONG_RUNTIME));
        assertTrue(cluster.users().submit(0, spread, null));
        cluster.runSeconds(15);
        assertEquals(7, cluster.startCount());
        FakeWorker lost = machineRunning(spread, 0);
        lost.setHung(true);
        cluster.runSeconds(60);
        assertEquals(5, runningTaskCount(spread));
    }

    @Test
    void gangThatLosesTaskRestartsCompletely() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.users().submit(0, job, LONG_RUNTIME));
        cluster.runSeconds(12);
        assertEquals(3, cluster.startCount());
        FakeWorker failing = machineRunning(job, 1);
        failing.failTask(new TaskId(job.id(), 1));
        cluster.runSeconds(20);
        assertEquals(6, cluster.startCount());
        List<Integer> attempts = new ArrayList<>();
        for (int task = 0; task < 3; task++) {
            attempts.add(
                    machineRunning(job, task).attemptOf(new TaskId(job.id(), task)).issuedValue());
        }
        assertEquals(List.of(2, 2, 2), attempts);
    }

    /**
     * A machine of a gang fails, and the next leader learns that before it learns that the gang has
     * started. The remaining tasks cannot complete the attempt any more. Regression test: they kept
     * their machines, and the gang waited for ever.
     */
    @Test
    void gangRestartsIfTaskIsLostBeforeNewLeaderLearnsItStarted() {
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.users().submit(0, gang, Duration.ofHours(2)));
        cluster.runSeconds(10);
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 3, 8), "other"),
                                null),
                "fills the other machines");
        cluster.runSeconds(10);
        assertEquals(6, cluster.startCount());
        cluster.cloud().limitMachines(0);
        List<FakeWorker> remaining = List.of(machineRunning(gang, 0), machineRunning(gang, 2));
        cluster.cloud().fail(machineRunning(gang, 1));
        remaining.forEach(worker -> worker.setHung(true));
        int leader = cluster.leader();
        cluster.crash(leader);
        cluster.runSeconds(12);
        assertTrue(cluster.leader() >= 0 && cluster.leader() != leader);
        remaining.forEach(worker -> worker.setHung(false));
        cluster.runSeconds(6);
        cluster.addMachine(SimulatedCluster.LARGE, "a");
        cluster.beginFaultFreePhase();
        // The history checker fails the test if a job waits while there is free capacity.
        cluster.runSeconds(60);
        assertTrue(allTasksRunning(gang), "completely, in a new attempt");
        assertEquals(2, machineRunning(gang, 0).attemptOf(new TaskId(gang.id(), 0)).value());
    }
}
