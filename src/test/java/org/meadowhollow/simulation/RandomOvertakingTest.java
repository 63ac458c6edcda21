package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;

/**
 * Random days on which messages overtake one another, from fixed seeds; {@link SimulatedCluster}
 * checks the protocol's rules at every step.
 */
class RandomOvertakingTest {
    private static final int MACHINE_COUNT = 6;
    private static final int ROUNDS = 10;
    private static final int JOBS_PER_ROUND = 8;
    private static final int QUIET_ROUNDS = 12;
    private static final int JOBS_PER_QUIET_ROUND = 6;

    /** Three times the time for which a gang's task waits for the others. */
    private static final Duration MAX_IMAGE_PULL_TIME = Duration.ofSeconds(90);

    private static LongStream seeds() {
        // The system properties allow single runs with thousands of seeds.
        return LongStream.rangeClosed(
                Long.getLong("overtaking.first", 1), Long.getLong("overtaking.seeds", 40));
    }

    /**
     * Heartbeat responses are late by up to 3.9 s, heartbeats, direct commands and the answers to
     * them by up to 1.5 s, and messages of the store by up to 400 ms, while gangs time out during
     * image pulls, are preempted and cancelled.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldWhenResponsesOvertakeOneAnother(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster =
                new SimulatedCluster().withTeam("team", 4, 16).withTeam("other", 4, 12);
        if (seed % 3 == 0) {
            cluster.enableStandbys();
        }
        for (int at = 0; at < MACHINE_COUNT; at++) {
            cluster.addMachine(SimulatedCluster.LARGE, at % 2 == 0 ? "a" : "b");
        }
        cluster.runSeconds(10);
        cluster.cloud().setOutage(true);
        cluster.imagePulls().randomizeDurations(MAX_IMAGE_PULL_TIME, random.nextLong());
        cluster.network().delayWorkerMessages(0.5 + 0.5 * random.nextDouble(), random.nextLong());
        delayStoreMessages(cluster, random);
        List<JobSpec> jobs = new ArrayList<>();
        cluster.onGangTimeout(new GangDisturbance(cluster, random, jobs)::onGangTimeout);
        for (int round = 0; round < ROUNDS; round++) {
            for (int at = 0; at < JOBS_PER_ROUND; at++) {
                JobSpec job = drawJob(random, jobs.size());
                jobs.add(job);
                cluster.users().submit(random.nextInt(3), job, drawRuntime(random, job));
                cluster.runSeconds(random.nextInt(10));
            }
            List<Runnable> ends = new ArrayList<>();
            if (random.nextInt(3) == 0) {
                ends.add(Fault.injectBasic(cluster, random));
            }
            RandomFaultsTest.pollOrCancelJobs(cluster, random, jobs, 6);
            RandomFaultsTest.endFaultsInRandomOrder(cluster, random, ends);
        }
        RandomFaultsTest.endAllFaults(cluster);
        cluster.setImagePullTime(Duration.ofSeconds(2));
        // Tasks that still pull images use their teams' quotas, but are not on their machines yet.
        cluster.run(MAX_IMAGE_PULL_TIME);
        cluster.beginFaultFreePhase();
        RandomFaultsTest.assertAllJobsTerminate(cluster, jobs, 60, 1200);
    }

    private static Duration drawRuntime(Random random, JobSpec job) {
        return job.kind() == JobKind.SERVICE ? null : Duration.ofSeconds(5 + random.nextInt(60));
    }

    /**
     * Messages to and from the store are late by up to 400 ms at all nodes, and users first poll a
     * job as it ends, at nodes that nobody has asked for a while.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void answersNeverGoBackWhenStoreMessagesOvertakeOneAnother(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = new SimulatedCluster();
        if (seed % 3 == 0) {
            cluster.enableStandbys();
        }
        RandomFaultsTest.addSixMachines(cluster);
        cluster.runSeconds(10);
        cluster.users().pollAtReportedCompletion(random.nextLong());
        List<JobSpec> jobs = new ArrayList<>();
        for (int round = 0; round < QUIET_ROUNDS; round++) {
            delayStoreMessages(cluster, random);
            int node = random.nextInt(cluster.nodeCount());
            for (int at = 0; at < JOBS_PER_QUIET_ROUND; at++) {
                JobSpec job = SimulatedCluster.spec(jobs.size(), JobKind.ARRAY, 1, 1);
                jobs.add(job);
                cluster.users().submit(node, job, Duration.ofSeconds(25 + random.nextInt(10)));
            }
            List<Runnable> ends = new ArrayList<>();
            if (random.nextInt(4) == 0) {
                ends.add(Fault.injectBasic(cluster, random));
            }
            cluster.runSeconds(45);
            ends.forEach(Runnable::run);
            pollAllJobs(cluster, jobs.subList(jobs.size() - JOBS_PER_QUIET_ROUND, jobs.size()));
            cluster.runSeconds(25);
        }
        RandomFaultsTest.endAllFaults(cluster);
        cluster.beginFaultFreePhase();
        RandomFaultsTest.assertAllJobsTerminate(cluster, jobs, 30, 300);
    }

    private static void delayStoreMessages(SimulatedCluster cluster, Random random) {
        for (int node = 0; node < cluster.nodeCount(); node++) {
            cluster.storeConnection(node)
                    .messageDelays()
                    .delayRandomly(0.3 + 0.5 * random.nextDouble(), random.nextLong());
        }
    }

    /** Polls jobs at all nodes; the history checker compares the answers. */
    private static void pollAllJobs(SimulatedCluster cluster, List<JobSpec> jobs) {
        for (JobSpec job : jobs) {
            for (int node = 0; node < cluster.nodeCount(); node++) {
                cluster.users().poll(node, job.id());
            }
        }
    }

    /** Draws a job, in most cases a gang of tasks that need a large part of a machine. */
    private static JobSpec drawJob(Random random, int number) {
        JobKind kind =
                random.nextInt(3) > 0
                        ? JobKind.GANG
                        : random.nextBoolean() ? JobKind.ARRAY : JobKind.SERVICE;
        int tasks = kind == JobKind.GANG ? 2 + random.nextInt(2) : 1;
        return JobSpecBuilder.from(
                        SimulatedCluster.spec(number, kind, tasks, 2 + random.nextInt(4)))
                .team(random.nextBoolean() ? "other" : "team")
                .priority(random.nextBoolean() ? Priority.NORMAL : Priority.LOW)
                .image("image-" + number)
                .build();
    }
}
