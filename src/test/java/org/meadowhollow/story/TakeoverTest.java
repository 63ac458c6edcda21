package org.meadowhollow.story;

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
class TakeoverTest {
    private static final int MACHINES = 8;
    private World world;

    @BeforeEach
    void threeNodesAndSomeMachines() {
        world = new World();
        for (int at = 0; at < MACHINES / 2; at++) {
            world.machine(World.LARGE, "a");
            world.machine(World.LARGE, "b");
        }
        world.runS(12);
    }

    @Test
    void aLeaderWhoseProcessEndedIsReplacedBeforeItsLeaseRunsOut() {
        int dead = world.leader();
        world.crash(dead);
        world.runS(3.5);
        assertTrue(
                world.leader() >= 0 && world.leader() != dead,
                "its lease of 5 s has not run out yet");
    }

    @Test
    void aLeaderThatOnlyItsPeersCannotReachStays() {
        long term = world.term();
        world.peersRefuse(true);
        world.runS(30);
        assertEquals(term, world.term());
    }

    @Test
    void aFilterBetweenAllNodesDoesNotEndALeadershipThatWorkersLeave() {
        long term = world.term();
        int leader = world.leader();
        world.peersRefuse(true);
        world.workers().forEach(worker -> worker.goTo((leader + 1) % 3));
        world.runS(10);
        assertEquals(term, world.term());
    }

    @Test
    void aLeaderBusyForLongerThanItsTimersWaitRenewsInBetween() {
        // With all machines full, no report is held for a start to come.
        JobSpec filling = World.spec(1, JobKind.ARRAY, MACHINES * 8, 1);
        assertTrue(world.submit(0, filling, Duration.ofMinutes(5)));
        world.runS(10);
        long term = world.term();
        world.busy(world.leader(), true);
        world.runS(20);
        assertEquals(term, world.term());
    }

    @Test
    void aWorkerOrTwoThatComeOverDoNotEndALeadershipThatPeersCannotReach() {
        long term = world.term();
        world.refusesPeers(world.leader(), true);
        world.workers().get(0).goTo((world.leader() + 1) % 3);
        world.workers().get(1).goTo((world.leader() + 2) % 3);
        world.runS(10);
        assertEquals(term, world.term());
    }

    @Test
    void aLeaderThatWorkersLeaveButThatAnswersItsPeersStays() {
        long term = world.term();
        world.workers().forEach(worker -> worker.goTo((world.leader() + 1) % 3));
        world.runS(10);
        assertEquals(term, world.term());
    }

    @Test
    void aLeaderThatIsWronglyReplacedStopsLeadingAndNothingRunsTwice() {
        JobSpec job = World.spec(1, JobKind.ARRAY, 40, 1);
        int first = world.leader();
        assertTrue(world.submit(first, job, Duration.ofSeconds(20)));
        world.runS(1);
        world.refusesPeers(first, true);
        world.workers().forEach(worker -> worker.goTo((first + 1) % 3));
        world.runS(4);
        assertNotEquals(
                first, world.leader(), "several workers left it, and it refused connections");
        world.refusesPeers(first, false);
        world.runS(60);
        assertEquals(40, world.poll(first, job.id()).orElseThrow().done());
    }

    @Test
    void aLeaderWithoutPowerIsReplacedWhenItsLeaseHasRunOut() {
        int dead = world.leader();
        world.losePower(dead);
        world.workers().forEach(worker -> worker.goTo((dead + 1) % 3));
        world.runS(3);
        assertEquals(dead, world.leader(), "silence proves nothing");
        world.runS(4);
        assertTrue(world.leader() >= 0 && world.leader() != dead);
    }

    @Test
    void workersWaitForALeaderInsteadOfGoingRoundAllNodes() {
        world.losePower(world.leader());
        world.takeReports();
        world.runS(5);
        assertTrue(
                world.takeReports() <= 3 * MACHINES,
                "each worker is answered when there is news, or late");
    }

    @Test
    void aMachineThatHangsDoesNotKeepANewLeaderFromPlacing() {
        for (int at = 0; at < 12; at++) {
            world.machine(World.LARGE, "a");
        }
        world.runS(15);
        world.workers().get(0).hang(true);
        int dead = world.leader();
        world.crash(dead);
        JobSpec job = World.spec(1, JobKind.ARRAY, 1, 1);
        assertTrue(world.submit((dead + 1) % 3, job, Duration.ofSeconds(60)));
        for (int step = 0; step < 40 && (world.leader() < 0 || world.leader() == dead); step++) {
            world.runS(0.25);
        }
        world.runS(4);
        assertTrue(
                world.workers().stream().anyMatch(worker -> worker.holds(new TaskId(job.id(), 0))),
                "reports come every 3 s, and one that is silent was waited for till 4.75 s");
    }
}
