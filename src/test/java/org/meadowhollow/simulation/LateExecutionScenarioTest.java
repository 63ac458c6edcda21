package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;

/**
 * Messages to workers and the cloud are executed late, from a second to long after every lease and
 * the time for a cancellation, with and without a change of the leader.
 */
class LateExecutionScenarioTest extends ClusterTestBase {
    private static final int[] DELAYS_SECONDS = {1, 3, 5, 20, 50, 120};
    private static final int SETTLE_SECONDS = 240;

    private static Stream<Arguments> delays() {
        List<Arguments> all = new ArrayList<>();
        for (int seconds : DELAYS_SECONDS) {
            all.add(Arguments.of(seconds, false));
            all.add(Arguments.of(seconds, true));
        }
        return all.stream();
    }

    private void maybeChangeLeader(boolean changesLeader) {
        if (changesLeader) {
            int leader = cluster.leader();
            cluster.crash(leader);
            cluster.runSeconds(8);
            cluster.restart(leader);
        }
    }

    @ParameterizedTest
    @MethodSource("delays")
    void startThatIsHeldUpDoesNotRunAfterTheTimeForCancelling(
            int delaySeconds, boolean changesLeader) {
        cluster.withTeam("team", 0, 1);
        JobSpec cancelled = arrayJob(1, 1);
        JobSpec next = arrayJob(2, 1);
        cluster.network().delayNextStart(Duration.ofSeconds(delaySeconds));
        assertTrue(cluster.users().submit(0, cancelled, HOURS_RUNTIME));
        while (cluster.network().heldStartCount() == 0) {
            cluster.run(Duration.ofMillis(250));
        }
        assertTrue(cluster.users().cancel((cluster.leader() + 1) % 3, cancelled.id()));
        assertTrue(cluster.users().submit(0, next, HOURS_RUNTIME));
        maybeChangeLeader(changesLeader);
        cluster.runSeconds(SETTLE_SECONDS);
        assertEquals(0, cluster.machinesRunning(new TaskId(cancelled.id(), 0)).size());
        assertEquals(Phase.CANCELLED, phaseOf(cancelled));
        assertEquals(1, cluster.machinesRunning(new TaskId(next.id(), 0)).size());
    }

    @ParameterizedTest
    @MethodSource("delays")
    void machinesThatAreRentedOrReturnedLateRunOnlyTasksThatAreKnown(
            int delaySeconds, boolean changesLeader) {
        JobSpec burst = SimulatedCluster.spec(1, JobKind.ARRAY, 80, 1);
        JobSpec replicas = SimulatedCluster.spec(2, JobKind.SERVICE, 60, 1);
        cluster.cloud().delayChanges(Duration.ofSeconds(delaySeconds));
        assertTrue(cluster.users().submit(0, burst, SHORT_RUNTIME));
        cluster.runSeconds(20);
        maybeChangeLeader(changesLeader);
        cluster.runSeconds(SETTLE_SECONDS);
        assertEquals(Phase.DONE, phaseOf(burst));
        // The machines of the burst are being returned when the replicas arrive.
        assertTrue(cluster.users().submit(0, replicas, null));
        maybeChangeLeader(changesLeader);
        cluster.runSeconds(30);
        assertTrue(cluster.cloud().lateChangeCount() > 0);
        cluster.cloud().delayChanges(null);
        cluster.runSeconds(SETTLE_SECONDS);
        for (int task = 0; task < replicas.taskCount(); task++) {
            assertEquals(1, cluster.machinesRunning(new TaskId(replicas.id(), task)).size());
        }
    }
}
