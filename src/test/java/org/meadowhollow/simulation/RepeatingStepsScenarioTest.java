package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.storage.RecordKeys;

/** Guards against steps that never run again after one execution has thrown an exception. */
class RepeatingStepsScenarioTest extends ClusterTestBase {
    /** The steps of the transport and protocol layers, which the simulator replaces by fakes. */
    private static final Set<RepeatingStep> STEPS_OF_OTHER_LAYERS =
            EnumSet.of(
                    RepeatingStep.EVENT_LOOP_REPORT,
                    RepeatingStep.REFUSAL_REPORT,
                    RepeatingStep.CONNECTION_SWEEP,
                    RepeatingStep.STORE_DISPATCH);

    @Test
    void everyStepRunsAgainAfterItHasFailedOnce() {
        StepFaults faults = cluster.loop().stepFaults();
        cluster.enableReservations(Map.of());
        cluster.enableStandbys();
        faults.failNextOf(EnumSet.complementOf(EnumSet.copyOf(STEPS_OF_OTHER_LAYERS)));

        cluster.runSeconds(20);
        // Keeps all machines rented.
        JobSpec keeper = SimulatedCluster.spec(99, JobKind.ARRAY, 6, 2);
        assertTrue(cluster.users().submit(0, keeper, HOURS_RUNTIME));
        for (int round = 0; round < 4; round++) {
            disturb(round);
        }

        assertEquals(Set.of(), faults.notYetFailed());
        assertEquals(Set.of(), faults.notRepeated());
    }

    private static IntStream electionSteps() {
        return IntStream.rangeClosed(1, 120);
    }

    /** Any one event or effect of the leader election fails, while leaders begin and end. */
    @ParameterizedTest
    @MethodSource("electionSteps")
    void theElectionGoesOnAfterAnyOneOfItsStepsHasFailed(int number) {
        StepFaults faults = cluster.loop().stepFaults();
        faults.failExecutionOf(RepeatingStep.ELECTION, number);
        cluster.crashAll();
        cluster.runSeconds(1);
        cluster.restartAll();
        cluster.runSeconds(15);
        cluster.crash(cluster.leader());
        cluster.runSeconds(40);
        assertTrue(faults.hasCountedExecutionFailed());

        for (int node = 0; node < cluster.nodeCount(); node++) {
            assertCanLeadAlone(node);
        }
    }

    private void assertCanLeadAlone(int node) {
        for (int other = 0; other < cluster.nodeCount(); other++) {
            if (other == node && cluster.node(other) == null) {
                cluster.restart(other);
            } else if (other != node && cluster.node(other) != null) {
                cluster.crash(other);
            }
        }
        cluster.runSeconds(20);
        assertEquals(node, cluster.leader());
        JobSpec job = arrayJob(node, 2);
        assertTrue(cluster.users().submit(node, job, SHORT_RUNTIME));
        cluster.runSeconds(40);
        assertEquals(Phase.DONE, phaseOf(job));
    }

    /** Brings about work of every step: jobs, cancellations, polls, failovers and isolation. */
    private void disturb(int round) {
        JobSpec ending = arrayJob(2 * round, 3);
        JobSpec cancelled = arrayJob(2 * round + 1, 3);
        assertTrue(cluster.users().submit(0, ending, SHORT_RUNTIME));
        assertTrue(cluster.users().submit(1, cancelled, LONG_RUNTIME));
        cluster.runSeconds(40);
        assertTrue(cluster.users().cancel(2, cancelled.id()));
        cluster.runSeconds(60);
        assertEquals(Phase.DONE, phaseOf(ending));
        int leader = cluster.leader();
        cluster.crash(leader);
        cluster.runSeconds(5);
        cluster.restart(leader);
        cluster.runSeconds(40);
        isolateLeader();
        restartAllInOutage();
    }

    private void isolateLeader() {
        int leader = cluster.leader();
        cluster.cutFromWorkers(leader, true);
        cluster.runSeconds(40);
        cluster.cutFromWorkers(leader, false);
        cluster.runSeconds(10);
    }

    /** Lets workers wait for a leader, which then finds a record that belongs to no job. */
    private void restartAllInOutage() {
        cluster.store().put(RecordKeys.TASK_PREFIX + "req-999999/0", Map.of());
        cluster.crashAll();
        cluster.store().setOutage(true);
        cluster.restartAll();
        cluster.runSeconds(10);
        cluster.store().setOutage(false);
        // The election takes so long that workers wait for its end.
        cluster.store().setLatency(Duration.ofMillis(800));
        cluster.runSeconds(15);
        cluster.store().setLatency(null);
        cluster.runSeconds(30);
    }
}
