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
 * Faults that overlap. In several tests the store refuses requests of the leader alone, so that the
 * leader misses cancellations that another controller confirms, and then the store fails for all
 * controllers. Cancelled tasks must stop in time nevertheless. {@code docs/overlapping-faults.md}
 * says what each component knows at each step.
 */
class OverlappingFaultsScenarioTest extends ClusterTestBase {
    /** Submits an array, a gang and a service, and runs until all their tasks run. */
    private List<JobSpec> startLongJobs() {
        List<JobSpec> jobs =
                List.of(
                        arrayJob(1, 12),
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

    /** Cancels jobs through a controller, and asserts that their tasks still run at that moment. */
    private void cancelAll(int node, List<JobSpec> jobs) {
        jobs.forEach(job -> assertTrue(cluster.users().cancel(node, job.id())));
        jobs.forEach(
                job ->
                        assertTrue(
                                allTasksRunning(job),
                                job.id() + " should still run when its cancellation is confirmed"));
    }

    /**
     * Asserts that no task of these jobs runs. The history checker of {@link SimulatedCluster}
     * checks at each step that cancelled tasks stop within the bound.
     */
    private void assertNoTaskRuns(List<JobSpec> jobs) {
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
     * Makes the store refuse the leader alone, cuts the connections between controllers so that
     * none can inform the leader, and cancels the jobs through another controller.
     */
    private void cancelWhileStoreRefusesLeader(int leader, List<JobSpec> jobs) {
        cluster.network().cutPeers(true);
        cluster.storeConnection(leader).refuseRequests(true);
        cancelAll(nodeAfter(leader, 1), jobs);
    }

    /**
     * Fails the store for all controllers, ends the refusal of one of them, and asserts that the
     * tasks stop.
     */
    private void failStoreForAll(int refusedNode, List<JobSpec> jobs) {
        cluster.store().setOutage(true);
        cluster.storeConnection(refusedNode).refuseRequests(false);
        cluster.runSeconds(90);
        assertNoTaskRuns(jobs);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6, 12, 30})
    void cancelledTasksStopIfStoreRefusesLeaderThenFailsForAll(int refusedS) {
        List<JobSpec> jobs = startLongJobs();
        int leader = cluster.leader();
        cancelWhileStoreRefusesLeader(leader, jobs);
        cluster.runSeconds(refusedS);
        failStoreForAll(leader, jobs);
    }

    @Test
    void cancelledTasksStopIfLeaderRenewsLeaseButMissesChanges() {
        List<JobSpec> jobs = startLongJobs();
        int leader = cluster.leader();
        cluster.storeConnection(leader).failWatches(true);
        cancelWhileStoreRefusesLeader(leader, jobs);
        for (int instant = 0; instant < 4; instant++) {
            cluster.runSeconds(2);
            cluster.storeConnection(leader).refuseRequests(false);
            cluster.runSeconds(0.75);
            cluster.storeConnection(leader).refuseRequests(true);
        }
        assertEquals(leader, cluster.leader(), "its lease renewals succeeded");
        failStoreForAll(leader, jobs);
    }

    @Test
    void leaderWithFailingWatchesReadsMissedChanges() {
        List<JobSpec> jobs = startLongJobs();
        int leader = cluster.leader();
        cluster.storeConnection(leader).failWatches(true);
        cancelAll(nodeAfter(leader, 1), jobs);
        JobSpec newJob = arrayJob(4, 6);
        cluster.users().submit(nodeAfter(leader, 2), newJob, HOURS_RUNTIME);
        cluster.runSeconds(40);
        assertNoTaskRuns(jobs);
        assertEquals(leader, cluster.leader());
        assertTrue(allTasksRunning(newJob), "a job that was submitted meanwhile starts");
    }

    @Test
    void newLeaderRenewsNoTaskLeasesBeforeRecovery() {
        List<JobSpec> jobs = startLongJobs();
        int leader = cluster.leader();
        hideTaskRecords();
        cancelWhileStoreRefusesLeader(leader, jobs);
        cluster.runSeconds(10);
        assertFalse(leader == cluster.leader(), "another node leads, and loads its records");
        failStoreForAll(leader, jobs);
    }

    @Test
    void cancelledTasksStopAcrossLeadersThatCannotLoadRecords() {
        List<JobSpec> jobs = startLongJobs();
        hideTaskRecords();
        int leader = cluster.leader();
        cancelWhileStoreRefusesLeader(leader, jobs);
        for (int takeover = 0; takeover < 2; takeover++) {
            cluster.runSeconds(9);
            int next = cluster.leader();
            assertTrue(next >= 0);
            cluster.storeConnection(next).refuseRequests(true);
            cluster.storeConnection(leader).refuseRequests(false);
            leader = next;
        }
        failStoreForAll(leader, jobs);
    }

    @Test
    void storeOutageShorterThanCancellationBoundStopsNoTask() {
        List<JobSpec> jobs = startLongJobs();
        cluster.store().setOutage(true);
        // The cancellation bound, less the age of a read and 1 s. Tasks that were not cancelled run
        // on for this long without the store, and so survive any shorter outage.
        cluster.runSeconds(24);
        cluster.store().setOutage(false);
        cluster.runSeconds(20);
        jobs.forEach(job -> assertTrue(allTasksRunning(job)));
        assertEquals(19, cluster.startCount());
    }

    @Test
    void tasksRestartAfterStoreOutageThatExpiresAllLeases() {
        List<JobSpec> jobs = startLongJobs();
        cluster.store().setOutage(true);
        cluster.runSeconds(80);
        assertNoTaskRuns(jobs);
        cluster.store().setOutage(false);
        cluster.runSeconds(90);
        jobs.forEach(job -> assertTrue(allTasksRunning(job)));
    }

    @Test
    void watchResponseWithOlderRevisionIsIgnored() {
        List<JobSpec> jobs = startLongJobs();
        int leader = cluster.leader();
        cluster.storeConnection(leader).returnOlderRevisions(true);
        cancelAll(nodeAfter(leader, 1), jobs);
        cluster.runSeconds(70);
        assertNoTaskRuns(jobs);
    }

    @Test
    void jobAcceptedAndCancelledBetweenTwoReadsIsFinalised() {
        int leader = cluster.leader();
        cluster.storeConnection(leader).failWatches(true);
        JobSpec job = arrayJob(1, 2);
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), job, HOURS_RUNTIME));
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        // Without watches the leader lists all jobs, and finds that the job is already cancelled.
        cluster.runSeconds(20);
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX),
                "its live record is deleted when it ends");
    }

    @Test
    void machinesRebootedAtOnceAreReturnedWithoutDelay() {
        List<JobSpec> jobs = startLongJobs();
        List<FakeWorker> rebooted = cluster.workers().subList(0, 2);
        rebooted.forEach(FakeWorker::reboot);
        cluster.runSeconds(20);
        assertTrue(
                cluster.cloud()
                        .returnedMachines()
                        .containsAll(rebooted.stream().map(FakeWorker::id).toList()),
                "heartbeats after a reboot cannot be distinguished from late duplicates");
        cluster.runSeconds(10);
        jobs.forEach(job -> assertTrue(allTasksRunning(job)));
    }

    @Test
    void newLeaderDoesNotWaitForCancelledTaskOfEarlierGeneration() {
        JobSpec job = arrayJob(1, 1);
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
        assertEquals(worker, machineRunning(job, 0), "in its second incarnation");
        cluster.workers().forEach(other -> other.setHung(false));
        int leader = cluster.leader();
        worker.reboot();
        cluster.crash(leader);
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        cluster.runSeconds(15);
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.TASK_PREFIX),
                "its task record is deleted");
    }

    /**
     * Two tasks end about ten seconds apart, and the leader crashes up to three seconds after the
     * first one ended.
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
     * A zone is partitioned together with the leader, which still renews the leases of the machines
     * there while jobs are cancelled through a controller outside.
     */
    @ParameterizedTest
    @ValueSource(ints = {20, 35, 60})
    void cancelledTasksStopAfterZoneIsPartitionedWithItsLeader(int partitionS) {
        List<JobSpec> jobs = startLongJobs();
        JobSpec uncancelled = SimulatedCluster.spec(4, JobKind.SERVICE, 6, 2);
        assertTrue(cluster.users().submit(0, uncancelled, null));
        cluster.runSeconds(8);
        assertTrue(allTasksRunning(uncancelled));
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
                "tasks in the partitioned zone run on");
        cluster.runSeconds(partitionS);
        cluster.partition(leader, false);
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, false);
        }
        cluster.runSeconds(40);
        assertNoTaskRuns(jobs);
        // Tasks that were not cancelled count as running in the partitioned zone for as long as its
        // leader may have answered heartbeats.
        cluster.runSeconds(30);
        assertTrue(allTasksRunning(uncancelled));
        assertEquals(
                2,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX)
                        + cluster.store().recordCount(RecordKeys.TASK_PREFIX));
    }

    /**
     * For some seconds each write of the leader is delayed, and applied after newer writes of the
     * same leader.
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
                cluster.storeConnection(leader).lateCommitCount() > 0,
                "no delayed write was executed");
        assertEquals(fromS % 2 == 0 ? Phase.CANCELLED : Phase.DONE, phaseOf(first));
        assertEquals(fromS % 2 == 0 ? Phase.DONE : Phase.CANCELLED, phaseOf(second));
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.JOB_PREFIX)
                        + cluster.store().recordCount(RecordKeys.TASK_PREFIX));
    }

    /**
     * A delayed write of a placement arrives after the record of the task's end, and then the
     * leader crashes.
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
        assertEquals(null, machineRunning(job, 0), "its first task has ended");
        assertEquals(leader, cluster.leader());
        Map<String, Object> record =
                cluster.store().valueOf(RecordKeys.TASK_PREFIX + job.id() + "/0");
        assertEquals(
                1,
                ((List<?>) record.get("placed")).size(),
                "the delayed placement does not restore the start record");
        cluster.crash(leader);
        second.setHung(false);
        cluster.runSeconds(40);
        assertEquals(2, cluster.startCount());
        assertEquals(Phase.DONE, phaseOf(job));
    }

    /**
     * The write of a job's completion is delayed when another controller confirms the job's
     * cancellation.
     */
    @Test
    void delayedCompletionAfterCancellationIsRejected() {
        JobSpec job = arrayJob(1, 1);
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
     * Placements are committed, but their start commands are not sent yet, when the store refuses
     * the leader alone and the job is cancelled through another controller.
     */
    @Test
    void leaderRefusedByStoreSendsNoStartsOfJobsCancelledElsewhere() {
        cluster.workers().forEach(worker -> worker.setHung(true));
        JobSpec job = arrayJob(1, 24);
        int leader = cluster.leader();
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), job, HOURS_RUNTIME));
        cluster.runSeconds(1.5);
        assertEquals(
                1,
                cluster.store().recordCount(RecordKeys.TASK_PREFIX),
                "its placements are committed");
        cluster.network().cutPeers(true);
        cluster.storeConnection(leader).refuseRequests(true);
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        cluster.runSeconds(2.5);
        assertEquals(leader, cluster.leader(), "its lease is valid");
        cluster.workers().forEach(worker -> worker.setHung(false));
        cluster.runSeconds(1.5);
        assertEquals(
                0,
                cluster.startCommandCount(),
                "not informed of the cancellation, it knows that its state may be stale");
        cluster.runSeconds(60);
        assertEquals(0, cluster.historyChecker().startsAfterCancellation());
        assertEquals(0, cluster.startCount());
    }

    /**
     * Each response of the store takes 1.6 s, over a period longer than {@code cancel_s}, while
     * users submit, poll and cancel jobs.
     */
    @Test
    void slowStoreStillServesReadsCancellationsAndTasks() {
        List<JobSpec> jobs = startLongJobs();
        cluster.store().setLatency(Duration.ofMillis(800));
        cluster.runSeconds(10);
        int leader = cluster.leader();
        JobSpec more = arrayJob(4, 3);
        assertTrue(
                cluster.users().submit(nodeAfter(leader, 1), more, HOURS_RUNTIME),
                "accepted within five seconds");
        assertTrue(cluster.users().cancel(nodeAfter(leader, 2), jobs.get(0).id()));
        for (int round = 0; round < 12; round++) {
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
