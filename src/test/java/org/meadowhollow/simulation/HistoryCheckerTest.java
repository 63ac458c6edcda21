package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.TaskId;

/**
 * Tests that each check of {@link HistoryChecker} detects a violation and accepts correct
 * behaviour.
 */
class HistoryCheckerTest {
    private static final JobId UNKNOWN_JOB = new JobId("req-99");

    private record TestMachine(
            String zone, MachineType machineType, List<TaskId> heldTasks, List<TaskId> runningTasks)
            implements HistoryChecker.Machine {
        @Override
        public boolean isReachable() {
            return true;
        }
    }

    private final Map<JobId, JobSpec> specs = new HashMap<>();
    private final Map<String, DeploymentSettings.TeamQuota> teams = new HashMap<>();
    private final List<TestMachine> machines = new ArrayList<>();
    private final HistoryChecker historyChecker =
            new HistoryChecker(
                    Duration.ofSeconds(48),
                    teams,
                    List.of(SimulatedCluster.SMALL, SimulatedCluster.LARGE),
                    specs::get,
                    () -> machines);

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime((long) (seconds * 1e9));
    }

    private JobSpec submittedJob(JobSpec spec) {
        teams.putIfAbsent(
                "team",
                new DeploymentSettings.TeamQuota("team", Resources.NONE, Resources.of(0, 4, 0)));
        specs.put(spec.id(), spec);
        historyChecker.recordSubmission(spec.id());
        return spec;
    }

    private JobSpec acceptedJob(int number, JobKind kind, int tasks) {
        JobSpec spec = submittedJob(SimulatedCluster.spec(number, kind, tasks, 1));
        historyChecker.checkAnswer(spec.id(), Phase.QUEUED, at(0), at(1));
        return spec;
    }

    private TestMachine addMachine(String zone, TaskId... running) {
        TestMachine machine =
                new TestMachine(zone, SimulatedCluster.LARGE, List.of(running), List.of(running));
        machines.add(machine);
        return machine;
    }

    private static TaskId task(JobSpec job, int index) {
        return new TaskId(job.id(), index);
    }

    private static void assertDetects(String messagePrefix, Executable check) {
        AssertionError error = assertThrows(AssertionError.class, check, messagePrefix);
        assertTrue(error.getMessage().startsWith(messagePrefix), error.getMessage());
    }

    @Test
    void detectsInconsistentAnswersToUsers() {
        assertDetects(
                "invented",
                () -> historyChecker.checkAnswer(UNKNOWN_JOB, Phase.QUEUED, at(0), at(1)));
        JobSpec job = acceptedJob(1, JobKind.ARRAY, 2);
        assertDoesNotThrow(
                () -> historyChecker.checkAnswer(job.id(), null, at(0.5), at(2)),
                "the poll was sent before the acceptance was answered");
        assertDetects(
                "forgotten", () -> historyChecker.checkAnswer(job.id(), null, at(1.5), at(2)));
        assertDetects(
                "went_back: " + job.id() + " was cancelled without a request",
                () -> historyChecker.checkAnswer(job.id(), Phase.CANCELLED, at(2), at(3)));
        assertDetects(
                "not_done", () -> historyChecker.checkAnswer(job.id(), Phase.DONE, at(2), at(3)));
        historyChecker.recordCancelRequest(job.id());
        historyChecker.checkAnswer(job.id(), Phase.CANCELLED, at(3), at(4));
        assertDoesNotThrow(
                () -> historyChecker.checkAnswer(job.id(), Phase.RUNNING, at(3.5), at(5)),
                "the poll was sent before the cancellation was confirmed");
        assertDetects(
                "went_back",
                () -> historyChecker.checkAnswer(job.id(), Phase.RUNNING, at(4.1), at(5)));
        historyChecker.recordCompletion(task(job, 0));
        historyChecker.recordCompletion(task(job, 1));
        assertDetects(
                "went_back",
                () -> historyChecker.checkAnswer(job.id(), Phase.DONE, at(3.5), at(5)));
    }

    @Test
    void detectsAcceptedJobThatCannotRun() {
        for (JobSpec infeasibleJob :
                List.of(
                        SimulatedCluster.spec(1, JobKind.ARRAY, 1, 9),
                        ClusterTestBase.withTeam(
                                SimulatedCluster.spec(2, JobKind.ARRAY, 1, 1), "nobody"),
                        SimulatedCluster.spec(3, JobKind.GANG, 5, 1),
                        ClusterTestBase.inZone(SimulatedCluster.spec(4, JobKind.ARRAY, 1, 1), "c"),
                        ClusterTestBase.withZonePolicy(
                                SimulatedCluster.spec(5, JobKind.GANG, 2, 1), true, true))) {
            submittedJob(infeasibleJob);
            assertDetects(
                    "wrongly accepted",
                    () ->
                            historyChecker.checkAnswer(
                                    infeasibleJob.id(), Phase.QUEUED, at(0), at(1)));
        }
        acceptedJob(6, JobKind.ARRAY, 50);
    }

    @Test
    void detectsTaskStartedOnWrongMachine() {
        JobSpec array = acceptedJob(1, JobKind.ARRAY, 4);
        TestMachine first = addMachine("a", task(array, 0));
        TestMachine second = addMachine("b");
        assertDetects("ran_twice", () -> historyChecker.checkStart(second, task(array, 0), at(2)));
        historyChecker.checkStart(second, task(array, 1), at(2));
        JobSpec zoneBoundJob =
                submittedJob(
                        ClusterTestBase.inZone(SimulatedCluster.spec(2, JobKind.ARRAY, 1, 1), "a"));
        assertDetects(
                "wrong_place",
                () -> historyChecker.checkStart(second, task(zoneBoundJob, 0), at(2)));
        JobSpec singleZoneJob =
                submittedJob(
                        ClusterTestBase.withZonePolicy(
                                SimulatedCluster.spec(3, JobKind.ARRAY, 2, 1), true, false));
        machines.clear();
        addMachine("a", task(singleZoneJob, 0));
        assertDetects(
                "wrong_place",
                () -> historyChecker.checkStart(second, task(singleZoneJob, 1), at(2)));
        JobSpec spreadJob =
                submittedJob(
                        ClusterTestBase.withZonePolicy(
                                SimulatedCluster.spec(4, JobKind.ARRAY, 3, 1), false, true));
        machines.clear();
        TestMachine third =
                addMachine("a", task(spreadJob, 0), task(spreadJob, 1), task(spreadJob, 2));
        assertDetects(
                "wrong_place", () -> historyChecker.checkStart(third, task(spreadJob, 2), at(2)));
        assertEquals("a", first.zone());
    }

    @Test
    void detectsQuotaAndCancellationViolations() {
        JobSpec job = acceptedJob(1, JobKind.ARRAY, 5);
        addMachine("a", task(job, 0), task(job, 1), task(job, 2), task(job, 3));
        historyChecker.checkStep(at(2));
        addMachine("b", task(job, 4));
        assertDetects("quota", () -> historyChecker.checkStep(at(3)));
        machines.clear();
        addMachine("a", task(job, 0));
        historyChecker.recordCancelRequest(job.id());
        historyChecker.checkAnswer(job.id(), Phase.CANCELLED, at(3), at(4));
        historyChecker.recordStartCommand(task(job, 1));
        assertEquals(1, historyChecker.startsAfterCancellation());
        historyChecker.checkStep(at(52));
        assertDetects("ran_cancelled", () -> historyChecker.checkStep(at(52.1)));
    }

    @Test
    void detectsUnansweredAndNeglectedJobsAfterFaults() {
        JobSpec job = acceptedJob(1, JobKind.ARRAY, 2);
        addMachine("a");
        historyChecker.beginFaultFreePhase(at(10));
        historyChecker.checkStep(at(10));
        assertDetects("forgotten: no answer", () -> historyChecker.checkStep(at(85.1)));
        historyChecker.checkAnswer(job.id(), Phase.QUEUED, at(84), at(85));
        historyChecker.checkStep(at(100));
        historyChecker.checkAnswer(job.id(), Phase.QUEUED, at(99), at(100));
        assertDetects("neglected", () -> historyChecker.checkStep(at(100.1)));
        machines.clear();
        addMachine("a", task(job, 0), task(job, 1));
        assertDoesNotThrow(() -> historyChecker.checkStep(at(100.2)), "all its tasks are placed");
        JobSpec gangJob = acceptedJob(2, JobKind.GANG, 3);
        historyChecker.checkAnswer(job.id(), Phase.QUEUED, at(189), at(190));
        historyChecker.checkAnswer(gangJob.id(), Phase.QUEUED, at(189), at(190));
        assertDoesNotThrow(
                () -> historyChecker.checkStep(at(195)), "the team's limit is four GPUs");
    }

    @Test
    void detectsUnfairService() {
        historyChecker.beginFaultFreePhase(at(0));
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            jobs.add(acceptedJob(number, JobKind.ARRAY, number < 4 ? 1 : 2));
        }
        TestMachine machine = addMachine("a");
        for (int number = 3; number < 5; number++) {
            for (int task = 0; task < jobs.get(number).taskCount(); task++) {
                historyChecker.checkStart(machine, task(jobs.get(number), task), at(200));
                historyChecker.recordCompletion(task(jobs.get(number), task));
            }
            historyChecker.checkAnswer(jobs.get(number).id(), Phase.DONE, at(210), at(211));
        }
        assertDetects("class class: 2 served of 5", historyChecker::checkFairness);
        historyChecker.checkStart(machine, task(jobs.get(2), 0), at(300));
        historyChecker.recordCompletion(task(jobs.get(2), 0));
        historyChecker.checkAnswer(jobs.get(2).id(), Phase.DONE, at(310), at(311));
        historyChecker.checkFairness();
        JobSpec large = acceptedJob(5, JobKind.ARRAY, 2);
        assertDetects("largest job not started in time", historyChecker::checkFairness);
        historyChecker.checkStart(machine, task(large, 0), at(241.5));
        assertDetects("largest job not started in time", historyChecker::checkFairness);
    }

    /**
     * A violation that is thrown inside a callback would be lost in the future of that callback.
     */
    @Test
    void violationFoundInCallbackFailsNextStep() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.recordViolations(
                () -> {
                    throw new AssertionError("planted");
                });
        assertDetects("planted", () -> cluster.runSeconds(1));
    }
}
