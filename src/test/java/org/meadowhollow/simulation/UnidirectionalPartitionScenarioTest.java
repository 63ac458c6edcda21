package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
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
 * Machines that can open no connection to any controller, while direct commands reach them, and
 * machines whose answers are lost or held up. Their reports are missing though they live, and a
 * direct answer renews no lease.
 */
class UnidirectionalPartitionScenarioTest extends ClusterTestBase {
    private List<FakeWorker> muteZone(String zone) {
        List<FakeWorker> mute =
                cluster.workers().stream().filter(worker -> worker.zone().equals(zone)).toList();
        mute.forEach(worker -> worker.mute(true));
        return mute;
    }

    /**
     * Placed there, tasks waited for as long as the machine was mute, since starts go out in
     * answers alone.
     */
    @Test
    void nothingIsPlacedOnAMachineThatOnlyAnswersDirectCommands() {
        cluster.mostMachines(0);
        cluster.runS(4);
        List<FakeWorker> mute = muteZone("a");
        cluster.runS(8);
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 12, 2);
        assertTrue(cluster.submit(0, job, HOURS));
        // Before the lease of those that are mute is over, which would prove that nothing was
        // started there.
        cluster.runS(7);
        assertTrue(allRun(job), "there is room for all on the others");
        mute.forEach(worker -> worker.mute(false));
        cluster.runS(40);
        assertEquals(12, cluster.starts());
    }

    /**
     * It lives, as its direct answers show; its tasks go with its lease, and then run elsewhere.
     */
    @Test
    void aMuteMachineIsNotReturnedForItsSilence() {
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(10);
        FakeWorker mute = placeOf(job, 0);
        mute.mute(true);
        cluster.runS(40);
        assertTrue(cluster.returned().isEmpty(), "returned " + cluster.returned());
        assertTrue(allRun(job) && mute.running().isEmpty());
        mute.mute(false);
        cluster.runS(10);
        assertEquals(7, cluster.starts());
    }

    /**
     * A zone's worth of machines goes mute, tasks there are called off, and the leader ends before
     * or after it knows.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 4, 6})
    void aMuteZoneKeepsItsMachinesAndItsCancelledTasksGo(int leaderEndsAfterS) {
        JobSpec goes = SimulatedCluster.spec(1, JobKind.SERVICE, 12, 1);
        JobSpec stays = SimulatedCluster.spec(2, JobKind.SERVICE, 12, 1);
        assertTrue(cluster.submit(0, goes, null));
        assertTrue(cluster.submit(0, stays, null));
        cluster.runS(10);
        List<FakeWorker> mute = muteZone("b");
        cluster.runS(2);
        int leader = cluster.leader();
        if (leaderEndsAfterS == 0) {
            cluster.crash(leader);
        }
        assertTrue(cluster.cancel(other(leader, 1), goes.id()));
        assertTrue(
                leaderEndsAfterS > 0
                        || mute.stream()
                                .anyMatch(
                                        worker ->
                                                worker.running().stream()
                                                        .anyMatch(
                                                                task ->
                                                                        task.jobId()
                                                                                .equals(
                                                                                        goes
                                                                                                .id()))),
                "it is there when its cancellation is confirmed");
        if (leaderEndsAfterS > 0) {
            cluster.runS(leaderEndsAfterS);
            cluster.crash(leader);
        }
        cluster.runS(12);
        for (int task = 0; task < 12; task++) {
            assertEquals(
                    null,
                    placeOf(goes, task),
                    "a direct command reaches it well within the time there is");
        }
        int next = cluster.leader();
        long term = cluster.term();
        cluster.runS(20);
        assertEquals(
                next, cluster.leader(), "half of the machines do not speak against its hearing");
        assertEquals(term, cluster.term());
        assertTrue(cluster.returned().isEmpty(), "returned " + cluster.returned());
        mute.forEach(worker -> worker.mute(false));
        cluster.restart(leader);
        cluster.calm();
        cluster.runS(60);
        assertTrue(allRun(stays));
    }

    /**
     * What was ordered directly is held up and carried out when another one leads, or when the next
     * attempt has begun.
     */
    @ParameterizedTest
    @CsvSource({"6, true", "14, true", "25, true", "6, false", "14, false"})
    void anOrderThatWasHeldUpIsCarriedOutWhenThereIsANewAttempt(int heldS, boolean leaderEnds) {
        JobSpec job = SimulatedCluster.spec(1, JobKind.GANG, 3, 8);
        assertTrue(cluster.submit(0, job, HOURS));
        cluster.runS(10);
        assertTrue(
                cluster.submit(
                        0,
                        withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 3, 8), "other"),
                        null),
                "fills the other machines");
        cluster.mostMachines(0);
        cluster.runS(10);
        List<FakeWorker> places = new ArrayList<>();
        for (int task = 0; task < 3; task++) {
            places.add(placeOf(job, task));
        }
        cluster.holdOrders(true);
        // A task of the gang ends, and the others are told to stop, directly and in their next
        // answers.
        FakeWorker first = places.get(0);
        places.get(1).hang(true);
        places.get(2).hang(true);
        first.missPeers(new TaskId(job.id(), 0));
        cluster.runS(4);
        assertTrue(cluster.heldOrders() > 0, "stops are on their way");
        int leader = cluster.leader();
        if (leaderEnds) {
            cluster.crash(leader);
            cluster.runS(heldS);
        }
        places.get(1).hang(false);
        places.get(2).hang(false);
        if (!leaderEnds) {
            for (int step = 0; step < 160 && !allRun(job); step++) {
                cluster.run(Duration.ofMillis(250));
            }
            assertTrue(allRun(job), "in a new attempt");
            cluster.runS(heldS);
        }
        int starts = cluster.starts();
        cluster.holdOrders(false);
        cluster.runS(10);
        assertEquals(leaderEnds, leader != cluster.leader());
        cluster.restart(leader);
        cluster.calm();
        cluster.runS(85);
        assertTrue(allRun(job), "none of it was stopped by an order for the former attempt");
        assertEquals(leaderEnds ? cluster.starts() : starts, cluster.starts());
    }

    /**
     * A machine is deaf for longer than its lease while leaders change; its tasks count until the
     * lease has surely ended.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void machinesThatAreDeafAcrossLeadersHoldTheirTasksForAsLongAsTheyMayRun(int leaders) {
        cluster.team("team", 0, 6);
        JobSpec job = SimulatedCluster.spec(1, JobKind.SERVICE, 6, 1);
        assertTrue(cluster.submit(0, job, null));
        cluster.runS(10);
        List<FakeWorker> deaf = cluster.workers().subList(0, 3);
        deaf.forEach(worker -> worker.deaf(true));
        boolean still = false;
        for (int takeover = 0; takeover < leaders; takeover++) {
            int leader = cluster.leader();
            cluster.crash(leader);
            for (int second = 0; second < 9; second++) {
                cluster.runS(1);
                still |=
                        cluster.leader() != leader
                                && deaf.stream().anyMatch(worker -> !worker.running().isEmpty());
            }
            cluster.restart(leader);
        }
        assertTrue(still, "a deaf machine had tasks while the next one led");
        cluster.runS(70);
        deaf.forEach(worker -> worker.deaf(false));
        cluster.calm();
        cluster.runS(40);
        assertTrue(allRun(job));
    }
}
