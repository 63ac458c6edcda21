package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
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
 * What a new leader may conclude from the first report that it hears of a machine, which may be old
 * or of another session.
 */
class OldReportStoriesTest extends Story {
    /**
     * Without a check of the session each task was started by the first answer, and stopped as a
     * stray by the next.
     */
    @Test
    void allNodesAreAwayForLongerThanTheLeaseAndNothingStartsInASessionThatItWasNotPlacedIn() {
        world.team("team", 0, 6);
        JobSpec running = World.spec(1, JobKind.SERVICE, 6, 1);
        JobSpec next = World.spec(2, JobKind.ARRAY, 6, 1);
        assertTrue(world.submit(0, running, null));
        world.runS(10);
        assertTrue(world.submit(1, next, LONG));
        world.crashAll();
        world.runS(25);
        assertEquals(6, world.starts());
        assertTrue(
                world.workers().stream()
                        .allMatch(worker -> worker.session().equals(new WorkerIncarnation(2))),
                "all leases have run out");
        world.restartAll();
        world.runS(20);
        assertEquals(
                12,
                world.startOrders(),
                "each replica is started once more, and none is stopped at once");
    }

    /**
     * A gang's task that gave up waiting is started again in the same attempt. Taken for an exit,
     * the old report let the cancelled job end and its team's limit be used again while the task
     * was on its machine.
     */
    @Test
    void anExitThatWasTakenBackProvesNothingToTheNextLeader() {
        world.team("team", 0, 24);
        world.fetch(Duration.ofSeconds(30));
        JobSpec gang = World.spec(1, JobKind.GANG, 3, 8);
        assertTrue(world.submit(0, gang, HOURS));
        world.runS(10);
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker =
                world.workers().stream().filter(one -> one.holds(first)).findFirst().orElseThrow();
        assertTrue(
                world.submit(0, withTeam(World.spec(3, JobKind.SERVICE, 3, 4), "other"), null),
                "keeps the other machines");
        worker.giveUp(first);
        world.keepForNext(worker);
        world.runS(60);
        assertEquals(worker, placeOf(gang, 0), "it was started again in the same attempt");
        JobSpec next = array(2, 24);
        assertTrue(world.submit(1, next, HOURS));
        world.fetch(Duration.ofSeconds(1));
        world.cloudOut(true);
        worker.hang(true);
        int leader = world.leader();
        world.crash(leader);
        assertTrue(world.cancel((leader + 1) % 3, gang.id()));
        world.runS(12);
        assertTrue(world.deliveredToNext() > 0 && world.leader() != leader && world.leader() >= 0);
        assertEquals(worker, placeOf(gang, 0), "it may go on at any time");
        // The judge of the limit watches from here on.
        world.runS(10);
        world.cloudOut(false);
        world.runS(60);
        assertTrue(allRun(next), "nobody waits for it for ever");
    }

    /**
     * A gang's task is replaced on its machine in the same attempt, and an exit from the session
     * before comes late.
     */
    @Test
    void anExitInAnEarlierSessionIsNotTheEndOfTheSameAttemptInTheNext() {
        world.fetch(Duration.ofSeconds(40));
        JobSpec gang = World.spec(1, JobKind.GANG, 6, 8);
        assertTrue(world.submit(0, gang, HOURS));
        world.runS(8);
        world.cloudOut(true);
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker =
                world.workers().stream().filter(one -> one.holds(first)).findFirst().orElseThrow();
        worker.fail(first);
        world.keepForNext(worker);
        worker.hang(true);
        world.runS(22);
        world.fetch(Duration.ofSeconds(10));
        worker.hang(false);
        world.runS(40);
        assertTrue(allRun(gang));
        assertEquals(1, worker.attempt(first).value());
        assertEquals(new WorkerIncarnation(2), worker.session());
        worker.hang(true);
        world.cloudOut(false);
        world.machine(World.LARGE, "b");
        world.fetch(Duration.ofSeconds(1));
        world.crash(world.leader());
        world.runS(14);
        assertTrue(world.deliveredToNext() > 0);
        worker.hang(false);
        world.runS(30);
        assertTrue(allRun(gang));
        // Its peers missed it, so there is a new attempt, none of whose tasks ran beside the former
        // one (the judge).
        assertEquals(12, world.starts());
    }

    /**
     * A report from before the start, without the task, reaches the next leader first, while the
     * machine cannot be asked.
     */
    @Test
    void anOldReportWithoutATaskDoesNotProveThatItNeverStarts() {
        world.team("team", 0, 12);
        world.workers().forEach(world::keepForNext);
        JobSpec job = World.spec(1, JobKind.SERVICE, 12, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        List<FakeWorker> silent = world.workers().subList(0, 3);
        silent.forEach(worker -> worker.hang(true));
        world.cloudOut(true);
        int leader = world.leader();
        world.crash(leader);
        assertTrue(world.cancel(other(leader, 1), job.id()));
        assertTrue(world.submit(other(leader, 1), array(2, 12), LONG));
        world.runS(11);
        assertTrue(world.deliveredToNext() > 0);
        assertTrue(
                silent.stream().anyMatch(worker -> !worker.running().isEmpty()),
                "they may go on at any time");
        world.runS(4);
        silent.forEach(worker -> worker.hang(false));
        world.calm();
        world.runS(60);
        assertTrue(allRun(array(2, 12)));
    }

    /**
     * The machine is back with its sessions begun anew, and a report of a higher session of its
     * former life comes late.
     */
    @Test
    void aHigherSessionOfAFormerLifeDoesNotProveTheSessionOverInWhichATaskRuns() {
        FakeWorker first = world.machine(World.SMALL, "a");
        JobSpec fills =
                withTypes(
                        withTeam(World.spec(2, JobKind.SERVICE, 1, 2), "other"), List.of("small"));
        assertTrue(world.submit(0, fills, null));
        world.runS(10);
        assertEquals(first, placeOf(fills, 0));
        FakeWorker worker = world.machine(World.SMALL, "a");
        worker.hang(true);
        world.runS(25);
        worker.hang(false);
        world.runS(8);
        assertEquals(new WorkerIncarnation(2), worker.session());
        Heartbeat former = worker.snapshot();
        int leader = world.leader();
        worker.reboot();
        world.crash(leader);
        world.runS(12);
        JobSpec job = withTypes(World.spec(1, JobKind.SERVICE, 1, 1), List.of("small"));
        assertTrue(world.submit(world.leader(), job, null));
        world.runS(8);
        assertEquals(worker, placeOf(job, 0), "in the first session of its new life");
        // From now on the first machine has room, and would come first.
        assertTrue(world.cancel(world.leader(), fills.id()));
        world.runS(3);
        worker.hang(true);
        world.deliver(world.leader(), former);
        world.runS(8);
        assertEquals(worker, placeOf(job, 0), "it may go on at any time");
        worker.hang(false);
        world.calm();
        world.runS(60);
        assertTrue(allRun(job));
    }

    /**
     * An old report with a start, an end of an earlier attempt, or nothing at all reaches every
     * node as a leader begins.
     */
    @ParameterizedTest
    @ValueSource(strings = {"before the start", "while it ran", "of an earlier session"})
    void anOldReportReachesEveryNodeJustAsALeaderBegins(String when) {
        JobSpec job = World.spec(1, JobKind.SERVICE, 6, 1);
        if (when.equals("before the start")) {
            world.workers().forEach(world::keepForNext);
        }
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        if (!when.equals("before the start")) {
            world.workers().forEach(world::keepForNext);
        }
        if (when.equals("of an earlier session")) {
            world.workers().forEach(worker -> worker.hang(true));
            world.runS(25);
            world.workers().forEach(worker -> worker.hang(false));
            world.runS(30);
        }
        int starts = world.starts();
        int leader = world.leader();
        world.crash(leader);
        world.runS(25);
        assertTrue(world.deliveredToNext() > 0);
        assertFalse(world.leader() == leader);
        assertEquals(starts, world.starts(), "what runs goes on where it is");
        assertTrue(world.cancel(world.leader(), job.id()));
        world.runS(8);
        assertTrue(
                world.workers().stream().allMatch(worker -> worker.running().isEmpty()),
                "newer reports were heeded");
        assertEquals(Phase.CANCELLED, phase(job));
    }

    /**
     * An old report of machines that are gone names tasks, which nobody ever takes back, and the
     * cloud returns nothing.
     */
    @Test
    void whatMachinesThatAreGoneOnceReportedHoldsNobodyUp() {
        JobSpec job = World.spec(1, JobKind.ARRAY, 2, 8);
        assertTrue(world.submit(0, job, LONG));
        world.runS(10);
        assertTrue(
                world.submit(0, withTeam(World.spec(2, JobKind.SERVICE, 4, 8), "other"), null),
                "fills the other machines");
        world.runS(10);
        List<FakeWorker> gone = List.of(placeOf(job, 0), placeOf(job, 1));
        takenWithOldReports(gone);
        assertTrue(world.deliveredToNext() > 0);
        world.machine(World.LARGE, "a");
        world.machine(World.LARGE, "b");
        world.calm();
        // The judge watches that nothing waits beside room for it.
        world.runS(95);
        assertTrue(allRun(job));
    }

    /**
     * The cloud takes machines away, their tasks are proven lost, and the next leader hears of them
     * by old reports first.
     */
    private void takenWithOldReports(List<FakeWorker> gone) {
        world.cloudOut(true);
        gone.forEach(
                worker -> {
                    world.keepForNext(worker);
                    world.take(worker);
                });
        world.runS(30);
        world.crash(world.leader());
        world.runS(8);
    }

    @Test
    void oldReportsOfMachinesThatAreGoneDoNotMakeALeaderSeemDeaf() {
        for (int at = 0; at < 5; at++) {
            world.machine(World.LARGE, "a");
        }
        world.runS(10);
        takenWithOldReports(
                world.workers().stream().filter(worker -> worker.zone().equals("a")).toList());
        assertTrue(world.deliveredToNext() > 0);
        world.cloudOut(false);
        int leader = world.leader();
        long term = world.term();
        world.runS(60);
        assertEquals(leader, world.leader(), "it hears all that are there");
        assertEquals(term, world.term());
    }
}
