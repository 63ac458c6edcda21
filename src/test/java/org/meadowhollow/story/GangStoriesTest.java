package org.meadowhollow.story;

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

/** Tasks that run together, or apart over zones. */
class GangStoriesTest extends Story {
    /** A gang of large tasks that are on their machines and wait for their image. */
    private JobSpec fetchingGang(int tasks, Duration fetch) {
        world.fetch(fetch);
        JobSpec gang = World.spec(1, JobKind.GANG, tasks, 8);
        assertTrue(world.submit(0, gang, LONG));
        world.runS(10);
        return gang;
    }

    private void assertFirstAttempt(JobSpec gang) {
        for (int task = 0; task < gang.taskCount(); task++) {
            TaskId each = new TaskId(gang.id(), task);
            assertEquals(
                    1, holder(each).attempt(each).value(), "the fetches of the others went on");
        }
    }

    /** The machine that is not hung and has a task in some state. */
    private FakeWorker holder(TaskId task) {
        return world.workers().stream()
                .filter(worker -> !worker.hung() && worker.holds(task))
                .findFirst()
                .orElseThrow();
    }

    private int countOn(JobSpec job) {
        int count = 0;
        for (int task = 0; task < job.taskCount(); task++) {
            count += world.on(new TaskId(job.id(), task)).size();
        }
        return count;
    }

    @Test
    void aGangRunsWholeOrNotAtAll() {
        JobSpec tooLarge = World.spec(1, JobKind.GANG, 6, 8);
        JobSpec fits = World.spec(2, JobKind.GANG, 3, 8);
        assertTrue(world.submit(0, fits, LONG));
        assertTrue(world.submit(0, tooLarge, LONG));
        world.cloudOut(true);
        world.runS(20);
        assertEquals(3, world.starts(), "three machines are left for a gang of six");
        world.cloudOut(false);
        world.runS(60);
        assertEquals(9, world.starts());
    }

    @Test
    void aTaskThatGaveUpWaitingForItsGangWaitsAnewInTheSameAttempt() {
        JobSpec gang = fetchingGang(3, Duration.ofSeconds(40));
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker = holder(first);
        worker.giveUp(first);
        world.runS(90);
        assertEquals(3, world.starts());
        assertFirstAttempt(gang);
        assertEquals(worker, holder(first));
    }

    @Test
    void aGangThatHasNotBegunGetsAReplacementInTheSameAttempt() {
        JobSpec gang = fetchingGang(3, Duration.ofSeconds(40));
        TaskId lost = new TaskId(gang.id(), 1);
        FakeWorker worker = holder(lost);
        worker.hang(true);
        world.runS(80);
        assertEquals(3, world.starts());
        assertTrue(holder(lost) != worker);
        assertFirstAttempt(gang);
    }

    @Test
    void aGangWithoutAReplacementLetsGoOfItsMachines() {
        JobSpec gang = fetchingGang(6, Duration.ofMinutes(5));
        world.cloudOut(true);
        holder(new TaskId(gang.id(), 1)).hang(true);
        world.runS(70);
        assertTrue(
                world.workers().stream()
                        .noneMatch(
                                worker ->
                                        !worker.hung() && worker.holds(new TaskId(gang.id(), 0))));
    }

    @Test
    void tasksOfAGangThatReportTheirEndTogetherEndItOnce() {
        JobSpec gang = World.spec(1, JobKind.GANG, 3, 8);
        JobSpec after = array(2, 2);
        assertTrue(world.submit(0, gang, SHORT));
        world.runS(25);
        assertEquals(Phase.DONE, phase(gang));
        assertTrue(world.submit(0, after, SHORT));
        world.runS(25);
        assertEquals(
                Phase.DONE, phase(after), "a write that fails for ever would block all others");
    }

    @Test
    void replicasSpreadOverZonesAndGangsKeepTogether() {
        JobSpec spread = zoned(World.spec(1, JobKind.SERVICE, 5, 2), false, true);
        JobSpec together = zoned(World.spec(2, JobKind.GANG, 2, 8), true, false);
        assertTrue(world.submit(0, together, LONG));
        assertTrue(world.submit(0, spread, null));
        world.runS(15);
        assertEquals(7, world.starts());
        FakeWorker lost = placeOf(spread, 0);
        lost.hang(true);
        world.runS(60);
        assertEquals(5, countOn(spread));
    }

    @Test
    void aGangThatLosesATaskStartsAnewAsAWhole() {
        JobSpec job = World.spec(1, JobKind.GANG, 3, 8);
        assertTrue(world.submit(0, job, LONG));
        world.runS(12);
        assertEquals(3, world.starts());
        FakeWorker failing = placeOf(job, 1);
        failing.fail(new TaskId(job.id(), 1));
        world.runS(20);
        assertEquals(6, world.starts());
        List<Integer> attempts = new ArrayList<>();
        for (int task = 0; task < 3; task++) {
            attempts.add(placeOf(job, task).attempt(new TaskId(job.id(), task)).value());
        }
        assertEquals(List.of(2, 2, 2), attempts);
    }

    /**
     * A gang's machine fails, and the next leader hears that before it hears that the gang has
     * begun. Its other tasks cannot be completed to a whole attempt any more; without a guard they
     * kept their machines, and the gang waited, for ever.
     */
    @Test
    void aTaskIsLostBeforeTheNextLeaderHearsThatTheGangHasBegun() {
        JobSpec gang = World.spec(1, JobKind.GANG, 3, 8);
        assertTrue(world.submit(0, gang, Duration.ofHours(2)));
        world.runS(10);
        assertTrue(
                world.submit(0, withTeam(World.spec(2, JobKind.SERVICE, 3, 8), "other"), null),
                "fills the other machines");
        world.runS(10);
        assertEquals(6, world.starts());
        world.mostMachines(0);
        List<FakeWorker> rest = List.of(placeOf(gang, 0), placeOf(gang, 2));
        world.fail(placeOf(gang, 1));
        rest.forEach(worker -> worker.hang(true));
        int leader = world.leader();
        world.crash(leader);
        world.runS(12);
        assertTrue(world.leader() >= 0 && world.leader() != leader);
        rest.forEach(worker -> worker.hang(false));
        world.runS(6);
        world.machine(World.LARGE, "a");
        world.calm();
        // The judge watches that nothing waits beside room for it.
        world.runS(60);
        assertTrue(allRun(gang), "whole, in a new attempt");
        assertEquals(2, placeOf(gang, 0).attempt(new TaskId(gang.id(), 0)).value());
    }
}
