package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;

/** Leaders that crash, are deposed, or lose the key-value store. */
class LeaderFailureScenarioTest extends ClusterTestBase {
    @Test
    void controllerRefusedAloneByStoreReportsNotReady() {
        cluster.storeConnection(1).refuseRequests(true);
        cluster.users().submit(1, arrayJob(1, 1), SHORT_RUNTIME);
        cluster.runSeconds(5);
        assertFalse(cluster.isReady(1));
        assertTrue(cluster.isReady(0) && cluster.isReady(2));
        cluster.storeConnection(1).refuseRequests(false);
        cluster.runSeconds(5);
        assertTrue(cluster.isReady(1));
    }

    /**
     * Regression test: an overloaded leader stayed ready, so that it received as many user requests
     * as any other controller, and answered workers too late.
     */
    @Test
    void overloadedLeaderReportsNotReady() {
        int leader = cluster.leader();
        cluster.delayTimers(leader, Duration.ofMillis(700));
        cluster.runSeconds(8);
        assertEquals(leader, cluster.leader());
        assertFalse(cluster.isReady(leader));
        assertTrue(cluster.isReady((leader + 1) % 3) && cluster.isReady((leader + 2) % 3));
        cluster.delayTimers(leader, Duration.ZERO);
        cluster.runSeconds(13);
        assertTrue(cluster.isReady(leader));
        cluster.network().cutPeers(true);
        cluster.delayTimers(leader, Duration.ofMillis(700));
        cluster.runSeconds(8);
        assertTrue(cluster.isReady(leader), "no other controller is known to serve users");
    }

    @Test
    void everyControllerStaysReadyDuringStoreOutage() {
        cluster.store().setOutage(true);
        cluster.runSeconds(10);
        for (int node = 0; node < 3; node++) {
            assertTrue(cluster.isReady(node));
        }
    }

    @Test
    void newLeaderSchedulesAfterFullRoundOfHeartbeats() {
        int leader = cluster.leader();
        assertEquals(0, leader, "a new machine's worker connects to the first node");
        cluster.workers().forEach(worker -> worker.setHung(true));
        cluster.crash(leader);
        cluster.restart(leader);
        cluster.runSeconds(0.75);
        FakeWorker first = cluster.addMachine(SimulatedCluster.LARGE, "a");
        JobSpec job = arrayJob(1, 1);
        assertTrue(cluster.users().submit(leader, job, LONG_RUNTIME));
        TaskId task = new TaskId(job.id(), 0);
        cluster.runSeconds(3);
        assertFalse(first.hasTask(task), "the other machines have not reported yet");
        cluster.runSeconds(4);
        assertTrue(first.hasTask(task));
    }

    @Test
    void newLeaderKnowsImageCacheLocations() {
        // Without the image cache, the first of the equal machines would be chosen, which is in the
        // other zone.
        JobSpec first = inZone(arrayJob(1, 1), "b");
        assertTrue(cluster.users().submit(0, first, SHORT_RUNTIME));
        cluster.runSeconds(6);
        FakeWorker cached = machineRunning(first, 0);
        cluster.runSeconds(25);
        cluster.crash(cluster.leader());
        cluster.runSeconds(15);
        JobSpec next = arrayJob(3, 1);
        assertTrue(cluster.users().submit(cluster.leader(), next, LONG_RUNTIME));
        cluster.runSeconds(8);
        assertEquals(cached, machineRunning(next, 0));
    }

    @Test
    void tasksSurviveLeaderFailureWithoutRestart() {
        JobSpec job = arrayJob(1, 5);
        assertTrue(cluster.users().submit(0, job, Duration.ofSeconds(60)));
        cluster.runSeconds(15);
        int first = cluster.leader();
        cluster.crash(first);
        cluster.runSeconds(20);
        assertTrue(cluster.leader() >= 0 && cluster.leader() != first);
        cluster.runSeconds(60);
        assertEquals(5, cluster.startCount());
        assertEquals(Phase.DONE, phaseOf(job));
    }

    /** Guards against a probe that stays in flight after its call has thrown. */
    @Test
    void failedLeaderIsProbedAgainAfterAProbeThrows() {
        int failed = cluster.leader();
        // Both nodes that remain probe it; the lease must not end the leadership before.
        cluster.callFaults().throwNextCallOf("probe");
        cluster.network().cutPeers(true);
        cluster.crash(failed);
        cluster.runSeconds(1.5);
        cluster.network().cutPeers(false);
        cluster.runSeconds(2.5);
        assertEquals(1, cluster.callFaults().thrownCount());
        assertTrue(cluster.leader() >= 0 && cluster.leader() != failed);
    }

    @Test
    void restartedLeaderDoesNotWaitForItsPreviousLease() {
        int first = cluster.leader();
        cluster.crash(first);
        cluster.restart(first);
        cluster.runSeconds(1);
        assertEquals(first, cluster.leader());
        assertEquals(2L, cluster.store().valueOf("meta/term").get("term"));
    }

    @Test
    void jobCompletesAfterSimultaneousCrashOfAllControllers() {
        JobSpec job = arrayJob(1, 5);
        assertTrue(cluster.users().submit(0, job, Duration.ofSeconds(40)));
        cluster.runSeconds(10);
        cluster.crashAll();
        cluster.runSeconds(8);
        cluster.restartAll();
        cluster.runSeconds(60);
        assertEquals(5, cluster.startCount());
        assertEquals(Phase.DONE, phaseOf(job));
    }

    @Test
    void storeOutagePreservesTasksAndStartsNone() {
        JobSpec running = arrayJob(1, 4);
        assertTrue(cluster.users().submit(0, running, LONG_RUNTIME));
        cluster.runSeconds(10);
        cluster.store().setOutage(true);
        assertFalse(
                cluster.users().submit(1, arrayJob(2, 1), SHORT_RUNTIME), "no job can be accepted");
        cluster.runSeconds(19);
        cluster.store().setOutage(false);
        cluster.runSeconds(20);
        assertEquals(4, cluster.startCount());
        assertTrue(cluster.users().submit(1, arrayJob(2, 1), SHORT_RUNTIME));
        cluster.runSeconds(20);
        assertEquals(5, cluster.startCount());
    }

    @Test
    void leaderPartitionedFromStoreReleasesTasksInTimeForCancellation() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 4, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(15);
        int old = cluster.leader();
        cluster.storeConnection(old).refuseRequests(true);
        cluster.runSeconds(3);
        assertTrue(cluster.users().cancel((old + 1) % 3, job.id()));
        cluster.runSeconds(15);
        assertTrue(
                cluster.workers().stream().allMatch(worker -> worker.runningTasks().isEmpty()),
                "an announcement of the new fencing token makes the old leader step down at once");
    }

    @Test
    void deposedLeaderUnawareOfSuccessorStopsAnsweringHeartbeats() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 4, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(15);
        int old = cluster.leader();
        // Only the old leader reaches the workers, and the store refuses it alone.
        cluster.network().cutPeers(true);
        cluster.cloud().setOutage(true);
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, node != old);
        }
        cluster.storeConnection(old).refuseRequests(true);
        assertTrue(cluster.users().cancel((old + 1) % 3, job.id()));
        cluster.runSeconds(50);
        assertTrue(cluster.workers().stream().allMatch(worker -> worker.runningTasks().isEmpty()));
    }

    @Test
    void delayedTransactionOfDeposedLeaderHasNoEffect() {
        int old = cluster.leader();
        cluster.storeConnection(old).holdRequests(true);
        JobSpec job = arrayJob(1, 6);
        assertTrue(cluster.users().submit((old + 1) % 3, job, LONG_RUNTIME));
        cluster.runSeconds(25);
        assertTrue(cluster.leader() != old);
        assertEquals(6, cluster.startCount());
        cluster.storeConnection(old).holdRequests(false);
        cluster.runSeconds(30);
        assertEquals(6, cluster.startCount());
    }

    @Test
    void delayedPlacementOfDeposedLeaderIsNotRecorded() {
        int old = cluster.leader();
        cluster.storeConnection(old).holdRequests(true);
        assertTrue(cluster.users().submit((old + 1) % 3, arrayJob(1, 2), LONG_RUNTIME));
        cluster.runSeconds(2);
        cluster.workers().forEach(worker -> worker.setHung(true));
        cluster.cloud().setOutage(true);
        cluster.runSeconds(15);
        assertTrue(cluster.leader() != old);
        cluster.storeConnection(old).holdRequests(false);
        cluster.runSeconds(1);
        assertEquals(
                0,
                cluster.store().recordCount("task/"),
                "its successor would not know of the placement");
    }

    @Test
    void leaderThatCannotRenewLeaseStartsNoTasks() {
        cluster.workers().forEach(worker -> worker.loseIncoming(true));
        assertTrue(cluster.users().submit(0, arrayJob(1, 2), LONG_RUNTIME));
        cluster.runSeconds(4);
        cluster.store().setOutage(true);
        cluster.runSeconds(6);
        cluster.workers().forEach(worker -> worker.loseIncoming(false));
        cluster.runSeconds(7);
        assertEquals(
                0,
                cluster.startCount(),
                "committed, but not sent while the lease may have expired");
        cluster.store().setOutage(false);
        cluster.runSeconds(15);
        assertEquals(2, cluster.startCount());
    }

    @Test
    void exitIsForgottenOnlyAfterItIsRecorded() {
        JobSpec job = arrayJob(1, 1);
        assertTrue(cluster.users().submit(0, job, SHORT_RUNTIME));
        cluster.runSeconds(8);
        cluster.store().setOutage(true);
        cluster.runSeconds(14);
        cluster.crashAll();
        cluster.store().setOutage(false);
        cluster.restartAll();
        cluster.runSeconds(30);
        assertEquals(Phase.DONE, phaseOf(job));
        assertEquals(1, cluster.startCount());
    }
}
