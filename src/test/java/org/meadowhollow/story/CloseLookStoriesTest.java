package org.meadowhollow.story;

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
 * lost, while other nodes read what they wrote. The judge of {@link World} holds each answer
 * against what was told before its question was sent.
 */
class CloseLookStoriesTest extends Story {
    /** Answers that were told, after the hard moment, by all nodes. */
    private void everyNodeSays(Phase phase, JobSpec job) {
        for (int node = 0; node < 3; node++) {
            assertEquals(phase, world.poll(node, job.id()).orElseThrow().phase(), "node " + node);
            assertTrue(world.submit(node, job, HOURS), "a repeat is known at node " + node);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void nobodyIsToldAnythingOlderRightAfterAJobWasAcceptedOrCalledOffOrEnded(int latecomer) {
        world.closeLooks(true);
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 9; number++) {
            JobSpec job =
                    World.spec(
                            number,
                            number % 3 == 0 ? JobKind.GANG : JobKind.ARRAY,
                            1 + number % 2,
                            1);
            jobs.add(job);
            // Each node knows some of the jobs as live before they end, so that it answers from
            // what it keeps.
            assertTrue(world.submit(number % 3, job, SHORT));
            world.poll((number + 1) % 3, job.id());
            world.line(latecomer).failWatches(number % 2 == 0);
            if (number % 3 == 1) {
                world.cancels((number + 2) % 3, job.id());
            }
            world.run(Duration.ofMillis(250 * (number % 4)));
        }
        world.runS(30);
        world.line(latecomer).failWatches(false);
        assertTrue(world.answered() > 100, "answered " + world.answered());
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
        int leader = world.leader();
        int node = what.equals("ended") ? leader : other(leader, by);
        JobSpec job = World.spec(1, JobKind.ARRAY, 2, 1);
        if (!what.equals("accepted")) {
            assertTrue(world.submit(other(node, 1), job, SHORT));
            world.runS(what.equals("ended") ? 8 : 4);
        }
        world.line(node).loseCommitAnswers(1, 7);
        int before = world.line(node).lostCommits();
        world.closeLooks(true);
        CompletableFuture<Optional<JobStatus>> answer =
                what.equals("accepted")
                        ? world.submits(node, job, SHORT)
                        : what.equals("called off") ? world.cancels(node, job.id()) : null;
        for (int step = 0; step < 200 && world.line(node).lostCommits() == before; step++) {
            world.run(Duration.ofMillis(250));
        }
        assertTrue(world.line(node).lostCommits() > before, "it is committed, and nobody was told");
        // Another node reads it, and a user is told there.
        Phase then = world.poll(other(node, 1), job.id()).orElseThrow().phase();
        if (by == 1 && !what.equals("ended")) {
            assertTrue(world.cancel(other(node, 2), job.id()), "and calls it off there");
            then = Phase.CANCELLED;
        }
        if (!what.equals("ended")) {
            // Sent again, it fails on its own effect, and what is told follows the record.
            world.line(node).loseCommitAnswers(0, 0);
            world.runS(3);
            assertEquals(then, answer.join().orElseThrow().phase());
        }
        world.runS(3);
        world.line(node).loseCommitAnswers(0, 0);
        world.runS(40);
        everyNodeSays(
                then == Phase.CANCELLED || what.equals("called off") ? Phase.CANCELLED : Phase.DONE,
                job);
        assertEquals(
                0,
                world.store().size("job/") + world.store().size("task/"),
                "nothing is left of it");
    }

    /**
     * The end of a job's last task meets a cancellation, a question and a repeated submission, with
     * no other trouble.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void aCancellationMeetsTheEndOfTheLastTask(int seed) {
        world.closeLooks(true);
        world.cancelAtEnd(1, seed);
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            JobSpec job = World.spec(number, JobKind.ARRAY, 1 + number % 3, 1);
            jobs.add(job);
            assertTrue(world.submit(number % 3, job, SHORT));
        }
        world.runS(40);
        int cancelled = 0;
        for (JobSpec job : jobs) {
            Phase phase = phase(job);
            assertTrue(phase == Phase.DONE || phase == Phase.CANCELLED);
            everyNodeSays(phase, job);
            cancelled += phase == Phase.CANCELLED ? 1 : 0;
        }
        assertTrue(cancelled > 0, "at least one cancellation came before the end was written");
        assertEquals(0, world.store().size("job/") + world.store().size("task/"));
    }

    /** Looks that get no answer for long left everyone who asked about a live job without one. */
    @Test
    void whereLooksGetNoAnswerUsersAreAnsweredAllTheSame() {
        JobSpec job = World.spec(1, JobKind.SERVICE, 2, 1);
        int node = other(world.leader(), 1);
        assertTrue(world.submit(node, job, null));
        assertTrue(world.poll(node, job.id()).isPresent());
        world.line(node).failWatches(true);
        int answered = 0;
        for (int second = 0; second < 70; second += 5) {
            answered += world.poll(node, job.id()).isPresent() ? 1 : 0;
            world.runS(4);
        }
        assertTrue(answered >= 10, "answered " + answered + " of 14");
        assertTrue(world.cancel(other(node, 1), job.id()));
        assertEquals(Phase.CANCELLED, world.poll(node, job.id()).orElseThrow().phase());
    }

    /**
     * A job moves from its live record to its final one between the two reads of a question, at
     * whatever moment that is sent.
     */
    @Test
    void aQuestionThatMeetsTheMoveToTheFinalRecordIsAnsweredAllTheSame() {
        JobSpec job = World.spec(1, JobKind.ARRAY, 1, 1);
        int node = other(world.leader(), 1);
        assertTrue(world.submit(node, job, SHORT));
        world.poll(node, job.id());
        // Looks get no answer, so each question is two reads.
        world.line(node).failWatches(true);
        world.poll(node, job.id());
        world.runS(4);
        int before = world.answered();
        for (int step = 0; step < 40 && !world.judge().isOver(job.id()); step++) {
            for (int at = 0; at < 250; at++) {
                world.loop().schedule(Duration.ofMillis(at), () -> world.asks(node, job.id()));
            }
            world.run(Duration.ofMillis(250));
        }
        assertEquals(Phase.DONE, phase(job));
        assertTrue(world.answered() - before > 500, "asked each millisecond until it was done");
    }

    /** A cancellation has read the live record, and its write comes after the job's end. */
    @Test
    void aCancellationThatIsWrittenAfterTheEndChangesNothing() {
        JobSpec job = World.spec(1, JobKind.ARRAY, 1, 1);
        int node = other(world.leader(), 1);
        assertTrue(world.submit(node, job, SHORT));
        world.runS(9);
        world.line(node).holdCommits();
        CompletableFuture<Optional<JobStatus>> answer = world.cancels(node, job.id());
        for (int step = 0; step < 40 && world.store().size("ended/") == 0; step++) {
            world.run(Duration.ofMillis(250));
        }
        assertEquals(Phase.DONE, world.poll(other(node, 1), job.id()).orElseThrow().phase());
        world.line(node).hold(false);
        world.runS(5);
        assertTrue(answer.isDone());
        everyNodeSays(Phase.DONE, job);
        assertEquals(0, world.store().size("job/"), "its live record is not there again");
    }
}
