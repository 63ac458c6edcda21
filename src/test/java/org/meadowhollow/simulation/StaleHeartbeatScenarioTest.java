package org.meadowhollow.simulation;

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
class StaleHeartbeatScenarioTest extends ClusterTestBase {
    /**
     * Without a check of the session each task was started by the first answer, and stopped as a
     * stray by the next.
     */
    @Test
    void allNodesAreAwayForLongerThanTheLeaseAndNothingStartsInASessionThatItWasNotPlacedIn() {
        cluster.team("team", 0, 6);
        JobSpec running = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        JobSpec next = SimulatedCluster.spec(2, JobKind.ARRAY, 6, 1);
        assertTrue(cluster.submit(0, running, null));
        cluster.runS(10);
        assertTrue(cluster.submit(1, next, LONG));
        cluster.crashAll();
        cluster.runS(25);
        assertEquals(6, cluster.starts());
        assertTrue(
                cluster.workers().stream()
                        .allMatch(worker -> worker.session().equals(new WorkerIncarnation(2))),
                "all leases have run out");
        cluster.restartAll();
        cluster.runS(20);
        assertEquals(
                12,
                cluster.startOrders(),
                "each replica is started once more, and none is stopped at once");
    }

    /**
     * A gang's task that gave up waiting is started again in the same attempt. Taken for an exit,
     * the old report let the cancelled job end and its team's limit be used again while the task
     * was on its machine.
     */
    @Test
    void anExitThatWasTakenBackProvesNothingToTheNextLeader() {
        cluster.team("team", 0, 24);
        cluster.fetch(Duration.ofSeconds(30));
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.submit(0, gang, HOURS));
        cluster.runS(10);
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker =
                cluster.workers().stream()
                        .filter(one -> one.holds(first))
                        .findFirst()
                        .orElseThrow();
        assertTrue(
                cluster.submit(
                        0,
                        withTeam(SimulatedCluster.spec(3, JobKind.SERVICE, 3, 4), "other"),
                        null),
                "keeps the other machines");
        worker.giveUp(first);
        cluster.keepForNext(worker);
        cluster.runS(60);
        assertEquals(worker, placeOf(gang, 0), "it was started again in the same attempt");
        JobSpec next = array(2, 24);
        assertTrue(cluster.submit(1, next, HOURS));
        cluster.fetch(Duration.ofSeconds(1));
        cluster.cloudOut(true);
        worker.hang(true);
        int leader = cluster.leader();
        cluster.crash(leader);
        assertTrue(cluster.cancel((leader + 1) % 3, gang.id()));
        cluster.runS(12);
        assertTrue(
                cluster.deliveredToNext() > 0
                        && cluster.leader() != leader
                        && cluster.leader() >= 0);
        assertEquals(worker, placeOf(gang, 0), "it may go on at any time");
        // The judge of the limit watches from here on.
        cluster.runS(10);
        cluster.cloudOut(false);
        cluster.runS(60);
        assertTrue(allRun(next), "nobody waits for it for ever");
    }

    /**
     * A gang's task is replaced on its machine in the same attempt, and an exit from the session
     * before comes late.
     */
    @Test
    void anExitInAnEarlierSessionIsNotTheEndOfTheSameAttemptInTheNext() {
        cluster.fetch(Duration.ofSeconds(40));
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 6, 8);
        assertTrue(cluster.submit(0, gang, HOURS));
        cluster.runS(8);
        cluster.cloudOut(true);
        TaskId first = new TaskId(gang.id(), 0);
        FakeWorker worker =
                cluster.workers().stream()
                        .filter(one -> one.holds(first))
                        .findFirst()
                        .orElseThrow();
        worker.fail(first);
        cluster.keepForNext(worker);
        worker.hang(true);
        cluster.runS(22);
        cluster.fetch(Duration.ofSeconds(10));
        worker.hang(false);
        cluster.runS(40);
        assertTrue(allRun(gang));
        assertEquals(1, worker.attempt(first).value());
        assertEquals(new WorkerIncarnation(2), worker.session());
        worker.hang(true);
        cluster.cloudOut(false);
        cluster.machine(SimulatedCluster.LARGE, "b");
        cluster.fetch(Duration.ofSeconds(1));
        cluster.crash(cluster.leader());
        cluster.runS(14);
        assertTrue(cluster.deliveredToNext() > 0);
        worker.hang(false);
        cluster.runS(30);
        assertTrue(allRun(gang));
        // Its peers missed it, so there is a new attempt, none of whose tasks ran beside the former
        // one (the judge).
        assertEquals(12, cluster.starts());
    }

    /**
     * A report from before the start, without the task, reaches the next leader first, while the
     * machine cannot be asked.
     */
    @Test
    void anOldReportWithoutATaskDoesNotProveThatItNeverStarts() {
        cluster.team("team", 0, 12);
        cluster.workers().forEach(cluster::keepForNext);
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 12, 1);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(10);
        List<FakeWorker> silent = cluster.workers().subList(0, 3);
        silent.forEach(worker -> worker.hang(true));
        cluster.cloudOut(true);
        int leader = cluster.leader();
        cluster.crash(leader);
        assertTrue(cluster.cancel(other(leader, 1), job.id()));
        assertTrue(cluster.submit(other(leader, 1), array(2, 12), LONG));
        cluster.runS(11);
        assertTrue(cluster.deliveredToNext() > 0);
        assertTrue(
                silent.stream().anyMatch(worker -> !worker.running().isEmpty()),
                "they may go on at any time");
        cluster.runS(4);
        silent.forEach(worker -> worker.hang(false));
        cluster.calm();
        cluster.runS(60);
        assertTrue(allRun(array(2, 12)));
    }

    /**
     * The machine is back with its sessions begun anew, and a report of a higher session of its
     * former life comes late.
     */
    @Test
    void aHigherSessionOfAFormerLifeDoesNotProveTheSessionOverInWhichATaskRuns() {
        FakeWorker first = cluster.machine(SimulatedCluster.SMALL, "a");
        JobSpec fills =
                withTypes(
                        withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 1, 2), "other"),
                        List.of("small"));
        assertTrue(cluster.submit(0, fills, null));
        cluster.runS(10);
        assertEquals(first, placeOf(fills, 0));
        FakeWorker worker = cluster.machine(SimulatedCluster.SMALL, "a");
        worker.hang(true);
        cluster.runS(25);
        worker.hang(false);
        cluster.runS(8);
        assertEquals(new WorkerIncarnation(2), worker.session());
        Heartbeat former = worker.snapshot();
        int leader = cluster.leader();
        worker.reboot();
        cluster.crash(leader);
        cluster.runS(12);
        JobSpec job = withTypes(SimulatedCluster.spec(1, JobKind.SERVICE, 1, 1), List.of("small"));
        assertTrue(cluster.submit(cluster.leader(), job, null));
        cluster.runS(8);
        assertEquals(worker, placeOf(job, 0), "in the first session of its new life");
        // From now on the first machine has room, and would come first.
        assertTrue(cluster.cancel(cluster.leader(), fills.id()));
        cluster.runS(3);
        worker.hang(true);
        cluster.deliver(cluster.leader(), former);
        cluster.runS(8);
        assertEquals(worker, placeOf(job, 0), "it may go on at any time");
        worker.hang(false);
        cluster.calm();
        cluster.runS(60);
        assertTrue(allRun(job));
    }

    /**
     * An old report with a start, an end of an earlier attempt, or nothing at all reaches every
     * node as a leader begins.
     */
    @ParameterizedTest
    @ValueSource(strings = {"before the start", "while it ran", "of an earlier session"})
    void anOldReportReachesEveryNodeJustAsALeaderBegins(String when) {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        if (when.equals("before the start")) {
            cluster.workers().forEach(cluster::keepForNext);
        }
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(10);
        if (!when.equals("before the start")) {
            cluster.workers().forEach(cluster::keepForNext);
        }
        if (when.equals("of an earlier session")) {
            cluster.workers().forEach(worker -> worker.hang(true));
            cluster.runS(25);
            cluster.workers().forEach(worker -> worker.hang(false));
            cluster.runS(30);
        }
        int starts = cluster.starts();
        int leader = cluster.leader();
        cluster.crash(leader);
        cluster.runS(25);
        assertTrue(cluster.deliveredToNext() > 0);
        assertFalse(cluster.leader() == leader);
        assertEquals(starts, cluster.starts(), "what runs goes on where it is");
        assertTrue(cluster.cancel(cluster.leader(), job.id()));
        cluster.runS(8);
        assertTrue(
                cluster.workers().stream().allMatch(worker -> worker.running().isEmpty()),
                "newer reports were heeded");
        assertEquals(Phase.CANCELLED, phase(job));
    }

    /**
     * An old report of machines that are gone names tasks, which nobody ever takes back, and the
     * cloud returns nothing.
     */
    @Test
    void whatMachinesThatAreGoneOnceReportedHoldsNobodyUp() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8);
        assertTrue(cluster.submit(0, job, LONG));
        cluster.runS(10);
        assertTrue(
                cluster.submit(
                        0,
                        withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 4, 8), "other"),
                        null),
                "fills the other machines");
        cluster.runS(10);
        List<FakeWorker> gone = List.of(placeOf(job, 0), placeOf(job, 1));
        takenWithOldReports(gone);
        assertTrue(cluster.deliveredToNext() > 0);
        cluster.machine(SimulatedCluster.LARGE, "a");
        cluster.machine(SimulatedCluster.LARGE, "b");
        cluster.calm();
        // The judge watches that nothing waits beside room for it.
        cluster.runS(95);
        assertTrue(allRun(job));
    }

    /**
     * The cloud takes machines away, their tasks are proven lost, and the next leader hears of them
     * by old reports first.
     */
    private void takenWithOldReports(List<FakeWorker> gone) {
        cluster.cloudOut(true);
        gone.forEach(
                worker -> {
                    cluster.keepForNext(worker);
                    cluster.take(worker);
                });
        cluster.runS(30);
        cluster.crash(cluster.leader());
        cluster.runS(8);
    }

    @Test
    void oldReportsOfMachinesThatAreGoneDoNotMakeALeaderSeemDeaf() {
        for (int at = 0; at < 5; at++) {
            cluster.machine(SimulatedCluster.LARGE, "a");
        }
        cluster.runS(10);
        takenWithOldReports(
                cluster.workers().stream().filter(worker -> worker.zone().equals("a")).toList());
        assertTrue(cluster.deliveredToNext() > 0);
        cluster.cloudOut(false);
        int leader = cluster.leader();
        long term = cluster.term();
        cluster.runS(60);
        assertEquals(leader, cluster.leader(), "it hears all that are there");
        assertEquals(term, cluster.term());
    }
}
