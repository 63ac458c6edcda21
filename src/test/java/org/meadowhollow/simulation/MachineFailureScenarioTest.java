package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskState;

/** Machines that hang, fall silent, are preempted, rented and returned. */
class MachineFailureScenarioTest extends ClusterTestBase {
    /** Submits a service of one replica, and waits until it runs. */
    private JobSpec startReplica() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 1, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(10);
        return job;
    }

    @Test
    void startIsSentWithoutWaitingForNextHeartbeat() {
        // All machines send heartbeats every 3 s from the same moment on, and have just done so.
        cluster.runSeconds(3.25);
        JobSpec job = arrayJob(1, 6);
        assertTrue(cluster.users().submit(0, job, LONG_RUNTIME));
        cluster.runSeconds(1.5);
        assertTrue(
                cluster.workers().stream()
                        .anyMatch(worker -> worker.hasTask(new TaskId(job.id(), 0))));
    }

    @Test
    void tasksOfHungMachineRunElsewhereAndMachineMayResume() {
        JobSpec job = startReplica();
        FakeWorker hung = machineRunning(job, 0);
        cluster.cloud().setOutage(true);
        hung.setHung(true);
        cluster.runSeconds(12);
        assertEquals(1, cluster.startCount(), "its lease may still be valid");
        cluster.runSeconds(20);
        assertEquals(2, cluster.startCount());
        hung.setHung(false);
        cluster.runSeconds(20);
        assertEquals(1, cluster.machinesRunning(new TaskId(job.id(), 0)).size());
    }

    @Test
    void machineWithoutNewFencingTokenKeepsTasksForFullTimeout() {
        JobSpec job = startReplica();
        FakeWorker hung = machineRunning(job, 0);
        cluster.cloud().setOutage(true);
        hung.setHung(true);
        cluster.crash(cluster.leader());
        cluster.runSeconds(40);
        assertEquals(1, cluster.startCount(), "an earlier leader might still renew its lease");
        cluster.runSeconds(30);
        assertEquals(2, cluster.startCount());
    }

    @Test
    void startWithLostResponseIsResent() {
        cluster.workers().forEach(worker -> worker.loseIncoming(true));
        JobSpec job = arrayJob(1, 2);
        assertTrue(cluster.users().submit(0, job, SHORT_RUNTIME));
        cluster.runSeconds(7);
        assertEquals(0, cluster.startCount());
        cluster.workers().forEach(worker -> worker.loseIncoming(false));
        cluster.runSeconds(25);
        assertEquals(2, cluster.startCount());
        assertEquals(Phase.DONE, phaseOf(job));
    }

    @Test
    void replicaIsMovedFromSilentMachineBeforeLeaseExpires() {
        JobSpec job = startReplica();
        machineRunning(job, 0).setHung(true);
        cluster.runSeconds(16);
        assertEquals(2, cluster.startCount());
    }

    @Test
    void manySilentMachinesAreNotReturnedAtOnce() {
        JobSpec job = withZonePolicy(SimulatedCluster.spec(1, JobKind.SERVICE, 4, 8), false, false);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(10);
        int before = cluster.workers().size();
        for (int task = 0; task < 4; task++) {
            machineRunning(job, task).setHung(true);
        }
        cluster.runSeconds(16);
        assertEquals(before, cluster.workers().size(), "the fault may be on the controller's side");
    }

    @Test
    void outOfOrderHeartbeatIsDropped() {
        JobSpec job = startReplica();
        FakeWorker worker = machineRunning(job, 0);
        Heartbeat now = worker.snapshot();
        Heartbeat late =
                new Heartbeat(
                        Heartbeat.Origin.REQUEST,
                        now.machineId(),
                        now.address(),
                        now.machineType(),
                        now.zone(),
                        now.isSpot(),
                        now.incarnation(),
                        1,
                        now.fencingToken(),
                        Double.NaN,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        new TaskId(job.id(), 0),
                                        worker.attemptOf(new TaskId(job.id(), 0)),
                                        TaskState.EXITED,
                                        ExitReason.ERROR)));
        CompletableFuture<?> unused = cluster.network().deliverHeartbeat(cluster.leader(), late);
        cluster.runSeconds(15);
        assertEquals(1, cluster.startCount());
    }

    @Test
    void replicaLeavesPreemptedMachine() {
        JobSpec job = startReplica();
        FakeWorker first = machineRunning(job, 0);
        first.announcePreemption(25);
        cluster.runSeconds(15);
        FakeWorker second = machineRunning(job, 0);
        assertTrue(second != null && second != first);
    }

    @Test
    void machinesScaleOutForWorkAndScaleInWhenIdle() {
        JobSpec job = arrayJob(1, 60);
        int before = cluster.workers().size();
        assertTrue(cluster.users().submit(0, job, Duration.ofSeconds(30)));
        cluster.runSeconds(40);
        assertTrue(cluster.workers().size() > before);
        cluster.runSeconds(200);
        assertEquals(Phase.DONE, phaseOf(job));
        assertTrue(
                cluster.workers().size() <= 1,
                cluster.workers().size() + " machines are left idle");
    }

    /**
     * Regression test: a return that the cloud certainly did not execute left the machine closed to
     * new tasks, and its free capacity was lost for as long as a replica ran there.
     */
    @Test
    void machineWhoseReturnWasRefusedRunsTasksAgain() {
        JobSpec job = startReplica();
        FakeWorker worker = machineRunning(job, 0);
        cluster.cloud().limitMachines(0);
        cluster.cloud().setOutage(true);
        worker.setHung(true);
        cluster.runSeconds(12);
        worker.setHung(false);
        cluster.runSeconds(20);
        assertEquals(worker, machineRunning(job, 0));
        JobSpec more = arrayJob(2, 47);
        assertTrue(cluster.users().submit(0, more, LONG_RUNTIME));
        cluster.runSeconds(10);
        assertTrue(allTasksRunning(job) && allTasksRunning(more), "they fill the whole capacity");
    }
}
