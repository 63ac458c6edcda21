package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;

/**
 * The time until another controller takes over from a failed leader, and events that must not cause
 * a failover.
 */
class FailoverTimingScenarioTest {
    private static final int MACHINES = 8;
    private SimulatedCluster cluster;

    @BeforeEach
    void startClusterWithMachines() {
        cluster = new SimulatedCluster();
        for (int at = 0; at < MACHINES / 2; at++) {
            cluster.addMachine(SimulatedCluster.LARGE, "a");
            cluster.addMachine(SimulatedCluster.LARGE, "b");
        }
        cluster.runSeconds(12);
    }

    @Test
    void crashedLeaderIsReplacedBeforeItsLeaseExpires() {
        int dead = cluster.leader();
        cluster.crash(dead);
        cluster.runSeconds(3.5);
        assertTrue(
                cluster.leader() >= 0 && cluster.leader() != dead,
                "its lease of 5 s has not expired yet");
    }

    @Test
    void leaderUnreachableOnlyFromPeersKeepsLeadership() {
        long fencingToken = cluster.fencingToken();
        cluster.refuseAllPeerConnections(true);
        cluster.runSeconds(30);
        assertEquals(fencingToken, cluster.fencingToken());
    }

    @Test
    void packetFilterBetweenControllersDoesNotEndLeadershipWhenWorkersDisconnect() {
        long fencingToken = cluster.fencingToken();
        int leader = cluster.leader();
        cluster.refuseAllPeerConnections(true);
        cluster.workers().forEach(worker -> worker.connectTo((leader + 1) % 3));
        cluster.runSeconds(10);
        assertEquals(fencingToken, cluster.fencingToken());
    }

    @Test
    void overloadedLeaderRenewsItsLeaseBetweenDelayedTimers() {
        // With all machines full, no heartbeat response is deferred until a start.
        JobSpec filling = SimulatedCluster.spec(1, JobKind.ARRAY, MACHINES * 8, 1);
        assertTrue(cluster.users().submit(0, filling, Duration.ofMinutes(5)));
        cluster.runSeconds(10);
        long fencingToken = cluster.fencingToken();
        cluster.overload(cluster.leader(), true);
        cluster.runSeconds(20);
        assertEquals(fencingToken, cluster.fencingToken());
    }

    @Test
    void fewReconnectingWorkersDoNotEndLeadershipUnreachableFromPeers() {
        long fencingToken = cluster.fencingToken();
        cluster.refusePeerConnections(cluster.leader(), true);
        cluster.workers().get(0).connectTo((cluster.leader() + 1) % 3);
        cluster.workers().get(1).connectTo((cluster.leader() + 2) % 3);
        cluster.runSeconds(10);
        assertEquals(fencingToken, cluster.fencingToken());
    }

    @Test
    void leaderThatAnswersPeersKeepsLeadershipWhenWorkersDisconnect() {
        long fencingToken = cluster.fencingToken();
        cluster.workers().forEach(worker -> worker.connectTo((cluster.leader() + 1) % 3));
        cluster.runSeconds(10);
        assertEquals(fencingToken, cluster.fencingToken());
    }

    @Test
    void wronglyReplacedLeaderStepsDownAndNoTaskRunsTwice() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 40, 1);
        int first = cluster.leader();
        assertTrue(cluster.users().submit(first, job, Duration.ofSeconds(20)));
        cluster.runSeconds(1);
        cluster.refusePeerConnections(first, true);
        cluster.workers().forEach(worker -> worker.connectTo((first + 1) % 3));
        cluster.runSeconds(4);
        assertNotEquals(
                first,
                cluster.leader(),
                "several workers left it, and it refused peer connections");
        cluster.refusePeerConnections(first, false);
        cluster.runSeconds(60);
        assertEquals(40, cluster.users().poll(first, job.id()).orElseThrow().completedTasks());
    }

    @Test
    void powerLossOfLeaderIsDetectedByLeaseExpiry() {
        int dead = cluster.leader();
        cluster.losePower(dead);
        cluster.workers().forEach(worker -> worker.connectTo((dead + 1) % 3));
        cluster.runSeconds(3);
        assertEquals(dead, cluster.leader(), "silence does not prove a crash");
        cluster.runSeconds(4);
        assertTrue(cluster.leader() >= 0 && cluster.leader() != dead);
    }

    @Test
    void workersWaitForNewLeaderInsteadOfPollingAllControllers() {
        cluster.losePower(cluster.leader());
        cluster.network().takeHeartbeatCount();
        cluster.runSeconds(5);
        assertTrue(
                cluster.network().takeHeartbeatCount() <= 3 * MACHINES,
                "each heartbeat is answered once there is news, or late");
    }

    @Test
    void hungMachineDoesNotDelayPlacementByNewLeader() {
        for (int at = 0; at < 12; at++) {
            cluster.addMachine(SimulatedCluster.LARGE, "a");
        }
        cluster.runSeconds(15);
        cluster.workers().get(0).setHung(true);
        int dead = cluster.leader();
        cluster.crash(dead);
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 1, 1);
        assertTrue(cluster.users().submit((dead + 1) % 3, job, Duration.ofSeconds(60)));
        for (int step = 0;
                step < 40 && (cluster.leader() < 0 || cluster.leader() == dead);
                step++) {
            cluster.runSeconds(0.25);
        }
        cluster.runSeconds(4);
        assertTrue(
                cluster.workers().stream()
                        .anyMatch(worker -> worker.hasTask(new TaskId(job.id(), 0))),
                "heartbeats arrive every 3 s; the leader must not wait 4.75 s for a silent machine");
    }
}
