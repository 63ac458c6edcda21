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

/** Each check of the judge sees a fault that is planted, and lets pass what is right beside it. */
class HistoryCheckerTest {
    private static final JobId UNKNOWN = new JobId("req-99");

    private record Stand(
            String zone, MachineType machineType, List<TaskId> held, List<TaskId> running)
            implements HistoryChecker.Place {
        @Override
        public boolean inTouch() {
            return true;
        }
    }

    private final Map<JobId, JobSpec> specs = new HashMap<>();
    private final Map<String, DeploymentSettings.TeamQuota> teams = new HashMap<>();
    private final List<Stand> places = new ArrayList<>();
    private final HistoryChecker historyChecker =
            new HistoryChecker(
                    Duration.ofSeconds(48),
                    teams,
                    List.of(SimulatedCluster.SMALL, SimulatedCluster.LARGE),
                    specs::get,
                    () -> places);

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime((long) (seconds * 1e9));
    }

    private JobSpec job(JobSpec spec) {
        teams.putIfAbsent(
                "team",
                new DeploymentSettings.TeamQuota("team", Resources.NONE, Resources.of(0, 4, 0)));
        specs.put(spec.id(), spec);
        historyChecker.submits(spec.id());
        return spec;
    }

    private JobSpec accepted(int number, JobKind kind, int tasks) {
        JobSpec spec = job(SimulatedCluster.spec(number, kind, tasks, 1));
        historyChecker.answered(spec.id(), Phase.QUEUED, at(0), at(1));
        return spec;
    }

    private Stand place(String zone, TaskId... running) {
        Stand stand = new Stand(zone, SimulatedCluster.LARGE, List.of(running), List.of(running));
        places.add(stand);
        return stand;
    }

    private static TaskId task(JobSpec job, int index) {
        return new TaskId(job.id(), index);
    }

    private static void sees(String fault, Executable check) {
        AssertionError found = assertThrows(AssertionError.class, check, fault);
        assertTrue(found.getMessage().startsWith(fault), found.getMessage());
    }

    @Test
    void whatUsersAreTold() {
        sees("invented", () -> historyChecker.answered(UNKNOWN, Phase.QUEUED, at(0), at(1)));
        JobSpec job = accepted(1, JobKind.ARRAY, 2);
        assertDoesNotThrow(
                () -> historyChecker.answered(job.id(), null, at(0.5), at(2)),
                "asked before anybody was told");
        sees("forgotten", () -> historyChecker.answered(job.id(), null, at(1.5), at(2)));
        sees(
                "went_back: " + job.id() + " cancelled by nobody",
                () -> historyChecker.answered(job.id(), Phase.CANCELLED, at(2), at(3)));
        sees("not_done", () -> historyChecker.answered(job.id(), Phase.DONE, at(2), at(3)));
        historyChecker.asksToCancel(job.id());
        historyChecker.answered(job.id(), Phase.CANCELLED, at(3), at(4));
        assertDoesNotThrow(
                () -> historyChecker.answered(job.id(), Phase.RUNNING, at(3.5), at(5)),
                "asked before it was confirmed");
        sees("went_back", () -> historyChecker.answered(job.id(), Phase.RUNNING, at(4.1), at(5)));
        historyChecker.complete(task(job, 0));
        historyChecker.complete(task(job, 1));
        sees("went_back", () -> historyChecker.answered(job.id(), Phase.DONE, at(3.5), at(5)));
    }

    @Test
    void whatIsAcceptedThoughItCannotRun() {
        for (JobSpec wrong :
                List.of(
                        SimulatedCluster.spec(1, JobKind.ARRAY, 1, 9),
                        ClusterTestBase.withTeam(
                                SimulatedCluster.spec(2, JobKind.ARRAY, 1, 1), "nobody"),
                        SimulatedCluster.spec(3, JobKind.GANG, 5, 1),
                        ClusterTestBase.inZone(SimulatedCluster.spec(4, JobKind.ARRAY, 1, 1), "c"),
                        ClusterTestBase.zoned(
                                SimulatedCluster.spec(5, JobKind.GANG, 2, 1), true, true))) {
            job(wrong);
            sees(
                    "wrongly accepted",
                    () -> historyChecker.answered(wrong.id(), Phase.QUEUED, at(0), at(1)));
        }
        accepted(6, JobKind.ARRAY, 50);
    }

    @Test
    void whereTasksStart() {
        JobSpec array = accepted(1, JobKind.ARRAY, 4);
        Stand first = place("a", task(array, 0));
        Stand second = place("b");
        sees("ran_twice", () -> historyChecker.started(second, task(array, 0), at(2)));
        historyChecker.started(second, task(array, 1), at(2));
        JobSpec bound =
                job(ClusterTestBase.inZone(SimulatedCluster.spec(2, JobKind.ARRAY, 1, 1), "a"));
        sees("wrong_place", () -> historyChecker.started(second, task(bound, 0), at(2)));
        JobSpec together =
                job(
                        ClusterTestBase.zoned(
                                SimulatedCluster.spec(3, JobKind.ARRAY, 2, 1), true, false));
        places.clear();
        place("a", task(together, 0));
        sees("wrong_place", () -> historyChecker.started(second, task(together, 1), at(2)));
        JobSpec spread =
                job(
                        ClusterTestBase.zoned(
                                SimulatedCluster.spec(4, JobKind.ARRAY, 3, 1), false, true));
        places.clear();
        Stand third = place("a", task(spread, 0), task(spread, 1), task(spread, 2));
        sees("wrong_place", () -> historyChecker.started(third, task(spread, 2), at(2)));
        assertEquals("a", first.zone());
    }

    @Test
    void limitsAndCancellations() {
        JobSpec job = accepted(1, JobKind.ARRAY, 5);
        place("a", task(job, 0), task(job, 1), task(job, 2), task(job, 3));
        historyChecker.check(at(2));
        place("b", task(job, 4));
        sees("quota", () -> historyChecker.check(at(3)));
        places.clear();
        place("a", task(job, 0));
        historyChecker.asksToCancel(job.id());
        historyChecker.answered(job.id(), Phase.CANCELLED, at(3), at(4));
        historyChecker.toldToStart(task(job, 1));
        assertEquals(1, historyChecker.startsAfterCancellation());
        historyChecker.check(at(52));
        sees("ran_cancelled", () -> historyChecker.check(at(52.1)));
    }

    @Test
    void afterAllTroubles() {
        JobSpec job = accepted(1, JobKind.ARRAY, 2);
        place("a");
        historyChecker.calm(at(10));
        historyChecker.check(at(10));
        sees("forgotten: no answer", () -> historyChecker.check(at(85.1)));
        historyChecker.answered(job.id(), Phase.QUEUED, at(84), at(85));
        historyChecker.check(at(100));
        historyChecker.answered(job.id(), Phase.QUEUED, at(99), at(100));
        sees("neglected", () -> historyChecker.check(at(100.1)));
        places.clear();
        place("a", task(job, 0), task(job, 1));
        assertDoesNotThrow(() -> historyChecker.check(at(100.2)), "all its tasks are placed");
        JobSpec full = accepted(2, JobKind.GANG, 3);
        historyChecker.answered(job.id(), Phase.QUEUED, at(189), at(190));
        historyChecker.answered(full.id(), Phase.QUEUED, at(189), at(190));
        assertDoesNotThrow(() -> historyChecker.check(at(195)), "its team has no more than four");
    }

    @Test
    void whoIsServed() {
        historyChecker.calm(at(0));
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            jobs.add(accepted(number, JobKind.ARRAY, number < 4 ? 1 : 2));
        }
        Stand place = place("a");
        for (int number = 3; number < 5; number++) {
            for (int task = 0; task < jobs.get(number).taskCount(); task++) {
                historyChecker.started(place, task(jobs.get(number), task), at(200));
                historyChecker.complete(task(jobs.get(number), task));
            }
            historyChecker.answered(jobs.get(number).id(), Phase.DONE, at(210), at(211));
        }
        sees("class class: 2 served of 5", historyChecker::served);
        historyChecker.started(place, task(jobs.get(2), 0), at(300));
        historyChecker.complete(task(jobs.get(2), 0));
        historyChecker.answered(jobs.get(2).id(), Phase.DONE, at(310), at(311));
        historyChecker.served();
        JobSpec large = accepted(5, JobKind.ARRAY, 2);
        sees("the largest have to begin in time", historyChecker::served);
        historyChecker.started(place, task(large, 0), at(241.5));
        sees("the largest have to begin in time", historyChecker::served);
    }

    /** Thrown inside an answer it would be lost in the future that carries it. */
    @Test
    void whatIsFoundInsideAnAnswerEndsTheTestWithItsNextStep() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.judged(
                () -> {
                    throw new AssertionError("planted");
                });
        sees("planted", () -> cluster.runS(1));
    }
}
