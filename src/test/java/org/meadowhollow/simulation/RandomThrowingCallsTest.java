package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.model.JobSpec;

/**
 * Plays days of random faults on which calls of the store, the cloud, the workers and the other
 * controllers throw an exception at once. Guards against work that is left undone for good because
 * the step that was to go on with it has ended.
 */
class RandomThrowingCallsTest {
    private static final int STEPS = 100;

    /** The largest share of calls that throw. */
    private static final double MAX_THROWING_SHARE = 0.1;

    private static LongStream seeds() {
        // The system property allows single runs with hundreds of seeds.
        return LongStream.rangeClosed(1, Long.getLong("throwing.seeds", 30));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldAndAllJobsEndAlthoughCallsThrow(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = new SimulatedCluster().withTeam("team", 4, 20);
        if (seed % 3 == 0) {
            cluster.enableStandbys();
        }
        RandomFaultsTest.addSixMachines(cluster);
        cluster.callFaults()
                .throwAtRandom(new Random(seed), random.nextDouble() * MAX_THROWING_SHARE);
        List<JobSpec> jobs = RandomFaultsTest.playRandomFaults(cluster, random, STEPS);
        assertTrue(cluster.callFaults().thrownCount() > 0);
        cluster.callFaults().throwAtRandom(random, 0);

        RandomFaultsTest.assertAllJobsTerminate(cluster, jobs, 30, 400);
    }
}
