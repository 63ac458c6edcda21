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
    private int first;
    private int startsBefore;
    private MachineId lastOfFirst;

    @BeforeEach
    void startServiceOnMachinesOfTwoZones() {
        cluster = new SimulatedCluster();
        for (int at = 0; at < MACHINES / 2; at++) {
            cluster.addMachine(SimulatedCluster.LARGE, "a");
            cluster.addMachine(SimulatedCluster.LARGE, "b");
        }
        cluster.runSeconds(12);
        lastOfFirst = cluster.workers().get(MACHINES - 1).id();
        service = SimulatedCluster.spec(1, JobKind.SERVICE, REPLICAS, 4);
        assertTrue(cluster.users().submit(0, service, Duration.ofHours(1)));
        cluster.runSeconds(10);
        first = cluster.leader();
        startsBefore = cluster.startCount();
        assertEquals(REPLICAS, startsBefore, "two on each machine");
    }

    private void assertNothingLost() {
        assertEquals(startsBefore, cluster.startCount(), "every replica runs on where it was");
        assertEquals(List.of(), cluster.cloud().returnedMachines());
    }

    /**
     * Asserts that none of the initial machines was returned. Machines that were rented since may
     * be returned once they are idle.
     */
    private void assertKept() {
        cluster.cloud()
                .returnedMachines()
                .forEach(id -> assertTrue(id.compareTo(lastOfFirst) > 0, id + " is healthy"));
    }

    private int runningReplicaCount() {
        int on = 0;
        for (int task = 0; task < REPLICAS; task++) {
            on += cluster.machinesRunning(new TaskId(service.id(), task)).size();
        }
        return on;
    }

    @Test
    void isolatedLeaderHandsOverToReachableControllerBeforeAnyLeaseExpires() {
        cluster.cutFromWorkers(first, true);
        cluster.runSeconds(11);
        assertNotEquals(
                first, cluster.leader(), "the handover precedes the expiry of any worker's lease");
        cluster.runSeconds(22);
        assertNothingLost();
        cluster.cutFromWorkers(first, false);
        cluster.runSeconds(20);
        assertNothingLost();
    }

    @Test
    void workersLeavingIsolatedLeaderWaitForItsSuccessor() {
        cluster.cutFromWorkers(first, true);
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
        cluster.loseHeartbeats(first, true);
        cluster.runSeconds(15);
        assertNotEquals(first, cluster.leader(), "responses to direct commands renew no lease");
        cluster.runSeconds(20);
        assertNothingLost();
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
        cluster.cutFromWorkers(first, true);
        cluster.runSeconds(15);
        assertNotEquals(first, cluster.leader());
        assertTrue(cluster.leader() >= 0);
        cluster.runSeconds(22);
        assertNothingLost();
    }

    @Test
    void isolatedControllerIsNoCandidateUntilItReceivesHeartbeats() {
        cluster.cutFromWorkers(first, true);
        cluster.runSeconds(12);
        int second = cluster.leader();
        assertNotEquals(first, second);
        int third = 3 - first - second;
        cluster.losePower(second);
        cluster.runSeconds(9);
        assertEquals(third, cluster.leader(), "the isolated node left the free lease to the third");
    }

    @Test
    void recoveredControllerIsCandidateLikeAnyOther() {
        cluster.cutFromWorkers(first, true);
        cluster.runSeconds(12);
        cluster.cutFromWorkers(first, false);
        cluster.runSeconds(6);
        // No worker connects to a node that does not lead, so it has probed some workers itself.
        for (int node = 0; node < 3; node++) {
            if (node != first) {
                cluster.losePower(node);
            }
        }
        cluster.runSeconds(5.75);
        assertEquals(first, cluster.leader(), "before any worker has connected to it");
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
        assertEquals(first, cluster.leader());
        long fencingToken = cluster.fencingToken();
        cluster.runSeconds(10);
        assertEquals(fencingToken, cluster.fencingToken(), "one handover is enough");
        assertEquals(List.of(), cluster.cloud().returnedMachines());
    }

    @Test
    void leaderIsolatedFromOneZoneStaysAndKeepsItsMachines() {
        long fencingToken = cluster.fencingToken();
        cluster.cutFromZone(first, "b", true);
        cluster.runSeconds(100);
        assertEquals(
                fencingToken,
                cluster.fencingToken(),
                "the other nodes may receive fewer heartbeats of zone a");
        assertKept();
        assertEquals(
                List.of(),
                cluster.cloud().returnedMachinesOf("b"),
                "nor unreachable machines that booted in that zone since");
        cluster.cutFromZone(first, "b", false);
        cluster.runSeconds(20);
        assertKept();
        assertEquals(REPLICAS, runningReplicaCount());
    }

    @Test
    void manyMachinesSilentAtOnceAreKept() {
        cluster.network().cutPeers(true);
        List<FakeWorker> many = List.copyOf(cluster.workers().subList(3, 10));
        many.forEach(worker -> worker.setHung(true));
        cluster.runSeconds(60);
        many.forEach(worker -> worker.setHung(false));
        cluster.runSeconds(10);
        assertKept();
    }

    @Test
    void leaderPausedDuringStoreOutageDoesNotCountPauseAsSilence() {
        cluster.store().setOutage(true);
        cluster.network().cutPeers(true);
        cluster.pause(first);
        List<FakeWorker> slow = cluster.workers().subList(0, 3);
        slow.forEach(worker -> worker.blockPathTo(first, true));
        cluster.runSeconds(24);
        cluster.store().setOutage(false);
        cluster.resume(first);
        cluster.runSeconds(6);
        slow.forEach(worker -> worker.blockPathTo(first, false));
        cluster.runSeconds(20);
        assertEquals(
                first, cluster.leader(), "after an outage every lease has its full duration again");
        assertKept();
    }

    @Test
    void partitionedSmallZoneIsKeptWhileOtherZonesSendHeartbeats() {
        for (int at = 0; at < 20; at++) {
            cluster.addMachine(SimulatedCluster.SMALL, "a");
        }
        cluster.runSeconds(6);
        cluster.network().cutPeers(true);
        cluster.cutFromZone(first, "b", true);
        cluster.runSeconds(60);
        assertKept();
    }

    @Test
    void machineIsReturnedOnceAllItsListenersMissedItLongEnough() {
        FakeWorker lost = cluster.workers().get(2);
        lost.blockPathTo(first, true);
        cluster.runSeconds(5);
        lost.connectTo((first + 1) % 3);
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
        List<FakeWorker> third = cluster.workers().subList(0, 5);
        third.forEach(worker -> worker.blockPathTo(first, true));
        cluster.runSeconds(60);
        assertEquals(
                List.of(), cluster.cloud().returnedMachines(), "they connect to the other nodes");
    }

    @Test
    void machineReachableFromAnotherControllerIsNotReturned() {
        FakeWorker alone = cluster.workers().get(3);
        alone.blockPathTo(first, true);
        cluster.runSeconds(60);
        assertFalse(cluster.cloud().returnedMachines().contains(alone.id()));
    }

    @Test
    void pausedLeaderDoesNotCountPauseAsSilence() {
        cluster.pause(first);
        cluster.runSeconds(4);
        cluster.resume(first);
        cluster.runSeconds(30);
        assertNothingLost();
        cluster.pause(first);
        cluster.runSeconds(30);
        assertNotEquals(first, cluster.leader());
        cluster.resume(first);
        cluster.runSeconds(30);
        assertEquals(
                List.of(),
                cluster.cloud().returnedMachines(),
                "a leader whose lease has expired must not act on 30 s without heartbeats");
    }

    @Test
    void leaderIsolatedAfterPauseReturnsNoMachines() {
        cluster.pause(first);
        cluster.cutFromWorkers(first, true);
        cluster.network().cutPeers(true);
        cluster.runSeconds(4);
        cluster.resume(first);
        cluster.runSeconds(30);
        assertNotEquals(first, cluster.leader());
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
        List<FakeWorker> wave = cluster.workers().subList(0, 7);
        wave.forEach(cluster.cloud()::reclaim);
        cluster.runSeconds(60);
        assertTrue(
                cluster.cloud()
                        .returnedMachines()
                        .containsAll(wave.stream().map(FakeWorker::id).toList()),
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
        cluster.storeConnection(first).refuseRequests(true);
        cluster.network().cutPeers(true);
        cluster.runSeconds(11);
        assertNotEquals(first, cluster.leader());
        assertEquals(
                List.of(),
                cluster.cloud().returnedMachines(),
                "idle for 50 s and more, as far as the first leader knows");
        cluster.runSeconds(60);
        assertEquals(4, cluster.cloud().returnedMachines().size(), "the new leader returns them");
    }
}
