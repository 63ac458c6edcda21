package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.RecordCodec;

/** What a warm standby follows, what it takes over, and what must not mislead it. */
class WarmStandbyScenarioTest extends ClusterTestBase {
    /** Samples that a table needs before it says anything, at a report every 3 s, and some. */
    private static final double LEARNT_S = 80;

    private static final int LEAST_SAMPLES = 20;
    private int wrongExpected;

    @BeforeEach
    void warm() {
        cluster.standby();
        cluster.runS(5);
        // Keeps the machines, with room on each for more.
        assertTrue(
                cluster.submit(
                        0, SimulatedCluster.spec(9, JobKind.ARRAY, 6, 4), Duration.ofHours(1)));
        cluster.runS(30);
    }

    @AfterEach
    void noImageWasWrong() {
        long wrong = 0;
        for (int node = 0; node < 3; node++) {
            wrong += cluster.node(node) == null ? 0 : cluster.node(node).divergentRecordCount();
        }
        assertEquals(wrongExpected, wrong);
    }

    private int other(int besides) {
        return (besides + 1) % 3;
    }

    /** Tables of a leader that have seen enough to say something. */
    private long learnt(int node) {
        RiskTableRequest whole =
                new RiskTableRequest(
                        new ControllerStatus("test", 1, "a", "", 0, Revision.ABSENT),
                        FencingToken.NONE,
                        -1,
                        "");
        return cluster
                .node(node)
                .riskTableDelta(whole)
                .map(RiskTableDelta::entries)
                .orElse(List.of())
                .stream()
                .filter(machineEntry -> machineEntry.table()[0] >= LEAST_SAMPLES)
                .count();
    }

    private int untilAnotherLeads(int than) {
        for (int step = 0;
                step < 60 && (cluster.leader() < 0 || cluster.leader() == than);
                step++) {
            cluster.runS(0.25);
        }
        assertNotEquals(than, cluster.leader());
        return cluster.leader();
    }

    private void untilDone(JobSpec job, double seconds) {
        cluster.runS(seconds);
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void whatTheTablesHaveLearntOutlivesTheirLeader() {
        cluster.runS(LEARNT_S);
        int dead = cluster.leader();
        assertEquals(6, learnt(dead));
        cluster.crash(dead);
        int next = untilAnotherLeads(dead);
        cluster.runS(4);
        assertEquals(6, learnt(next), "all machines have reported, and none is new to it");
    }

    @Test
    void aSuccessorTakesTheRecordsFromItsImage() {
        JobSpec before = array(1, 10);
        assertTrue(cluster.submit(0, before, LONG));
        cluster.runS(10);
        int dead = cluster.leader();
        for (int node = 0; node < 3; node++) {
            cluster.line(node).hide(RecordCodec.TASK_PREFIX);
        }
        JobSpec lately = array(2, 4);
        assertTrue(cluster.submit(other(dead), lately, SHORT));
        cluster.runS(0.5);
        cluster.crash(dead);
        untilAnotherLeads(dead);
        cluster.runS(25);
        assertEquals(Phase.DONE, phase(lately), "no page of tasks could be read");
        assertEquals(20, cluster.starts());
    }

    @Test
    void aStandbyTooFarBehindReadsAllRecords() {
        int dead = cluster.leader();
        int heir = other(dead);
        cluster.crash(3 - dead - heir);
        cluster.line(heir).cut(true);
        cluster.runS(1);
        JobSpec job = array(1, 5);
        assertTrue(cluster.submit(dead, job, SHORT));
        for (int at = 0; at <= 10_000; at++) {
            cluster.store().put("junk/" + at % 10, Map.of("at", (long) at));
        }
        cluster.crash(dead);
        cluster.line(heir).cut(false);
        assertEquals(heir, untilAnotherLeads(dead));
        untilDone(job, 30);
        assertEquals(11, cluster.starts());
    }

    @Test
    void aStandbyThatCannotCatchUpReadsAllRecords() {
        int dead = cluster.leader();
        int heir = other(dead);
        cluster.crash(3 - dead - heir);
        JobSpec job = array(1, 5);
        assertTrue(cluster.submit(dead, job, SHORT));
        cluster.runS(5);
        assertEquals(11, cluster.starts());
        cluster.line(heir).failWatches(true);
        cluster.crash(dead);
        assertEquals(heir, untilAnotherLeads(dead));
        cluster.runS(1);
        cluster.line(heir).failWatches(false);
        JobSpec later = array(2, 3);
        assertTrue(cluster.submit(heir, later, SHORT));
        untilDone(later, 30);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(14, cluster.starts());
    }

    @Test
    void anOutageLosesNoImage() {
        int standby = other(cluster.leader());
        int pages = cluster.line(standby).pages();
        cluster.store().out(true);
        cluster.runS(40);
        cluster.store().out(false);
        cluster.runS(20);
        assertEquals(pages, cluster.line(standby).pages());
    }

    /**
     * Some machines hang while another node takes over, and a job waits that fits on all six, with
     * one task each.
     */
    private List<FakeWorker> takenOverWithout(int machines) {
        int dead = cluster.leader();
        List<FakeWorker> late = cluster.workers().subList(0, machines);
        late.forEach(worker -> worker.hang(true));
        cluster.crash(dead);
        assertTrue(
                cluster.submit(other(dead), SimulatedCluster.spec(1, JobKind.ARRAY, 6, 4), LONG));
        untilAnotherLeads(dead);
        return late;
    }

    @Test
    void aFirstRoundWaitsForHalfTheMachines() {
        takenOverWithout(4);
        cluster.runS(1.5);
        assertEquals(
                0,
                cluster.store().size(RecordCodec.TASK_PREFIX + "req-000001"),
                "two of six have reported");
    }

    @Test
    void aFirstRoundWithHalfTheMachinesOnlyPlaces() {
        int rentals = cluster.rentals();
        List<FakeWorker> late = takenOverWithout(2);
        for (int step = 0; step < 14 && cluster.starts() == 6; step++) {
            cluster.runS(0.25);
        }
        assertEquals(10, cluster.starts(), "where machines have reported");
        cluster.runS(1);
        assertEquals(
                rentals,
                cluster.rentals(),
                "the others may have room, as is seen when they report");
        late.forEach(worker -> worker.hang(false));
        cluster.runS(8);
        assertEquals(12, cluster.starts());
    }

    @Test
    void aTermIsAboveAllThatWorkersHaveShown() {
        cluster.crashAll();
        cluster.store().put(RecordCodec.FENCING_TOKEN_KEY, Map.of("term", 50L));
        cluster.restartAll();
        cluster.runS(10);
        assertEquals(51, cluster.term());
        cluster.crashAll();
        cluster.store().put(RecordCodec.FENCING_TOKEN_KEY, Map.of("term", 1L));
        cluster.restartAll();
        cluster.runS(6);
        assertTrue(cluster.term() > 51, "answers of a lower one would be dropped");
    }

    @Test
    void aStandbyWhoseViewStoodStillDecidesNothingFromIt() {
        int dead = cluster.leader();
        int heir = other(dead);
        cluster.crash(3 - dead - heir);
        cluster.line(heir).blindTo(RecordCodec.JOB_PREFIX);
        JobSpec job = array(1, 5);
        assertTrue(cluster.submit(dead, job, Duration.ofSeconds(60)));
        cluster.runS(10);
        assertEquals(11, cluster.starts());
        cluster.crash(dead);
        cluster.runS(40);
        assertEquals(heir, cluster.leader());
        cluster.line(heir).blindTo(null);
        untilDone(job, 40);
        assertEquals(
                11, cluster.starts(), "from the old view they would have been stopped as nobody's");
    }

    @Test
    void aTransactionThatIsAppliedAfterTheSuccessorCaughtUpChangesNothing() {
        int old = cluster.leader();
        FakeKeyValueStore.Line line = cluster.line(old);
        line.holdCommits();
        JobSpec job = array(1, 5);
        assertTrue(cluster.submit(other(old), job, Duration.ofSeconds(20)));
        cluster.runS(3);
        cluster.crash(old);
        untilAnotherLeads(old);
        cluster.runS(0.5);
        line.hold(false);
        untilDone(job, 40);
        assertEquals(11, cluster.starts());
    }

    @Test
    void aStarvedStandbyTakesOverWithWhatItHas() {
        int dead = cluster.leader();
        int heir = other(dead);
        cluster.busy(heir, true);
        JobSpec job = array(1, 5);
        assertTrue(cluster.submit(dead, job, Duration.ofSeconds(60)));
        cluster.runS(25);
        cluster.crash(dead);
        cluster.crash(3 - dead - heir);
        cluster.runS(60);
        assertEquals(heir, cluster.leader());
        untilDone(job, 60);
        assertEquals(11, cluster.starts());
    }

    @Test
    void aRecordThatAStandbyHasWrongIsFoundByTheAudit() {
        JobSpec job = array(1, 4);
        int standby = other(cluster.leader());
        cluster.line(standby).skip(RecordCodec.job(job.id()));
        assertTrue(cluster.submit(cluster.leader(), job, LONG));
        cluster.runS(130);
        cluster.line(standby).skip(null);
        wrongExpected = 1;
        int dead = cluster.leader();
        cluster.crash(dead);
        cluster.crash(3 - dead - standby);
        untilAnotherLeads(dead);
        cluster.runS(20);
        assertEquals(Phase.RUNNING, phase(job));
        assertEquals(10, cluster.starts());
    }

    @Test
    void aLeaderThatIsToldToEndHandsItsLeaseToAStandby() {
        cluster.runS(LEARNT_S);
        int ending = cluster.leader();
        cluster.node(ending).handOver();
        cluster.runS(0.6);
        int next = cluster.leader();
        assertNotEquals(ending, next);
        assertTrue(next >= 0, "two are equally good, and one of them was named");
        cluster.crash(ending);
        long term = cluster.term();
        cluster.runS(5);
        assertEquals(6, learnt(next));
        assertEquals(term, cluster.term());
    }

    @Test
    void theNextStandbyStepsInWhereTheOneThatWasNamedIsGone() {
        int ending = cluster.leader();
        int named = ending == 0 ? 1 : 0;
        cluster.crash(named);
        cluster.node(ending).handOver();
        cluster.runS(0.5);
        cluster.crash(ending);
        cluster.runS(2.5);
        assertEquals(
                3 - ending - named, cluster.leader(), "long before a lease would have run out");
    }

    @Test
    void tablesThatCannotBeReadAreAskedForAnewAndHoldUpNothing() {
        cluster.tables(
                delta -> {
                    if (!delta.fullTables()) {
                        throw new PeerGateway.UnreadableResponseException("damaged");
                    }
                    return delta;
                },
                Duration.ofMillis(5));
        cluster.runS(LEARNT_S);
        int first = cluster.leader();
        cluster.crash(first);
        int after = untilAnotherLeads(first);
        cluster.runS(4);
        assertEquals(6, learnt(after), "whole tables came instead");
        cluster.restart(first);
        cluster.tables(
                delta -> {
                    throw new PeerGateway.UnreadableResponseException("damaged");
                },
                Duration.ofMillis(5));
        cluster.runS(LEARNT_S);
        JobSpec job = array(1, 4);
        int dead = cluster.leader();
        cluster.crash(dead);
        int second = untilAnotherLeads(dead);
        assertTrue(cluster.submit(second, job, SHORT));
        untilDone(job, 30);
        cluster.restart(dead);
        cluster.tables(UnaryOperator.identity(), Duration.ofMillis(5));
        cluster.runS(LEARNT_S);
        cluster.crash(second);
        int third = untilAnotherLeads(second);
        cluster.runS(4);
        assertEquals(6, learnt(third));
    }

    @Test
    void tablesOutliveAllNodes() {
        cluster.runS(2 * LEARNT_S);
        cluster.crashAll();
        cluster.runS(6);
        cluster.restartAll();
        for (int node = 0; node < 3; node++) {
            cluster.line(node).hide(RecordCodec.RISK_TABLE_PREFIX);
        }
        cluster.runS(10);
        for (int node = 0; node < 3; node++) {
            cluster.line(node).hide("/");
        }
        cluster.runS(20);
        assertEquals(6, learnt(cluster.leader()));
    }

    @Test
    void aSnapshotThatIsNotWholeIsNotUsed() {
        cluster.runS(3 * LEARNT_S);
        Map<String, Object> head = cluster.store().value(RecordCodec.RISK_TABLE_HEAD_KEY);
        int set = (int) (long) head.get("set");
        Map<String, Object> older =
                cluster.store().value(RecordCodec.riskTableChunkKey(1 - set, 0));
        Map<String, Object> newest = cluster.store().value(RecordCodec.riskTableChunkKey(set, 0));
        cluster.crashAll();
        cluster.store().put(RecordCodec.riskTableChunkKey(set, 0), older);
        cluster.restartAll();
        cluster.runS(20);
        assertEquals(0, learnt(cluster.leader()), "another chunk is there than the head says");
        cluster.crashAll();
        cluster.store().put(RecordCodec.riskTableChunkKey(set, 0), newest);
        Map<String, Object> unknown = new HashMap<>(head);
        unknown.put("form", 2L);
        cluster.store().put(RecordCodec.RISK_TABLE_HEAD_KEY, unknown);
        cluster.restartAll();
        cluster.runS(20);
        assertEquals(0, learnt(cluster.leader()), "a form that is not known");
        assertFalse(cluster.leader() < 0);
    }

    @Test
    void allNodesAreReplacedInTurnDuringAnOutage() {
        JobSpec job = array(1, 12);
        assertTrue(cluster.submit(0, job, Duration.ofSeconds(100)));
        cluster.runS(10);
        cluster.store().out(true);
        for (int node = 0; node < 3; node++) {
            cluster.crash(node);
            cluster.runS(3);
            cluster.restart(node);
            cluster.runS(3);
        }
        cluster.store().out(false);
        untilDone(job, 240);
    }

    @Test
    void aLeaderThatStoodStillDecidesNothingFromWhatItKnew() {
        int frozen = cluster.leader();
        JobSpec job = array(1, 6);
        assertTrue(cluster.submit(other(frozen), job, Duration.ofSeconds(40)));
        cluster.runS(5);
        cluster.freeze(frozen);
        int next = untilAnotherLeads(frozen);
        JobSpec later = array(2, 6);
        assertTrue(cluster.submit(next, later, Duration.ofSeconds(40)));
        cluster.runS(24);
        cluster.thaw(frozen);
        untilDone(later, 60);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(next, cluster.leader());
    }
}
