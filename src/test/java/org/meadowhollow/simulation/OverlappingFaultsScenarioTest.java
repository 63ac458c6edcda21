package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.storage.RecordCodec;

/**
 * Cancellations that the one who answers the workers has not heard of: the state service refuses
 * the leader alone, another node confirms them, and then it is down for all. docs/meetings.md has
 * what each party believes at each step.
 */
class OverlappingFaultsScenarioTest extends ClusterTestBase {
    private List<JobSpec> longJobs() {
        List<JobSpec> jobs =
                List.of(
                        array(1, 12),
                        SimulatedCluster.spec(2, JobKind.GANG, 4, 2),
                        SimulatedCluster.spec(3, JobKind.SERVICE, 3, 1));
        for (JobSpec job : jobs) {
            assertTrue(cluster.submit(0, job, job.kind() == JobKind.SERVICE ? null : HOURS));
        }
        cluster.runS(15);
        jobs.forEach(job -> assertTrue(allRun(job), job.id() + " should run"));
        return jobs;
    }

    private void cancelAll(int node, List<JobSpec> jobs) {
        jobs.forEach(job -> assertTrue(cluster.cancel(node, job.id())));
        jobs.forEach(
                job ->
                        assertTrue(
                                allRun(job),
                                job.id() + " should still run when its cancellation is confirmed"));
    }

    /**
     * What the judge of {@link SimulatedCluster} watches over at each step, and that it had
     * something to watch.
     */
    private void goneInTime(List<JobSpec> jobs) {
        for (JobSpec job : jobs) {
            for (int task = 0; task < job.taskCount(); task++) {
                assertEquals(null, placeOf(job, task), "task " + task + " of " + job.id());
            }
        }
    }

    private void hideRecords() {
        for (int node = 0; node < 3; node++) {
            cluster.line(node).hide(RecordCodec.TASK_PREFIX);
        }
    }

    /**
     * The state service refuses the leader, no other node tells it anything, and another one
     * confirms the cancellations.
     */
    private void refusedAloneWhileCancelled(int leader, List<JobSpec> jobs) {
        cluster.peersCut(true);
        cluster.line(leader).cut(true);
        cancelAll(other(leader, 1), jobs);
    }

    private void outForAllAfter(int refused, List<JobSpec> jobs) {
        cluster.store().out(true);
        cluster.line(refused).cut(false);
        cluster.runS(90);
        goneInTime(jobs);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6, 12, 30})
    void refusedAloneForSecondsThenOutForAll(int refusedS) {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        refusedAloneWhileCancelled(leader, jobs);
        cluster.runS(refusedS);
        outForAllAfter(leader, jobs);
    }

    @Test
    void aLeaderThatIsServedForAnInstantRenewsAndKnowsNoMore() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        cluster.line(leader).failWatches(true);
        refusedAloneWhileCancelled(leader, jobs);
        for (int instant = 0; instant < 4; instant++) {
            cluster.runS(2);
            cluster.line(leader).cut(false);
            cluster.runS(0.75);
            cluster.line(leader).cut(true);
        }
        assertEquals(leader, cluster.leader(), "its renewals were answered");
        outForAllAfter(leader, jobs);
    }

    @Test
    void aLeaderWhoseWatchesFailReadsWhatItMissed() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        cluster.line(leader).failWatches(true);
        cancelAll(other(leader, 1), jobs);
        JobSpec another = array(4, 6);
        cluster.submit(other(leader, 2), another, HOURS);
        cluster.runS(40);
        goneInTime(jobs);
        assertEquals(leader, cluster.leader());
        assertTrue(allRun(another), "what was submitted meanwhile begins");
    }

    @Test
    void aNewLeaderThatHasNotLoadedRenewsNothing() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        hideRecords();
        refusedAloneWhileCancelled(leader, jobs);
        cluster.runS(10);
        assertFalse(leader == cluster.leader(), "another node leads, and is loading");
        outForAllAfter(leader, jobs);
    }

    @Test
    void leadersThatFollowOneAnotherWithoutTheRecords() {
        List<JobSpec> jobs = longJobs();
        hideRecords();
        int leader = cluster.leader();
        refusedAloneWhileCancelled(leader, jobs);
        for (int takeover = 0; takeover < 2; takeover++) {
            cluster.runS(9);
            int next = cluster.leader();
            assertTrue(next >= 0);
            cluster.line(next).cut(true);
            cluster.line(leader).cut(false);
            leader = next;
        }
        outForAllAfter(leader, jobs);
    }

    @Test
    void aPlainOutageLetsNoTaskGoSoonerThanTheRulesNeed() {
        List<JobSpec> jobs = longJobs();
        cluster.store().out(true);
        // cancel_s less a look's age and a second: what was not cancelled goes on for so long, and
        // through an outage shorter than it.
        cluster.runS(24);
        cluster.store().out(false);
        cluster.runS(20);
        jobs.forEach(job -> assertTrue(allRun(job)));
        assertEquals(19, cluster.starts());
    }

    @Test
    void anOutageThatLastsEndsAllLeasesAndAfterItAllRunAgain() {
        List<JobSpec> jobs = longJobs();
        cluster.store().out(true);
        cluster.runS(80);
        goneInTime(jobs);
        cluster.store().out(false);
        cluster.runS(90);
        jobs.forEach(job -> assertTrue(allRun(job)));
    }

    @Test
    void anAnswerBelowWhatWasShownIsNoNews() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        cluster.line(leader).goBack(true);
        cancelAll(other(leader, 1), jobs);
        cluster.runS(70);
        goneInTime(jobs);
    }

    @Test
    void aJobTakenInAndCancelledBetweenTwoLooksComesToItsEnd() {
        int leader = cluster.leader();
        cluster.line(leader).failWatches(true);
        JobSpec job = array(1, 2);
        assertTrue(cluster.submit(other(leader, 1), job, HOURS));
        assertTrue(cluster.cancel(other(leader, 1), job.id()));
        // All jobs are read instead, which shows it cancelled at once.
        cluster.runS(20);
        assertEquals(0, cluster.store().size(RecordCodec.JOB_PREFIX), "its end is written");
    }

    @Test
    void machinesThatAreBackAtOnceAreReturnedAndNobodyWaitsForThem() {
        List<JobSpec> jobs = longJobs();
        List<FakeWorker> back = cluster.workers().subList(0, 2);
        back.forEach(FakeWorker::reboot);
        cluster.runS(20);
        assertTrue(
                cluster.returned().containsAll(back.stream().map(FakeWorker::id).toList()),
                "what they report cannot be told from late copies");
        cluster.runS(10);
        jobs.forEach(job -> assertTrue(allRun(job)));
    }

    @Test
    void aCancelledTaskOfAFormerLifeIsNotWaitedForByALeaderThatMeetsTheNewOne() {
        JobSpec job = array(1, 1);
        FakeWorker worker = cluster.workers().get(0);
        worker.hang(true);
        cluster.runS(20);
        worker.hang(false);
        cluster.runS(8);
        for (FakeWorker other : cluster.workers()) {
            other.hang(other != worker);
        }
        assertTrue(cluster.submit(0, job, HOURS));
        cluster.runS(8);
        assertEquals(worker, placeOf(job, 0), "in its second session");
        cluster.workers().forEach(other -> other.hang(false));
        int leader = cluster.leader();
        worker.reboot();
        cluster.crash(leader);
        assertTrue(cluster.cancel(other(leader, 1), job.id()));
        cluster.runS(15);
        assertEquals(
                0, cluster.store().size(RecordCodec.TASK_PREFIX), "what it left is cleared away");
    }

    /**
     * Two tasks whose ends lie some ten seconds apart, and between them, at any moment around the
     * first, the leader ends.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 6, 9, 12})
    void jobsWhoseTasksEndFarApartAcrossAChangeOfLeaderAreDoneOnceAndWhole(int quartersOfASecond) {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8);
        assertTrue(cluster.submit(0, job, SHORT));
        for (int step = 0; step < 80 && placeOf(job, 1) == null; step++) {
            cluster.runS(0.25);
        }
        cluster.runS(7);
        FakeWorker second = placeOf(job, 1);
        second.hang(true);
        if (quartersOfASecond % 2 == 1) {
            // The end is not committed, so the worker may not be told to forget it.
            cluster.line(cluster.leader()).holdCommits();
        }
        for (int step = 0; step < 80 && placeOf(job, 0) != null; step++) {
            cluster.runS(0.25);
        }
        cluster.runS(quartersOfASecond * 0.25);
        int leader = cluster.leader();
        cluster.crash(leader);
        cluster.runS(5);
        assertFalse(phase(job) == Phase.DONE, "its second task has not ended");
        second.hang(false);
        cluster.restart(leader);
        cluster.runS(30);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(2, cluster.starts(), "no finished task runs again");
        assertEquals(
                0,
                cluster.store().size(RecordCodec.JOB_PREFIX)
                        + cluster.store().size(RecordCodec.TASK_PREFIX));
    }

    /**
     * A zone goes on inside with a controller that leads, and jobs are called off through the new
     * one outside.
     */
    @ParameterizedTest
    @ValueSource(ints = {20, 35, 60})
    void aZoneWithWorkersAndItsLeaderIsCutOffForLongerThanTheLease(int cutS) {
        List<JobSpec> jobs = longJobs();
        JobSpec stays = SimulatedCluster.spec(4, JobKind.SERVICE, 6, 2);
        assertTrue(cluster.submit(0, stays, null));
        cluster.runS(8);
        assertTrue(allRun(stays));
        int leader = cluster.leader();
        cluster.apart(leader, true);
        cluster.cutFromZone(leader, "b", true);
        cluster.cutFromZone(other(leader, 1), "a", true);
        cluster.cutFromZone(other(leader, 2), "a", true);
        cluster.runS(3);
        cancelAll(other(leader, 1), jobs);
        cluster.runS(12);
        assertFalse(leader == cluster.leader());
        assertTrue(
                jobs.stream()
                        .anyMatch(
                                job ->
                                        cluster.workers().stream()
                                                .anyMatch(
                                                        worker ->
                                                                worker.zone().equals("a")
                                                                        && worker.running().stream()
                                                                                .anyMatch(
                                                                                        task ->
                                                                                                task.jobId()
                                                                                                        .equals(
                                                                                                                job
                                                                                                                        .id())))),
                "the cut zone goes on inside");
        cluster.runS(cutS);
        cluster.apart(leader, false);
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, false);
        }
        cluster.runS(40);
        goneInTime(jobs);
        // What was not called off counts as running in the cut zone for as long as its leader may
        // have gone on answering.
        cluster.runS(30);
        assertTrue(allRun(stays));
        assertEquals(
                2,
                cluster.store().size(RecordCodec.JOB_PREFIX)
                        + cluster.store().size(RecordCodec.TASK_PREFIX));
    }

    /**
     * Each of a leader's writes for some seconds is carried out later, after the newer ones by
     * which it went on.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 2, 5, 8, 11})
    void whatALeaderWroteIsCarriedOutAfterItsNewerWrites(int fromS) {
        JobSpec first = SimulatedCluster.spec(1, JobKind.ARRAY, 6, 1);
        JobSpec second = SimulatedCluster.spec(2, JobKind.GANG, 2, 2);
        assertTrue(cluster.submit(0, first, SHORT));
        cluster.runS(fromS);
        int leader = cluster.leader();
        cluster.line(leader).lateWrites(1, fromS);
        cluster.submits(other(leader, 1), second, SHORT);
        cluster.runS(1.75);
        cluster.line(leader).lateWrites(0, 0);
        cluster.cancels(other(leader, 1), fromS % 2 == 0 ? first.id() : second.id());
        cluster.runS(40);
        assertTrue(cluster.line(leader).lateCommits() > 0, "executed after newer ones");
        assertEquals(fromS % 2 == 0 ? Phase.CANCELLED : Phase.DONE, phase(first));
        assertEquals(fromS % 2 == 0 ? Phase.DONE : Phase.CANCELLED, phase(second));
        assertEquals(
                0,
                cluster.store().size(RecordCodec.JOB_PREFIX)
                        + cluster.store().size(RecordCodec.TASK_PREFIX));
    }

    /**
     * The record of a start is written again over that of the task's end, and then the leader ends.
     */
    @Test
    void aStartThatIsWrittenAfterTheEndOfItsTaskIsRefused() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8);
        int leader = cluster.leader();
        cluster.line(leader).lateWritesBy(Duration.ofSeconds(9));
        assertTrue(cluster.submit(other(leader, 1), job, Duration.ofSeconds(3)));
        for (int step = 0; step < 20 && cluster.line(leader).waitingCommits() == 0; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        cluster.line(leader).lateWritesBy(null);
        for (int step = 0; step < 40 && placeOf(job, 1) == null; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        FakeWorker second = placeOf(job, 1);
        second.hang(true);
        for (int step = 0; step < 60 && cluster.line(leader).lateCommits() == 0; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertTrue(cluster.line(leader).lateCommits() > 0);
        assertEquals(null, placeOf(job, 0), "its task had ended");
        assertEquals(leader, cluster.leader());
        Map<String, Object> record =
                cluster.store().value(RecordCodec.TASK_PREFIX + job.id() + "/0");
        assertEquals(
                1,
                ((List<?>) record.get("placed")).size(),
                "the record of its start does not come back");
        cluster.crash(leader);
        second.hang(false);
        cluster.runS(40);
        assertEquals(2, cluster.starts());
        assertEquals(Phase.DONE, phase(job));
    }

    /** A job's end is on its way when another node confirms its cancellation. */
    @Test
    void anEndThatIsWrittenAfterTheCancellationIsRefused() {
        JobSpec job = array(1, 1);
        int leader = cluster.leader();
        assertTrue(cluster.submit(other(leader, 1), job, SHORT));
        cluster.runS(8);
        assertTrue(allRun(job));
        cluster.line(leader).lateWritesBy(Duration.ofSeconds(4));
        for (int step = 0; step < 60 && cluster.line(leader).waitingCommits() == 0; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        cluster.line(leader).lateWritesBy(null);
        assertTrue(cluster.cancel(other(leader, 1), job.id()));
        assertEquals(
                Phase.CANCELLED, cluster.poll(other(leader, 1), job.id()).orElseThrow().phase());
        cluster.runS(20);
        assertTrue(cluster.line(leader).lateCommits() > 0);
        for (int node = 0; node < 3; node++) {
            assertEquals(Phase.CANCELLED, cluster.poll(node, job.id()).orElseThrow().phase());
        }
        assertEquals(
                0,
                cluster.store().size(RecordCodec.JOB_PREFIX)
                        + cluster.store().size(RecordCodec.TASK_PREFIX));
    }

    /**
     * Places are committed and their starts not sent yet when the leader alone is refused and the
     * job is called off.
     */
    @Test
    void aLeaderThatIsRefusedAloneSendsNoStartsOfWhatWasCalledOffElsewhere() {
        cluster.workers().forEach(worker -> worker.hang(true));
        JobSpec job = array(1, 24);
        int leader = cluster.leader();
        assertTrue(cluster.submit(other(leader, 1), job, HOURS));
        cluster.runS(1.5);
        assertEquals(1, cluster.store().size(RecordCodec.TASK_PREFIX), "its places are committed");
        cluster.peersCut(true);
        cluster.line(leader).cut(true);
        assertTrue(cluster.cancel(other(leader, 1), job.id()));
        cluster.runS(2.5);
        assertEquals(leader, cluster.leader(), "its lease holds");
        cluster.workers().forEach(worker -> worker.hang(false));
        cluster.runS(1.5);
        assertEquals(0, cluster.startOrders(), "nobody told it, and it knows that it may not know");
        cluster.runS(60);
        assertEquals(0, cluster.judge().startsAfterCancellation());
        assertEquals(0, cluster.starts());
    }

    /**
     * Each answer of the state service takes 1.6 s, for longer than `cancel_s`, while users cancel,
     * ask and submit.
     */
    @Test
    void aSlowStateServiceStillLetsUsersAskAndCancelAndTasksGoOn() {
        List<JobSpec> jobs = longJobs();
        cluster.store().slow(Duration.ofMillis(800));
        cluster.runS(10);
        int leader = cluster.leader();
        JobSpec more = array(4, 3);
        assertTrue(cluster.submit(other(leader, 1), more, HOURS), "taken within five seconds");
        assertTrue(cluster.cancel(other(leader, 2), jobs.get(0).id()));
        for (int time = 0; time < 12; time++) {
            assertEquals(
                    Phase.CANCELLED,
                    cluster.poll(other(leader, 1), jobs.get(0).id()).orElseThrow().phase());
            assertTrue(cluster.poll(other(leader, 1), jobs.get(1).id()).isPresent());
            cluster.runS(3);
        }
        assertEquals(leader, cluster.leader(), "its lease is renewed in time");
        assertTrue(allRun(jobs.get(1)) && allRun(jobs.get(2)) && allRun(more));
        assertEquals(null, placeOf(jobs.get(0), 0));
        cluster.store().slow(null);
        cluster.runS(10);
        assertEquals(22, cluster.starts());
    }
}
