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

/** Leaders that crash, are deposed, or lose the state service. */
class LeaderFailureScenarioTest extends ClusterTestBase {
    @Test
    void aNodeThatTheStateServiceAloneRefusesSendsUsersElsewhere() {
        cluster.line(1).cut(true);
        cluster.submit(1, array(1, 1), SHORT);
        cluster.runS(5);
        assertFalse(cluster.isReady(1));
        assertTrue(cluster.isReady(0) && cluster.isReady(2));
        cluster.line(1).cut(false);
        cluster.runS(5);
        assertTrue(cluster.isReady(1));
    }

    /**
     * A leader that came late to its work answered workers too late, while users asked it as often
     * as any other node.
     */
    @Test
    void aLeaderThatIsShortOfTimeSendsUsersElsewhere() {
        int leader = cluster.leader();
        cluster.busy(leader, Duration.ofMillis(700));
        cluster.runS(8);
        assertEquals(leader, cluster.leader());
        assertFalse(cluster.isReady(leader));
        assertTrue(cluster.isReady((leader + 1) % 3) && cluster.isReady((leader + 2) % 3));
        cluster.busy(leader, Duration.ZERO);
        cluster.runS(13);
        assertTrue(cluster.isReady(leader));
        cluster.peersCut(true);
        cluster.busy(leader, Duration.ofMillis(700));
        cluster.runS(8);
        assertTrue(cluster.isReady(leader), "nobody else is known to serve");
    }

    @Test
    void inAnOutageForAllEveryNodeStaysReady() {
        cluster.store().out(true);
        cluster.runS(10);
        for (int node = 0; node < 3; node++) {
            assertTrue(cluster.isReady(node));
        }
    }

    @Test
    void aNewLeaderDecidesAfterAFullRoundOfReports() {
        int leader = cluster.leader();
        assertEquals(0, leader, "a new machine's worker turns to the first node");
        cluster.workers().forEach(worker -> worker.hang(true));
        cluster.crash(leader);
        cluster.restart(leader);
        cluster.runS(0.75);
        FakeWorker first = cluster.machine(SimulatedCluster.LARGE, "a");
        JobSpec job = array(1, 1);
        assertTrue(cluster.submit(leader, job, LONG));
        TaskId task = new TaskId(job.id(), 0);
        cluster.runS(3);
        assertFalse(first.holds(task), "the other machines may yet report");
        cluster.runS(4);
        assertTrue(first.holds(task));
    }

    @Test
    void aSuccessorKnowsWhereAnImageIsCached() {
        // Among equal machines the first would be chosen, which is in the other zone.
        JobSpec first = inZone(array(1, 1), "b");
        assertTrue(cluster.submit(0, first, SHORT));
        cluster.runS(6);
        FakeWorker cached = placeOf(first, 0);
        cluster.runS(25);
        cluster.crash(cluster.leader());
        cluster.runS(15);
        JobSpec again = array(3, 1);
        assertTrue(cluster.submit(cluster.leader(), again, LONG));
        cluster.runS(8);
        assertEquals(cached, placeOf(again, 0));
    }

    @Test
    void tasksOutliveTheirLeaderAndAreNotStartedAgain() {
        JobSpec job = array(1, 5);
        assertTrue(cluster.submit(0, job, Duration.ofSeconds(60)));
        cluster.runS(15);
        int first = cluster.leader();
        cluster.crash(first);
        cluster.runS(20);
        assertTrue(cluster.leader() >= 0 && cluster.leader() != first);
        cluster.runS(60);
        assertEquals(5, cluster.starts());
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void aRestartedLeaderDoesNotWaitForItsOwnDeadLease() {
        int first = cluster.leader();
        cluster.crash(first);
        cluster.restart(first);
        cluster.runS(1);
        assertEquals(first, cluster.leader());
        assertEquals(2L, cluster.store().value("meta/term").get("term"));
    }

    @Test
    void allNodesMayCrashAtOnce() {
        JobSpec job = array(1, 5);
        assertTrue(cluster.submit(0, job, Duration.ofSeconds(40)));
        cluster.runS(10);
        cluster.crashAll();
        cluster.runS(8);
        cluster.restartAll();
        cluster.runS(60);
        assertEquals(5, cluster.starts());
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void tasksOutliveAnOutageOfTheStateServiceButNothingStartsInIt() {
        JobSpec running = array(1, 4);
        assertTrue(cluster.submit(0, running, LONG));
        cluster.runS(10);
        cluster.store().out(true);
        assertFalse(cluster.submit(1, array(2, 1), SHORT), "nothing can be accepted");
        cluster.runS(19);
        cluster.store().out(false);
        cluster.runS(20);
        assertEquals(4, cluster.starts());
        assertTrue(cluster.submit(1, array(2, 1), SHORT));
        cluster.runS(20);
        assertEquals(5, cluster.starts());
    }

    @Test
    void aLeaderCutFromTheStateServiceLetsGoInTimeForACancellation() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 4, 1);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(15);
        int old = cluster.leader();
        cluster.line(old).cut(true);
        cluster.runS(3);
        assertTrue(cluster.cancel((old + 1) % 3, job.id()));
        cluster.runS(15);
        assertTrue(
                cluster.workers().stream().allMatch(worker -> worker.running().isEmpty()),
                "a hint of the new term makes the old leader let go at once");
    }

    @Test
    void aLeaderThatHearsNothingOfItsDepositionStillFallsSilent() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 4, 1);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(15);
        int old = cluster.leader();
        // Only the old leader reaches the workers, and it alone is refused by the state service.
        cluster.peersCut(true);
        cluster.cloudOut(true);
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, node != old);
        }
        cluster.line(old).cut(true);
        assertTrue(cluster.cancel((old + 1) % 3, job.id()));
        cluster.runS(50);
        assertTrue(cluster.workers().stream().allMatch(worker -> worker.running().isEmpty()));
    }

    @Test
    void aLateTransactionOfADeposedLeaderChangesNothing() {
        int old = cluster.leader();
        cluster.line(old).hold(true);
        JobSpec job = array(1, 6);
        assertTrue(cluster.submit((old + 1) % 3, job, LONG));
        cluster.runS(25);
        assertTrue(cluster.leader() != old);
        assertEquals(6, cluster.starts());
        cluster.line(old).hold(false);
        cluster.runS(30);
        assertEquals(6, cluster.starts());
    }

    @Test
    void aDeposedLeadersLatePlacementIsNotRecorded() {
        int old = cluster.leader();
        cluster.line(old).hold(true);
        assertTrue(cluster.submit((old + 1) % 3, array(1, 2), LONG));
        cluster.runS(2);
        cluster.workers().forEach(worker -> worker.hang(true));
        cluster.cloudOut(true);
        cluster.runS(15);
        assertTrue(cluster.leader() != old);
        cluster.line(old).hold(false);
        cluster.runS(1);
        assertEquals(0, cluster.store().size("task/"), "its successor would not know of it");
    }

    @Test
    void aLeaderThatCannotRenewStartsNothingMore() {
        cluster.workers().forEach(worker -> worker.deaf(true));
        assertTrue(cluster.submit(0, array(1, 2), LONG));
        cluster.runS(4);
        cluster.store().out(true);
        cluster.runS(6);
        cluster.workers().forEach(worker -> worker.deaf(false));
        cluster.runS(7);
        assertEquals(0, cluster.starts(), "committed, but not sent while the lease may be over");
        cluster.store().out(false);
        cluster.runS(15);
        assertEquals(2, cluster.starts());
    }

    @Test
    void anExitIsForgottenOnlyOnceItIsRecorded() {
        JobSpec job = array(1, 1);
        assertTrue(cluster.submit(0, job, SHORT));
        cluster.runS(8);
        cluster.store().out(true);
        cluster.runS(14);
        cluster.crashAll();
        cluster.store().out(false);
        cluster.restartAll();
        cluster.runS(30);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(1, cluster.starts());
    }
}
