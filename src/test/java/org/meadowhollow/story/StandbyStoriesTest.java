package org.meadowhollow.story;

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
class StandbyStoriesTest extends Story {
    /** Samples that a table needs before it says anything, at a report every 3 s, and some. */
    private static final double LEARNT_S = 80;

    private static final int LEAST_SAMPLES = 20;
    private int wrongExpected;

    @BeforeEach
    void warm() {
        world.standby();
        world.runS(5);
        // Keeps the machines, with room on each for more.
        assertTrue(world.submit(0, World.spec(9, JobKind.ARRAY, 6, 4), Duration.ofHours(1)));
        world.runS(30);
    }

    @AfterEach
    void noImageWasWrong() {
        long wrong = 0;
        for (int node = 0; node < 3; node++) {
            wrong += world.node(node) == null ? 0 : world.node(node).divergentRecordCount();
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
        return world
                .node(node)
                .riskTableDelta(whole)
                .map(RiskTableDelta::entries)
                .orElse(List.of())
                .stream()
                .filter(machineEntry -> machineEntry.table()[0] >= LEAST_SAMPLES)
                .count();
    }

    private int untilAnotherLeads(int than) {
        for (int step = 0; step < 60 && (world.leader() < 0 || world.leader() == than); step++) {
            world.runS(0.25);
        }
        assertNotEquals(than, world.leader());
        return world.leader();
    }

    private void untilDone(JobSpec job, double seconds) {
        world.runS(seconds);
        assertEquals(Phase.DONE, phase(job));
    }

    @Test
    void whatTheTablesHaveLearntOutlivesTheirLeader() {
        world.runS(LEARNT_S);
        int dead = world.leader();
        assertEquals(6, learnt(dead));
        world.crash(dead);
        int next = untilAnotherLeads(dead);
        world.runS(4);
        assertEquals(6, learnt(next), "all machines have reported, and none is new to it");
    }

    @Test
    void aSuccessorTakesTheRecordsFromItsImage() {
        JobSpec before = array(1, 10);
        assertTrue(world.submit(0, before, LONG));
        world.runS(10);
        int dead = world.leader();
        for (int node = 0; node < 3; node++) {
            world.line(node).hide(RecordCodec.TASK_PREFIX);
        }
        JobSpec lately = array(2, 4);
        assertTrue(world.submit(other(dead), lately, SHORT));
        world.runS(0.5);
        world.crash(dead);
        untilAnotherLeads(dead);
        world.runS(25);
        assertEquals(Phase.DONE, phase(lately), "no page of tasks could be read");
        assertEquals(20, world.starts());
    }

    @Test
    void aStandbyTooFarBehindReadsAllRecords() {
        int dead = world.leader();
        int heir = other(dead);
        world.crash(3 - dead - heir);
        world.line(heir).cut(true);
        world.runS(1);
        JobSpec job = array(1, 5);
        assertTrue(world.submit(dead, job, SHORT));
        for (int at = 0; at <= 10_000; at++) {
            world.store().put("junk/" + at % 10, Map.of("at", (long) at));
        }
        world.crash(dead);
        world.line(heir).cut(false);
        assertEquals(heir, untilAnotherLeads(dead));
        untilDone(job, 30);
        assertEquals(11, world.starts());
    }

    @Test
    void aStandbyThatCannotCatchUpReadsAllRecords() {
        int dead = world.leader();
        int heir = other(dead);
        world.crash(3 - dead - heir);
        JobSpec job = array(1, 5);
        assertTrue(world.submit(dead, job, SHORT));
        world.runS(5);
        assertEquals(11, world.starts());
        world.line(heir).failWatches(true);
        world.crash(dead);
        assertEquals(heir, untilAnotherLeads(dead));
        world.runS(1);
        world.line(heir).failWatches(false);
        JobSpec later = array(2, 3);
        assertTrue(world.submit(heir, later, SHORT));
        untilDone(later, 30);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(14, world.starts());
    }

    @Test
    void anOutageLosesNoImage() {
        int standby = other(world.leader());
        int pages = world.line(standby).pages();
        world.store().out(true);
        world.runS(40);
        world.store().out(false);
        world.runS(20);
        assertEquals(pages, world.line(standby).pages());
    }

    /**
     * Some machines hang while another node takes over, and a job waits that fits on all six, with
     * one task each.
     */
    private List<FakeWorker> takenOverWithout(int machines) {
        int dead = world.leader();
        List<FakeWorker> late = world.workers().subList(0, machines);
        late.forEach(worker -> worker.hang(true));
        world.crash(dead);
        assertTrue(world.submit(other(dead), World.spec(1, JobKind.ARRAY, 6, 4), LONG));
        untilAnotherLeads(dead);
        return late;
    }

    @Test
    void aFirstRoundWaitsForHalfTheMachines() {
        takenOverWithout(4);
        world.runS(1.5);
        assertEquals(
                0,
                world.store().size(RecordCodec.TASK_PREFIX + "req-000001"),
                "two of six have reported");
    }

    @Test
    void aFirstRoundWithHalfTheMachinesOnlyPlaces() {
        int rentals = world.rentals();
        List<FakeWorker> late = takenOverWithout(2);
        for (int step = 0; step < 14 && world.starts() == 6; step++) {
            world.runS(0.25);
        }
        assertEquals(10, world.starts(), "where machines have reported");
        world.runS(1);
        assertEquals(
                rentals, world.rentals(), "the others may have room, as is seen when they report");
        late.forEach(worker -> worker.hang(false));
        world.runS(8);
        assertEquals(12, world.starts());
    }

    @Test
    void aTermIsAboveAllThatWorkersHaveShown() {
        world.crashAll();
        world.store().put(RecordCodec.FENCING_TOKEN_KEY, Map.of("term", 50L));
        world.restartAll();
        world.runS(10);
        assertEquals(51, world.term());
        world.crashAll();
        world.store().put(RecordCodec.FENCING_TOKEN_KEY, Map.of("term", 1L));
        world.restartAll();
        world.runS(6);
        assertTrue(world.term() > 51, "answers of a lower one would be dropped");
    }

    @Test
    void aStandbyWhoseViewStoodStillDecidesNothingFromIt() {
        int dead = world.leader();
        int heir = other(dead);
        world.crash(3 - dead - heir);
        world.line(heir).blindTo(RecordCodec.JOB_PREFIX);
        JobSpec job = array(1, 5);
        assertTrue(world.submit(dead, job, Duration.ofSeconds(60)));
        world.runS(10);
        assertEquals(11, world.starts());
        world.crash(dead);
        world.runS(40);
        assertEquals(heir, world.leader());
        world.line(heir).blindTo(null);
        untilDone(job, 40);
        assertEquals(
                11, world.starts(), "from the old view they would have been stopped as nobody's");
    }

    @Test
    void aTransactionThatIsAppliedAfterTheSuccessorCaughtUpChangesNothing() {
        int old = world.leader();
        FakeStore.Line line = world.line(old);
        line.holdCommits();
        JobSpec job = array(1, 5);
        assertTrue(world.submit(other(old), job, Duration.ofSeconds(20)));
        world.runS(3);
        world.crash(old);
        untilAnotherLeads(old);
        world.runS(0.5);
        line.hold(false);
        untilDone(job, 40);
        assertEquals(11, world.starts());
    }

    @Test
    void aStarvedStandbyTakesOverWithWhatItHas() {
        int dead = world.leader();
        int heir = other(dead);
        world.busy(heir, true);
        JobSpec job = array(1, 5);
        assertTrue(world.submit(dead, job, Duration.ofSeconds(60)));
        world.runS(25);
        world.crash(dead);
        world.crash(3 - dead - heir);
        world.runS(60);
        assertEquals(heir, world.leader());
        untilDone(job, 60);
        assertEquals(11, world.starts());
    }

    @Test
    void aRecordThatAStandbyHasWrongIsFoundByTheAudit() {
        JobSpec job = array(1, 4);
        int standby = other(world.leader());
        world.line(standby).skip(RecordCodec.job(job.id()));
        assertTrue(world.submit(world.leader(), job, LONG));
        world.runS(130);
        world.line(standby).skip(null);
        wrongExpected = 1;
        int dead = world.leader();
        world.crash(dead);
        world.crash(3 - dead - standby);
        untilAnotherLeads(dead);
        world.runS(20);
        assertEquals(Phase.RUNNING, phase(job));
        assertEquals(10, world.starts());
    }

    @Test
    void aLeaderThatIsToldToEndHandsItsLeaseToAStandby() {
        world.runS(LEARNT_S);
        int ending = world.leader();
        world.node(ending).handOver();
        world.runS(0.6);
        int next = world.leader();
        assertNotEquals(ending, next);
        assertTrue(next >= 0, "two are equally good, and one of them was named");
        world.crash(ending);
        long term = world.term();
        world.runS(5);
        assertEquals(6, learnt(next));
        assertEquals(term, world.term());
    }

    @Test
    void theNextStandbyStepsInWhereTheOneThatWasNamedIsGone() {
        int ending = world.leader();
        int named = ending == 0 ? 1 : 0;
        world.crash(named);
        world.node(ending).handOver();
        world.runS(0.5);
        world.crash(ending);
        world.runS(2.5);
        assertEquals(3 - ending - named, world.leader(), "long before a lease would have run out");
    }

    @Test
    void tablesThatCannotBeReadAreAskedForAnewAndHoldUpNothing() {
        world.tables(
                delta -> {
                    if (!delta.fullTables()) {
                        throw new PeerGateway.UnreadableResponseException("damaged");
                    }
                    return delta;
                },
                Duration.ofMillis(5));
        world.runS(LEARNT_S);
        int first = world.leader();
        world.crash(first);
        int after = untilAnotherLeads(first);
        world.runS(4);
        assertEquals(6, learnt(after), "whole tables came instead");
        world.restart(first);
        world.tables(
                delta -> {
                    throw new PeerGateway.UnreadableResponseException("damaged");
                },
                Duration.ofMillis(5));
        world.runS(LEARNT_S);
        JobSpec job = array(1, 4);
        int dead = world.leader();
        world.crash(dead);
        int second = untilAnotherLeads(dead);
        assertTrue(world.submit(second, job, SHORT));
        untilDone(job, 30);
        world.restart(dead);
        world.tables(UnaryOperator.identity(), Duration.ofMillis(5));
        world.runS(LEARNT_S);
        world.crash(second);
        int third = untilAnotherLeads(second);
        world.runS(4);
        assertEquals(6, learnt(third));
    }

    @Test
    void tablesOutliveAllNodes() {
        world.runS(2 * LEARNT_S);
        world.crashAll();
        world.runS(6);
        world.restartAll();
        for (int node = 0; node < 3; node++) {
            world.line(node).hide(RecordCodec.RISK_TABLE_PREFIX);
        }
        world.runS(10);
        for (int node = 0; node < 3; node++) {
            world.line(node).hide("/");
        }
        world.runS(20);
        assertEquals(6, learnt(world.leader()));
    }

    @Test
    void aSnapshotThatIsNotWholeIsNotUsed() {
        world.runS(3 * LEARNT_S);
        Map<String, Object> head = world.store().value(RecordCodec.RISK_TABLE_HEAD_KEY);
        int set = (int) (long) head.get("set");
        Map<String, Object> older = world.store().value(RecordCodec.riskTableChunkKey(1 - set, 0));
        Map<String, Object> newest = world.store().value(RecordCodec.riskTableChunkKey(set, 0));
        world.crashAll();
        world.store().put(RecordCodec.riskTableChunkKey(set, 0), older);
        world.restartAll();
        world.runS(20);
        assertEquals(0, learnt(world.leader()), "another chunk is there than the head says");
        world.crashAll();
        world.store().put(RecordCodec.riskTableChunkKey(set, 0), newest);
        Map<String, Object> unknown = new HashMap<>(head);
        unknown.put("form", 2L);
        world.store().put(RecordCodec.RISK_TABLE_HEAD_KEY, unknown);
        world.restartAll();
        world.runS(20);
        assertEquals(0, learnt(world.leader()), "a form that is not known");
        assertFalse(world.leader() < 0);
    }

    @Test
    void allNodesAreReplacedInTurnDuringAnOutage() {
        JobSpec job = array(1, 12);
        assertTrue(world.submit(0, job, Duration.ofSeconds(100)));
        world.runS(10);
        world.store().out(true);
        for (int node = 0; node < 3; node++) {
            world.crash(node);
            world.runS(3);
            world.restart(node);
            world.runS(3);
        }
        world.store().out(false);
        untilDone(job, 240);
    }

    @Test
    void aLeaderThatStoodStillDecidesNothingFromWhatItKnew() {
        int frozen = world.leader();
        JobSpec job = array(1, 6);
        assertTrue(world.submit(other(frozen), job, Duration.ofSeconds(40)));
        world.runS(5);
        world.freeze(frozen);
        int next = untilAnotherLeads(frozen);
        JobSpec later = array(2, 6);
        assertTrue(world.submit(next, later, Duration.ofSeconds(40)));
        world.runS(24);
        world.thaw(frozen);
        untilDone(later, 60);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(next, world.leader());
    }
}
