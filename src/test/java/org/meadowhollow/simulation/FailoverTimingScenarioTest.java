package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;

/** How soon another node leads, and what must not make it lead. */
class FailoverTimingScenarioTest {
    private static final int MACHINES = 8;
    private SimulatedCluster cluster;

    @BeforeEach
    void threeNodesAndSomeMachines() {
        cluster = new SimulatedCluster();
        for (int at = 0; at < MACHINES / 2; at++) {
            cluster.machine(SimulatedCluster.LARGE, "a");
            cluster.machine(SimulatedCluster.LARGE, "b");
        }
        cluster.runS(12);
    }

    @Test
    void aLeaderWhoseProcessEndedIsReplacedBeforeItsLeaseRunsOut() {
        int dead = cluster.leader();
        cluster.crash(dead);
        cluster.runS(3.5);
        assertTrue(
                cluster.leader() >= 0 && cluster.leader() != dead,
                "its lease of 5 s has not run out yet");
    }

    @Test
    void aLeaderThatOnlyItsPeersCannotReachStays() {
        long term = cluster.term();
        cluster.peersRefuse(true);
        cluster.runS(30);
        assertEquals(term, cluster.term());
    }

    @Test
    void aFilterBetweenAllNodesDoesNotEndALeadershipThatWorkersLeave() {
        long term = cluster.term();
        int leader = cluster.leader();
        cluster.peersRefuse(true);
        cluster.workers().forEach(worker -> worker.goTo((leader + 1) % 3));
        cluster.runS(10);
        assertEquals(term, cluster.term());
    }

    @Test
    void aLeaderBusyForLongerThanItsTimersWaitRenewsInBetween() {
        // With all machines full, no report is held for a start to come.
        JobSpec filling = SimulatedCluster.spec(1, JobKind.ARRAY, MACHINES * 8, 1);
        assertTrue(cluster.submit(0, filling, Duration.ofMinutes(5)));
        cluster.runS(10);
        long term = cluster.term();
        cluster.busy(cluster.leader(), true);
        cluster.runS(20);
        assertEquals(term, cluster.term());
    }

    @Test
    void aWorkerOrTwoThatComeOverDoNotEndALeadershipThatPeersCannotReach() {
        long term = cluster.term();
        cluster.refusesPeers(cluster.leader(), true);
        cluster.workers().get(0).goTo((cluster.leader() + 1) % 3);
        cluster.workers().get(1).goTo((cluster.leader() + 2) % 3);
        cluster.runS(10);
        assertEquals(term, cluster.term());
    }

    @Test
    void aLeaderThatWorkersLeaveButThatAnswersItsPeersStays() {
        long term = cluster.term();
        cluster.workers().forEach(worker -> worker.goTo((cluster.leader() + 1) % 3));
        cluster.runS(10);
        assertEquals(term, cluster.term());
    }

    @Test
    void aLeaderThatIsWronglyReplacedStopsLeadingAndNothingRunsTwice() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 40, 1);
        int first = cluster.leader();
        assertTrue(cluster.submit(first, job, Duration.ofSeconds(20)));
        cluster.runS(1);
        cluster.refusesPeers(first, true);
        cluster.workers().forEach(worker -> worker.goTo((first + 1) % 3));
        cluster.runS(4);
        assertNotEquals(
                first, cluster.leader(), "several workers left it, and it refused connections");
        cluster.refusesPeers(first, false);
        cluster.runS(60);
        assertEquals(40, cluster.poll(first, job.id()).orElseThrow().done());
    }

    @Test
    void aLeaderWithoutPowerIsReplacedWhenItsLeaseHasRunOut() {
        int dead = cluster.leader();
        cluster.losePower(dead);
        cluster.workers().forEach(worker -> worker.goTo((dead + 1) % 3));
        cluster.runS(3);
        assertEquals(dead, cluster.leader(), "silence proves nothing");
        cluster.runS(4);
        assertTrue(cluster.leader() >= 0 && cluster.leader() != dead);
    }

    @Test
    void workersWaitForALeaderInsteadOfGoingRoundAllNodes() {
        cluster.losePower(cluster.leader());
        cluster.takeReports();
        cluster.runS(5);
        assertTrue(
                cluster.takeReports() <= 3 * MACHINES,
                "each worker is answered when there is news, or late");
    }

    @Test
    void aMachineThatHangsDoesNotKeepANewLeaderFromPlacing() {
        for (int at = 0; at < 12; at++) {
            cluster.machine(SimulatedCluster.LARGE, "a");
        }
        cluster.runS(15);
        cluster.workers().get(0).hang(true);
        int dead = cluster.leader();
        cluster.crash(dead);
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        assertTrue(cluster.submit((dead + 1) % 3, job, Duration.ofSeconds(60)));
        for (int step = 0;
                step < 40 && (cluster.leader() < 0 || cluster.leader() == dead);
                step++) {
            cluster.runS(0.25);
        }
        cluster.runS(4);
        assertTrue(
                cluster.workers().stream()
                        .anyMatch(worker -> worker.holds(new TaskId(job.id(), 0))),
                "reports come every 3 s, and one that is silent was waited for till 4.75 s");
    }
}
