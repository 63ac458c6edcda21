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

/**
 * Users who ask at all nodes within milliseconds, and transactions of which only the answer is
 * lost, while other nodes read what they wrote. The judge of {@link SimulatedCluster} holds each
 * answer against what was told before its question was sent.
 */
class ReadYourWritesScenarioTest extends ClusterTestBase {
    /** Answers that were told, after the hard moment, by all nodes. */
    private void everyNodeSays(Phase phase, JobSpec job) {
        for (int node = 0; node < 3; node++) {
            assertEquals(phase, cluster.poll(node, job.id()).orElseThrow().phase(), "node " + node);
            assertTrue(cluster.submit(node, job, HOURS), "a repeat is known at node " + node);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void nobodyIsToldAnythingOlderRightAfterAJobWasAcceptedOrCalledOffOrEnded(int latecomer) {
        cluster.closeLooks(true);
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
            // what it keeps.
            assertTrue(cluster.submit(number % 3, job, SHORT));
            cluster.poll((number + 1) % 3, job.id());
            cluster.line(latecomer).failWatches(number % 2 == 0);
            if (number % 3 == 1) {
                cluster.cancels((number + 2) % 3, job.id());
            }
            cluster.run(Duration.ofMillis(250 * (number % 4)));
        }
        cluster.runS(30);
        cluster.line(latecomer).failWatches(false);
        assertTrue(cluster.answered() > 100, "answered " + cluster.answered());
        for (JobSpec job : jobs) {
            everyNodeSays(
                    Integer.parseInt(job.id().value().substring(4)) % 3 == 1
                            ? Phase.CANCELLED
                            : Phase.DONE,
                    job);
        }
    }

    /**
     * A submission, a cancellation and an end are each committed, and the one who sent them has no
     * answer.
     */
    @ParameterizedTest
    @CsvSource({
        "accepted, 0",
        "accepted, 1",
        "called off, 0",
        "called off, 1",
        "ended, 0",
        "ended, 1"
    })
    void onlyTheAnswerOfATransactionIsLostAndOthersReadWhatItWrote(String what, int by) {
        int leader = cluster.leader();
        int node = what.equals("ended") ? leader : other(leader, by);
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 2, 1);
        if (!what.equals("accepted")) {
            assertTrue(cluster.submit(other(node, 1), job, SHORT));
            cluster.runS(what.equals("ended") ? 8 : 4);
        }
        cluster.line(node).loseCommitAnswers(1, 7);
        int before = cluster.line(node).lostCommits();
        cluster.closeLooks(true);
        CompletableFuture<Optional<JobStatus>> answer =
                what.equals("accepted")
                        ? cluster.submits(node, job, SHORT)
                        : what.equals("called off") ? cluster.cancels(node, job.id()) : null;
        for (int step = 0; step < 200 && cluster.line(node).lostCommits() == before; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertTrue(
                cluster.line(node).lostCommits() > before, "it is committed, and nobody was told");
        // Another node reads it, and a user is told there.
        Phase then = cluster.poll(other(node, 1), job.id()).orElseThrow().phase();
        if (by == 1 && !what.equals("ended")) {
            assertTrue(cluster.cancel(other(node, 2), job.id()), "and calls it off there");
            then = Phase.CANCELLED;
        }
        if (!what.equals("ended")) {
            // Sent again, it fails on its own effect, and what is told follows the record.
            cluster.line(node).loseCommitAnswers(0, 0);
            cluster.runS(3);
            assertEquals(then, answer.join().orElseThrow().phase());
        }
        cluster.runS(3);
        cluster.line(node).loseCommitAnswers(0, 0);
        cluster.runS(40);
        everyNodeSays(
                then == Phase.CANCELLED || what.equals("called off") ? Phase.CANCELLED : Phase.DONE,
                job);
        assertEquals(
                0,
                cluster.store().size("job/") + cluster.store().size("task/"),
                "nothing is left of it");
    }

    /**
     * The end of a job's last task meets a cancellation, a question and a repeated submission, with
     * no other trouble.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void aCancellationMeetsTheEndOfTheLastTask(int seed) {
        cluster.closeLooks(true);
        cluster.cancelAtEnd(1, seed);
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            JobSpec job = SimulatedCluster.spec(number, JobKind.ARRAY, 1 + number % 3, 1);
            jobs.add(job);
            assertTrue(cluster.submit(number % 3, job, SHORT));
        }
        cluster.runS(40);
        int cancelled = 0;
        for (JobSpec job : jobs) {
            Phase phase = phase(job);
            assertTrue(phase == Phase.DONE || phase == Phase.CANCELLED);
            everyNodeSays(phase, job);
            cancelled += phase == Phase.CANCELLED ? 1 : 0;
        }
        assertTrue(cancelled > 0, "at least one cancellation came before the end was written");
        assertEquals(0, cluster.store().size("job/") + cluster.store().size("task/"));
    }

    /** Looks that get no answer for long left everyone who asked about a live job without one. */
    @Test
    void whereLooksGetNoAnswerUsersAreAnsweredAllTheSame() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 2, 1);
        int node = other(cluster.leader(), 1);
        assertTrue(cluster.submit(node, job, null));
        assertTrue(cluster.poll(node, job.id()).isPresent());
        cluster.line(node).failWatches(true);
        int answered = 0;
        for (int second = 0; second < 70; second += 5) {
            answered += cluster.poll(node, job.id()).isPresent() ? 1 : 0;
            cluster.runS(4);
        }
        assertTrue(answered >= 10, "answered " + answered + " of 14");
        assertTrue(cluster.cancel(other(node, 1), job.id()));
        assertEquals(Phase.CANCELLED, cluster.poll(node, job.id()).orElseThrow().phase());
    }

    /**
     * A job moves from its live record to its final one between the two reads of a question, at
     * whatever moment that is sent.
     */
    @Test
    void aQuestionThatMeetsTheMoveToTheFinalRecordIsAnsweredAllTheSame() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        int node = other(cluster.leader(), 1);
        assertTrue(cluster.submit(node, job, SHORT));
        cluster.poll(node, job.id());
        // Looks get no answer, so each question is two reads.
        cluster.line(node).failWatches(true);
        cluster.poll(node, job.id());
        cluster.runS(4);
        int before = cluster.answered();
        for (int step = 0; step < 40 && !cluster.judge().isOver(job.id()); step++) {
            for (int at = 0; at < 250; at++) {
                cluster.loop().schedule(Duration.ofMillis(at), () -> cluster.asks(node, job.id()));
            }
            cluster.run(Duration.ofMillis(250));
        }
        assertEquals(Phase.DONE, phase(job));
        assertTrue(cluster.answered() - before > 500, "asked each millisecond until it was done");
    }

    /** A cancellation has read the live record, and its write comes after the job's end. */
    @Test
    void aCancellationThatIsWrittenAfterTheEndChangesNothing() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        int node = other(cluster.leader(), 1);
        assertTrue(cluster.submit(node, job, SHORT));
        cluster.runS(9);
        cluster.line(node).holdCommits();
        CompletableFuture<Optional<JobStatus>> answer = cluster.cancels(node, job.id());
        for (int step = 0; step < 40 && cluster.store().size("ended/") == 0; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertEquals(Phase.DONE, cluster.poll(other(node, 1), job.id()).orElseThrow().phase());
        cluster.line(node).hold(false);
        cluster.runS(5);
        assertTrue(answer.isDone());
        everyNodeSays(Phase.DONE, job);
        assertEquals(0, cluster.store().size("job/"), "its live record is not there again");
    }
}
