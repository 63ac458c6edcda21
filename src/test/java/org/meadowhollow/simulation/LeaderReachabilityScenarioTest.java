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

/** A leader that hears few workers or none: who leads then, and what happens to the machines. */
class LeaderReachabilityScenarioTest {
    private static final int MACHINES = 16;
    private static final int REPLICAS = 32;

    private SimulatedCluster cluster;
    private JobSpec service;
    private int first;
    private int startsBefore;
    private MachineId lastOfFirst;

    @BeforeEach
    void aServiceOnMachinesOfTwoZones() {
        cluster = new SimulatedCluster();
        for (int at = 0; at < MACHINES / 2; at++) {
            cluster.machine(SimulatedCluster.LARGE, "a");
            cluster.machine(SimulatedCluster.LARGE, "b");
        }
        cluster.runS(12);
        lastOfFirst = cluster.workers().get(MACHINES - 1).id();
        service = SimulatedCluster.spec(1, JobKind.SERVICE, REPLICAS, 4);
        assertTrue(cluster.submit(0, service, Duration.ofHours(1)));
        cluster.runS(10);
        first = cluster.leader();
        startsBefore = cluster.starts();
        assertEquals(REPLICAS, startsBefore, "two on each machine");
    }

    private void assertNothingLost() {
        assertEquals(startsBefore, cluster.starts(), "every replica ran on where it was");
        assertEquals(List.of(), cluster.returned());
    }

    /**
     * None of the first machines was returned; those rented in between go when they are of no more
     * use.
     */
    private void assertKept() {
        cluster.returned()
                .forEach(id -> assertTrue(id.compareTo(lastOfFirst) > 0, id + " is healthy"));
    }

    private int replicas() {
        int on = 0;
        for (int task = 0; task < REPLICAS; task++) {
            on += cluster.on(new TaskId(service.id(), task)).size();
        }
        return on;
    }

    @Test
    void aDeafLeaderHandsOverToANodeThatHearsBeforeAnyLeaseEnds() {
        cluster.cutFromWorkers(first, true);
        cluster.runS(11);
        assertNotEquals(first, cluster.leader(), "well before the lease of a worker is over");
        cluster.runS(22);
        assertNothingLost();
        cluster.cutFromWorkers(first, false);
        cluster.runS(20);
        assertNothingLost();
    }

    @Test
    void workersThatLeaveADeafLeaderWaitWhereTheyComeForItsSuccessor() {
        cluster.cutFromWorkers(first, true);
        cluster.runS(9.5);
        long term = cluster.term();
        cluster.workers()
                .forEach(
                        worker ->
                                assertEquals(
                                        term,
                                        worker.token().value(),
                                        worker.id() + " was sent back to the deaf leader"));
    }

    @Test
    void aLeaderThatReachesItsWorkersButGetsNoReportsHandsOver() {
        cluster.peersCut(true);
        cluster.loseReports(first, true);
        cluster.runS(15);
        assertNotEquals(first, cluster.leader(), "what they answer directly renews no lease");
        cluster.runS(20);
        assertNothingLost();
    }

    @Test
    void noMoreThanAQuarterIsGivenUpWithinALease() {
        cluster.workers().subList(0, 3).forEach(worker -> worker.hang(true));
        cluster.runS(10);
        assertEquals(3, cluster.returned().size());
        cluster.workers().subList(0, 3).forEach(worker -> worker.hang(true));
        cluster.runS(12);
        assertEquals(
                4,
                cluster.returned().size(),
                "six of sixteen in one lease are too many for chance");
        cluster.runS(20);
        assertEquals(6, cluster.returned().size());
    }

    @Test
    void aDeafLeaderWithoutPeersGivesUpOnItsOwnEvidence() {
        cluster.peersCut(true);
        cluster.cutFromWorkers(first, true);
        cluster.runS(15);
        assertNotEquals(first, cluster.leader());
        assertTrue(cluster.leader() >= 0);
        cluster.runS(22);
        assertNothingLost();
    }

    @Test
    void aDeafNodeDoesNotStandAgainBeforeItHears() {
        cluster.cutFromWorkers(first, true);
        cluster.runS(12);
        int second = cluster.leader();
        assertNotEquals(first, second);
        int third = 3 - first - second;
        cluster.losePower(second);
        cluster.runS(9);
        assertEquals(third, cluster.leader(), "the deaf one left the free lease to the third");
    }

    @Test
    void aNodeThatCanBeReachedAgainStandsLikeAnyOther() {
        cluster.cutFromWorkers(first, true);
        cluster.runS(12);
        cluster.cutFromWorkers(first, false);
        cluster.runS(6);
        // Nobody comes to a node that does not lead, so it has asked some workers itself.
        for (int node = 0; node < 3; node++) {
            if (node != first) {
                cluster.losePower(node);
            }
        }
        cluster.runS(5.75);
        assertEquals(first, cluster.leader(), "before any worker has come to it");
    }

    @Test
    void ifNobodyHearsTheWorkersTheLeaderStays() {
        long term = cluster.term();
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, true);
        }
        cluster.runS(60);
        assertEquals(term, cluster.term(), "turns gain nothing");
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, false);
        }
        cluster.runS(60);
        assertEquals(List.of(), cluster.returned(), "all of them are healthy");
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void ifNobodyHearsAndNobodyCanBeAskedTheLeaseComesBackToWhereItWas() {
        cluster.peersCut(true);
        for (int node = 0; node < 3; node++) {
            cluster.cutFromWorkers(node, true);
        }
        cluster.runS(20);
        assertEquals(first, cluster.leader());
        long term = cluster.term();
        cluster.runS(10);
        assertEquals(term, cluster.term(), "once is enough");
        assertEquals(List.of(), cluster.returned());
    }

    @Test
    void aLeaderDeafToOneZoneStaysAndKeepsItsMachines() {
        long term = cluster.term();
        cluster.cutFromZone(first, "b", true);
        cluster.runS(100);
        assertEquals(term, cluster.term(), "the other nodes may hear less of zone a");
        assertKept();
        assertEquals(
                List.of(),
                cluster.returnedFrom("b"),
                "nor those that came up there since and could not be heard");
        cluster.cutFromZone(first, "b", false);
        cluster.runS(20);
        assertKept();
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void manyThatFallSilentAtOnceAreKept() {
        cluster.peersCut(true);
        List<FakeWorker> many = List.copyOf(cluster.workers().subList(3, 10));
        many.forEach(worker -> worker.hang(true));
        cluster.runS(60);
        many.forEach(worker -> worker.hang(false));
        cluster.runS(10);
        assertKept();
    }

    @Test
    void aLeaderFrozenInAnOutageDoesNotTakeTheTimeForSilence() {
        cluster.store().out(true);
        cluster.peersCut(true);
        cluster.freeze(first);
        List<FakeWorker> slow = cluster.workers().subList(0, 3);
        slow.forEach(worker -> worker.cannotReach(first, true));
        cluster.runS(24);
        cluster.store().out(false);
        cluster.thaw(first);
        cluster.runS(6);
        slow.forEach(worker -> worker.cannotReach(first, false));
        cluster.runS(20);
        assertEquals(first, cluster.leader(), "an outage gives every lease its full time again");
        assertKept();
    }

    @Test
    void aSmallZoneThatIsCutOffIsKeptThoughTheRestIsHeard() {
        for (int at = 0; at < 20; at++) {
            cluster.machine(SimulatedCluster.SMALL, "a");
        }
        cluster.runS(6);
        cluster.peersCut(true);
        cluster.cutFromZone(first, "b", true);
        cluster.runS(60);
        assertKept();
    }

    @Test
    void aMachineIsGivenUpWhenAllWhoHeardItHaveMissedItForLongEnough() {
        FakeWorker lost = cluster.workers().get(2);
        lost.cannotReach(first, true);
        cluster.runS(5);
        lost.goTo((first + 1) % 3);
        cluster.runS(1);
        lost.hang(true);
        cluster.runS(8);
        assertFalse(cluster.returned().contains(lost.id()), "another node heard it until 8 s ago");
        cluster.runS(18);
        assertTrue(cluster.returned().contains(lost.id()));
    }

    @Test
    void aThirdOfTheMachinesThatOthersHearIsKept() {
        List<FakeWorker> third = cluster.workers().subList(0, 5);
        third.forEach(worker -> worker.cannotReach(first, true));
        cluster.runS(60);
        assertEquals(List.of(), cluster.returned(), "they come to the other nodes");
    }

    @Test
    void aMachineThatAnotherNodeHearsIsNotReturned() {
        FakeWorker alone = cluster.workers().get(3);
        alone.cannotReach(first, true);
        cluster.runS(60);
        assertFalse(cluster.returned().contains(alone.id()));
    }

    @Test
    void aLeaderThatWasFrozenDoesNotTakeTheTimeForSilence() {
        cluster.freeze(first);
        cluster.runS(4);
        cluster.thaw(first);
        cluster.runS(30);
        assertNothingLost();
        cluster.freeze(first);
        cluster.runS(30);
        assertNotEquals(first, cluster.leader());
        cluster.thaw(first);
        cluster.runS(30);
        assertEquals(
                List.of(),
                cluster.returned(),
                "its lease is over, and it has heard nobody for 30 s");
    }

    @Test
    void aFrozenLeaderThatWakesUpDeafReturnsNothing() {
        cluster.freeze(first);
        cluster.cutFromWorkers(first, true);
        cluster.peersCut(true);
        cluster.runS(4);
        cluster.thaw(first);
        cluster.runS(30);
        assertNotEquals(first, cluster.leader());
        assertEquals(List.of(), cluster.returned());
    }

    @Test
    void machinesThatReallyDieAreReplacedAsFastAsEver() {
        List<FakeWorker> dying = cluster.workers().subList(2, 4);
        dying.forEach(worker -> worker.hang(true));
        cluster.runS(11);
        assertEquals(
                dying.stream().map(FakeWorker::id).toList(),
                cluster.returned().stream().sorted().toList());
        cluster.runS(25);
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void machinesThatTheCloudTookAndListsNoMoreDoNotSpeakAgainstTheListener() {
        List<FakeWorker> wave = cluster.workers().subList(0, 7);
        wave.forEach(cluster::take);
        cluster.runS(60);
        assertTrue(
                cluster.returned().containsAll(wave.stream().map(FakeWorker::id).toList()),
                "seven of sixteen are silent, but they are gone");
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void machinesThatReportLateStopTheReturnOfOthers() {
        // Few enough for independent failures, and nobody else hears them either.
        List<FakeWorker> silent = cluster.workers().subList(0, 4);
        cluster.peersCut(true);
        silent.get(0).hang(true);
        silent.get(1).hang(true);
        cluster.cloudOut(true);
        cluster.runS(6);
        silent.get(2).hang(true);
        silent.get(3).hang(true);
        cluster.runS(5);
        silent.get(0).hang(false);
        silent.get(1).hang(false);
        cluster.runS(1);
        cluster.cloudOut(false);
        cluster.runS(5);
        assertFalse(
                cluster.returned().contains(silent.get(2).id()), "two that seemed dead were not");
        cluster.runS(25);
        List<MachineId> dead = List.of(silent.get(2).id(), silent.get(3).id());
        assertTrue(
                cluster.returned().containsAll(dead),
                "they stay silent, and no others report late");
    }

    @Test
    void aLeaderWithoutItsLeaseReturnsNoIdleMachine() {
        for (int at = 0; at < 4; at++) {
            cluster.machine(SimulatedCluster.LARGE, "a");
        }
        cluster.runS(46);
        // Another leads in 5 s, and may place anything on the machines that the first still takes
        // for idle.
        cluster.line(first).cut(true);
        cluster.peersCut(true);
        cluster.runS(11);
        assertNotEquals(first, cluster.leader());
        assertEquals(
                List.of(),
                cluster.returned(),
                "idle for 50 s and more, for all that the first knows");
        cluster.runS(60);
        assertEquals(4, cluster.returned().size(), "whoever leads returns them");
    }
}
