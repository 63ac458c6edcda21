package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.TaskId;

/**
 * Many polls, best-effort work that fills all machines, faulty jobs, and machines that never boot.
 */
class OverloadScenarioTest extends ClusterTestBase {
    private static JobSpec withPriority(
            JobSpec spec, Priority priority, Resources resourcesPerTask) {
        return JobSpecBuilder.from(spec)
                .priority(priority)
                .resourcesPerTask(resourcesPerTask)
                .build();
    }

    /** Adds a deadline, which ranks the job before jobs of the same priority that have none. */
    private static JobSpec withDeadline(JobSpec spec) {
        return JobSpecBuilder.from(spec).deadlineSeconds(60).build();
    }

    @Test
    void frequentPollingCausesNoExtraStoreRequests() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 2, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.users().poll(1, job.id());
        cluster.runSeconds(1);
        int reads = cluster.storeConnection(1).readCount();
        int watches = cluster.storeConnection(1).watchCount();
        for (int second = 0; second < 4; second++) {
            for (int at = 0; at < 100; at++) {
                cluster.users().pollAsync(1, job.id());
            }
            cluster.runSeconds(1);
        }
        assertEquals(400, cluster.users().asyncAnswerCount());
        assertTrue(
                cluster.storeConnection(1).readCount() - reads < 5,
                "read " + (cluster.storeConnection(1).readCount() - reads) + " times");
        assertTrue(
                cluster.storeConnection(1).watchCount() - watches < 30,
                "watched " + (cluster.storeConnection(1).watchCount() - watches) + " times");
    }

    /**
     * {@link SimulatedCluster} checks the rules: no controller may report an older status than
     * another one has reported.
     */
    @Test
    void cachedStatusIsNeverOlderThanStatusReportedByPeer() {
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            JobSpec job =
                    SimulatedCluster.spec(
                            number, number % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 1, 1);
            jobs.add(job);
            assertTrue(cluster.users().submit(number % 3, job, SHORT_RUNTIME));
            for (int node = 0; node < 3; node++) {
                assertTrue(cluster.users().poll(node, job.id()).isPresent());
            }
        }
        for (JobSpec job : jobs) {
            cluster.storeConnection(0).failWatches(job.id().hashCode() % 3 == 0);
            assertTrue(cluster.users().cancel(2, job.id()));
            cluster.users().poll(2, job.id());
            cluster.users().poll(0, job.id());
            cluster.users().poll(1, job.id());
        }
    }

    @Test
    void bestEffortWorkIsPreemptedForGangThoughSmallTasksArriveFirst() {
        JobSpec bestEffort = withPriority(arrayJob(1, 48), Priority.LOW, Resources.of(4, 1, 16));
        assertTrue(cluster.users().submit(0, bestEffort, Duration.ofMinutes(20)));
        cluster.cloud().limitMachines(6);
        cluster.runSeconds(10);
        assertEquals(48, cluster.startCount(), "it fills all machines");
        JobSpec gang =
                withPriority(
                        SimulatedCluster.spec(2, JobKind.GANG, 3, 8),
                        Priority.NORMAL,
                        Resources.of(30, 8, 120));
        assertTrue(cluster.users().submit(1, gang, LONG_RUNTIME));
        for (int number = 3; number < 9; number++) {
            assertTrue(cluster.users().submit(2, withDeadline(arrayJob(number, 3)), LONG_RUNTIME));
            cluster.runSeconds(1);
        }
        cluster.runSeconds(15);
        for (int task = 0; task < 3; task++) {
            assertEquals(
                    1,
                    cluster.machinesRunning(new TaskId(gang.id(), task)).size(),
                    "task " + task + " of the gang");
        }
        for (int number = 3; number < 9; number++) {
            assertTrue(
                    machineRunning(arrayJob(number, 3), 2) != null, "the small jobs run as well");
        }
    }

    @Test
    void faultyJobIsProbedWithOneTaskAndNoMachineIsCordoned() {
        JobSpec faulty = arrayJob(1, 30);
        assertTrue(cluster.users().submit(0, faulty, LONG_RUNTIME));
        failAllTasksFor(40);
        assertEquals(
                List.of(),
                cluster.cloud().returnedMachines(),
                "no machine is returned for the failures of a job");
        failAllTasksFor(90);
        assertTrue(cluster.startCount() < 30 + 12, "started " + cluster.startCount() + " times");
        JobSpec healthy = arrayJob(2, 40);
        assertTrue(cluster.users().submit(1, healthy, SHORT_RUNTIME));
        cluster.runSeconds(40);
        assertEquals(Phase.DONE, phaseOf(healthy));
        assertTrue(cluster.users().cancel(2, faulty.id()));
        cluster.runSeconds(10);
        assertEquals(Phase.CANCELLED, phaseOf(faulty));
    }

    /** Fails every task as soon as it runs. */
    private void failAllTasksFor(int seconds) {
        for (int second = 0; second < seconds; second++) {
            cluster.runSeconds(1);
            cluster.workers().forEach(worker -> worker.runningTasks().forEach(worker::failTask));
        }
    }

    @Test
    void machinesThatNeverBootAreReplacedWithBoundedRentals() {
        cluster.cloud().failNextBoots(4);
        JobSpec job = arrayJob(1, 48 + 16);
        assertTrue(cluster.users().submit(0, job, LONG_RUNTIME));
        cluster.runSeconds(45);
        assertEquals(48 + 16, cluster.startCount(), "no task waits for four boot times");
        assertTrue(
                cluster.cloud().rentedMachineCount() <= 16,
                "rented " + cluster.cloud().rentedMachineCount());
    }

    /**
     * Four single-task jobs a second for two minutes, a quarter of them cancelled, with failovers,
     * while the store accepts 30 writes a second of all controllers together.
     */
    @Test
    void fourSingleTaskJobsPerSecondAreAcceptedInTimeAcrossFailovers() {
        cluster.store().limitWriteRate(30);
        cluster.setImagePullTime(Duration.ofMillis(500));
        Random random = new Random(5);
        List<JobSpec> jobs = new ArrayList<>();
        List<Boolean> acceptedInTime = new ArrayList<>();
        int before = cluster.store().writeCount();
        for (int second = 0; second < 120; second++) {
            for (int each = 0; each < 4; each++) {
                JobSpec job = arrayJob(jobs.size(), 1);
                jobs.add(job);
                int node = jobs.size() % 3;
                submitUntilAccepted(node, job, cluster.loop().now(), acceptedInTime);
                if (random.nextInt(4) == 0) {
                    cluster.loop()
                            .schedule(
                                    Duration.ofMillis(500 + random.nextInt(12_000)),
                                    () -> {
                                        CompletableFuture<?> unused =
                                                cluster.users()
                                                        .cancelAsync(nodeAfter(node, 1), job.id());
                                    });
                }
                cluster.run(Duration.ofMillis(250));
            }
            if (second % 40 == 20) {
                cluster.restartAfter(cluster.leader(), Duration.ofSeconds(3));
            }
        }
        cluster.beginFaultFreePhase();
        cluster.runSeconds(60);
        assertEquals(jobs.size(), acceptedInTime.size(), "all were accepted");
        long inTimeCount = acceptedInTime.stream().filter(each -> each).count();
        assertTrue(
                inTimeCount >= 0.9 * jobs.size(),
                inTimeCount + " of " + jobs.size() + " within a second");
        for (JobSpec job : jobs) {
            assertTrue(
                    cluster.historyChecker().isReportedEnded(job.id()),
                    job.id() + " has not ended");
        }
        cluster.historyChecker().checkFairness();
        double writesPerJob = (cluster.store().writeCount() - before) / (double) jobs.size();
        assertTrue(writesPerJob < 5.5, writesPerJob + " writes per job");
        assertEquals(0, cluster.store().recordCount("job/") + cluster.store().recordCount("task/"));
    }

    /**
     * Submits a job as users do: again after a second, at the next controller, until there is an
     * answer.
     */
    private void submitUntilAccepted(
            int node, JobSpec job, MonotonicTime since, List<Boolean> acceptedInTime) {
        CompletableFuture<?> unused =
                cluster.users()
                        .submitAsync(node, job, SHORT_RUNTIME)
                        .whenComplete(
                                (state, failure) -> {
                                    if (failure == null) {
                                        acceptedInTime.add(
                                                cluster.loop()
                                                                .now()
                                                                .elapsedSince(since)
                                                                .compareTo(Duration.ofSeconds(1))
                                                        <= 0);
                                    } else {
                                        cluster.loop()
                                                .schedule(
                                                        Duration.ofSeconds(1),
                                                        () ->
                                                                submitUntilAccepted(
                                                                        nodeAfter(node, 1),
                                                                        job,
                                                                        since,
                                                                        acceptedInTime));
                                    }
                                });
    }
}
