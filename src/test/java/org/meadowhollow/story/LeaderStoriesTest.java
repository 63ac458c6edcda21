package org.meadowhollow.story;

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
class LeaderStoriesTest extends Story {
    @Test
    void aNodeThatTheStateServiceAloneRefusesSendsUsersElsewhere() {
        world.line(1).cut(true);
        world.submit(1, array(1, 1), SHORT);
        world.runS(5);
        assertFalse(world.isReady(1));
        assertTrue(world.isReady(0) && world.isReady(2));
        world.line(1).cut(false);
        world.runS(5);
        assertTrue(world.isReady(1));
    }

    /**
     * A leader that came late to its work answered workers too late, while users asked it as often
     * as any other node.
     */
    @Test
    void aLeaderThatIsShortOfTimeSendsUsersElsewhere() {
        int leader = world.leader();
        world.busy(leader, Duration.ofMillis(700));
        world.runS(8);
        assertEquals(leader, world.leader());
        assertFalse(world.isReady(leader));
        assertTrue(world.isReady((leader + 1) % 3) && world.isReady((leader + 2) % 3));
        world.busy(leader, Duration.ZERO);
        world.runS(13);
        assertTrue(world.isReady(leader));
        world.peersCut(true);
        world.busy(leader, Duration.ofMillis(700));
        world.runS(8);
        assertTrue(world.isReady(leader), "nobody else is known to serve");
    }

    @Test
    void inAnOutageForAllEveryNodeStaysReady() {
        world.store().out(true);
        world.runS(10);
        for (int node = 0; node < 3; node++) {
            assertTrue(world.isReady(node));
        }
    }

    @Test
    void aNewLeaderDecidesAfterAFullRoundOfReports() {
        int leader = world.leader();
        assertEquals(0, leader, "a new machine's worker turns to the first node");
        world.workers().forEach(worker -> worker.hang(true));
        world.crash(leader);
        world.restart(leader);
        world.runS(0.75);
        FakeWorker first = world.machine(World.LARGE, "a");
        JobSpec job = array(1, 1);
        assertTrue(world.submit(leader, job, LONG));
        TaskId task = new TaskId(job.id(), 0);
        world.runS(3);
        assertFalse(first.holds(task), "the other machines may yet report");
        world.runS(4);
        assertTrue(first.holds(task));
    }

    @Test
    void aSuccessorKnowsWhereAnImageIsCached() {
        // Among equal machines the first would be chosen, which is in the other zone.
        JobSpec first = inZone(array(1, 1), "b");
        assertTrue(world.submit(0, first, SHORT));
        world.runS(6);
        FakeWorker cached = placeOf(first, 0);
        world.runS(25);
        world.crash(world.leader());
        world.runS(15);
        JobSpec again = array(3, 1);
        assertTrue(world.submit(world.leader(), again, LONG));
        world.runS(8);
        assertEquals(cached, placeOf(again, 0));
    }

    @Test
    void tasksOutliveTheirLeaderAndAreNotStartedAgain() {
        JobSpec job = array(1, 5);
        assertTrue(world.submit(0, job, Duration.ofSeconds(60)));
        world.runS(15);
        int first = world.leader();
        world.crash(first);
        world.runS(20);
        assertTrue(world.leader() >= 0 && world.leader() != first);
        world.runS(60);
        assertEquals(5, world.starts());
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void aRestartedLeaderDoesNotWaitForItsOwnDeadLease() {
        int first = world.leader();
        world.crash(first);
        world.restart(first);
        world.runS(1);
        assertEquals(first, world.leader());
        assertEquals(2L, world.store().value("meta/term").get("term"));
    }

    @Test
    void allNodesMayCrashAtOnce() {
        JobSpec job = array(1, 5);
        assertTrue(world.submit(0, job, Duration.ofSeconds(40)));
        world.runS(10);
        world.crashAll();
        world.runS(8);
        world.restartAll();
        world.runS(60);
        assertEquals(5, world.starts());
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void tasksOutliveAnOutageOfTheStateServiceButNothingStartsInIt() {
        JobSpec running = array(1, 4);
        assertTrue(world.submit(0, running, LONG));
        world.runS(10);
        world.store().out(true);
        assertFalse(world.submit(1, array(2, 1), SHORT), "nothing can be accepted");
        world.runS(19);
        world.store().out(false);
        world.runS(20);
        assertEquals(4, world.starts());
        assertTrue(world.submit(1, array(2, 1), SHORT));
        world.runS(20);
        assertEquals(5, world.starts());
    }

    @Test
    void aLeaderCutFromTheStateServiceLetsGoInTimeForACancellation() {
        JobSpec job = World.spec(1, JobKind.SERVICE, 4, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(15);
        int old = world.leader();
        world.line(old).cut(true);
        world.runS(3);
        assertTrue(world.cancel((old + 1) % 3, job.id()));
        world.runS(15);
        assertTrue(
                world.workers().stream().allMatch(worker -> worker.running().isEmpty()),
                "a hint of the new term makes the old leader let go at once");
    }

    @Test
    void aLeaderThatHearsNothingOfItsDepositionStillFallsSilent() {
        JobSpec job = World.spec(1, JobKind.SERVICE, 4, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(15);
        int old = world.leader();
        // Only the old leader reaches the workers, and it alone is refused by the state service.
        world.peersCut(true);
        world.cloudOut(true);
        for (int node = 0; node < 3; node++) {
            world.cutFromWorkers(node, node != old);
        }
        world.line(old).cut(true);
        assertTrue(world.cancel((old + 1) % 3, job.id()));
        world.runS(50);
        assertTrue(world.workers().stream().allMatch(worker -> worker.running().isEmpty()));
    }

    @Test
    void aLateTransactionOfADeposedLeaderChangesNothing() {
        int old = world.leader();
        world.line(old).hold(true);
        JobSpec job = array(1, 6);
        assertTrue(world.submit((old + 1) % 3, job, LONG));
        world.runS(25);
        assertTrue(world.leader() != old);
        assertEquals(6, world.starts());
        world.line(old).hold(false);
        world.runS(30);
        assertEquals(6, world.starts());
    }

    @Test
    void aDeposedLeadersLatePlacementIsNotRecorded() {
        int old = world.leader();
        world.line(old).hold(true);
        assertTrue(world.submit((old + 1) % 3, array(1, 2), LONG));
        world.runS(2);
        world.workers().forEach(worker -> worker.hang(true));
        world.cloudOut(true);
        world.runS(15);
        assertTrue(world.leader() != old);
        world.line(old).hold(false);
        world.runS(1);
        assertEquals(0, world.store().size("task/"), "its successor would not know of it");
    }

    @Test
    void aLeaderThatCannotRenewStartsNothingMore() {
        world.workers().forEach(worker -> worker.deaf(true));
        assertTrue(world.submit(0, array(1, 2), LONG));
        world.runS(4);
        world.store().out(true);
        world.runS(6);
        world.workers().forEach(worker -> worker.deaf(false));
        world.runS(7);
        assertEquals(0, world.starts(), "committed, but not sent while the lease may be over");
        world.store().out(false);
        world.runS(15);
        assertEquals(2, world.starts());
    }

    @Test
    void anExitIsForgottenOnlyOnceItIsRecorded() {
        JobSpec job = array(1, 1);
        assertTrue(world.submit(0, job, SHORT));
        world.runS(8);
        world.store().out(true);
        world.runS(14);
        world.crashAll();
        world.store().out(false);
        world.restartAll();
        world.runS(30);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(1, world.starts());
    }
}
