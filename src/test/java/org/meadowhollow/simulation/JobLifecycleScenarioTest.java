package org.meadowhollow.simulation;

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
class JobLifecycleScenarioTest extends ClusterTestBase {
    @Test
    void anAcceptedJobRunsAndEveryNodeSaysThatItIsDone() {
        JobSpec job = array(1, 7);
        assertTrue(cluster.submit(1, job, SHORT));
        cluster.runS(30);
        for (int node = 0; node < 3; node++) {
            assertEquals(Phase.DONE, cluster.poll(node, job.id()).orElseThrow().phase());
        }
        assertEquals(7, cluster.starts());
        assertEquals(
                0,
                cluster.store().size("job/") + cluster.store().size("task/"),
                "live records are left");
    }

    @Test
    void aJobThatNobodySubmittedIsNotFound() {
        assertTrue(cluster.poll(0, new JobId("req-999999")).isEmpty());
        assertTrue(cluster.cancel(1, new JobId("req-999999")));
        assertEquals(0, cluster.store().size("job/"));
    }

    @Test
    void aSubmissionWhoseAnswerWasLostMakesOneJob() {
        JobSpec job = array(1, 2);
        cluster.line(0).loseAnswers(true);
        cluster.submit(0, job, SHORT);
        cluster.line(0).loseAnswers(false);
        assertTrue(cluster.submit(1, job, SHORT));
        cluster.runS(30);
        assertEquals(Phase.DONE, phase(job));
        assertTrue(cluster.submit(2, job, SHORT));
        assertEquals(2, cluster.starts());
    }

    @Test
    void aCancelledJobIsGoneAndStaysCancelled() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 5, 1);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(10);
        assertTrue(cluster.cancel(2, job.id()));
        cluster.runS(10);
        assertTrue(cluster.workers().stream().allMatch(worker -> worker.running().isEmpty()));
        assertEquals(Phase.CANCELLED, phase(job));
        assertTrue(cluster.submit(1, job, null));
        cluster.runS(20);
        assertEquals(5, cluster.starts());
    }

    @Test
    void aJobCancelledBehindTheLeadersBackIsNotStarted() {
        cluster.workers().forEach(worker -> worker.hang(true));
        cluster.cloudOut(true);
        cluster.runS(10);
        JobSpec job = array(1, 1);
        assertTrue(cluster.submit(0, job, LONG));
        cluster.runS(3);
        int leader = cluster.leader();
        cluster.line(leader).blind(true);
        assertTrue(cluster.cancel((leader + 1) % 3, job.id()));
        cluster.workers().forEach(worker -> worker.hang(false));
        cluster.runS(20);
        assertEquals(leader, cluster.leader());
        assertEquals(0, cluster.starts());
    }

    @Test
    void aCancelledTaskOnAMachineOutOfReachIsGoneInTime() {
        JobSpec job = array(1, 1);
        assertTrue(cluster.submit(0, job, LONG));
        cluster.runS(10);
        FakeWorker hung = placeOf(job, 0);
        hung.hang(true);
        // Direct commands and reports fail from here on; the limit is 48 s, and half of it is
        // waited.
        assertTrue(cluster.cancel(1, job.id()));
        cluster.runS(2);
        for (int node = 0; node < 3; node++) {
            cluster.crash(node);
            cluster.restart(node);
        }
        cluster.runS(30);
        assertFalse(
                cluster.workers().contains(hung), "its lease may last for 48 s after the takeover");
    }

    @Test
    void aSuccessorEndsAJobWhoseLastTaskItsPredecessorNoted() {
        JobSpec job = array(1, 2);
        cluster.cloudOut(true);
        cluster.workers().forEach(worker -> worker.hang(true));
        cluster.runS(10);
        assertTrue(cluster.submit(0, job, SHORT));
        cluster.crashAll();
        for (int task = 0; task < 2; task++) {
            cluster.completed(new TaskId(job.id(), task));
        }
        cluster.store()
                .put(
                        "task/" + job.id() + "/0",
                        Map.of("last", 1L, "done", List.of(0L, 2L), "placed", List.of()));
        cluster.restart(0);
        cluster.runS(10);
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void aTeamNeverUsesMoreThanItsLimit() {
        cluster.team("small", 0, 3);
        JobSpec plain = array(1, 9);
        JobSpec job = withTeam(plain, "small");
        assertTrue(cluster.submit(0, job, SHORT));
        cluster.runS(9);
        cluster.crash(cluster.leader());
        cluster.runS(120);
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void aHugeJobKeepsItsRecordsSmallAndLeavesRoomForOthers() {
        JobSpec huge = array(1, 100_000);
        JobSpec other = zoned(array(2, 3), false, false);
        assertTrue(cluster.submit(0, huge, LONG));
        cluster.runS(5);
        assertTrue(cluster.submit(1, other, SHORT));
        cluster.runS(120);
        assertEquals(Phase.DONE, phase(other));
        assertTrue(cluster.store().largestValue() <= 16 * 1024);
        assertTrue(cluster.line(cluster.leader()).mostWrites() <= 12);
        assertTrue(cluster.cancel(0, huge.id()));
        cluster.runS(60);
        assertEquals(0, cluster.store().size("task/"));
    }

    @Test
    void aTaskThatAlwaysFailsIsNotStartedInAFlood() {
        JobSpec job = array(1, 1);
        assertTrue(cluster.submit(0, job, LONG));
        for (int second = 0; second < 120; second++) {
            FakeWorker place = placeOf(job, 0);
            if (place != null) {
                place.fail(new TaskId(job.id(), 0));
            }
            cluster.runS(1);
        }
        assertTrue(
                cluster.starts() >= 3 && cluster.starts() < 14,
                "started " + cluster.starts() + " times");
    }

    @Test
    void whatCanNeverRunIsRefused() {
        assertFalse(
                cluster.submit(0, SimulatedCluster.spec(1, JobKind.ARRAY, 1, 9), SHORT),
                "no machine has nine");
        assertFalse(cluster.submit(0, withTeam(array(2, 1), "nobody"), SHORT));
        cluster.team("small", 0, 3);
        assertFalse(
                cluster.submit(
                        0, withTeam(SimulatedCluster.spec(3, JobKind.GANG, 4, 1), "small"), SHORT));
        assertTrue(
                cluster.submit(0, withTeam(array(4, 4), "small"), SHORT),
                "an array runs a task at a time");
    }

    /**
     * All tasks of a gang run at once, so one that must be in one zone and may not be is never
     * whole.
     */
    @Test
    void aGangThatMayNotBeWhereItMustBeIsRefusedAndWhatMayRunIsNot() {
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 1);
        assertFalse(cluster.submit(0, zoned(gang, true, true), SHORT), "together and spread");
        assertFalse(
                cluster.submit(0, inZone(zoned(gang, false, true), "a"), SHORT),
                "in one zone and spread");
        assertFalse(cluster.submit(0, inZone(gang, "c"), SHORT), "nowhere");
        assertTrue(
                cluster.submit(
                        0, zoned(SimulatedCluster.spec(2, JobKind.GANG, 1, 1), true, true), SHORT),
                "one task is whole");
        assertTrue(
                cluster.submit(0, inZone(zoned(array(3, 4), false, true), "b"), SHORT),
                "an array runs half by half");
        assertTrue(
                cluster.submit(
                        0,
                        inZone(
                                zoned(SimulatedCluster.spec(4, JobKind.GANG, 3, 1), true, false),
                                "a"),
                        SHORT));
        cluster.runS(60);
        for (int number = 2; number <= 4; number++) {
            assertEquals(Phase.DONE, phase(array(number, 1)), "job " + number);
        }
        for (int node = 0; node < 3; node++) {
            Map<String, Object> body =
                    new HashMap<>(
                            SubmissionCodec.encode(
                                    SimulatedCluster.spec(5 + node, JobKind.ARRAY, 1, 1)));
            body.remove("loaners");
            assertEquals(400, cluster.posts(node, body), "lacks a field");
            assertEquals(
                    422,
                    cluster.posts(
                            node,
                            SubmissionCodec.encode(SimulatedCluster.spec(9, JobKind.ARRAY, 1, 9))),
                    "fits no machine");
            assertEquals(
                    422,
                    cluster.posts(
                            node,
                            SubmissionCodec.encode(
                                    withTypes(
                                            SimulatedCluster.spec(10, JobKind.ARRAY, 1, 1),
                                            List.of()))));
        }
    }

    /** What is accepted stays so, also where it would be refused today. */
    @Test
    void aRepeatOfAnAcceptedJobIsNeverRefusedAlsoAfterTeamsLookDifferent() {
        cluster.team("small", 0, 3);
        JobSpec gang = withTeam(SimulatedCluster.spec(1, JobKind.GANG, 3, 1), "small");
        assertTrue(cluster.submit(0, gang, SHORT));
        cluster.team("small", 0, 1);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, cluster.posts(node, SubmissionCodec.encode(gang)));
        }
        cluster.team("small", 0, 3);
        cluster.runS(40);
        assertEquals(Phase.DONE, phase(gang));
        cluster.team("small", 0, 1);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, cluster.posts(node, SubmissionCodec.encode(gang)));
        }
    }
}
