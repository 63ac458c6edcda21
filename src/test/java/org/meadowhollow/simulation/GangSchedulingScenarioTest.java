package org.meadowhollow.simulation;

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
class GangSchedulingScenarioTest extends ClusterTestBase {
    /** A gang of large tasks that are on their machines and wait for their image. */
    private JobSpec fetchingGang(int tasks, Duration fetch) {
        cluster.fetch(fetch);
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, tasks, 8);
        assertTrue(cluster.submit(0, gang, LONG));
        cluster.runS(10);
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
        return cluster.workers().stream()
                .filter(worker -> !worker.hung() && worker.holds(task))
                .findFirst()
                .orElseThrow();
    }

    private int countOn(JobSpec job) {
        int count = 0;
        for (int task = 0; task < job.taskCount(); task++) {
            count += cluster.on(new TaskId(job.id(), task)).size();
        }
        return count;
    }

    @Test
    void aGangRunsWholeOrNotAtAll() {
        JobSpec tooLarge = SimulatedCluster.spec(1, JobKind.GANG, 6, 8);
        JobSpec fits = SimulatedCluster.spec(2, JobKind.GANG, 3, 8);
        assertTrue(cluster.submit(0, fits, LONG));
        assertTrue(cluster.submit(0, tooLarge, LONG));
        cluster.cloudOut(true);
        cluster.runS(20);
        assertEquals(3, cluster.starts(), "three machines are left for a gang of six");
        cluster.cloudOut(false);
        cluster.runS(60);
        assertEquals(9, cluster.starts());
    }

    @Test
    void aTaskThatGaveUpWaitingForItsGangWaitsAnewInTheSameAttempt() {
        JobSpec gang = fetchingGang(3, Duration.ofSeconds(40));
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker = holder(first);
        worker.giveUp(first);
        cluster.runS(90);
        assertEquals(3, cluster.starts());
        assertFirstAttempt(gang);
        assertEquals(worker, holder(first));
    }

    @Test
    void aGangThatHasNotBegunGetsAReplacementInTheSameAttempt() {
        JobSpec gang = fetchingGang(3, Duration.ofSeconds(40));
        TaskId lost = new TaskId(gang.id(), 1);
        FakeWorker worker = holder(lost);
        worker.hang(true);
        cluster.runS(80);
        assertEquals(3, cluster.starts());
        assertTrue(holder(lost) != worker);
        assertFirstAttempt(gang);
    }

    @Test
    void aGangWithoutAReplacementLetsGoOfItsMachines() {
        JobSpec gang = fetchingGang(6, Duration.ofMinutes(5));
        cluster.cloudOut(true);
        holder(new TaskId(gang.id(), 1)).hang(true);
        cluster.runS(70);
        assertTrue(
                cluster.workers().stream()
                        .noneMatch(
                                worker ->
                                        !worker.hung() && worker.holds(new TaskId(gang.id(), 0))));
    }

    @Test
    void tasksOfAGangThatReportTheirEndTogetherEndItOnce() {
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        JobSpec after = array(2, 2);
        assertTrue(cluster.submit(0, gang, SHORT));
        cluster.runS(25);
        assertEquals(Phase.DONE, phase(gang));
        assertTrue(cluster.submit(0, after, SHORT));
        cluster.runS(25);
        assertEquals(
                Phase.DONE, phase(after), "a write that fails for ever would block all others");
    }

    @Test
    void replicasSpreadOverZonesAndGangsKeepTogether() {
        JobSpec spread = zoned(SimulatedCluster.spec(1, JobKind.SERVICE, 5, 2), false, true);
        JobSpec together = zoned(SimulatedCluster.spec(2, JobKind.GANG, 2, 8), true, false);
        assertTrue(cluster.submit(0, together, LONG));
        assertTrue(cluster.submit(0, spread, null));
        cluster.runS(15);
        assertEquals(7, cluster.starts());
        FakeWorker lost = placeOf(spread, 0);
        lost.hang(true);
        cluster.runS(60);
        assertEquals(5, countOn(spread));
    }

    @Test
    void aGangThatLosesATaskStartsAnewAsAWhole() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.submit(0, job, LONG));
        cluster.runS(12);
        assertEquals(3, cluster.starts());
        FakeWorker failing = placeOf(job, 1);
        failing.fail(new TaskId(job.id(), 1));
        cluster.runS(20);
        assertEquals(6, cluster.starts());
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
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.submit(0, gang, Duration.ofHours(2)));
        cluster.runS(10);
        assertTrue(
                cluster.submit(
                        0,
                        withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 3, 8), "other"),
                        null),
                "fills the other machines");
        cluster.runS(10);
        assertEquals(6, cluster.starts());
        cluster.mostMachines(0);
        List<FakeWorker> rest = List.of(placeOf(gang, 0), placeOf(gang, 2));
        cluster.fail(placeOf(gang, 1));
        rest.forEach(worker -> worker.hang(true));
        int leader = cluster.leader();
        cluster.crash(leader);
        cluster.runS(12);
        assertTrue(cluster.leader() >= 0 && cluster.leader() != leader);
        rest.forEach(worker -> worker.hang(false));
        cluster.runS(6);
        cluster.machine(SimulatedCluster.LARGE, "a");
        cluster.calm();
        // The judge watches that nothing waits beside room for it.
        cluster.runS(60);
        assertTrue(allRun(gang), "whole, in a new attempt");
        assertEquals(2, placeOf(gang, 0).attempt(new TaskId(gang.id(), 0)).value());
    }
}
