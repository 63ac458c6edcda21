package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.jobs.SubmissionCodec;

/** What becomes of jobs, and what their users are told. */
class JobStoriesTest extends Story {
    @Test
    void anAcceptedJobRunsAndEveryNodeSaysThatItIsDone() {
        JobSpec job = array(1, 7);
        assertTrue(world.submit(1, job, SHORT));
        world.runS(30);
        for (int node = 0; node < 3; node++) {
            assertEquals(Phase.DONE, world.poll(node, job.id()).orElseThrow().phase());
        }
        assertEquals(7, world.starts());
        assertEquals(
                0,
                world.store().size("job/") + world.store().size("task/"),
                "live records are left");
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
    void aCancelledJobIsGoneAndStaysCancelled() {
        JobSpec job = World.spec(1, JobKind.SERVICE, 5, 1);
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
    void aCancelledTaskOnAMachineOutOfReachIsGoneInTime() {
        JobSpec job = array(1, 1);
        assertTrue(world.submit(0, job, LONG));
        world.runS(10);
        FakeWorker hung = placeOf(job, 0);
        hung.hang(true);
        // Direct commands and reports fail from here on; the limit is 48 s, and half of it is
        // waited.
        assertTrue(world.cancel(1, job.id()));
        world.runS(2);
        for (int node = 0; node < 3; node++) {
            world.crash(node);
            world.restart(node);
        }
        world.runS(30);
        assertFalse(
                world.workers().contains(hung), "its lease may last for 48 s after the takeover");
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
        world.store()
                .put(
                        "task/" + job.id() + "/0",
                        Map.of("last", 1L, "done", List.of(0L, 2L), "placed", List.of()));
        world.restart(0);
        world.runS(10);
        assertEquals(Phase.DONE, phase(job));
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
        assertTrue(
                world.starts() >= 3 && world.starts() < 14, "started " + world.starts() + " times");
    }

    @Test
    void whatCanNeverRunIsRefused() {
        assertFalse(
                world.submit(0, World.spec(1, JobKind.ARRAY, 1, 9), SHORT), "no machine has nine");
        assertFalse(world.submit(0, withTeam(array(2, 1), "nobody"), SHORT));
        world.team("small", 0, 3);
        assertFalse(world.submit(0, withTeam(World.spec(3, JobKind.GANG, 4, 1), "small"), SHORT));
        assertTrue(
                world.submit(0, withTeam(array(4, 4), "small"), SHORT),
                "an array runs a task at a time");
    }

    /**
     * All tasks of a gang run at once, so one that must be in one zone and may not be is never
     * whole.
     */
    @Test
    void aGangThatMayNotBeWhereItMustBeIsRefusedAndWhatMayRunIsNot() {
        JobSpec gang = World.spec(1, JobKind.GANG, 3, 1);
        assertFalse(world.submit(0, zoned(gang, true, true), SHORT), "together and spread");
        assertFalse(
                world.submit(0, inZone(zoned(gang, false, true), "a"), SHORT),
                "in one zone and spread");
        assertFalse(world.submit(0, inZone(gang, "c"), SHORT), "nowhere");
        assertTrue(
                world.submit(0, zoned(World.spec(2, JobKind.GANG, 1, 1), true, true), SHORT),
                "one task is whole");
        assertTrue(
                world.submit(0, inZone(zoned(array(3, 4), false, true), "b"), SHORT),
                "an array runs half by half");
        assertTrue(
                world.submit(
                        0,
                        inZone(zoned(World.spec(4, JobKind.GANG, 3, 1), true, false), "a"),
                        SHORT));
        world.runS(60);
        for (int number = 2; number <= 4; number++) {
            assertEquals(Phase.DONE, phase(array(number, 1)), "job " + number);
        }
        for (int node = 0; node < 3; node++) {
            Map<String, Object> body =
                    new HashMap<>(
                            SubmissionCodec.encode(World.spec(5 + node, JobKind.ARRAY, 1, 1)));
            body.remove("loaners");
            assertEquals(400, world.posts(node, body), "lacks a field");
            assertEquals(
                    422,
                    world.posts(node, SubmissionCodec.encode(World.spec(9, JobKind.ARRAY, 1, 9))),
                    "fits no machine");
            assertEquals(
                    422,
                    world.posts(
                            node,
                            SubmissionCodec.encode(
                                    withTypes(World.spec(10, JobKind.ARRAY, 1, 1), List.of()))));
        }
    }

    /** What is accepted stays so, also where it would be refused today. */
    @Test
    void aRepeatOfAnAcceptedJobIsNeverRefusedAlsoAfterTeamsLookDifferent() {
        world.team("small", 0, 3);
        JobSpec gang = withTeam(World.spec(1, JobKind.GANG, 3, 1), "small");
        assertTrue(world.submit(0, gang, SHORT));
        world.team("small", 0, 1);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, world.posts(node, SubmissionCodec.encode(gang)));
        }
        world.team("small", 0, 3);
        world.runS(40);
        assertEquals(Phase.DONE, phase(gang));
        world.team("small", 0, 1);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, world.posts(node, SubmissionCodec.encode(gang)));
        }
    }
}
