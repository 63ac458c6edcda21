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

/** The life cycle of jobs, and the status that is reported to users. */
class JobLifecycleScenarioTest extends ClusterTestBase {
    @Test
    void acceptedJobRunsAndEveryControllerReportsItDone() {
        JobSpec job = arrayJob(1, 7);
        assertTrue(cluster.users().submit(1, job, SHORT_RUNTIME));
        cluster.runSeconds(30);
        for (int node = 0; node < 3; node++) {
            assertEquals(Phase.DONE, cluster.users().poll(node, job.id()).orElseThrow().phase());
        }
        assertEquals(7, cluster.startCount());
        assertEquals(
                0,
                cluster.store().recordCount("job/") + cluster.store().recordCount("task/"),
                "live records are left");
    }

    @Test
    void unsubmittedJobIsNotFound() {
        assertTrue(cluster.users().poll(0, new JobId("req-999999")).isEmpty());
        assertTrue(cluster.users().cancel(1, new JobId("req-999999")));
        assertEquals(0, cluster.store().recordCount("job/"));
    }

    @Test
    void submissionRetriedAfterLostResponseCreatesOneJob() {
        JobSpec job = arrayJob(1, 2);
        cluster.storeConnection(0).loseResponses(true);
        cluster.users().submit(0, job, SHORT_RUNTIME);
        cluster.storeConnection(0).loseResponses(false);
        assertTrue(cluster.users().submit(1, job, SHORT_RUNTIME));
        cluster.runSeconds(30);
        assertEquals(Phase.DONE, phaseOf(job));
        assertTrue(cluster.users().submit(2, job, SHORT_RUNTIME));
        assertEquals(2, cluster.startCount());
    }

    @Test
    void cancelledJobStopsAndStaysCancelled() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 5, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(10);
        assertTrue(cluster.users().cancel(2, job.id()));
        cluster.runSeconds(10);
        assertTrue(cluster.workers().stream().allMatch(worker -> worker.runningTasks().isEmpty()));
        assertEquals(Phase.CANCELLED, phaseOf(job));
        assertTrue(cluster.users().submit(1, job, null));
        cluster.runSeconds(20);
        assertEquals(5, cluster.startCount());
    }

    @Test
    void jobCancelledThroughFollowerIsNotStarted() {
        cluster.workers().forEach(worker -> worker.setHung(true));
        cluster.cloud().setOutage(true);
        cluster.runSeconds(10);
        JobSpec job = arrayJob(1, 1);
        assertTrue(cluster.users().submit(0, job, LONG_RUNTIME));
        cluster.runSeconds(3);
        int leader = cluster.leader();
        cluster.storeConnection(leader).hideAllChanges(true);
        assertTrue(cluster.users().cancel((leader + 1) % 3, job.id()));
        cluster.workers().forEach(worker -> worker.setHung(false));
        cluster.runSeconds(20);
        assertEquals(leader, cluster.leader());
        assertEquals(0, cluster.startCount());
    }

    @Test
    void cancelledTaskOnUnreachableMachineStopsWithinBound() {
        JobSpec job = arrayJob(1, 1);
        assertTrue(cluster.users().submit(0, job, LONG_RUNTIME));
        cluster.runSeconds(10);
        FakeWorker hung = machineRunning(job, 0);
        hung.setHung(true);
        // Direct commands and heartbeats fail from here on; the limit is 48 s, of which 32 s pass.
        assertTrue(cluster.users().cancel(1, job.id()));
        cluster.runSeconds(2);
        for (int node = 0; node < 3; node++) {
            cluster.crash(node);
            cluster.restart(node);
        }
        cluster.runSeconds(30);
        assertFalse(
                cluster.workers().contains(hung),
                "returned, as its lease may last for 48 s after the takeover");
    }

    @Test
    void newLeaderCompletesJobWhoseLastTaskWasRecordedByPredecessor() {
        JobSpec job = arrayJob(1, 2);
        cluster.cloud().setOutage(true);
        cluster.workers().forEach(worker -> worker.setHung(true));
        cluster.runSeconds(10);
        assertTrue(cluster.users().submit(0, job, SHORT_RUNTIME));
        cluster.crashAll();
        for (int task = 0; task < 2; task++) {
            cluster.onTaskCompleted(new TaskId(job.id(), task));
        }
        cluster.store()
                .put(
                        "task/" + job.id() + "/0",
                        Map.of("last", 1L, "done", List.of(0L, 2L), "placed", List.of()));
        cluster.restart(0);
        cluster.runSeconds(10);
        assertEquals(Phase.DONE, phaseOf(job));
    }

    @Test
    void teamNeverExceedsItsQuotaLimit() {
        cluster.withTeam("small", 0, 3);
        JobSpec plain = arrayJob(1, 9);
        JobSpec job = withTeam(plain, "small");
        assertTrue(cluster.users().submit(0, job, SHORT_RUNTIME));
        cluster.runSeconds(9);
        cluster.crash(cluster.leader());
        cluster.runSeconds(120);
        assertEquals(Phase.DONE, phaseOf(job));
    }

    @Test
    void hugeJobKeepsRecordsSmallAndLeavesCapacityForOthers() {
        JobSpec huge = arrayJob(1, 100_000);
        JobSpec other = withZonePolicy(arrayJob(2, 3), false, false);
        assertTrue(cluster.users().submit(0, huge, LONG_RUNTIME));
        cluster.runSeconds(5);
        assertTrue(cluster.users().submit(1, other, SHORT_RUNTIME));
        cluster.runSeconds(120);
        assertEquals(Phase.DONE, phaseOf(other));
        assertTrue(cluster.store().largestValueBytes() <= 16 * 1024);
        assertTrue(cluster.storeConnection(cluster.leader()).largestCommitWrites() <= 12);
        assertTrue(cluster.users().cancel(0, huge.id()));
        cluster.runSeconds(60);
        assertEquals(0, cluster.store().recordCount("task/"));
    }

    @Test
    void alwaysFailingTaskIsRetriedWithBackoff() {
        JobSpec job = arrayJob(1, 1);
        assertTrue(cluster.users().submit(0, job, LONG_RUNTIME));
        for (int second = 0; second < 120; second++) {
            FakeWorker worker = machineRunning(job, 0);
            if (worker != null) {
                worker.failTask(new TaskId(job.id(), 0));
            }
            cluster.runSeconds(1);
        }
        assertTrue(
                cluster.startCount() >= 3 && cluster.startCount() < 14,
                "started " + cluster.startCount() + " times");
    }

    @Test
    void unschedulableJobIsRejected() {
        assertFalse(
                cluster.users()
                        .submit(0, SimulatedCluster.spec(1, JobKind.ARRAY, 1, 9), SHORT_RUNTIME),
                "no machine has nine GPUs");
        assertFalse(cluster.users().submit(0, withTeam(arrayJob(2, 1), "nobody"), SHORT_RUNTIME));
        cluster.withTeam("small", 0, 3);
        assertFalse(
                cluster.users()
                        .submit(
                                0,
                                withTeam(SimulatedCluster.spec(3, JobKind.GANG, 4, 1), "small"),
                                SHORT_RUNTIME));
        assertTrue(
                cluster.users().submit(0, withTeam(arrayJob(4, 4), "small"), SHORT_RUNTIME),
                "an array can run one task at a time");
    }

    /**
     * All tasks of a gang run at once, so a gang that must stay in one zone and also spread across
     * zones can never run.
     */
    @Test
    void gangWithUnsatisfiableZonesIsRejectedAndSatisfiableOneIsAccepted() {
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 3, 1);
        assertFalse(
                cluster.users().submit(0, withZonePolicy(gang, true, true), SHORT_RUNTIME),
                "in a single zone and spread");
        assertFalse(
                cluster.users()
                        .submit(0, inZone(withZonePolicy(gang, false, true), "a"), SHORT_RUNTIME),
                "in zone a and spread");
        assertFalse(
                cluster.users().submit(0, inZone(gang, "c"), SHORT_RUNTIME),
                "in a zone that does not exist");
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                withZonePolicy(
                                        SimulatedCluster.spec(2, JobKind.GANG, 1, 1), true, true),
                                SHORT_RUNTIME),
                "a single task satisfies both rules");
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                inZone(withZonePolicy(arrayJob(3, 4), false, true), "b"),
                                SHORT_RUNTIME),
                "the tasks of an array need not run at once");
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                inZone(
                                        withZonePolicy(
                                                SimulatedCluster.spec(4, JobKind.GANG, 3, 1),
                                                true,
                                                false),
                                        "a"),
                                SHORT_RUNTIME));
        cluster.runSeconds(60);
        for (int number = 2; number <= 4; number++) {
            assertEquals(Phase.DONE, phaseOf(arrayJob(number, 1)), "job " + number);
        }
        for (int node = 0; node < 3; node++) {
            assertInvalidSubmissionsAreRejected(node);
        }
    }

    private void assertInvalidSubmissionsAreRejected(int node) {
        Map<String, Object> incomplete =
                new HashMap<>(
                        SubmissionCodec.encode(
                                SimulatedCluster.spec(5 + node, JobKind.ARRAY, 1, 1)));
        incomplete.remove("loaners");
        assertEquals(400, cluster.users().postSubmission(node, incomplete), "lacks a field");
        JobSpec tooLarge = SimulatedCluster.spec(9, JobKind.ARRAY, 1, 9);
        assertEquals(
                422,
                cluster.users().postSubmission(node, SubmissionCodec.encode(tooLarge)),
                "fits no machine");
        JobSpec withoutTypes =
                withMachineTypes(SimulatedCluster.spec(10, JobKind.ARRAY, 1, 1), List.of());
        assertEquals(
                422, cluster.users().postSubmission(node, SubmissionCodec.encode(withoutTypes)));
    }

    /** An accepted job stays accepted, even if it would be rejected under the current quota. */
    @Test
    void repeatedSubmissionIsAcceptedAfterQuotaChange() {
        cluster.withTeam("small", 0, 3);
        JobSpec gang = withTeam(SimulatedCluster.spec(1, JobKind.GANG, 3, 1), "small");
        assertTrue(cluster.users().submit(0, gang, SHORT_RUNTIME));
        cluster.withTeam("small", 0, 1);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, cluster.users().postSubmission(node, SubmissionCodec.encode(gang)));
        }
        cluster.withTeam("small", 0, 3);
        cluster.runSeconds(40);
        assertEquals(Phase.DONE, phaseOf(gang));
        cluster.withTeam("small", 0, 1);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, cluster.users().postSubmission(node, SubmissionCodec.encode(gang)));
        }
    }
}
