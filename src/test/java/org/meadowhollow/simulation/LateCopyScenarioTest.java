package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.TaskId;

/**
 * Messages between controllers and workers that were carried out and answered arrive once more,
 * from 300 ms to two minutes later, while controllers or machines are back within a second. Guards
 * against a task that then runs on two machines, or again after it was moved, cancelled or done.
 */
class LateCopyScenarioTest extends ClusterTestBase {
    private static final List<Duration> COPY_DELAYS =
            Stream.of(300, 700, 1500, 3000, 5000, 10_000, 20_000, 40_000, 80_000, 125_000)
                    .map(Duration::ofMillis)
                    .toList();
    private static final Duration RESTART_DELAY = Duration.ofMillis(300);
    private static final double SETTLE_SECONDS = 180;

    /** What becomes of the task while copies of its start are on their way. */
    private enum Change {
        MOVED,
        CANCELLED,
        DONE
    }

    /** What is back within a second. */
    private enum Restart {
        NONE,
        LEADER,
        ALL_CONTROLLERS,
        MACHINE,
        MACHINE_AND_LEADER
    }

    /** A task that starts again is on its machine before the leader hears of it. */
    @BeforeEach
    void shortenImagePulls() {
        cluster.setImagePullTime(Duration.ofMillis(100));
    }

    private static Stream<Arguments> cases() {
        List<Arguments> all = new ArrayList<>();
        for (Change change : Change.values()) {
            for (Restart restart : Restart.values()) {
                all.add(Arguments.of(change, restart, JobKind.ARRAY));
                all.add(Arguments.of(change, restart, JobKind.GANG));
            }
        }
        return all.stream();
    }

    private void restart(Restart restart, FakeWorker machine) {
        if (restart == Restart.ALL_CONTROLLERS) {
            for (int node = 0; node < cluster.nodeCount(); node++) {
                cluster.restartAfter(node, RESTART_DELAY);
            }
        }
        if (restart == Restart.LEADER || restart == Restart.MACHINE_AND_LEADER) {
            cluster.restartAfter(cluster.leader(), RESTART_DELAY);
        }
        if (restart == Restart.MACHINE || restart == Restart.MACHINE_AND_LEADER) {
            machine.reboot();
        }
        cluster.runSeconds(1);
    }

    /** Lets the machine of a task hang until the task was placed elsewhere. */
    private void moveAwayFrom(FakeWorker machine) {
        machine.setHung(true);
        cluster.runSeconds(40);
        machine.setHung(false);
    }

    private int machinesRunning(JobSpec job, int task) {
        return cluster.machinesRunning(new TaskId(job.id(), task)).size();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void copiesOfExecutedMessagesStartNoTaskAgain(Change change, Restart restart, JobKind kind) {
        cluster.network().copyCarriedOutMessages(COPY_DELAYS);
        JobSpec job = SimulatedCluster.spec(1, kind, 2, 1);
        boolean isShort = change == Change.DONE;
        assertTrue(cluster.users().submit(0, job, isShort ? SHORT_RUNTIME : HOURS_RUNTIME));
        cluster.runSeconds(8);
        FakeWorker machine = machineRunning(job, 0);
        assertNotNull(machine);

        if (change == Change.CANCELLED) {
            assertTrue(cluster.users().cancel(1, job.id()));
        } else if (change == Change.MOVED) {
            moveAwayFrom(machine);
        }
        restart(restart, machine);
        cluster.runSeconds(60);
        int startCommands = cluster.startCommandCount();
        cluster.network().copyCarriedOutMessages(List.of());
        cluster.runSeconds(SETTLE_SECONDS);

        assertTrue(cluster.network().copiedStartCount() > 0);
        assertEquals(startCommands, cluster.startCommandCount(), "a copy started a task again");
        for (int task = 0; task < 2; task++) {
            assertEquals(change == Change.MOVED ? 1 : 0, machinesRunning(job, task));
        }
    }

    /** Copies of the stop of one attempt reach the machine that runs the next one. */
    @Test
    void copiesOfAnExecutedStopDoNotStopTheNextAttempt() {
        cluster.cloud().limitMachines(0);
        cluster.network().copyCarriedOutMessages(COPY_DELAYS);
        JobSpec preempted =
                JobSpecBuilder.from(SimulatedCluster.spec(1, JobKind.ARRAY, 6, 8))
                        .priority(Priority.LOW)
                        .build();
        assertTrue(cluster.users().submit(0, preempted, HOURS_RUNTIME), "fills all machines");
        cluster.runSeconds(20);
        JobSpec preferred = SimulatedCluster.spec(2, JobKind.ARRAY, 3, 8);
        assertTrue(cluster.users().submit(0, preferred, SHORT_RUNTIME));
        cluster.runSeconds(45);
        int starts = cluster.startCount();
        cluster.network().copyCarriedOutMessages(List.of());
        cluster.runSeconds(SETTLE_SECONDS);

        assertTrue(cluster.network().copiedDirectCommandCount() > 0);
        assertEquals(starts, cluster.startCount(), "no replica was stopped again");
    }

    /** Shows that the copies above are seen: a worker that executed them would break the rules. */
    @Test
    void aWorkerThatExecutesCopiesOfStartsBreaksTheRules() {
        JobSpec keeper = SimulatedCluster.spec(9, JobKind.ARRAY, 6, 4);
        assertTrue(cluster.users().submit(0, keeper, HOURS_RUNTIME), "keeps all machines rented");
        cluster.runSeconds(15);
        cluster.network().copyCarriedOutMessages(List.of(Duration.ofSeconds(70)));
        cluster.workers().forEach(FakeWorker::executeCopiedResponses);
        JobSpec job = arrayJob(1, 2);
        assertTrue(cluster.users().submit(0, job, HOURS_RUNTIME));
        cluster.runSeconds(8);
        assertTrue(cluster.users().cancel(1, job.id()));

        AssertionError broken =
                assertThrows(AssertionError.class, () -> cluster.runSeconds(SETTLE_SECONDS));
        assertTrue(broken.getMessage().startsWith("ran_cancelled"), broken.toString());
    }
}
