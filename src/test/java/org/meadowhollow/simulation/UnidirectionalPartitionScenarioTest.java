package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;

/**
 * Machines that cannot open a connection to any controller, while direct commands reach them, and
 * machines whose responses are lost or delayed. Such machines are alive although their heartbeats
 * are missing, and a response to a direct command renews no lease.
 */
class UnidirectionalPartitionScenarioTest extends ClusterTestBase {
    private List<FakeWorker> blockOutgoingConnectionsOfZone(String zone) {
        List<FakeWorker> unconnected =
                cluster.workers().stream().filter(worker -> worker.zone().equals(zone)).toList();
        unconnected.forEach(worker -> worker.blockOutgoingConnections(true));
        return unconnected;
    }

    /**
     * Regression test: tasks placed on such a machine waited for as long as it could not connect,
     * since starts are sent in heartbeat responses alone.
     */
    @Test
    void nothingIsPlacedOnMachineThatOnlyAnswersDirectCommands() {
        cluster.cloud().limitMachines(0);
        cluster.runSeconds(4);
        List<FakeWorker> unconnected = blockOutgoingConnectionsOfZone("a");
        cluster.runSeconds(8);
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 12, 2);
        assertTrue(cluster.users().submit(0, job, HOURS_RUNTIME));
        // Too short for the leases of the machines that cannot connect to expire, which would prove
        // that nothing was started there.
        cluster.runSeconds(7);
        assertTrue(allTasksRunning(job), "the other machines have capacity for all tasks");
        unconnected.forEach(worker -> worker.blockOutgoingConnections(false));
        cluster.runSeconds(40);
        assertEquals(12, cluster.startCount());
    }

    /**
     * Its responses to direct commands show that the machine is alive. Its tasks stop when its
     * lease expires, and then run elsewhere.
     */
    @Test
    void machineThatCannotOpenConnectionsIsNotReturned() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(10);
        FakeWorker unconnected = machineRunning(job, 0);
        unconnected.blockOutgoingConnections(true);
        cluster.runSeconds(40);
        assertTrue(
                cluster.cloud().returnedMachines().isEmpty(),
                "returned " + cluster.cloud().returnedMachines());
        assertTrue(allTasksRunning(job) && unconnected.runningTasks().isEmpty());
        unconnected.blockOutgoingConnections(false);
        cluster.runSeconds(10);
        assertEquals(7, cluster.startCount());
    }

    /**
     * No machine of a zone can open connections, tasks there are cancelled, and the leader crashes
     * before or after it learns of the cancellation.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 4, 6})
    void zoneThatCannotOpenConnectionsKeepsMachinesAndStopsCancelledTasks(int crashAfterS) {
        JobSpec cancelled = SimulatedCluster.spec(1, JobKind.SERVICE, 12, 1);
        JobSpec uncancelled = SimulatedCluster.spec(2, JobKind.SERVICE, 12, 1);
        assertTrue(cluster.users().submit(0, cancelled, null));
        assertTrue(cluster.users().submit(0, uncancelled, null));
        cluster.runSeconds(10);
        List<FakeWorker> unconnected = blockOutgoingConnectionsOfZone("b");
        cluster.runSeconds(2);
        int leader = cluster.leader();
        if (crashAfterS == 0) {
            cluster.crash(leader);
        }
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), cancelled.id()));
        assertTrue(
                crashAfterS > 0
                        || unconnected.stream()
                                .anyMatch(worker -> worker.runsTaskOf(cancelled.id())),
                "it still runs there when its cancellation is confirmed");
        if (crashAfterS > 0) {
            cluster.runSeconds(crashAfterS);
            cluster.crash(leader);
        }
        cluster.runSeconds(12);
        for (int task = 0; task < 12; task++) {
            assertEquals(
                    null,
                    machineRunning(cancelled, task),
                    "a direct command reaches it well within the cancellation bound");
        }
        int next = cluster.leader();
        long fencingToken = cluster.fencingToken();
        cluster.runSeconds(20);
        assertEquals(
                next,
                cluster.leader(),
                "half of the machines are no evidence that the leader is isolated");
        assertEquals(fencingToken, cluster.fencingToken());
        assertTrue(
                cluster.cloud().returnedMachines().isEmpty(),
                "returned " + cluster.cloud().returnedMachines());
        unconnected.forEach(worker -> worker.blockOutgoingConnections(false));
        cluster.restart(leader);
        cluster.beginFaultFreePhase();
        cluster.runSeconds(60);
        assertTrue(allTasksRunning(uncancelled));
    }

    /**
     * Direct stop commands are delayed, and executed when another controller leads or the next
     * attempt has begun.
     */
    @ParameterizedTest
    @CsvSource({"6, true", "14, true", "25, true", "6, false", "14, false"})
    void delayedStopCommandDoesNotStopNewAttempt(int heldS, boolean leaderCrashes) {
        JobSpec job = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.users().submit(0, job, HOURS_RUNTIME));
        cluster.runSeconds(10);
        JobSpec filling = withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 3, 8), "other");
        assertTrue(cluster.users().submit(0, filling, null), "fills the other machines");
        cluster.cloud().limitMachines(0);
        cluster.runSeconds(10);
        List<FakeWorker> machines = new ArrayList<>();
        for (int task = 0; task < 3; task++) {
            machines.add(machineRunning(job, task));
        }
        cluster.network().holdCommands(true);
        // A task of the gang ends, and the others are told to stop, directly and in their next
        // heartbeat responses.
        FakeWorker first = machines.get(0);
        machines.get(1).setHung(true);
        machines.get(2).setHung(true);
        first.exitForMissingPeer(new TaskId(job.id(), 0));
        cluster.runSeconds(4);
        assertTrue(cluster.network().heldCommandCount() > 0, "stop commands are on their way");
        int leader = cluster.leader();
        if (leaderCrashes) {
            cluster.crash(leader);
            cluster.runSeconds(heldS);
        }
        machines.get(1).setHung(false);
        machines.get(2).setHung(false);
        if (!leaderCrashes) {
            runUntilAllTasksRun(job, 160);
            assertTrue(allTasksRunning(job), "in a new attempt");
            cluster.runSeconds(heldS);
        }
        int starts = cluster.startCount();
        cluster.network().holdCommands(false);
        cluster.runSeconds(10);
        assertEquals(leaderCrashes, leader != cluster.leader());
        cluster.restart(leader);
        cluster.beginFaultFreePhase();
        cluster.runSeconds(85);
        assertTrue(allTasksRunning(job), "a command for the former attempt stopped no task");
        assertEquals(leaderCrashes ? cluster.startCount() : starts, cluster.startCount());
    }

    /**
     * Machines lose all incoming messages for longer than their leases while leaders change; their
     * tasks count as running until the leases have certainly expired.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void machinesIsolatedAcrossFailoversKeepTasksForFullTimeout(int failovers) {
        cluster.withTeam("team", 0, 6);
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        assertTrue(cluster.users().submit(0, job, null));
        cluster.runSeconds(10);
        List<FakeWorker> isolated = cluster.workers().subList(0, 3);
        isolated.forEach(worker -> worker.loseIncoming(true));
        boolean ranUnderNextLeader = false;
        for (int takeover = 0; takeover < failovers; takeover++) {
            int leader = cluster.leader();
            cluster.crash(leader);
            for (int second = 0; second < 9; second++) {
                cluster.runSeconds(1);
                ranUnderNextLeader |=
                        cluster.leader() != leader
                                && isolated.stream()
                                        .anyMatch(worker -> !worker.runningTasks().isEmpty());
            }
            cluster.restart(leader);
        }
        assertTrue(ranUnderNextLeader, "an isolated machine had tasks while the next leader led");
        cluster.runSeconds(70);
        isolated.forEach(worker -> worker.loseIncoming(false));
        cluster.beginFaultFreePhase();
        cluster.runSeconds(40);
        assertTrue(allTasksRunning(job));
    }
}
