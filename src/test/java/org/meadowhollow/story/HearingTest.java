package org.meadowhollow.story;

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
class HearingTest {
    private static final int MACHINES = 16;
    private static final int REPLICAS = 32;

    private World world;
    private JobSpec service;
    private int first;
    private int startsBefore;
    private MachineId lastOfFirst;

    @BeforeEach
    void aServiceOnMachinesOfTwoZones() {
        world = new World();
        for (int at = 0; at < MACHINES / 2; at++) {
            world.machine(World.LARGE, "a");
            world.machine(World.LARGE, "b");
        }
        world.runS(12);
        lastOfFirst = world.workers().get(MACHINES - 1).id();
        service = World.spec(1, JobKind.SERVICE, REPLICAS, 4);
        assertTrue(world.submit(0, service, Duration.ofHours(1)));
        world.runS(10);
        first = world.leader();
        startsBefore = world.starts();
        assertEquals(REPLICAS, startsBefore, "two on each machine");
    }

    private void assertNothingLost() {
        assertEquals(startsBefore, world.starts(), "every replica ran on where it was");
        assertEquals(List.of(), world.returned());
    }

    /**
     * None of the first machines was returned; those rented in between go when they are of no more
     * use.
     */
    private void assertKept() {
        world.returned()
                .forEach(id -> assertTrue(id.compareTo(lastOfFirst) > 0, id + " is healthy"));
    }

    private int replicas() {
        int on = 0;
        for (int task = 0; task < REPLICAS; task++) {
            on += world.on(new TaskId(service.id(), task)).size();
        }
        return on;
    }

    @Test
    void aDeafLeaderHandsOverToANodeThatHearsBeforeAnyLeaseEnds() {
        world.cutFromWorkers(first, true);
        world.runS(11);
        assertNotEquals(first, world.leader(), "well before the lease of a worker is over");
        world.runS(22);
        assertNothingLost();
        world.cutFromWorkers(first, false);
        world.runS(20);
        assertNothingLost();
    }

    @Test
    void workersThatLeaveADeafLeaderWaitWhereTheyComeForItsSuccessor() {
        world.cutFromWorkers(first, true);
        world.runS(9.5);
        long term = world.term();
        world.workers()
                .forEach(
                        worker ->
                                assertEquals(
                                        term,
                                        worker.token().value(),
                                        worker.id() + " was sent back to the deaf leader"));
    }

    @Test
    void aLeaderThatReachesItsWorkersButGetsNoReportsHandsOver() {
        world.peersCut(true);
        world.loseReports(first, true);
        world.runS(15);
        assertNotEquals(first, world.leader(), "what they answer directly renews no lease");
        world.runS(20);
        assertNothingLost();
    }

    @Test
    void noMoreThanAQuarterIsGivenUpWithinALease() {
        world.workers().subList(0, 3).forEach(worker -> worker.hang(true));
        world.runS(10);
        assertEquals(3, world.returned().size());
        world.workers().subList(0, 3).forEach(worker -> worker.hang(true));
        world.runS(12);
        assertEquals(
                4, world.returned().size(), "six of sixteen in one lease are too many for chance");
        world.runS(20);
        assertEquals(6, world.returned().size());
    }

    @Test
    void aDeafLeaderWithoutPeersGivesUpOnItsOwnEvidence() {
        world.peersCut(true);
        world.cutFromWorkers(first, true);
        world.runS(15);
        assertNotEquals(first, world.leader());
        assertTrue(world.leader() >= 0);
        world.runS(22);
        assertNothingLost();
    }

    @Test
    void aDeafNodeDoesNotStandAgainBeforeItHears() {
        world.cutFromWorkers(first, true);
        world.runS(12);
        int second = world.leader();
        assertNotEquals(first, second);
        int third = 3 - first - second;
        world.losePower(second);
        world.runS(9);
        assertEquals(third, world.leader(), "the deaf one left the free lease to the third");
    }

    @Test
    void aNodeThatCanBeReachedAgainStandsLikeAnyOther() {
        world.cutFromWorkers(first, true);
        world.runS(12);
        world.cutFromWorkers(first, false);
        world.runS(6);
        // Nobody comes to a node that does not lead, so it has asked some workers itself.
        for (int node = 0; node < 3; node++) {
            if (node != first) {
                world.losePower(node);
            }
        }
        world.runS(5.75);
        assertEquals(first, world.leader(), "before any worker has come to it");
    }

    @Test
    void ifNobodyHearsTheWorkersTheLeaderStays() {
        long term = world.term();
        for (int node = 0; node < 3; node++) {
            world.cutFromWorkers(node, true);
        }
        world.runS(60);
        assertEquals(term, world.term(), "turns gain nothing");
        for (int node = 0; node < 3; node++) {
            world.cutFromWorkers(node, false);
        }
        world.runS(60);
        assertEquals(List.of(), world.returned(), "all of them are healthy");
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void ifNobodyHearsAndNobodyCanBeAskedTheLeaseComesBackToWhereItWas() {
        world.peersCut(true);
        for (int node = 0; node < 3; node++) {
            world.cutFromWorkers(node, true);
        }
        world.runS(20);
        assertEquals(first, world.leader());
        long term = world.term();
        world.runS(10);
        assertEquals(term, world.term(), "once is enough");
        assertEquals(List.of(), world.returned());
    }

    @Test
    void aLeaderDeafToOneZoneStaysAndKeepsItsMachines() {
        long term = world.term();
        world.cutFromZone(first, "b", true);
        world.runS(100);
        assertEquals(term, world.term(), "the other nodes may hear less of zone a");
        assertKept();
        assertEquals(
                List.of(),
                world.returnedFrom("b"),
                "nor those that came up there since and could not be heard");
        world.cutFromZone(first, "b", false);
        world.runS(20);
        assertKept();
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void manyThatFallSilentAtOnceAreKept() {
        world.peersCut(true);
        List<FakeWorker> many = List.copyOf(world.workers().subList(3, 10));
        many.forEach(worker -> worker.hang(true));
        world.runS(60);
        many.forEach(worker -> worker.hang(false));
        world.runS(10);
        assertKept();
    }

    @Test
    void aLeaderFrozenInAnOutageDoesNotTakeTheTimeForSilence() {
        world.store().out(true);
        world.peersCut(true);
        world.freeze(first);
        List<FakeWorker> slow = world.workers().subList(0, 3);
        slow.forEach(worker -> worker.cannotReach(first, true));
        world.runS(24);
        world.store().out(false);
        world.thaw(first);
        world.runS(6);
        slow.forEach(worker -> worker.cannotReach(first, false));
        world.runS(20);
        assertEquals(first, world.leader(), "an outage gives every lease its full time again");
        assertKept();
    }

    @Test
    void aSmallZoneThatIsCutOffIsKeptThoughTheRestIsHeard() {
        for (int at = 0; at < 20; at++) {
            world.machine(World.SMALL, "a");
        }
        world.runS(6);
        world.peersCut(true);
        world.cutFromZone(first, "b", true);
        world.runS(60);
        assertKept();
    }

    @Test
    void aMachineIsGivenUpWhenAllWhoHeardItHaveMissedItForLongEnough() {
        FakeWorker lost = world.workers().get(2);
        lost.cannotReach(first, true);
        world.runS(5);
        lost.goTo((first + 1) % 3);
        world.runS(1);
        lost.hang(true);
        world.runS(8);
        assertFalse(world.returned().contains(lost.id()), "another node heard it until 8 s ago");
        world.runS(18);
        assertTrue(world.returned().contains(lost.id()));
    }

    @Test
    void aThirdOfTheMachinesThatOthersHearIsKept() {
        List<FakeWorker> third = world.workers().subList(0, 5);
        third.forEach(worker -> worker.cannotReach(first, true));
        world.runS(60);
        assertEquals(List.of(), world.returned(), "they come to the other nodes");
    }

    @Test
    void aMachineThatAnotherNodeHearsIsNotReturned() {
        FakeWorker alone = world.workers().get(3);
        alone.cannotReach(first, true);
        world.runS(60);
        assertFalse(world.returned().contains(alone.id()));
    }

    @Test
    void aLeaderThatWasFrozenDoesNotTakeTheTimeForSilence() {
        world.freeze(first);
        world.runS(4);
        world.thaw(first);
        world.runS(30);
        assertNothingLost();
        world.freeze(first);
        world.runS(30);
        assertNotEquals(first, world.leader());
        world.thaw(first);
        world.runS(30);
        assertEquals(
                List.of(), world.returned(), "its lease is over, and it has heard nobody for 30 s");
    }

    @Test
    void aFrozenLeaderThatWakesUpDeafReturnsNothing() {
        world.freeze(first);
        world.cutFromWorkers(first, true);
        world.peersCut(true);
        world.runS(4);
        world.thaw(first);
        world.runS(30);
        assertNotEquals(first, world.leader());
        assertEquals(List.of(), world.returned());
    }

    @Test
    void machinesThatReallyDieAreReplacedAsFastAsEver() {
        List<FakeWorker> dying = world.workers().subList(2, 4);
        dying.forEach(worker -> worker.hang(true));
        world.runS(11);
        assertEquals(
                dying.stream().map(FakeWorker::id).toList(),
                world.returned().stream().sorted().toList());
        world.runS(25);
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void machinesThatTheCloudTookAndListsNoMoreDoNotSpeakAgainstTheListener() {
        List<FakeWorker> wave = world.workers().subList(0, 7);
        wave.forEach(world::take);
        world.runS(60);
        assertTrue(
                world.returned().containsAll(wave.stream().map(FakeWorker::id).toList()),
                "seven of sixteen are silent, but they are gone");
        assertEquals(REPLICAS, replicas());
    }

    @Test
    void machinesThatReportLateStopTheReturnOfOthers() {
        // Few enough for independent failures, and nobody else hears them either.
        List<FakeWorker> silent = world.workers().subList(0, 4);
        world.peersCut(true);
        silent.get(0).hang(true);
        silent.get(1).hang(true);
        world.cloudOut(true);
        world.runS(6);
        silent.get(2).hang(true);
        silent.get(3).hang(true);
        world.runS(5);
        silent.get(0).hang(false);
        silent.get(1).hang(false);
        world.runS(1);
        world.cloudOut(false);
        world.runS(5);
        assertFalse(world.returned().contains(silent.get(2).id()), "two that seemed dead were not");
        world.runS(25);
        List<MachineId> dead = List.of(silent.get(2).id(), silent.get(3).id());
        assertTrue(
                world.returned().containsAll(dead), "they stay silent, and no others report late");
    }

    @Test
    void aLeaderWithoutItsLeaseReturnsNoIdleMachine() {
        for (int at = 0; at < 4; at++) {
            world.machine(World.LARGE, "a");
        }
        world.runS(46);
        // Another leads in 5 s, and may place anything on the machines that the first still takes
        // for idle.
        world.line(first).cut(true);
        world.peersCut(true);
        world.runS(11);
        assertNotEquals(first, world.leader());
        assertEquals(
                List.of(),
                world.returned(),
                "idle for 50 s and more, for all that the first knows");
        world.runS(60);
        assertEquals(4, world.returned().size(), "whoever leads returns them");
    }
}
