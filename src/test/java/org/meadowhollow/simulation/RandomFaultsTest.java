package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.coordination.admission.AdmissionService.JobStatus;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;

/**
 * Injects faults of all kinds at random times, from fixed seeds; {@link SimulatedCluster} checks
 * the protocol's rules at every step.
 */
class RandomFaultsTest {
    private static final int STEPS = 150;
    private static final List<JobKind> JOB_KINDS = List.of(JobKind.values());
    private static final List<Priority> PRIORITIES = List.of(Priority.values());

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, 60);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldUnderRandomFaults(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = new SimulatedCluster().withTeam("team", 4, 20);
        if (seed % 2 == 0) {
            cluster.enableStandbys();
        }
        addSixMachines(cluster);
        List<JobSpec> jobs = playRandomFaults(cluster, random, STEPS);
        assertAllJobsTerminate(cluster, jobs, 30, 400);
        for (int node = 0; node < 3; node++) {
            assertEquals(0, cluster.node(node).mismatchedRecordCount());
        }
    }

    /** Injects a random fault every few seconds, and returns the jobs that were submitted. */
    static List<JobSpec> playRandomFaults(SimulatedCluster cluster, Random random, int steps) {
        List<JobSpec> jobs = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            injectRandomFault(cluster, random, jobs, step);
            cluster.runSeconds(1 + random.nextInt(5));
        }
        return jobs;
    }

    static void addSixMachines(SimulatedCluster cluster) {
        for (int at = 0; at < 6; at++) {
            cluster.addMachine(
                    at % 2 == 0 ? SimulatedCluster.LARGE : SimulatedCluster.SMALL,
                    at < 3 ? "a" : "b");
        }
    }

    /**
     * Ends all faults, and asserts that every accepted job then terminates.
     *
     * @param settleSeconds time after which no submission can arrive any more
     * @param runSeconds further time, in which jobs that waited for their team's quota must end
     */
    static void assertAllJobsTerminate(
            SimulatedCluster cluster, List<JobSpec> jobs, double settleSeconds, double runSeconds) {
        endAllFaults(cluster);
        cluster.runSeconds(settleSeconds);
        // Services never end, and would use up the team's limit for ever.
        for (JobSpec job : jobs) {
            if (job.kind() == JobKind.SERVICE) {
                assertTrue(cluster.users().cancel(0, job.id()));
            }
        }
        cluster.runSeconds(runSeconds);
        assertAllTerminated(cluster, jobs);
    }

    /** Asserts that every job that was accepted has terminated. */
    static void assertAllTerminated(SimulatedCluster cluster, List<JobSpec> jobs) {
        for (JobSpec job : jobs) {
            Phase phase = cluster.users().poll(0, job.id()).map(JobStatus::phase).orElse(null);
            assertTrue(
                    phase == null || phase == Phase.CANCELLED || phase == Phase.DONE,
                    job.id() + " is " + phase + " long after all faults");
        }
    }

    private static LongStream quickRestartSeeds() {
        // The system property allows single runs with thousands of seeds.
        return LongStream.rangeClosed(1, Long.getLong("quick.seeds", 30));
    }

    /**
     * Processes and machines restart within a fraction of a second, processes are paused, and
     * duplicates of messages arrive late.
     */
    @ParameterizedTest
    @MethodSource("quickRestartSeeds")
    void invariantsHoldUnderQuickRestartsAndDuplicatedMessages(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster =
                new SimulatedCluster().withTeam("team", 4, 20).duplicateMessages(seed);
        if (seed % 3 == 0) {
            cluster.enableStandbys();
        }
        addSixMachines(cluster);
        List<JobSpec> jobs = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            injectRandomFault(cluster, random, jobs, step);
            restartAtRandom(cluster, random);
            cluster.runSeconds(random.nextInt(5));
        }
        for (int node = 0; node < 3; node++) {
            cluster.resume(node);
        }
        // A duplicate of a submission may arrive four minutes late.
        assertAllJobsTerminate(cluster, jobs, 250, 400);
    }

    /** Restarts nodes or a machine within a fraction of a second, or pauses or resumes a node. */
    private static void restartAtRandom(SimulatedCluster cluster, Random random) {
        int node = random.nextInt(3);
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> cluster.restartAfter(node, randomRestartDelay(random));
            case 3 -> {
                for (int each = 0; each < 3; each++) {
                    cluster.restartAfter(each, randomRestartDelay(random));
                }
            }
            case 4 -> {
                for (int time = 0; time < 4; time++) {
                    cluster.restartAfter(node, Duration.ofMillis(100));
                    cluster.run(Duration.ofMillis(500));
                }
            }
            case 5 -> cluster.pause(node);
            case 6 -> cluster.resume(node);
            case 7 -> {
                List<FakeWorker> workers = cluster.workers();
                if (!workers.isEmpty()) {
                    workers.get(random.nextInt(workers.size())).reboot();
                }
            }
            default -> {
                // No additional fault.
            }
        }
    }

    private static LongStream overlappingFaultSeeds() {
        return LongStream.rangeClosed(1, Long.getLong("overlapping.seeds", 40));
    }

    /**
     * Two faults overlap, most of them at the leader, with long tasks and cancellations in between.
     */
    @ParameterizedTest
    @MethodSource("overlappingFaultSeeds")
    void invariantsHoldUnderOverlappingFaults(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = new SimulatedCluster().withTeam("team", 4, 24);
        if (seed % 3 == 0) {
            cluster.enableStandbys();
        }
        addSixMachines(cluster);
        cluster.runSeconds(10);
        List<JobSpec> jobs = new ArrayList<>();
        for (int round = 0; round < 10; round++) {
            for (int at = 0; at < 3; at++) {
                JobKind kind = JOB_KINDS.get(random.nextInt(3));
                JobSpec job =
                        SimulatedCluster.spec(
                                jobs.size(), kind, 1 + random.nextInt(4), 1 + random.nextInt(2));
                jobs.add(job);
                cluster.users()
                        .submit(
                                random.nextInt(3),
                                job,
                                kind == JobKind.SERVICE
                                        ? null
                                        : Duration.ofSeconds(
                                                random.nextBoolean()
                                                        ? 300
                                                        : 5 + random.nextInt(40)));
            }
            cluster.runSeconds(random.nextInt(20));
            List<Runnable> ends = new ArrayList<>();
            for (int each = 0; each < 2; each++) {
                ends.add(Fault.injectBasic(cluster, random));
                pollOrCancelJobs(cluster, random, jobs, 6);
            }
            endFaultsInRandomOrder(cluster, random, ends);
        }
        // The longest tasks take five minutes, and may have to restart.
        assertAllJobsTerminate(cluster, jobs, 60, 1000);
    }

    /** Polls some jobs, and cancels some. */
    static void pollOrCancelJobs(
            SimulatedCluster cluster, Random random, List<JobSpec> jobs, int maxRequests) {
        for (int step = random.nextInt(maxRequests); step >= 0; step--) {
            JobSpec job = jobs.get(random.nextInt(jobs.size()));
            if (random.nextInt(3) == 0) {
                cluster.users().poll(random.nextInt(3), job.id());
            } else {
                cluster.users().cancel(random.nextInt(3), job.id());
            }
            cluster.runSeconds(random.nextInt(4));
        }
    }

    /** Ends the faults after a random time, one after the other in random order. */
    static void endFaultsInRandomOrder(
            SimulatedCluster cluster, Random random, List<Runnable> ends) {
        cluster.runSeconds(random.nextInt(90));
        Collections.shuffle(ends, random);
        for (Runnable end : ends) {
            end.run();
            cluster.runSeconds(random.nextInt(10));
        }
    }

    private static LongStream additionalFaultSeeds() {
        return LongStream.rangeClosed(
                Long.getLong("further.first", 1), Long.getLong("further.seeds", 40));
    }

    /**
     * One of the additional faults overlaps any other fault; with even seeds, both teams have quota
     * limits. After the faults, the guarantees for fault-free operation are checked against what
     * workers and users observed.
     */
    @ParameterizedTest
    @MethodSource("additionalFaultSeeds")
    void invariantsHoldUnderAdditionalOverlappingFaults(long seed) {
        Random random = new Random(seed);
        boolean limited = seed % 2 == 0;
        SimulatedCluster cluster =
                new SimulatedCluster()
                        .withTeam("team", 4, limited ? 12 : 0)
                        .withTeam("other", 2, limited ? 8 : 0);
        if (seed % 3 == 0) {
            cluster.enableStandbys();
        }
        addSixMachines(cluster);
        cluster.runSeconds(10);
        List<JobSpec> jobs = new ArrayList<>();
        for (int round = 0; round < 8; round++) {
            for (int at = 0; at < 4; at++) {
                jobs.add(submitJobOfAnyTeam(cluster, random, jobs.size()));
            }
            cluster.runSeconds(random.nextInt(20));
            List<Runnable> ends = new ArrayList<>();
            ends.add(Fault.injectAdditional(cluster, random));
            cluster.run(Duration.ofMillis(250L * random.nextInt(16)));
            ends.add(
                    random.nextBoolean()
                            ? Fault.injectBasic(cluster, random)
                            : Fault.injectAdditional(cluster, random));
            pollOrCancelJobs(cluster, random, jobs, 5);
            endFaultsInRandomOrder(cluster, random, ends);
        }
        endAllFaults(cluster);
        cluster.beginFaultFreePhase();
        assertAllJobsTerminate(cluster, jobs, 60, 1200);
        if (!limited) {
            cluster.historyChecker().checkFairness();
        }
    }

    private static JobSpec submitJobOfAnyTeam(SimulatedCluster cluster, Random random, int number) {
        JobKind kind = JOB_KINDS.get(random.nextInt(3));
        JobSpec plain =
                SimulatedCluster.spec(number, kind, 1 + random.nextInt(4), 1 + random.nextInt(2));
        JobSpec job =
                JobSpecBuilder.from(plain)
                        .jobClass(kind.name())
                        .team(random.nextInt(3) == 0 ? "other" : "team")
                        .priority(PRIORITIES.get(random.nextInt(3)))
                        .zone(random.nextInt(6) == 0 ? "a" : null)
                        .singleZone(random.nextInt(4) == 0)
                        .build();
        cluster.users()
                .submit(
                        random.nextInt(3),
                        job,
                        kind == JobKind.SERVICE
                                ? null
                                : Duration.ofSeconds(
                                        random.nextBoolean() ? 200 : 5 + random.nextInt(40)));
        return job;
    }

    private static Duration randomRestartDelay(Random random) {
        return Duration.ofMillis(List.of(50, 200, 500, 1000).get(random.nextInt(4)));
    }

    static void injectRandomFault(
            SimulatedCluster cluster, Random random, List<JobSpec> jobs, int step) {
        int node = random.nextInt(3);
        switch (random.nextInt(16)) {
            case 0, 1, 2, 3 -> submitRandomJob(cluster, random, jobs, node, step);
            case 4, 5 -> {
                if (!jobs.isEmpty()) {
                    cluster.users().cancel(node, jobs.get(random.nextInt(jobs.size())).id());
                }
            }
            case 6 -> cluster.crash(node);
            case 7, 8 -> cluster.restart(node);
            case 9 -> cluster.storeConnection(node).refuseRequests(random.nextBoolean());
            case 10 -> cluster.storeConnection(node).loseResponses(random.nextInt(3) == 0);
            case 11 -> cluster.storeConnection(node).holdRequests(random.nextInt(3) == 0);
            case 12 -> cluster.store().setOutage(random.nextInt(3) == 0);
            case 13 -> cluster.cutFromWorkers(node, random.nextBoolean());
            case 14 -> cluster.cloud().setOutage(random.nextBoolean());
            default -> disturbRandomWorker(cluster, random);
        }
    }

    private static void submitRandomJob(
            SimulatedCluster cluster, Random random, List<JobSpec> jobs, int node, int number) {
        JobKind kind = JOB_KINDS.get(random.nextInt(3));
        JobSpec job =
                SimulatedCluster.spec(number, kind, 1 + random.nextInt(4), 1 + random.nextInt(2));
        // A submission without an answer may have been accepted nevertheless.
        jobs.add(job);
        Duration runtime =
                kind == JobKind.SERVICE ? null : Duration.ofSeconds(5 + random.nextInt(40));
        cluster.users().submit(node, job, runtime);
    }

    private static void disturbRandomWorker(SimulatedCluster cluster, Random random) {
        List<FakeWorker> workers = cluster.workers();
        if (workers.isEmpty()) {
            return;
        }
        FakeWorker worker = workers.get(random.nextInt(workers.size()));
        if (random.nextBoolean()) {
            worker.setHung(random.nextBoolean());
        } else {
            worker.loseIncoming(random.nextBoolean());
        }
    }

    static void endAllFaults(SimulatedCluster cluster) {
        cluster.network().stopDuplicatingMessages();
        cluster.network().delayWorkerMessages(0, 0);
        cluster.store().setOutage(false);
        cluster.cloud().setOutage(false);
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).refuseRequests(false);
            cluster.storeConnection(node).loseResponses(false);
            cluster.storeConnection(node).holdRequests(false);
            cluster.storeConnection(node).messageDelays().clear();
            cluster.cutFromWorkers(node, false);
            cluster.restart(node);
        }
        for (FakeWorker worker : cluster.workers()) {
            worker.setHung(false);
            worker.loseIncoming(false);
            worker.blockOutgoingConnections(false);
        }
    }
}
