package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.storage.RecordKeys;

/**
 * Cancellations that the leader does not know of: the store refuses the leader alone, another
 * controller confirms them, and then the store is out for all. docs/overlapping-faults.md says what
 * each party believes at each step.
 */
class OverlappingFaultsScenarioTest extends ClusterTestBase {
    private List<JobSpec> longJobs() {
        List<JobSpec> jobs =
                List.of(
                        array(1, 12),
                        SimulatedCluster.spec(2, JobKind.GANG, 4, 2),
                        SimulatedCluster.spec(3, JobKind.SERVICE, 3, 1));
        for (JobSpec job : jobs) {
            assertTrue(
                    cluster.users()
                            .submit(0, job, job.kind() == JobKind.SERVICE ? null : HOURS_RUNTIME));
        }
        cluster.runSeconds(15);
        jobs.forEach(job -> assertTrue(allTasksRunning(job), job.id() + " should run"));
        return jobs;
    }

    private void cancelAll(int node, List<JobSpec> jobs) {
        jobs.forEach(job -> assertTrue(cluster.users().cancel(node, job.id())));
        jobs.forEach(
                job ->
                        assertTrue(
                                allTasksRunning(job),
                                job.id() + " should still run when its cancellation is confirmed"));
    }

    /**
     * What the history checker of {@link SimulatedCluster} checks at each step, and that there was
     * something to check.
     */
    private void assertStoppedWithinBound(List<JobSpec> jobs) {
        for (JobSpec job : jobs) {
            for (int task = 0; task < job.taskCount(); task++) {
                assertEquals(null, machineRunning(job, task), "task " + task + " of " + job.id());
            }
        }
    }

    private void hideTaskRecords() {
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).hidePrefix(RecordKeys.TASK_PREFIX);
        }
    }

    /**
     * The store refuses the leader, no other controller can inform it, and another one confirms the
     * cancellations.
     */
    private void cancelWhileLeaderIsRefusedAlone(int leader, List<JobSpec> jobs) {
        cluster.network().cutPeers(true);
        cluster.storeConnection(leader).refuseRequests(true);
        cancelAll(nodeAfter(leader, 1), jobs);
    }

    private void failStoreForAllAfter(int refused, List<JobSpec> jobs) {
        cluster.store().setOutage(true);
        cluster.storeConnection(refused).refuseRequests(false);
        cluster.runSeconds(90);
        assertStoppedWithinBound(jobs);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6, 12, 30})
    void storeRefusesLeaderAloneThenFailsForAll(int refusedS) {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        cancelWhileLeaderIsRefusedAlone(leader, jobs);
        cluster.runSeconds(refusedS);
        failStoreForAllAfter(leader, jobs);
    }

    @Test
    void leaderServedBrieflyRenewsLeaseButLearnsNothingNew() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        cluster.storeConnection(leader).failWatches(true);
        cancelWhileLeaderIsRefusedAlone(leader, jobs);
        for (int instant = 0; instant < 4; instant++) {
            cluster.runSeconds(2);
            cluster.storeConnection(leader).refuseRequests(false);
            cluster.runSeconds(0.75);
            cluster.storeConnection(leader).refuseRequests(true);
        }
        assertEquals(leader, cluster.leader(), "its renewals were answered");
        failStoreForAllAfter(leader, jobs);
    }

    @Test
    void leaderWithFailingWatchesReadsMissedChanges() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        cluster.storeConnection(leader).failWatches(true);
        cancelAll(nodeAfter(leader, 1), jobs);
        JobSpec another = array(4, 6);
        cluster.users().submit(nodeAfter(leader, 2), another, HOURS_RUNTIME);
        cluster.runSeconds(40);
        assertStoppedWithinBound(jobs);
        assertEquals(leader, cluster.leader());
        assertTrue(allTasksRunning(another), "what was submitted meanwhile begins");
    }

    @Test
    void newLeaderRenewsNoTaskLeasesBeforeRecovery() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        hideTaskRecords();
        cancelWhileLeaderIsRefusedAlone(leader, jobs);
        cluster.runSeconds(10);
        assertFalse(leader == cluster.leader(), "another node leads, and is loading");
        failStoreForAllAfter(leader, jobs);
    }

    @Test
    void consecutiveLeadersWithoutRecordsKeepTasks() {
        List<JobSpec> jobs = longJobs();
        hideTaskRecords();
        int leader = cluster.leader();
        cancelWhileLeaderIsRefusedAlone(leader, jobs);
        for (int takeover = 0; takeover < 2; takeover++) {
            cluster.runSeconds(9);
            int next = cluster.leader();
            assertTrue(next >= 0);
            cluster.storeConnection(next).refuseRequests(true);
            cluster.storeConnection(leader).refuseRequests(false);
            leader = next;
        }
        failStoreForAllAfter(leader, jobs);
    }

    @Test
    void plainStoreOutageReleasesNoTaskTooEarly() {
        List<JobSpec> jobs = longJobs();
        cluster.store().setOutage(true);
        // The cancellation bound less the age of a read and a second: tasks that were not
        // cancelled run on for so long, and through an outage shorter than it.
        cluster.runSeconds(24);
        cluster.store().setOutage(false);
        cluster.runSeconds(20);
        jobs.forEach(job -> assertTrue(allTasksRunning(job)));
        assertEquals(19, cluster.startCount());
    }

    @Test
    void longStoreOutageExpiresAllLeasesAndTasksRunAgainAfterwards() {
        List<JobSpec> jobs = longJobs();
        cluster.store().setOutage(true);
        cluster.runSeconds(80);
        assertStoppedWithinBound(jobs);
        cluster.store().setOutage(false);
        cluster.runSeconds(90);
        jobs.forEach(job -> assertTrue(allTasksRunning(job)));
    }

    @Test
    void watchResponseWithOlderRevisionIsIgnored() {
        List<JobSpec> jobs = longJobs();
        int leader = cluster.leader();
        cluster.storeConnection(leader).returnOlderRevisions(true);
        cancelAll(nodeAfter(leader, 1), jobs);
        cluster.runSeconds(70);
        assertStoppedWithinBound(jobs);
    }

    @Test
    void jobAcceptedAndCancelledBetweenTwoReadsIsFinalised() {
        int leader = cluster.leader();
        cluster.storeConnection(leader).failWatches(true);
        JobSpec job = array(1, 2);
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), job, HOURS_RUNTIME));
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        // All jobs are read instead, which shows at once that the job is cancelled.
        cluster.runSeconds(20);
        assertEquals(0, cluster.store().recordCount(RecordKeys.JOB_PREFIX), "its end is written");
    }

    @Test
    void machinesRebootedAtOnceAreReturnedWithoutDelay() {
        List<JobSpec> jobs = longJobs();
        List<FakeWorker> back = cluster.workers().subList(0, 2);
        back.forEach(FakeWorker::reboot);
        cluster.runSeconds(20);
        assertTrue(
                cluster.cloud()
                        .returnedMachines()
                        .containsAll(back.stream().map(FakeWorker::id).toList()),
                "their heartbeats cannot be distinguished from late duplicates");
        cluster.runSeconds(10);
        jobs.forEach(job -> assertTrue(allTasksRunning(job)));
    }

    @Test
    void newLeaderDoesNotWaitForCancelledTaskOfEarlierGeneration() {
        JobSpec job = array(1, 1);
        FakeWorker worker = cluster.workers().get(0);
        worker.setHung(true);
        cluster.runSeconds(20);
        worker.setHung(false);
        cluster.runSeconds(8);
        for (FakeWorker other : cluster.workers()) {
            other.setHung(other != worker);
        }
        assertTrue(cluster.users().submit(0, job, HOURS_RUNTIME));
        cluster.runSeconds(8);
        assertEquals(worker, machineRunning(job, 0), "in its second session");
        cluster.workers().forEach(other -> other.setHung(false));
        int leader = cluster.leader();
        worker.reboot();
        cluster.crash(leader);
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        cluster.runSeconds(15);
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.TASK_PREFIX),
                "what it left is cleared away");
    }

    /**
     * Two tasks that end some ten seconds apart, and between them, at any moment around the first,
     * the leader crashes.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 6, 9, 12})
    void jobsEndingAcrossFailoverCompleteExactlyOnce(int quartersOfASecond) {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8);
        assertTrue(cluster.users().submit(0, job, SHORT_RUNTIME));
        for (int step = 0; step < 80 && machineRunning(job, 1) == null; step++) {
            cluster.runSeconds(0.25);
        }
        cluster.runSeconds(7);
        FakeWorker second = machineRunning(job, 1);
        second.setHung(true);
        if (quartersOfASecond % 2 == 1) {
            // The exit is not committed, so the worker must not be told to forget it.
            cluster.storeConnection(cluster.leader()).holdCommits();
        }
        for (int step = 0; step < 80 && machineRunning(job, 0) != null; step++) {
            cluster.runSeconds(0.25);
        }
        cluster.runSeconds(quartersOfASecond * 0.25);
        int leader = cluster.leader();
        cluster.crash(leader);
        cluster.runSeconds(5);
        assertFalse(phaseOf(job) == Phase.DONE, "its second task has not ended");
        second.setHung(false);
        cluster.restart(leader);
        cluster.runSeconds(30);
        assertEquals(Phase.DONE, phaseOf(job));
        assertEquals(2, cluster.startCount(), "no finished task runs again");
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX)
                        + cluster.store().recordCount(RecordKeys.TASK_PREFIX));
    }

    /**
     * A partitioned zone continues inside with a controller that leads, and jobs are cancelled
     * through the new leader outside.
     */
    @ParameterizedTest
    @ValueSource(ints = {20, 35, 60})
    void zoneWithItsLeaderIsPartitionedLongerThanLease(int cutS) {
        List<JobSpec> jobs = longJobs();
        JobSpec stays = SimulatedCluster.spec(4, JobKind.SERVICE, 6, 2);
        assertTrue(cluster.users().submit(0, stays, null));
        cluster.runSeconds(8);
        assertTrue(allTasksRunning(stays));
        int leader = cluster.leader();
        cluster.partition(leader, true);
        cluster.cutFromZone(leader, "b", true);
        cluster.cutFromZone(nodeAfter(leader, 1), "a", true);
        cluster.cutFromZone(nodeAfter(leader, 2), "a", true);
        cluster.runSeconds(3);
        cancelAll(nodeAfter(leader, 1), jobs);
        cluster.runSeconds(12);
        assertFalse(leader == cluster.leader());
        assertTrue(
                cluster.workers().stream()
                        .filter(worker -> worker.zone().equals("a"))
                        .anyMatch(
                                worker ->
                                        jobs.stream().anyMatch(job -> worker.runsTaskOf(job.id()))),
                "the cut zone goes on inside");
        cluster.runSeconds(cutS);
        cluster.partition(leader, false);
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, false);
        }
        cluster.runSeconds(40);
        assertStoppedWithinBound(jobs);
        // What was not cancelled counts as running in the partitioned zone for as long as its
        // leader may have continued to answer heartbeats.
        cluster.runSeconds(30);
        assertTrue(allTasksRunning(stays));
        assertEquals(
                2,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX)
                        + cluster.store().recordCount(RecordKeys.TASK_PREFIX));
    }

    /**
     * Each of a leader's writes is applied late for some seconds, after the newer ones by which it
     * continued.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 2, 5, 8, 11})
    void delayedWriteIsAppliedAfterNewerWritesOfSameLeader(int fromS) {
        JobSpec first = SimulatedCluster.spec(1, JobKind.ARRAY, 6, 1);
        JobSpec second = SimulatedCluster.spec(2, JobKind.GANG, 2, 2);
        assertTrue(cluster.users().submit(0, first, SHORT_RUNTIME));
        cluster.runSeconds(fromS);
        int leader = cluster.leader();
        cluster.storeConnection(leader).delayCommits(1, fromS);
        CompletableFuture<?> unusedSubmission =
                cluster.users().submitAsync(nodeAfter(leader, 1), second, SHORT_RUNTIME);
        cluster.runSeconds(1.75);
        cluster.storeConnection(leader).delayCommits(0, 0);
        CompletableFuture<?> unusedCancellation =
                cluster.users()
                        .cancelAsync(
                                nodeAfter(leader, 1), fromS % 2 == 0 ? first.id() : second.id());
        cluster.runSeconds(40);
        assertTrue(
                cluster.storeConnection(leader).lateCommitCount() > 0, "executed after newer ones");
        assertEquals(fromS % 2 == 0 ? Phase.CANCELLED : Phase.DONE, phaseOf(first));
        assertEquals(fromS % 2 == 0 ? Phase.DONE : Phase.CANCELLED, phaseOf(second));
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX)
                        + cluster.store().recordCount(RecordKeys.TASK_PREFIX));
    }

    /**
     * A placement is written again over the record of the task's end, and then the leader crashes.
     */
    @Test
    void delayedPlacementAfterTaskEndIsRejected() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8);
        int leader = cluster.leader();
        cluster.storeConnection(leader).delayAllCommits(Duration.ofSeconds(9));
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), job, Duration.ofSeconds(3)));
        for (int step = 0;
                step < 20 && cluster.storeConnection(leader).delayedCommitCount() == 0;
                step++) {
            cluster.run(Duration.ofMillis(250));
        }
        cluster.storeConnection(leader).delayAllCommits(null);
        for (int step = 0; step < 40 && machineRunning(job, 1) == null; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        FakeWorker second = machineRunning(job, 1);
        second.setHung(true);
        for (int step = 0;
                step < 60 && cluster.storeConnection(leader).lateCommitCount() == 0;
                step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertTrue(cluster.storeConnection(leader).lateCommitCount() > 0);
        assertEquals(null, machineRunning(job, 0), "its task had ended");
        assertEquals(leader, cluster.leader());
        Map<String, Object> record =
                cluster.store().valueOf(RecordKeys.TASK_PREFIX + job.id() + "/0");
        assertEquals(
                1,
                ((List<?>) record.get("placed")).size(),
                "the record of its start does not come back");
        cluster.crash(leader);
        second.setHung(false);
        cluster.runSeconds(40);
        assertEquals(2, cluster.startCount());
        assertEquals(Phase.DONE, phaseOf(job));
    }

    /** A job's completion is under way when another controller confirms its cancellation. */
    @Test
    void delayedCompletionAfterCancellationIsRejected() {
        JobSpec job = array(1, 1);
        int leader = cluster.leader();
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), job, SHORT_RUNTIME));
        cluster.runSeconds(8);
        assertTrue(allTasksRunning(job));
        cluster.storeConnection(leader).delayAllCommits(Duration.ofSeconds(4));
        for (int step = 0;
                step < 60 && cluster.storeConnection(leader).delayedCommitCount() == 0;
                step++) {
            cluster.run(Duration.ofMillis(250));
        }
        cluster.storeConnection(leader).delayAllCommits(null);
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        assertEquals(
                Phase.CANCELLED,
                cluster.users().poll(nodeAfter(leader, 1), job.id()).orElseThrow().phase());
        cluster.runSeconds(20);
        assertTrue(cluster.storeConnection(leader).lateCommitCount() > 0);
        for (int node = 0; node < 3; node++) {
            assertEquals(
                    Phase.CANCELLED, cluster.users().poll(node, job.id()).orElseThrow().phase());
        }
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX)
                        + cluster.store().recordCount(RecordKeys.TASK_PREFIX));
    }

    /**
     * Placements are committed and their starts not sent yet when the store refuses the leader
     * alone and the job is cancelled.
     */
    @Test
    void leaderRefusedByStoreSendsNoStartsOfJobsCancelledElsewhere() {
        cluster.workers().forEach(worker -> worker.setHung(true));
        JobSpec job = array(1, 24);
        int leader = cluster.leader();
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), job, HOURS_RUNTIME));
        cluster.runSeconds(1.5);
        assertEquals(
                1, cluster.store().recordCount(RecordKeys.TASK_PREFIX), "its places are committed");
        cluster.network().cutPeers(true);
        cluster.storeConnection(leader).refuseRequests(true);
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        cluster.runSeconds(2.5);
        assertEquals(leader, cluster.leader(), "its lease holds");
        cluster.workers().forEach(worker -> worker.setHung(false));
        cluster.runSeconds(1.5);
        assertEquals(
                0,
                cluster.startCommandCount(),
                "nobody informed it, and it knows that its state may be stale");
        cluster.runSeconds(60);
        assertEquals(0, cluster.historyChecker().startsAfterCancellation());
        assertEquals(0, cluster.startCount());
    }

    /**
     * Each response of the store takes 1.6 s, for longer than {@code cancel_s}, while users cancel,
     * poll and submit.
     */
    @Test
    void slowStoreStillServesReadsCancellationsAndTasks() {
        List<JobSpec> jobs = longJobs();
        cluster.store().setLatency(Duration.ofMillis(800));
        cluster.runSeconds(10);
        int leader = cluster.leader();
        JobSpec more = array(4, 3);
        assertTrue(
                cluster.users().submit(nodeAfter(leader, 1), more, HOURS_RUNTIME),
                "taken within five seconds");
        assertTrue(cluster.users().cancel(nodeAfter(leader, 2), jobs.get(0).id()));
        for (int time = 0; time < 12; time++) {
            assertEquals(
                    Phase.CANCELLED,
                    cluster.users()
                            .poll(nodeAfter(leader, 1), jobs.get(0).id())
                            .orElseThrow()
                            .phase());
            assertTrue(cluster.users().poll(nodeAfter(leader, 1), jobs.get(1).id()).isPresent());
            cluster.runSeconds(3);
        }
        assertEquals(leader, cluster.leader(), "its lease is renewed in time");
        assertTrue(
                allTasksRunning(jobs.get(1))
                        && allTasksRunning(jobs.get(2))
                        && allTasksRunning(more));
        assertEquals(null, machineRunning(jobs.get(0), 0));
        cluster.store().setLatency(null);
        cluster.runSeconds(10);
        assertEquals(22, cluster.startCount());
    }
}
