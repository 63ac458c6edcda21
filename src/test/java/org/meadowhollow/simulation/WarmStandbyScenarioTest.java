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
import org.meadowhollow.storage.RecordKeys;

/**
 * Tests the replica of a warm standby: a successor takes over with its records and risk tables, and
 * neither a stale or incomplete replica nor damaged tables lead to wrong decisions.
 */
class WarmStandbyScenarioTest extends ClusterTestBase {
    /**
     * Time in which a risk table collects the samples that it needs before it is used, at one
     * heartbeat every 3 s, with a margin.
     */
    private static final double LEARNT_S = 80;

    private static final int LEAST_SAMPLES = 20;
    private int wrongExpected;

    @BeforeEach
    void startWarmStandbys() {
        cluster.enableStandbys();
        cluster.runSeconds(5);
        // Keeps all machines rented, with free capacity on each.
        assertTrue(
                cluster.users()
                        .submit(
                                0,
                                SimulatedCluster.spec(9, JobKind.ARRAY, 6, 4),
                                Duration.ofHours(1)));
        cluster.runSeconds(30);
    }

    @AfterEach
    void assertNoDivergentRecords() {
        long wrong = 0;
        for (int node = 0; node < 3; node++) {
            wrong += cluster.node(node) == null ? 0 : cluster.node(node).divergentRecordCount();
        }
        assertEquals(wrongExpected, wrong);
    }

    private int other(int besides) {
        return (besides + 1) % 3;
    }

    /** Number of risk tables of a node that have enough samples to be used. */
    private long learnedObservationCount(int node) {
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

    private int secondsUntilAnotherLeads(int than) {
        for (int step = 0;
                step < 60 && (cluster.leader() < 0 || cluster.leader() == than);
                step++) {
            cluster.runSeconds(0.25);
        }
        assertNotEquals(than, cluster.leader());
        return cluster.leader();
    }

    private void runUntilDone(JobSpec job, double seconds) {
        cluster.runSeconds(seconds);
        assertEquals(Phase.DONE, phaseOf(job));
    }

    @Test
    void learnedRiskTablesSurviveLeaderFailure() {
        cluster.runSeconds(LEARNT_S);
        int dead = cluster.leader();
        assertEquals(6, learnedObservationCount(dead));
        cluster.crash(dead);
        int next = secondsUntilAnotherLeads(dead);
        cluster.runSeconds(4);
        assertEquals(
                6,
                learnedObservationCount(next),
                "all machines have reported, and their risk tables are known");
    }

    @Test
    void successorLoadsRecordsFromItsReplica() {
        JobSpec before = array(1, 10);
        assertTrue(cluster.users().submit(0, before, LONG_RUNTIME));
        cluster.runSeconds(10);
        int dead = cluster.leader();
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).hidePrefix(RecordKeys.TASK_PREFIX);
        }
        JobSpec lately = array(2, 4);
        assertTrue(cluster.users().submit(other(dead), lately, SHORT_RUNTIME));
        cluster.runSeconds(0.5);
        cluster.crash(dead);
        secondsUntilAnotherLeads(dead);
        cluster.runSeconds(25);
        assertEquals(
                Phase.DONE,
                phaseOf(lately),
                "task records come from the replica: the store refuses to list them");
        assertEquals(20, cluster.startCount());
    }

    @Test
    void standbyTooFarBehindReadsAllRecords() {
        int dead = cluster.leader();
        int successor = other(dead);
        cluster.crash(3 - dead - successor);
        cluster.storeConnection(successor).refuseRequests(true);
        cluster.runSeconds(1);
        JobSpec job = array(1, 5);
        assertTrue(cluster.users().submit(dead, job, SHORT_RUNTIME));
        for (int at = 0; at <= 10_000; at++) {
            cluster.store().put("junk/" + at % 10, Map.of("at", (long) at));
        }
        cluster.crash(dead);
        cluster.storeConnection(successor).refuseRequests(false);
        assertEquals(successor, secondsUntilAnotherLeads(dead));
        runUntilDone(job, 30);
        assertEquals(11, cluster.startCount());
    }

    @Test
    void standbyThatCannotCatchUpReadsAllRecords() {
        int dead = cluster.leader();
        int successor = other(dead);
        cluster.crash(3 - dead - successor);
        JobSpec job = array(1, 5);
        assertTrue(cluster.users().submit(dead, job, SHORT_RUNTIME));
        cluster.runSeconds(5);
        assertEquals(11, cluster.startCount());
        cluster.storeConnection(successor).failWatches(true);
        cluster.crash(dead);
        assertEquals(successor, secondsUntilAnotherLeads(dead));
        cluster.runSeconds(1);
        cluster.storeConnection(successor).failWatches(false);
        JobSpec later = array(2, 3);
        assertTrue(cluster.users().submit(successor, later, SHORT_RUNTIME));
        runUntilDone(later, 30);
        assertEquals(Phase.DONE, phaseOf(job));
        assertEquals(14, cluster.startCount());
    }

    @Test
    void storeOutageKeepsReplica() {
        int standby = other(cluster.leader());
        int pages = cluster.storeConnection(standby).pageReadCount();
        cluster.store().setOutage(true);
        cluster.runSeconds(40);
        cluster.store().setOutage(false);
        cluster.runSeconds(20);
        assertEquals(pages, cluster.storeConnection(standby).pageReadCount());
    }

    /**
     * Fails over while some machines hang and a job waits that needs all six machines, one per
     * task.
     */
    private List<FakeWorker> failOverWithout(int machines) {
        int dead = cluster.leader();
        List<FakeWorker> late = cluster.workers().subList(0, machines);
        late.forEach(worker -> worker.setHung(true));
        cluster.crash(dead);
        assertTrue(
                cluster.users()
                        .submit(
                                other(dead),
                                SimulatedCluster.spec(1, JobKind.ARRAY, 6, 4),
                                LONG_RUNTIME));
        secondsUntilAnotherLeads(dead);
        return late;
    }

    @Test
    void firstRoundWaitsForHalfOfMachines() {
        failOverWithout(4);
        cluster.runSeconds(1.5);
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.TASK_PREFIX + "req-000001"),
                "two of six have reported");
    }

    @Test
    void firstRoundWithHalfOfMachinesOnlyPlaces() {
        int rentals = cluster.cloud().rentalCount();
        List<FakeWorker> late = failOverWithout(2);
        for (int step = 0; step < 14 && cluster.startCount() == 6; step++) {
            cluster.runSeconds(0.25);
        }
        assertEquals(10, cluster.startCount(), "tasks start only on machines that have reported");
        cluster.runSeconds(1);
        assertEquals(
                rentals,
                cluster.cloud().rentalCount(),
                "no rental while machines that may have capacity have not reported");
        late.forEach(worker -> worker.setHung(false));
        cluster.runSeconds(8);
        assertEquals(12, cluster.startCount());
    }

    @Test
    void newFencingTokenExceedsAllTokensReportedByWorkers() {
        cluster.crashAll();
        cluster.store().put(RecordKeys.FENCING_TOKEN_KEY, Map.of("term", 50L));
        cluster.restartAll();
        cluster.runSeconds(10);
        assertEquals(51, cluster.fencingToken());
        cluster.crashAll();
        cluster.store().put(RecordKeys.FENCING_TOKEN_KEY, Map.of("term", 1L));
        cluster.restartAll();
        cluster.runSeconds(6);
        assertTrue(cluster.fencingToken() > 51, "workers drop responses with a lower token");
    }

    @Test
    void standbyWithStalledReplicaDoesNotDecideFromIt() {
        int dead = cluster.leader();
        int successor = other(dead);
        cluster.crash(3 - dead - successor);
        cluster.storeConnection(successor).hideChanges(RecordKeys.JOB_PREFIX);
        JobSpec job = array(1, 5);
        assertTrue(cluster.users().submit(dead, job, Duration.ofSeconds(60)));
        cluster.runSeconds(10);
        assertEquals(11, cluster.startCount());
        cluster.crash(dead);
        cluster.runSeconds(40);
        assertEquals(successor, cluster.leader());
        cluster.storeConnection(successor).hideChanges(null);
        runUntilDone(job, 40);
        assertEquals(
                11,
                cluster.startCount(),
                "a decision from the stale replica would have stopped them as tasks of no job");
    }

    @Test
    void transactionAppliedAfterSuccessorCaughtUpHasNoEffect() {
        int old = cluster.leader();
        FakeStoreConnection connection = cluster.storeConnection(old);
        connection.holdCommits();
        JobSpec job = array(1, 5);
        assertTrue(cluster.users().submit(other(old), job, Duration.ofSeconds(20)));
        cluster.runSeconds(3);
        cluster.crash(old);
        secondsUntilAnotherLeads(old);
        cluster.runSeconds(0.5);
        connection.holdRequests(false);
        runUntilDone(job, 40);
        assertEquals(11, cluster.startCount());
    }

    @Test
    void starvedStandbyTakesOverWithItsReplica() {
        int dead = cluster.leader();
        int successor = other(dead);
        cluster.overload(successor, true);
        JobSpec job = array(1, 5);
        assertTrue(cluster.users().submit(dead, job, Duration.ofSeconds(60)));
        cluster.runSeconds(25);
        cluster.crash(dead);
        cluster.crash(3 - dead - successor);
        cluster.runSeconds(60);
        assertEquals(successor, cluster.leader());
        runUntilDone(job, 60);
        assertEquals(11, cluster.startCount());
    }

    @Test
    void auditFindsDivergentRecordOfStandby() {
        JobSpec job = array(1, 4);
        int standby = other(cluster.leader());
        cluster.storeConnection(standby).skipChangesOf(RecordKeys.job(job.id()));
        assertTrue(cluster.users().submit(cluster.leader(), job, LONG_RUNTIME));
        cluster.runSeconds(130);
        cluster.storeConnection(standby).skipChangesOf(null);
        wrongExpected = 1;
        int dead = cluster.leader();
        cluster.crash(dead);
        cluster.crash(3 - dead - standby);
        secondsUntilAnotherLeads(dead);
        cluster.runSeconds(20);
        assertEquals(Phase.RUNNING, phaseOf(job));
        assertEquals(10, cluster.startCount());
    }

    @Test
    void terminatingLeaderHandsLeaseToStandby() {
        cluster.runSeconds(LEARNT_S);
        int ending = cluster.leader();
        cluster.node(ending).handOver();
        cluster.runSeconds(0.6);
        int next = cluster.leader();
        assertNotEquals(ending, next);
        assertTrue(next >= 0, "the leader names one of two equally suitable standbys");
        cluster.crash(ending);
        long fencingToken = cluster.fencingToken();
        cluster.runSeconds(5);
        assertEquals(6, learnedObservationCount(next));
        assertEquals(fencingToken, cluster.fencingToken());
    }

    @Test
    void nextStandbyTakesOverWhenPreferredSuccessorIsDown() {
        int ending = cluster.leader();
        int named = ending == 0 ? 1 : 0;
        cluster.crash(named);
        cluster.node(ending).handOver();
        cluster.runSeconds(0.5);
        cluster.crash(ending);
        cluster.runSeconds(2.5);
        assertEquals(
                3 - ending - named, cluster.leader(), "long before the lease would have expired");
    }

    @Test
    void unreadableRiskTablesAreRequestedAgainWithoutDelay() {
        cluster.network()
                .interceptRiskTables(
                        delta -> {
                            if (!delta.fullTables()) {
                                throw new PeerGateway.UnreadableResponseException("damaged");
                            }
                            return delta;
                        },
                        Duration.ofMillis(5));
        cluster.runSeconds(LEARNT_S);
        int first = cluster.leader();
        cluster.crash(first);
        int after = secondsUntilAnotherLeads(first);
        cluster.runSeconds(4);
        assertEquals(6, learnedObservationCount(after), "full tables are requested instead");
        cluster.restart(first);
        cluster.network()
                .interceptRiskTables(
                        delta -> {
                            throw new PeerGateway.UnreadableResponseException("damaged");
                        },
                        Duration.ofMillis(5));
        cluster.runSeconds(LEARNT_S);
        JobSpec job = array(1, 4);
        int dead = cluster.leader();
        cluster.crash(dead);
        int second = secondsUntilAnotherLeads(dead);
        assertTrue(cluster.users().submit(second, job, SHORT_RUNTIME));
        runUntilDone(job, 30);
        cluster.restart(dead);
        cluster.network().interceptRiskTables(UnaryOperator.identity(), Duration.ofMillis(5));
        cluster.runSeconds(LEARNT_S);
        cluster.crash(second);
        int third = secondsUntilAnotherLeads(second);
        cluster.runSeconds(4);
        assertEquals(6, learnedObservationCount(third));
    }

    @Test
    void riskTablesSurviveRestartOfAllControllers() {
        cluster.runSeconds(2 * LEARNT_S);
        cluster.crashAll();
        cluster.runSeconds(6);
        cluster.restartAll();
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).hidePrefix(RecordKeys.RISK_TABLE_PREFIX);
        }
        cluster.runSeconds(10);
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).hidePrefix("/");
        }
        cluster.runSeconds(20);
        assertEquals(6, learnedObservationCount(cluster.leader()));
    }

    @Test
    void incompleteSnapshotIsNotUsed() {
        cluster.runSeconds(3 * LEARNT_S);
        Map<String, Object> head = cluster.store().valueOf(RecordKeys.RISK_TABLE_HEAD_KEY);
        int set = (int) (long) head.get("set");
        Map<String, Object> older = cluster.store().valueOf(RecordKeys.riskTableChunk(1 - set, 0));
        Map<String, Object> newest = cluster.store().valueOf(RecordKeys.riskTableChunk(set, 0));
        cluster.crashAll();
        cluster.store().put(RecordKeys.riskTableChunk(set, 0), older);
        cluster.restartAll();
        cluster.runSeconds(20);
        assertEquals(
                0,
                learnedObservationCount(cluster.leader()),
                "the chunk does not match the head record");
        cluster.crashAll();
        cluster.store().put(RecordKeys.riskTableChunk(set, 0), newest);
        Map<String, Object> unknown = new HashMap<>(head);
        unknown.put("form", 2L);
        cluster.store().put(RecordKeys.RISK_TABLE_HEAD_KEY, unknown);
        cluster.restartAll();
        cluster.runSeconds(20);
        assertEquals(0, learnedObservationCount(cluster.leader()), "the form is unknown");
        assertFalse(cluster.leader() < 0);
    }

    @Test
    void rollingReplacementDuringStoreOutageKeepsTasks() {
        JobSpec job = array(1, 12);
        assertTrue(cluster.users().submit(0, job, Duration.ofSeconds(100)));
        cluster.runSeconds(10);
        cluster.store().setOutage(true);
        for (int node = 0; node < 3; node++) {
            cluster.crash(node);
            cluster.runSeconds(3);
            cluster.restart(node);
            cluster.runSeconds(3);
        }
        cluster.store().setOutage(false);
        runUntilDone(job, 240);
    }

    @Test
    void pausedLeaderDecidesNothingFromStaleState() {
        int frozen = cluster.leader();
        JobSpec job = array(1, 6);
        assertTrue(cluster.users().submit(other(frozen), job, Duration.ofSeconds(40)));
        cluster.runSeconds(5);
        cluster.pause(frozen);
        int next = secondsUntilAnotherLeads(frozen);
        JobSpec later = array(2, 6);
        assertTrue(cluster.users().submit(next, later, Duration.ofSeconds(40)));
        cluster.runSeconds(24);
        cluster.resume(frozen);
        runUntilDone(later, 60);
        assertEquals(Phase.DONE, phaseOf(job));
        assertEquals(next, cluster.leader());
    }
}
