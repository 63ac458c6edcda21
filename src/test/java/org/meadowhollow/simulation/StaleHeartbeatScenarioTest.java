package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * The first heartbeat of a machine that reaches a new leader may be stale or of another
 * incarnation. It must not make the leader conclude that a task has ended or never started.
 */
class StaleHeartbeatScenarioTest extends ClusterTestBase {
    /**
     * Regression test: without a check of the incarnation each task was started by the first
     * heartbeat response, and stopped as an unknown task by the next.
     */
    @Test
    void noTaskStartsInAnotherIncarnationAfterOutageLongerThanLease() {
        cluster.withTeam("team", 0, 6);
        JobSpec running = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        JobSpec next = SimulatedCluster.spec(2, JobKind.ARRAY, 6, 1);
        assertTrue(cluster.users().submit(0, running, null));
        cluster.runSeconds(10);
        assertTrue(cluster.users().submit(1, next, LONG_RUNTIME));
        cluster.crashAll();
        cluster.runSeconds(25);
        assertEquals(6, cluster.startCount());
        assertTrue(
                cluster.workers().stream()
                        .allMatch(worker -> worker.incarnation().equals(new WorkerIncarnation(2))),
                "all leases have expired");
        cluster.restartAll();
        cluster.runSeconds(20);
        assertEquals(
                12,
                cluster.startCommandCount(),
                "each replica is started once more, and none is stopped at once");
    }

    /**
     * A gang's task that timed out waiting for its gang is started again in the same attempt, and a
     * stale heartbeat with its timeout reaches the next leader. Regression test: the leader took
     * the timeout for the task's exit, ended the cancelled job and used its team's quota again
     * while the task was still on its machine.
     */
    @Test
    void nextLeaderIgnoresStaleExitOfTaskStartedAgainInSameAttempt() {
        cluster.withTeam("team", 0, 24);
        cluster.setImagePullTime(Duration.ofSeconds(30));
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.users().submit(0, gang, HOURS_RUNTIME));
        cluster.runSeconds(10);
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker = machineWith(first);
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                withTeam(SimulatedCluster.spec(3, JobKind.SERVICE, 3, 4), "other"),
                                null),
                "fills the other machines");
        worker.exitForGangTimeout(first);
        cluster.network().keepHeartbeatForNextLeader(worker);
        cluster.runSeconds(60);
        assertEquals(worker, machineRunning(gang, 0), "it was started again in the same attempt");
        JobSpec next = arrayJob(2, 24);
        assertTrue(cluster.users().submit(1, next, HOURS_RUNTIME));
        cluster.setImagePullTime(Duration.ofSeconds(1));
        cluster.cloud().setOutage(true);
        worker.setHung(true);
        int leader = cluster.leader();
        cluster.crash(leader);
        assertTrue(cluster.users().cancel((leader + 1) % 3, gang.id()));
        cluster.runSeconds(12);
        assertTrue(
                cluster.network().deliveredToNextLeaderCount() > 0
                        && cluster.leader() != leader
                        && cluster.leader() >= 0);
        assertEquals(worker, machineRunning(gang, 0), "the hung machine may resume at any time");
        // The quota check of the history checker covers what follows.
        cluster.runSeconds(10);
        cluster.cloud().setOutage(false);
        cluster.runSeconds(60);
        assertTrue(allTasksRunning(next), "the next job must not wait for the lost task for ever");
    }

    /**
     * A gang's task is started again on its machine in the same attempt, and its exit in the
     * previous incarnation is reported late.
     */
    @Test
    void exitInEarlierIncarnationDoesNotEndSameAttemptInNext() {
        cluster.setImagePullTime(Duration.ofSeconds(40));
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 6, 8);
        assertTrue(cluster.users().submit(0, gang, HOURS_RUNTIME));
        cluster.runSeconds(8);
        cluster.cloud().setOutage(true);
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker = machineWith(first);
        worker.failTask(first);
        cluster.network().keepHeartbeatForNextLeader(worker);
        worker.setHung(true);
        cluster.runSeconds(22);
        cluster.setImagePullTime(Duration.ofSeconds(10));
        worker.setHung(false);
        cluster.runSeconds(40);
        assertTrue(allTasksRunning(gang));
        assertEquals(1, worker.attemptOf(first).value());
        assertEquals(new WorkerIncarnation(2), worker.incarnation());
        worker.setHung(true);
        cluster.cloud().setOutage(false);
        cluster.addMachine(SimulatedCluster.LARGE, "b");
        cluster.setImagePullTime(Duration.ofSeconds(1));
        cluster.crash(cluster.leader());
        cluster.runSeconds(14);
        assertTrue(cluster.network().deliveredToNextLeaderCount() > 0);
        worker.setHung(false);
        cluster.runSeconds(30);
        assertTrue(allTasksRunning(gang));
        // The other tasks of the gang lost their peer, so there is a new attempt; the history
        // checker verifies that none of its tasks ran beside one of the former attempt.
        assertEquals(12, cluster.startCount());
    }

    /**
     * A heartbeat from before the task's start, which does not list the task, reaches the next
     * leader first, while the machine cannot be reached.
     */
    @Test
    void staleHeartbeatWithoutTaskDoesNotProveTaskNeverStarted() {
        cluster.withTeam("team", 0, 12);
        cluster.workers().forEach(cluster.network()::keepHeartbeatForNextLeader);
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 12, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(10);
        List<FakeWorker> silentMachines = cluster.workers().subList(0, 3);
        silentMachines.forEach(worker -> worker.setHung(true));
        cluster.cloud().setOutage(true);
        int leader = cluster.leader();
        cluster.crash(leader);
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), arrayJob(2, 12), LONG_RUNTIME));
        cluster.runSeconds(11);
        assertTrue(cluster.network().deliveredToNextLeaderCount() > 0);
        assertTrue(
                silentMachines.stream().anyMatch(worker -> !worker.runningTasks().isEmpty()),
                "the hung machines may resume at any time");
        cluster.runSeconds(4);
        silentMachines.forEach(worker -> worker.setHung(false));
        cluster.beginFaultFreePhase();
        cluster.runSeconds(60);
        assertTrue(allTasksRunning(arrayJob(2, 12)));
    }

    /**
     * The machine has rebooted and counts its incarnations from 1 again, and a heartbeat of a
     * higher incarnation from before the reboot arrives late.
     */
    @Test
    void higherIncarnationFromBeforeRebootDoesNotEndCurrentOne() {
        FakeWorker first = cluster.addMachine(SimulatedCluster.SMALL, "a");
        JobSpec fillingJob =
                withMachineTypes(
                        withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 1, 2), "other"),
                        List.of("small"));
        assertTrue(cluster.users().submit(0, fillingJob, null));
        cluster.runSeconds(10);
        assertEquals(first, machineRunning(fillingJob, 0));
        FakeWorker worker = cluster.addMachine(SimulatedCluster.SMALL, "a");
        worker.setHung(true);
        cluster.runSeconds(25);
        worker.setHung(false);
        cluster.runSeconds(8);
        assertEquals(new WorkerIncarnation(2), worker.incarnation());
        Heartbeat staleHeartbeat = worker.snapshot();
        int leader = cluster.leader();
        worker.reboot();
        cluster.crash(leader);
        cluster.runSeconds(12);
        JobSpec job =
                withMachineTypes(SimulatedCluster.spec(1, JobKind.SERVICE, 1, 1), List.of("small"));
        assertTrue(cluster.users().submit(cluster.leader(), job, null));
        cluster.runSeconds(8);
        assertEquals(worker, machineRunning(job, 0), "in the first incarnation after its reboot");
        // From now on the first machine has capacity, and would be chosen first.
        assertTrue(cluster.users().cancel(cluster.leader(), fillingJob.id()));
        cluster.runSeconds(3);
        worker.setHung(true);
        CompletableFuture<?> unused =
                cluster.network().deliverHeartbeat(cluster.leader(), staleHeartbeat);
        cluster.runSeconds(8);
        assertEquals(worker, machineRunning(job, 0), "the hung machine may resume at any time");
        worker.setHung(false);
        cluster.beginFaultFreePhase();
        cluster.runSeconds(60);
        assertTrue(allTasksRunning(job));
    }

    /**
     * A stale heartbeat from before the start of a task, from its run or from an earlier
     * incarnation reaches every controller as a new leader takes over.
     */
    @ParameterizedTest
    @ValueSource(strings = {"before the start", "while it ran", "of an earlier incarnation"})
    void tasksRunOnAfterStaleHeartbeatsReachNewLeader(String when) {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        if (when.equals("before the start")) {
            cluster.workers().forEach(cluster.network()::keepHeartbeatForNextLeader);
        }
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(10);
        if (!when.equals("before the start")) {
            cluster.workers().forEach(cluster.network()::keepHeartbeatForNextLeader);
        }
        if (when.equals("of an earlier incarnation")) {
            cluster.workers().forEach(worker -> worker.setHung(true));
            cluster.runSeconds(25);
            cluster.workers().forEach(worker -> worker.setHung(false));
            cluster.runSeconds(30);
        }
        int starts = cluster.startCount();
        int leader = cluster.leader();
        cluster.crash(leader);
        cluster.runSeconds(25);
        assertTrue(cluster.network().deliveredToNextLeaderCount() > 0);
        assertFalse(cluster.leader() == leader);
        assertEquals(starts, cluster.startCount(), "running tasks are not restarted");
        assertTrue(cluster.users().cancel(cluster.leader(), job.id()));
        cluster.runSeconds(8);
        assertTrue(
                cluster.workers().stream().allMatch(worker -> worker.runningTasks().isEmpty()),
                "newer heartbeats replace the stale ones");
        assertEquals(Phase.CANCELLED, phaseOf(job));
    }

    /**
     * Stale heartbeats of machines that no longer exist list tasks whose exit will never be
     * reported, and the cloud is out, so that no machine can be returned.
     */
    @Test
    void staleHeartbeatsOfReturnedMachinesDoNotDelayRestartOfTasks() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8);
        assertTrue(cluster.users().submit(0, job, LONG_RUNTIME));
        cluster.runSeconds(10);
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 4, 8), "other"),
                                null),
                "fills the other machines");
        cluster.runSeconds(10);
        List<FakeWorker> machines = List.of(machineRunning(job, 0), machineRunning(job, 1));
        removeMachinesAndReplayHeartbeats(machines);
        assertTrue(cluster.network().deliveredToNextLeaderCount() > 0);
        cluster.addMachine(SimulatedCluster.LARGE, "a");
        cluster.addMachine(SimulatedCluster.LARGE, "b");
        cluster.beginFaultFreePhase();
        // The history checker fails the test if a job waits while there is free capacity.
        cluster.runSeconds(95);
        assertTrue(allTasksRunning(job));
    }

    /**
     * Makes the cloud reclaim machines, waits until their tasks are known to be lost, and crashes
     * the leader. The next leader first learns of the tasks from stale heartbeats.
     */
    private void removeMachinesAndReplayHeartbeats(List<FakeWorker> machines) {
        cluster.cloud().setOutage(true);
        machines.forEach(
                worker -> {
                    cluster.network().keepHeartbeatForNextLeader(worker);
                    cluster.cloud().reclaim(worker);
                });
        cluster.runSeconds(30);
        cluster.crash(cluster.leader());
        cluster.runSeconds(8);
    }

    @Test
    void staleHeartbeatsOfReturnedMachinesDoNotMakeLeaderSeemIsolated() {
        for (int at = 0; at < 5; at++) {
            cluster.addMachine(SimulatedCluster.LARGE, "a");
        }
        cluster.runSeconds(10);
        removeMachinesAndReplayHeartbeats(
                cluster.workers().stream().filter(worker -> worker.zone().equals("a")).toList());
        assertTrue(cluster.network().deliveredToNextLeaderCount() > 0);
        cluster.cloud().setOutage(false);
        int leader = cluster.leader();
        long fencingToken = cluster.fencingToken();
        cluster.runSeconds(60);
        assertEquals(leader, cluster.leader(), "it receives heartbeats of all existing machines");
        assertEquals(fencingToken, cluster.fencingToken());
    }
}
