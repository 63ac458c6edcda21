package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.bookkeeping.Cause;
import org.meadowhollow.bookkeeping.JobId;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.bookkeeping.Priority;
import org.meadowhollow.bookkeeping.Report;
import org.meadowhollow.bookkeeping.TaskId;
import org.meadowhollow.bookkeeping.TaskState;
import org.meadowhollow.coordination.Admission.Phase;

/** What happens to jobs while things fail; {@link World} checks the protocol's rules at every step. */
class StoriesTest {
    private static final Duration SHORT = Duration.ofSeconds(10);
    private static final Duration LONG = Duration.ofMinutes(5);

    private World world;

    @BeforeEach
    void threeNodesAndSomeMachines() {
        world = new World();
        for (int at = 0; at < 3; at++) {
            world.machine(World.LARGE, "a");
            world.machine(World.LARGE, "b");
        }
        world.runS(12);
    }

    private static JobSpec array(int number, int tasks) {
        return World.spec(number, Kind.ARRAY, tasks, 1);
    }

    private static JobSpec inZone(JobSpec spec, String zone) {
        return new JobSpec(spec.id(), spec.jobClass(), spec.team(), spec.kind(), spec.priority(), spec.tasks(),
                spec.perTask(), spec.types(), zone, spec.oneZone(), spec.spread(), spec.spot(), spec.image(),
                spec.imageGb(), spec.estimateS(), spec.checkpointS(), spec.saveS(), spec.deadlineS());
    }

    private Phase phase(JobSpec spec) {
        for (int node = 0; node < 3; node++) {
            var state = world.poll(node, spec.id());
            if (state.isPresent()) {
                return state.get().phase();
            }
        }
        return null;
    }

    /** A gang of large tasks that are on their machines and wait for their image. */
    private JobSpec fetchingGang(int tasks, Duration fetch) {
        world.fetch(fetch);
        JobSpec gang = World.spec(1, Kind.GANG, tasks, 8);
        assertTrue(world.submit(0, gang, LONG));
        world.runS(10);
        return gang;
    }

    private void assertFirstAttempt(JobSpec gang) {
        for (int task = 0; task < gang.tasks(); task++) {
            TaskId each = new TaskId(gang.id(), task);
            assertEquals(1, holder(each).attempt(each).value(), "the fetches of the others went on");
        }
    }

    /** The machine that is not hung and has a task in some state. */
    private FakeWorker holder(TaskId task) {
        return world.workers().stream().filter(worker -> !worker.hung() && worker.holds(task)).findFirst()
                .orElseThrow();
    }

    private FakeWorker placeOf(JobSpec spec, int task) {
        List<FakeWorker> places = world.on(new TaskId(spec.id(), task));
        return places.isEmpty() ? null : places.get(0);
    }

    @Test
    void anAcceptedJobRunsAndEveryNodeSaysThatItIsDone() {
        JobSpec job = array(1, 7);
        assertTrue(world.submit(1, job, SHORT));
        world.runS(30);
        for (int node = 0; node < 3; node++) {
            assertEquals(Phase.DONE, world.poll(node, job.id()).orElseThrow().phase());
        }
        assertEquals(7, world.starts());
        assertEquals(0, world.store().size("job/") + world.store().size("task/"), "live records are left");
    }

    @Test
    void aJobThatNobodySubmittedIsNotFound() {
        assertTrue(world.poll(0, new JobId("req-999999")).isEmpty());
        assertTrue(world.cancel(1, new JobId("req-999999")));
        assertEquals(0, world.store().size("job/"));
    }

    @Test
    void aSubmissionWhoseAnswerWasLostMakesOneJob() {
        JobSpec job = array(1, 2);
        world.line(0).loseAnswers(true);
        world.submit(0, job, SHORT);
        world.line(0).loseAnswers(false);
        assertTrue(world.submit(1, job, SHORT));
        world.runS(30);
        assertEquals(Phase.DONE, phase(job));
        assertTrue(world.submit(2, job, SHORT));
        assertEquals(2, world.starts());
    }

    @Test
    void aGangRunsWholeOrNotAtAll() {
        JobSpec tooLarge = World.spec(1, Kind.GANG, 6, 8);
        JobSpec fits = World.spec(2, Kind.GANG, 3, 8);
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
    void aStartNeedNotWaitForTheNextReport() {
        // All machines report every 3 s from the same moment on, and have just done so.
        world.runS(3.25);
        JobSpec job = array(1, 6);
        assertTrue(world.submit(0, job, LONG));
        world.runS(1.5);
        assertTrue(world.workers().stream().anyMatch(worker -> worker.holds(new TaskId(job.id(), 0))));
    }

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
        assertTrue(world.workers().stream().noneMatch(
                worker -> !worker.hung() && worker.holds(new TaskId(gang.id(), 0))));
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
        JobSpec job = World.spec(1, Kind.SERVICE, 4, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(15);
        int old = world.leader();
        world.line(old).cut(true);
        world.runS(3);
        assertTrue(world.cancel((old + 1) % 3, job.id()));
        world.runS(15);
        assertTrue(world.workers().stream().allMatch(worker -> worker.running().isEmpty()),
                "a hint of the new term makes the old leader let go at once");
    }

    @Test
    void aLeaderThatHearsNothingOfItsDepositionStillFallsSilent() {
        JobSpec job = World.spec(1, Kind.SERVICE, 4, 1);
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
    void aHungMachinesTasksRunElsewhereAndItMayGoOnLater() {
        JobSpec job = World.spec(1, Kind.SERVICE, 1, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        FakeWorker hung = placeOf(job, 0);
        world.cloudOut(true);
        hung.hang(true);
        world.runS(12);
        assertEquals(1, world.starts(), "its lease may still hold");
        world.runS(20);
        assertEquals(2, world.starts());
        hung.hang(false);
        world.runS(20);
        assertEquals(1, world.on(new TaskId(job.id(), 0)).size());
    }

    @Test
    void aMachineThatNeverShowedTheNewTokenHoldsItsTasksForTheWholeLimit() {
        JobSpec job = World.spec(1, Kind.SERVICE, 1, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        FakeWorker hung = placeOf(job, 0);
        world.cloudOut(true);
        hung.hang(true);
        world.crash(world.leader());
        world.runS(40);
        assertEquals(1, world.starts(), "an earlier leader might still renew its lease");
        world.runS(30);
        assertEquals(2, world.starts());
    }

    @Test
    void aStartWhoseAnswerWasLostIsSentAgain() {
        world.workers().forEach(worker -> worker.deaf(true));
        JobSpec job = array(1, 2);
        assertTrue(world.submit(0, job, SHORT));
        world.runS(7);
        assertEquals(0, world.starts());
        world.workers().forEach(worker -> worker.deaf(false));
        world.runS(25);
        assertEquals(2, world.starts());
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void aCancelledJobIsGoneAndStaysCancelled() {
        JobSpec job = World.spec(1, Kind.SERVICE, 5, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        assertTrue(world.cancel(2, job.id()));
        world.runS(10);
        assertTrue(world.workers().stream().allMatch(worker -> worker.running().isEmpty()));
        assertEquals(Phase.CANCELLED, phase(job));
        assertTrue(world.submit(1, job, null));
        world.runS(20);
        assertEquals(5, world.starts());
    }

    @Test
    void aCancelledTaskOnAMachineOutOfReachIsGoneInTime() {
        JobSpec job = array(1, 1);
        assertTrue(world.submit(0, job, LONG));
        world.runS(10);
        FakeWorker hung = placeOf(job, 0);
        hung.hang(true);
        // Direct commands and reports fail from here on; the limit is 48 s, and half of it is waited.
        assertTrue(world.cancel(1, job.id()));
        world.runS(2);
        for (int node = 0; node < 3; node++) {
            world.crash(node);
            world.restart(node);
        }
        world.runS(30);
        assertFalse(world.workers().contains(hung), "its lease may last for 48 s after the takeover");
    }

    @Test
    void aReplicaIsMovedFromASilentMachineBeforeItsLeaseEnds() {
        JobSpec job = World.spec(1, Kind.SERVICE, 1, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        placeOf(job, 0).hang(true);
        world.runS(16);
        assertEquals(2, world.starts());
    }

    @Test
    void manySilentMachinesAreNotGivenUpAtOnce() {
        JobSpec job = zoned(World.spec(1, Kind.SERVICE, 4, 8), false, false);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        int before = world.workers().size();
        for (int task = 0; task < 4; task++) {
            placeOf(job, task).hang(true);
        }
        world.runS(16);
        assertEquals(before, world.workers().size(), "the fault may be on this side");
    }

    @Test
    void aJobCancelledBehindTheLeadersBackIsNotStarted() {
        world.workers().forEach(worker -> worker.hang(true));
        world.cloudOut(true);
        world.runS(10);
        JobSpec job = array(1, 1);
        assertTrue(world.submit(0, job, LONG));
        world.runS(3);
        int leader = world.leader();
        world.line(leader).blind(true);
        assertTrue(world.cancel((leader + 1) % 3, job.id()));
        world.workers().forEach(worker -> worker.hang(false));
        world.runS(20);
        assertEquals(leader, world.leader());
        assertEquals(0, world.starts());
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

    @Test
    void aReportThatComesLateIsDropped() {
        JobSpec job = World.spec(1, Kind.SERVICE, 1, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        FakeWorker place = placeOf(job, 0);
        Report now = place.snapshot();
        Report late = new Report(now.machine(), now.address(), now.type(), now.zone(), now.spot(), now.session(), 1,
                now.token(), Double.NaN, List.of(new Report.Task(new TaskId(job.id(), 0),
                        place.attempt(new TaskId(job.id(), 0)), TaskState.EXITED, Cause.ERROR)));
        world.deliver(world.leader(), late);
        world.runS(15);
        assertEquals(1, world.starts());
    }

    @Test
    void aSuccessorEndsAJobWhoseLastTaskItsPredecessorNoted() {
        JobSpec job = array(1, 2);
        world.cloudOut(true);
        world.workers().forEach(worker -> worker.hang(true));
        world.runS(10);
        assertTrue(world.submit(0, job, SHORT));
        world.crashAll();
        for (int task = 0; task < 2; task++) {
            world.completed(new TaskId(job.id(), task));
        }
        world.store().put("task/" + job.id() + "/0", Map.of("last", 1L, "done", List.of(0L, 2L), "placed", List.of()));
        world.restart(0);
        world.runS(10);
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void tasksOfAGangThatReportTheirEndTogetherEndItOnce() {
        JobSpec gang = World.spec(1, Kind.GANG, 3, 8);
        JobSpec after = array(2, 2);
        assertTrue(world.submit(0, gang, SHORT));
        world.runS(25);
        assertEquals(Phase.DONE, phase(gang));
        assertTrue(world.submit(0, after, SHORT));
        world.runS(25);
        assertEquals(Phase.DONE, phase(after), "a write that fails for ever would block all others");
    }

    @Test
    void aTeamNeverUsesMoreThanItsLimit() {
        world.team("small", 0, 3);
        JobSpec plain = array(1, 9);
        JobSpec job = withTeam(plain, "small");
        assertTrue(world.submit(0, job, SHORT));
        world.runS(9);
        world.crash(world.leader());
        world.runS(120);
        assertEquals(Phase.DONE, phase(job));
    }

    private static JobSpec withTeam(JobSpec spec, String team) {
        return new JobSpec(spec.id(), spec.jobClass(), team, spec.kind(), spec.priority(), spec.tasks(),
                spec.perTask(), spec.types(), spec.zone(), spec.oneZone(), spec.spread(), spec.spot(),
                spec.image(), spec.imageGb(), spec.estimateS(), spec.checkpointS(), spec.saveS(),
                spec.deadlineS());
    }

    private static JobSpec zoned(JobSpec spec, boolean oneZone, boolean spread) {
        return new JobSpec(spec.id(), spec.jobClass(), spec.team(), spec.kind(), Priority.HIGH, spec.tasks(),
                spec.perTask(), List.of("large"), spec.zone(), oneZone, spread, spec.spot(), spec.image(),
                spec.imageGb(), spec.estimateS(), spec.checkpointS(), spec.saveS(), spec.deadlineS());
    }

    @Test
    void replicasSpreadOverZonesAndGangsKeepTogether() {
        JobSpec spread = zoned(World.spec(1, Kind.SERVICE, 5, 2), false, true);
        JobSpec together = zoned(World.spec(2, Kind.GANG, 2, 8), true, false);
        assertTrue(world.submit(0, together, LONG));
        assertTrue(world.submit(0, spread, null));
        world.runS(15);
        assertEquals(7, world.starts());
        FakeWorker lost = placeOf(spread, 0);
        lost.hang(true);
        world.runS(60);
        assertEquals(5, countOn(spread));
    }

    private int countOn(JobSpec job) {
        int count = 0;
        for (int task = 0; task < job.tasks(); task++) {
            count += world.on(new TaskId(job.id(), task)).size();
        }
        return count;
    }

    @Test
    void aGangThatLosesATaskStartsAnewAsAWhole() {
        JobSpec job = World.spec(1, Kind.GANG, 3, 8);
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

    @Test
    void aHugeJobKeepsItsRecordsSmallAndLeavesRoomForOthers() {
        JobSpec huge = array(1, 100_000);
        JobSpec other = zoned(array(2, 3), false, false);
        assertTrue(world.submit(0, huge, LONG));
        world.runS(5);
        assertTrue(world.submit(1, other, SHORT));
        world.runS(120);
        assertEquals(Phase.DONE, phase(other));
        assertTrue(world.store().largestValue() <= 16 * 1024);
        assertTrue(world.line(world.leader()).mostWrites() <= 12);
        assertTrue(world.cancel(0, huge.id()));
        world.runS(60);
        assertEquals(0, world.store().size("task/"));
    }

    @Test
    void aTaskThatAlwaysFailsIsNotStartedInAFlood() {
        JobSpec job = array(1, 1);
        assertTrue(world.submit(0, job, LONG));
        for (int second = 0; second < 120; second++) {
            FakeWorker place = placeOf(job, 0);
            if (place != null) {
                place.fail(new TaskId(job.id(), 0));
            }
            world.runS(1);
        }
        assertTrue(world.starts() >= 3 && world.starts() < 14, "started " + world.starts() + " times");
    }

    @Test
    void aReplicaLeavesAMachineThatIsTakenBack() {
        JobSpec job = World.spec(1, Kind.SERVICE, 1, 1);
        assertTrue(world.submit(0, job, null));
        world.runS(10);
        FakeWorker first = placeOf(job, 0);
        first.notice(25);
        world.runS(15);
        FakeWorker second = placeOf(job, 0);
        assertTrue(second != null && second != first);
    }

    @Test
    void whatCanNeverRunIsRefused() {
        assertFalse(world.submit(0, World.spec(1, Kind.ARRAY, 1, 9), SHORT), "no machine has nine");
        assertFalse(world.submit(0, withTeam(array(2, 1), "nobody"), SHORT));
        world.team("small", 0, 3);
        assertFalse(world.submit(0, withTeam(World.spec(3, Kind.GANG, 4, 1), "small"), SHORT));
        assertTrue(world.submit(0, withTeam(array(4, 4), "small"), SHORT), "an array runs a task at a time");
    }

    @Test
    void machinesAreRentedForWorkAndReturnedWhenIdle() {
        JobSpec job = array(1, 60);
        int before = world.workers().size();
        assertTrue(world.submit(0, job, Duration.ofSeconds(30)));
        world.runS(40);
        assertTrue(world.workers().size() > before);
        world.runS(200);
        assertEquals(Phase.DONE, phase(job));
        assertTrue(world.workers().size() <= 1, world.workers().size() + " are left idle");
    }
}
