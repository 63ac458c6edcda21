package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.TaskId;

/**
 * A leader that receives few heartbeats or none: a controller that receives more takes over, and
 * healthy machines are not returned.
 */
class LeaderReachabilityScenarioTest {
    private static final int MACHINES = 16;
    private static final int REPLICAS = 32;

    private SimulatedCluster cluster;
    private JobSpec service;
    private int initialLeader;
    private int initialStartCount;
    private MachineId lastInitialMachine;

    @BeforeEach
    void startServiceOnMachinesOfTwoZones() {
        cluster = new SimulatedCluster();
        for (int at = 0; at < MACHINES / 2; at++) {
            cluster.addMachine(SimulatedCluster.LARGE, "a");
            cluster.addMachine(SimulatedCluster.LARGE, "b");
        }
        cluster.runSeconds(12);
        lastInitialMachine = cluster.workers().get(MACHINES - 1).id();
        service = SimulatedCluster.spec(1, JobKind.SERVICE, REPLICAS, 4);
        assertTrue(cluster.users().submit(0, service, Duration.ofHours(1)));
        cluster.runSeconds(10);
        initialLeader = cluster.leader();
        initialStartCount = cluster.startCount();
        assertEquals(REPLICAS, initialStartCount, "two on each machine");
    }

    private void assertNoRestartOrReturn() {
        assertEquals(initialStartCount, cluster.startCount(), "every replica runs on where it was");
        assertEquals(List.of(), cluster.cloud().returnedMachines());
    }

    /**
     * Asserts that none of the initial machines was returned. Machines that were rented since may
     * be returned once they are idle.
     */
    private void assertInitialMachinesKept() {
        cluster.cloud()
                .returnedMachines()
                .forEach(
                        id -> assertTrue(id.compareTo(lastInitialMachine) > 0, id + " is healthy"));
    }

    private int runningReplicaCount() {
        int count = 0;
        for (int task = 0; task < REPLICAS; task++) {
            count += cluster.machinesRunning(new TaskId(service.id(), task)).size();
        }
        return count;
    }

    @Test
    void isolatedLeaderHandsOverToReachableControllerBeforeAnyLeaseExpires() {
        cluster.cutFromWorkers(initialLeader, true);
        cluster.runSeconds(11);
        assertNotEquals(
                initialLeader,
                cluster.leader(),
                "the handover precedes the expiry of any worker's lease");
        cluster.runSeconds(22);
        assertNoRestartOrReturn();
        cluster.cutFromWorkers(initialLeader, false);
        cluster.runSeconds(20);
        assertNoRestartOrReturn();
    }

    /** Guards against a query of the peers that stays in flight after its call has thrown. */
    @Test
    void isolatedLeaderHandsOverAlthoughItsFirstQueryThrows() {
        cluster.callFaults().throwNextCallOf("queryRecentHeartbeats");
        cluster.cutFromWorkers(initialLeader, true);
        cluster.runSeconds(15);
        assertEquals(1, cluster.callFaults().thrownCount());
        assertNotEquals(initialLeader, cluster.leader());
        cluster.runSeconds(18);
        assertNoRestartOrReturn();
    }

    @Test
    void workersLeavingIsolatedLeaderWaitForItsSuccessor() {
        cluster.cutFromWorkers(initialLeader, true);
        cluster.runSeconds(9.5);
        long fencingToken = cluster.fencingToken();
        cluster.workers()
                .forEach(
                        worker ->
                                assertEquals(
                                        fencingToken,
                                        worker.fencingToken().value(),
                                        worker.id() + " was sent back to the isolated leader"));
    }

    @Test
    void leaderThatReceivesNoHeartbeatsHandsOverThoughItReachesWorkers() {
        cluster.network().cutPeers(true);
        cluster.loseHeartbeats(initialLeader, true);
        cluster.runSeconds(15);
        assertNotEquals(
                initialLeader, cluster.leader(), "responses to direct commands renew no lease");
        cluster.runSeconds(20);
        assertNoRestartOrReturn();
    }

    @Test
    void atMostQuarterOfMachinesIsReturnedWithinOneLease() {
        cluster.workers().subList(0, 3).forEach(worker -> worker.setHung(true));
        cluster.runSeconds(10);
        assertEquals(3, cluster.cloud().returnedMachines().size());
        cluster.workers().subList(0, 3).forEach(worker -> worker.setHung(true));
        cluster.runSeconds(12);
        assertEquals(
                4,
                cluster.cloud().returnedMachines().size(),
                "six of sixteen in one lease are unlikely to fail independently");
        cluster.runSeconds(20);
        assertEquals(6, cluster.cloud().returnedMachines().size());
    }

    @Test
    void isolatedLeaderWithoutPeersStepsDownOnOwnEvidence() {
        cluster.network().cutPeers(true);
        cluster.cutFromWorkers(initialLeader, true);
        cluster.runSeconds(15);
        assertNotEquals(initialLeader, cluster.leader());
        assertTrue(cluster.leader() >= 0);
        cluster.runSeconds(22);
        assertNoRestartOrReturn();
    }

    @Test
    void isolatedControllerIsNoCandidateUntilItReceivesHeartbeats() {
        cluster.cutFromWorkers(initialLeader, true);
        cluster.runSeconds(12);
        int second = cluster.leader();
        assertNotEquals(initialLeader, second);
        int third = 3 - initialLeader - second;
        cluster.losePower(second);
        cluster.runSeconds(9);
        assertEquals(third, cluster.leader(), "the isolated node left the free lease to the third");
    }

    @Test
    void recoveredControllerIsCandidateAgain() {
        cluster.cutFromWorkers(initialLeader, true);
        cluster.runSeconds(12);
        cluster.cutFromWorkers(initialLeader, false);
        cluster.runSeconds(6);
        // No worker connects to a node that does not lead, so it has probed some workers itself.
        for (int node = 0; node < 3; node++) {
            if (node != initialLeader) {
                cluster.losePower(node);
            }
        }
        cluster.runSeconds(5.75);
        assertEquals(initialLeader, cluster.leader(), "before any worker has connected to it");
    }

    @Test
    void leaderStaysIfNoControllerReceivesHeartbeats() {
        long fencingToken = cluster.fencingToken();
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, true);
        }
        cluster.runSeconds(60);
        assertEquals(
                fencingToken, cluster.fencingToken(), "changing the leader again gains nothing");
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, false);
        }
        cluster.runSeconds(60);
        assertEquals(List.of(), cluster.cloud().returnedMachines(), "all of them are healthy");
        assertEquals(REPLICAS, runningReplicaCount());
    }

    @Test
    void leadershipReturnsIfNoControllerReceivesHeartbeatsAndPeersAreUnreachable() {
        cluster.network().cutPeers(true);
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, true);
        }
        cluster.runSeconds(20);
        assertEquals(initialLeader, cluster.leader());
        long fencingToken = cluster.fencingToken();
        cluster.runSeconds(10);
        assertEquals(fencingToken, cluster.fencingToken(), "one handover is enough");
        assertEquals(List.of(), cluster.cloud().returnedMachines());
    }

    @Test
    void leaderIsolatedFromOneZoneStaysAndKeepsItsMachines() {
        long fencingToken = cluster.fencingToken();
        cluster.cutFromZone(initialLeader, "b", true);
        cluster.runSeconds(100);
        assertEquals(
                fencingToken,
                cluster.fencingToken(),
                "the other nodes may receive fewer heartbeats of zone a");
        assertInitialMachinesKept();
        assertEquals(
                List.of(),
                cluster.cloud().returnedMachinesOf("b"),
                "nor unreachable machines that booted in that zone since");
        cluster.cutFromZone(initialLeader, "b", false);
        cluster.runSeconds(20);
        assertInitialMachinesKept();
        assertEquals(REPLICAS, runningReplicaCount());
    }

    @Test
    void manyMachinesSilentAtOnceAreKept() {
        cluster.network().cutPeers(true);
        List<FakeWorker> silentMachines = List.copyOf(cluster.workers().subList(3, 10));
        silentMachines.forEach(worker -> worker.setHung(true));
        cluster.runSeconds(60);
        silentMachines.forEach(worker -> worker.setHung(false));
        cluster.runSeconds(10);
        assertInitialMachinesKept();
    }

    @Test
    void leaderPausedDuringStoreOutageDoesNotCountPauseAsSilence() {
        cluster.store().setOutage(true);
        cluster.network().cutPeers(true);
        cluster.pause(initialLeader);
        List<FakeWorker> unreachable = cluster.workers().subList(0, 3);
        unreachable.forEach(worker -> worker.blockPathTo(initialLeader, true));
        cluster.runSeconds(24);
        cluster.store().setOutage(false);
        cluster.resume(initialLeader);
        cluster.runSeconds(6);
        unreachable.forEach(worker -> worker.blockPathTo(initialLeader, false));
        cluster.runSeconds(20);
        assertEquals(
                initialLeader,
                cluster.leader(),
                "after an outage every lease has its full duration again");
        assertInitialMachinesKept();
    }

    @Test
    void partitionedSmallZoneIsKeptWhileOtherZonesSendHeartbeats() {
        for (int at = 0; at < 20; at++) {
            cluster.addMachine(SimulatedCluster.SMALL, "a");
        }
        cluster.runSeconds(6);
        cluster.network().cutPeers(true);
        cluster.cutFromZone(initialLeader, "b", true);
        cluster.runSeconds(60);
        assertInitialMachinesKept();
    }

    @Test
    void machineIsReturnedOnceSilentToAllControllers() {
        FakeWorker lost = cluster.workers().get(2);
        lost.blockPathTo(initialLeader, true);
        cluster.runSeconds(5);
        lost.connectTo((initialLeader + 1) % 3);
        cluster.runSeconds(1);
        lost.setHung(true);
        cluster.runSeconds(8);
        assertFalse(
                cluster.cloud().returnedMachines().contains(lost.id()),
                "another node received its heartbeats until 8 s ago");
        cluster.runSeconds(18);
        assertTrue(cluster.cloud().returnedMachines().contains(lost.id()));
    }

    @Test
    void thirdOfMachinesReachableFromPeersIsKept() {
        List<FakeWorker> unreachable = cluster.workers().subList(0, 5);
        unreachable.forEach(worker -> worker.blockPathTo(initialLeader, true));
        cluster.runSeconds(60);
        assertEquals(
                List.of(), cluster.cloud().returnedMachines(), "they connect to the other nodes");
    }

    @Test
    void machineReachableFromAnotherControllerIsNotReturned() {
        FakeWorker unreachable = cluster.workers().get(3);
        unreachable.blockPathTo(initialLeader, true);
        cluster.runSeconds(60);
        assertFalse(cluster.cloud().returnedMachines().contains(unreachable.id()));
    }

    @Test
    void pausedLeaderDoesNotCountPauseAsSilence() {
        cluster.pause(initialLeader);
        cluster.runSeconds(4);
        cluster.resume(initialLeader);
        cluster.runSeconds(30);
        assertNoRestartOrReturn();
        cluster.pause(initialLeader);
        cluster.runSeconds(30);
        assertNotEquals(initialLeader, cluster.leader());
        cluster.resume(initialLeader);
        cluster.runSeconds(30);
        assertEquals(
                List.of(),
                cluster.cloud().returnedMachines(),
                "a leader whose lease has expired must not act on 30 s without heartbeats");
    }

    @Test
    void leaderIsolatedAfterPauseReturnsNoMachines() {
        cluster.pause(initialLeader);
        cluster.cutFromWorkers(initialLeader, true);
        cluster.network().cutPeers(true);
        cluster.runSeconds(4);
        cluster.resume(initialLeader);
        cluster.runSeconds(30);
        assertNotEquals(initialLeader, cluster.leader());
        assertEquals(List.of(), cluster.cloud().returnedMachines());
    }

    @Test
    void deadMachinesAreReplacedWithoutExtraDelay() {
        List<FakeWorker> dying = cluster.workers().subList(2, 4);
        dying.forEach(worker -> worker.setHung(true));
        cluster.runSeconds(11);
        assertEquals(
                dying.stream().map(FakeWorker::id).toList(),
                cluster.cloud().returnedMachines().stream().sorted().toList());
        cluster.runSeconds(25);
        assertEquals(REPLICAS, runningReplicaCount());
    }

    @Test
    void machinesReclaimedByCloudDoNotCountAsIsolation() {
        List<FakeWorker> reclaimed = cluster.workers().subList(0, 7);
        reclaimed.forEach(cluster.cloud()::reclaim);
        cluster.runSeconds(60);
        assertTrue(
                cluster.cloud()
                        .returnedMachines()
                        .containsAll(reclaimed.stream().map(FakeWorker::id).toList()),
                "seven of sixteen are silent, but they no longer exist");
        assertEquals(REPLICAS, runningReplicaCount());
    }

    @Test
    void lateHeartbeatsStopReturnOfOtherMachines() {
        // Few enough to be independent failures, and no other controller receives their
        // heartbeats.
        List<FakeWorker> silentMachines = cluster.workers().subList(0, 4);
        cluster.network().cutPeers(true);
        silentMachines.get(0).setHung(true);
        silentMachines.get(1).setHung(true);
        cluster.cloud().setOutage(true);
        cluster.runSeconds(6);
        silentMachines.get(2).setHung(true);
        silentMachines.get(3).setHung(true);
        cluster.runSeconds(5);
        silentMachines.get(0).setHung(false);
        silentMachines.get(1).setHung(false);
        cluster.runSeconds(1);
        cluster.cloud().setOutage(false);
        cluster.runSeconds(5);
        assertFalse(
                cluster.cloud().returnedMachines().contains(silentMachines.get(2).id()),
                "two machines that seemed dead were alive");
        cluster.runSeconds(25);
        List<MachineId> dead = List.of(silentMachines.get(2).id(), silentMachines.get(3).id());
        assertTrue(
                cluster.cloud().returnedMachines().containsAll(dead),
                "they stay silent, and no other heartbeats are late");
    }

    @Test
    void leaderWithoutLeaseReturnsNoIdleMachine() {
        for (int at = 0; at < 4; at++) {
            cluster.addMachine(SimulatedCluster.LARGE, "a");
        }
        cluster.runSeconds(46);
        // Another controller leads in 5 s, and may place anything on the machines that the first
        // still considers idle.
        cluster.storeConnection(initialLeader).refuseRequests(true);
        cluster.network().cutPeers(true);
        cluster.runSeconds(11);
        assertNotEquals(initialLeader, cluster.leader());
        assertEquals(
                List.of(),
                cluster.cloud().returnedMachines(),
                "idle for 50 s and more, as far as the first leader knows");
        cluster.runSeconds(60);
        assertEquals(4, cluster.cloud().returnedMachines().size(), "the new leader returns them");
    }
}
