package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskState;

/** Machines that hang, fall silent, are taken back, rented and returned. */
class MachineFailureScenarioTest extends ClusterTestBase {
    /** A service of one replica, which is on its machine. */
    private JobSpec runningReplica() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 1, 1);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(10);
        return job;
    }

    @Test
    void aStartNeedNotWaitForTheNextReport() {
        // All machines report every 3 s from the same moment on, and have just done so.
        cluster.runS(3.25);
        JobSpec job = array(1, 6);
        assertTrue(cluster.submit(0, job, LONG));
        cluster.runS(1.5);
        assertTrue(
                cluster.workers().stream()
                        .anyMatch(worker -> worker.holds(new TaskId(job.id(), 0))));
    }

    @Test
    void aHungMachinesTasksRunElsewhereAndItMayGoOnLater() {
        JobSpec job = runningReplica();
        FakeWorker hung = placeOf(job, 0);
        cluster.cloudOut(true);
        hung.hang(true);
        cluster.runS(12);
        assertEquals(1, cluster.starts(), "its lease may still hold");
        cluster.runS(20);
        assertEquals(2, cluster.starts());
        hung.hang(false);
        cluster.runS(20);
        assertEquals(1, cluster.on(new TaskId(job.id(), 0)).size());
    }

    @Test
    void aMachineThatNeverShowedTheNewTokenHoldsItsTasksForTheWholeLimit() {
        JobSpec job = runningReplica();
        FakeWorker hung = placeOf(job, 0);
        cluster.cloudOut(true);
        hung.hang(true);
        cluster.crash(cluster.leader());
        cluster.runS(40);
        assertEquals(1, cluster.starts(), "an earlier leader might still renew its lease");
        cluster.runS(30);
        assertEquals(2, cluster.starts());
    }

    @Test
    void aStartWhoseAnswerWasLostIsSentAgain() {
        cluster.workers().forEach(worker -> worker.deaf(true));
        JobSpec job = array(1, 2);
        assertTrue(cluster.submit(0, job, SHORT));
        cluster.runS(7);
        assertEquals(0, cluster.starts());
        cluster.workers().forEach(worker -> worker.deaf(false));
        cluster.runS(25);
        assertEquals(2, cluster.starts());
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void aReplicaIsMovedFromASilentMachineBeforeItsLeaseEnds() {
        JobSpec job = runningReplica();
        placeOf(job, 0).hang(true);
        cluster.runS(16);
        assertEquals(2, cluster.starts());
    }

    @Test
    void manySilentMachinesAreNotGivenUpAtOnce() {
        JobSpec job = zoned(SimulatedCluster.spec(1, JobKind.SERVICE, 4, 8), false, false);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(10);
        int before = cluster.workers().size();
        for (int task = 0; task < 4; task++) {
            placeOf(job, task).hang(true);
        }
        cluster.runS(16);
        assertEquals(before, cluster.workers().size(), "the fault may be on this side");
    }

    @Test
    void aReportThatComesLateIsDropped() {
        JobSpec job = runningReplica();
        FakeWorker place = placeOf(job, 0);
        Heartbeat now = place.snapshot();
        Heartbeat late =
                new Heartbeat(
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
                                        place.attempt(new TaskId(job.id(), 0)),
                                        TaskState.EXITED,
                                        ExitReason.ERROR)));
        cluster.deliver(cluster.leader(), late);
        cluster.runS(15);
        assertEquals(1, cluster.starts());
    }

    @Test
    void aReplicaLeavesAMachineThatIsTakenBack() {
        JobSpec job = runningReplica();
        FakeWorker first = placeOf(job, 0);
        first.notice(25);
        cluster.runS(15);
        FakeWorker second = placeOf(job, 0);
        assertTrue(second != null && second != first);
    }

    @Test
    void machinesAreRentedForWorkAndReturnedWhenIdle() {
        JobSpec job = array(1, 60);
        int before = cluster.workers().size();
        assertTrue(cluster.submit(0, job, Duration.ofSeconds(30)));
        cluster.runS(40);
        assertTrue(cluster.workers().size() > before);
        cluster.runS(200);
        assertEquals(Phase.DONE, phase(job));
        assertTrue(cluster.workers().size() <= 1, cluster.workers().size() + " are left idle");
    }

    /**
     * A return that the cloud certainly did not execute closes no machine: its room was lost for as
     * long as a replica ran there.
     */
    @Test
    void aMachineWhoseReturnWasRefusedTakesTasksAgain() {
        JobSpec job = runningReplica();
        FakeWorker place = placeOf(job, 0);
        cluster.mostMachines(0);
        cluster.cloudOut(true);
        place.hang(true);
        cluster.runS(12);
        place.hang(false);
        cluster.runS(20);
        assertEquals(place, placeOf(job, 0));
        JobSpec more = array(2, 47);
        assertTrue(cluster.submit(0, more, LONG));
        cluster.runS(10);
        assertTrue(allRun(job) && allRun(more), "all room there is");
    }
}
