package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.coordination.admission.AdmissionService.JobStatus;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.storage.RecordKeys;

/**
 * Users who poll all controllers within milliseconds, and transactions of which only the response
 * is lost, while other controllers read what they wrote. The history checker of {@link
 * SimulatedCluster} checks each answer against what was answered before its request was sent.
 */
class ReadYourWritesScenarioTest extends ClusterTestBase {
    /**
     * Asserts that every controller reports a phase of a job, and accepts its repeated submission.
     */
    private void assertEveryControllerReports(Phase phase, JobSpec job) {
        for (int node = 0; node < 3; node++) {
            assertEquals(
                    phase,
                    cluster.users().poll(node, job.id()).orElseThrow().phase(),
                    "node " + node);
            assertTrue(
                    cluster.users().submit(node, job, HOURS_RUNTIME),
                    "a repeated submission is accepted by node " + node);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void everyControllerReadsItsPeersWritesAfterAcceptCancelAndCompletion(int nodeWithoutWatches) {
        cluster.users().pollAllAfterAnswers(true);
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 9; number++) {
            JobSpec job =
                    SimulatedCluster.spec(
                            number,
                            number % 3 == 0 ? JobKind.GANG : JobKind.ARRAY,
                            1 + number % 2,
                            1);
            jobs.add(job);
            // Each node knows some of the jobs as live before they end, so that it answers from
            // its cache.
            assertTrue(cluster.users().submit(number % 3, job, SHORT_RUNTIME));
            cluster.users().poll((number + 1) % 3, job.id());
            cluster.storeConnection(nodeWithoutWatches).failWatches(number % 2 == 0);
            if (number % 3 == 1) {
                CompletableFuture<?> unused =
                        cluster.users().cancelAsync((number + 2) % 3, job.id());
            }
            cluster.run(Duration.ofMillis(250L * (number % 4)));
        }
        cluster.runSeconds(30);
        cluster.storeConnection(nodeWithoutWatches).failWatches(false);
        assertTrue(
                cluster.users().asyncAnswerCount() > 100,
                "answered " + cluster.users().asyncAnswerCount());
        for (JobSpec job : jobs) {
            assertEveryControllerReports(
                    Integer.parseInt(job.id().value().substring(4)) % 3 == 1
                            ? Phase.CANCELLED
                            : Phase.DONE,
                    job);
        }
    }

    /**
     * A submission, a cancellation or a completion is committed, and the controller that wrote it
     * gets no response.
     */
    @ParameterizedTest
    @CsvSource({
        "accepted, 0",
        "accepted, 1",
        "cancelled, 0",
        "cancelled, 1",
        "ended, 0",
        "ended, 1"
    })
    void committedWritesWithLostResponsesAreReadByOtherControllers(String write, int nodeOffset) {
        int leader = cluster.leader();
        int node = write.equals("ended") ? leader : nodeAfter(leader, nodeOffset);
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 1);
        if (!write.equals("accepted")) {
            assertTrue(cluster.users().submit(nodeAfter(node, 1), job, SHORT_RUNTIME));
            cluster.runSeconds(write.equals("ended") ? 8 : 4);
        }
        cluster.storeConnection(node).loseCommitResponses(1, 7);
        int before = cluster.storeConnection(node).lostCommitCount();
        cluster.users().pollAllAfterAnswers(true);
        CompletableFuture<Optional<JobStatus>> answer =
                write.equals("accepted")
                        ? cluster.users().submitAsync(node, job, SHORT_RUNTIME)
                        : write.equals("cancelled")
                                ? cluster.users().cancelAsync(node, job.id())
                                : null;
        for (int step = 0;
                step < 200 && cluster.storeConnection(node).lostCommitCount() == before;
                step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertTrue(
                cluster.storeConnection(node).lostCommitCount() > before,
                "the write is committed, and its response is lost");
        // Another controller reads the write, and reports it to a user.
        Phase reportedPhase =
                cluster.users().poll(nodeAfter(node, 1), job.id()).orElseThrow().phase();
        if (nodeOffset == 1 && !write.equals("ended")) {
            assertTrue(
                    cluster.users().cancel(nodeAfter(node, 2), job.id()),
                    "the user cancels it at a third controller");
            reportedPhase = Phase.CANCELLED;
        }
        if (!write.equals("ended")) {
            // The retry fails its precondition, since the first try was applied, and the answer
            // follows from the record.
            cluster.storeConnection(node).loseCommitResponses(0, 0);
            cluster.runSeconds(3);
            assertEquals(reportedPhase, answer.join().orElseThrow().phase());
        }
        cluster.runSeconds(3);
        cluster.storeConnection(node).loseCommitResponses(0, 0);
        cluster.runSeconds(40);
        assertEveryControllerReports(
                reportedPhase == Phase.CANCELLED || write.equals("cancelled")
                        ? Phase.CANCELLED
                        : Phase.DONE,
                job);
        assertEquals(
                0,
                cluster.store().recordCount("job/") + cluster.store().recordCount("task/"),
                "no live record is left");
    }

    /**
     * The completion of a job's last task races with a cancellation, a poll and a repeated
     * submission, without any other fault.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void cancellationRacesWithCompletionOfLastTask(int seed) {
        cluster.users().pollAllAfterAnswers(true);
        cluster.users().cancelAtCompletion(1, seed);
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            JobSpec job = SimulatedCluster.spec(number, JobKind.ARRAY, 1 + number % 3, 1);
            jobs.add(job);
            assertTrue(cluster.users().submit(number % 3, job, SHORT_RUNTIME));
        }
        cluster.runSeconds(40);
        int cancelled = 0;
        for (JobSpec job : jobs) {
            Phase phase = phaseOf(job);
            assertTrue(phase == Phase.DONE || phase == Phase.CANCELLED);
            assertEveryControllerReports(phase, job);
            cancelled += phase == Phase.CANCELLED ? 1 : 0;
        }
        assertTrue(cancelled > 0, "at least one cancellation came before the end was written");
        assertEquals(0, cluster.store().recordCount("job/") + cluster.store().recordCount("task/"));
    }

    /**
     * Regression test: store reads without a response left every user who polled a live job without
     * an answer.
     */
    @Test
    void usersAreAnsweredWhenStoreReadsTimeOut() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 2, 1);
        int node = nodeAfter(cluster.leader(), 1);
        assertTrue(cluster.users().submit(node, job, null));
        assertTrue(cluster.users().poll(node, job.id()).isPresent());
        cluster.storeConnection(node).failWatches(true);
        int answered = 0;
        for (int second = 0; second < 70; second += 5) {
            answered += cluster.users().poll(node, job.id()).isPresent() ? 1 : 0;
            cluster.runSeconds(4);
        }
        assertTrue(answered >= 10, "answered " + answered + " of 14");
        assertTrue(cluster.users().cancel(nodeAfter(node, 1), job.id()));
        assertEquals(Phase.CANCELLED, cluster.users().poll(node, job.id()).orElseThrow().phase());
    }

    /**
     * A job moves from its live record to its final one between the two reads of a poll, whenever
     * the poll is sent.
     */
    @Test
    void readDuringMoveToFinalRecordIsAnswered() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        int node = nodeAfter(cluster.leader(), 1);
        assertTrue(cluster.users().submit(node, job, SHORT_RUNTIME));
        cluster.users().poll(node, job.id());
        // Watches get no response, so each poll takes two reads.
        cluster.storeConnection(node).failWatches(true);
        cluster.users().poll(node, job.id());
        cluster.runSeconds(4);
        int before = cluster.users().asyncAnswerCount();
        for (int step = 0;
                step < 40 && !cluster.historyChecker().isReportedEnded(job.id());
                step++) {
            for (int at = 0; at < 250; at++) {
                cluster.loop()
                        .schedule(
                                Duration.ofMillis(at),
                                () -> cluster.users().pollAsync(node, job.id()));
            }
            cluster.run(Duration.ofMillis(250));
        }
        assertEquals(Phase.DONE, phaseOf(job));
        assertTrue(
                cluster.users().asyncAnswerCount() - before > 500,
                "polled each millisecond until it was done");
    }

    /**
     * Guards against a finished job that a controller calls live for good: it is first asked as the
     * job ends, reads the record before the end, and learns from which revision on it follows the
     * changes only after it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void jobFirstPolledAsItEndsIsNotCachedAsLive(boolean cancelled) {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        int leader = cluster.leader();
        int node = nodeAfter(leader, 1);
        assertTrue(cluster.users().submit(leader, job, cancelled ? HOURS_RUNTIME : SHORT_RUNTIME));
        for (int step = 0; step < 60 && !isAboutToEnd(job, cancelled); step++) {
            cluster.run(Duration.ofMillis(250));
        }
        MessageDelays delays = cluster.storeConnection(node).messageDelays();
        delays.delayRequests(RecordKeys.LEADER_KEY, Duration.ofMillis(300));
        delays.delayResponses(RecordKeys.job(job.id()), Duration.ofMillis(400));
        if (cancelled) {
            cluster.users().pollAsync(node, job.id());
            assertTrue(cluster.users().cancel(leader, job.id()));
        } else {
            // The worker reports the completion half a second after it has connected.
            machineWith(new TaskId(job.id(), 0)).connectTo(leader);
            cluster.loop()
                    .schedule(
                            Duration.ofMillis(450),
                            () -> cluster.users().pollAsync(node, job.id()));
        }
        cluster.runSeconds(3);
        delays.clear();
        assertEquals(0, cluster.store().recordCount("job/"), "the job has ended");
        for (int poll = 0; poll < 4; poll++) {
            assertEveryControllerReports(cancelled ? Phase.CANCELLED : Phase.DONE, job);
            cluster.runSeconds(4);
        }
    }

    /** Whether a job's task has completed, or runs if it is going to be cancelled. */
    private boolean isAboutToEnd(JobSpec job, boolean cancelled) {
        return cancelled
                ? allTasksRunning(job)
                : cluster.historyChecker().isCompleted(new TaskId(job.id(), 0));
    }

    /** A cancellation has read the live record, and its write arrives after the job's end. */
    @Test
    void delayedCancellationAfterCompletionHasNoEffect() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        int node = nodeAfter(cluster.leader(), 1);
        assertTrue(cluster.users().submit(node, job, SHORT_RUNTIME));
        cluster.runSeconds(9);
        cluster.storeConnection(node).holdCommits();
        CompletableFuture<Optional<JobStatus>> answer = cluster.users().cancelAsync(node, job.id());
        for (int step = 0; step < 40 && cluster.store().recordCount("ended/") == 0; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertEquals(
                Phase.DONE,
                cluster.users().poll(nodeAfter(node, 1), job.id()).orElseThrow().phase());
        cluster.storeConnection(node).holdRequests(false);
        cluster.runSeconds(5);
        assertTrue(answer.isDone());
        assertEveryControllerReports(Phase.DONE, job);
        assertEquals(0, cluster.store().recordCount("job/"), "its live record is not restored");
    }
}
