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
    private static final double RISK_TABLE_LEARNING_S = 80;

    private static final int MIN_SAMPLES = 20;
    private int expectedDivergentRecords;

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
        long divergentRecords = 0;
        for (int node = 0; node < 3; node++) {
            divergentRecords +=
                    cluster.node(node) == null ? 0 : cluster.node(node).mismatchedRecordCount();
        }
        assertEquals(expectedDivergentRecords, divergentRecords);
    }

    private int nodeOtherThan(int node) {
        return (node + 1) % 3;
    }

    /** Number of risk tables of a node that have enough samples to be used. */
    private long usableRiskTableCount(int node) {
        RiskTableRequest fullRequest =
                new RiskTableRequest(
                        new ControllerStatus("test", 1, "a", "", 0, Revision.ABSENT),
                        FencingToken.NONE,
                        -1,
                        "");
        return cluster
                .node(node)
                .riskTableDelta(fullRequest)
                .map(RiskTableDelta::entries)
                .orElse(List.of())
                .stream()
                .filter(machineEntry -> machineEntry.table()[0] >= MIN_SAMPLES)
                .count();
    }

    private int awaitLeaderOtherThan(int formerLeader) {
        for (int step = 0;
                step < 60 && (cluster.leader() < 0 || cluster.leader() == formerLeader);
                step++) {
            cluster.runSeconds(0.25);
        }
        assertNotEquals(formerLeader, cluster.leader());
        return cluster.leader();
    }

    private void runUntilDone(JobSpec job, double seconds) {
        cluster.runSeconds(seconds);
        assertEquals(Phase.DONE, phaseOf(job));
    }

    @Test
    void learnedRiskTablesSurviveLeaderFailure() {
        cluster.runSeconds(RISK_TABLE_LEARNING_S);
        int failedLeader = cluster.leader();
        assertEquals(6, usableRiskTableCount(failedLeader));
        cluster.crash(failedLeader);
        int next = awaitLeaderOtherThan(failedLeader);
        cluster.runSeconds(4);
        assertEquals(
                6,
                usableRiskTableCount(next),
                "all machines have reported, and their risk tables are known");
    }

    @Test
    void successorLoadsRecordsFromItsReplica() {
        JobSpec earlierJob = arrayJob(1, 10);
        assertTrue(cluster.users().submit(0, earlierJob, LONG_RUNTIME));
        cluster.runSeconds(10);
        int failedLeader = cluster.leader();
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).hidePrefix(RecordKeys.TASK_PREFIX);
        }
        JobSpec recentJob = arrayJob(2, 4);
        assertTrue(cluster.users().submit(nodeOtherThan(failedLeader), recentJob, SHORT_RUNTIME));
        cluster.runSeconds(0.5);
        cluster.crash(failedLeader);
        awaitLeaderOtherThan(failedLeader);
        cluster.runSeconds(25);
        assertEquals(
                Phase.DONE,
                phaseOf(recentJob),
                "task records come from the replica: the store refuses to list them");
        assertEquals(20, cluster.startCount());
    }

    @Test
    void standbyTooFarBehindReadsAllRecords() {
        int failedLeader = cluster.leader();
        int successor = nodeOtherThan(failedLeader);
        cluster.crash(3 - failedLeader - successor);
        cluster.storeConnection(successor).refuseRequests(true);
        cluster.runSeconds(1);
        JobSpec job = arrayJob(1, 5);
        assertTrue(cluster.users().submit(failedLeader, job, SHORT_RUNTIME));
        for (int write = 0; write <= 10_000; write++) {
            cluster.store().put("junk/" + write % 10, Map.of("at", (long) write));
        }
        cluster.crash(failedLeader);
        cluster.storeConnection(successor).refuseRequests(false);
        assertEquals(successor, awaitLeaderOtherThan(failedLeader));
        runUntilDone(job, 30);
        assertEquals(11, cluster.startCount());
    }

    @Test
    void standbyThatCannotCatchUpReadsAllRecords() {
        int failedLeader = cluster.leader();
        int successor = nodeOtherThan(failedLeader);
        cluster.crash(3 - failedLeader - successor);
        JobSpec job = arrayJob(1, 5);
        assertTrue(cluster.users().submit(failedLeader, job, SHORT_RUNTIME));
        cluster.runSeconds(5);
        assertEquals(11, cluster.startCount());
        cluster.storeConnection(successor).failWatches(true);
        cluster.crash(failedLeader);
        assertEquals(successor, awaitLeaderOtherThan(failedLeader));
        cluster.runSeconds(1);
        cluster.storeConnection(successor).failWatches(false);
        JobSpec later = arrayJob(2, 3);
        assertTrue(cluster.users().submit(successor, later, SHORT_RUNTIME));
        runUntilDone(later, 30);
        assertEquals(Phase.DONE, phaseOf(job));
        assertEquals(14, cluster.startCount());
    }

    @Test
    void replicaSurvivesStoreOutageWithoutReloading() {
        int standby = nodeOtherThan(cluster.leader());
        int pagesBefore = cluster.storeConnection(standby).pageReadCount();
        cluster.store().setOutage(true);
        cluster.runSeconds(40);
        cluster.store().setOutage(false);
        cluster.runSeconds(20);
        assertEquals(pagesBefore, cluster.storeConnection(standby).pageReadCount());
    }

    /**
     * Fails over while some machines hang and a job waits that needs all six machines, one per
     * task.
     */
    private List<FakeWorker> failOverWithHungMachines(int hungCount) {
        int failedLeader = cluster.leader();
        List<FakeWorker> hungMachines = cluster.workers().subList(0, hungCount);
        hungMachines.forEach(worker -> worker.setHung(true));
        cluster.crash(failedLeader);
        assertTrue(
                cluster.users()
                        .submit(
                                nodeOtherThan(failedLeader),
                                SimulatedCluster.spec(1, JobKind.ARRAY, 6, 4),
                                LONG_RUNTIME));
        awaitLeaderOtherThan(failedLeader);
        return hungMachines;
    }

    @Test
    void firstRoundWaitsForHalfOfMachines() {
        failOverWithHungMachines(4);
        cluster.runSeconds(1.5);
        assertEquals(
                0,
                cluster.store().recordCount(RecordKeys.TASK_PREFIX + "req-000001"),
                "two of six have reported");
    }

    @Test
    void firstRoundWithHalfOfMachinesPlacesWithoutRenting() {
        int rentalsBefore = cluster.cloud().rentalCount();
        List<FakeWorker> hungMachines = failOverWithHungMachines(2);
        for (int step = 0; step < 14 && cluster.startCount() == 6; step++) {
            cluster.runSeconds(0.25);
        }
        assertEquals(10, cluster.startCount(), "tasks start only on machines that have reported");
        cluster.runSeconds(1);
        assertEquals(
                rentalsBefore,
                cluster.cloud().rentalCount(),
                "no rental while machines that may have capacity have not reported");
        hungMachines.forEach(worker -> worker.setHung(false));
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
        int failedLeader = cluster.leader();
        int successor = nodeOtherThan(failedLeader);
        cluster.crash(3 - failedLeader - successor);
        cluster.storeConnection(successor).hideChanges(RecordKeys.JOB_PREFIX);
        JobSpec job = arrayJob(1, 5);
        assertTrue(cluster.users().submit(failedLeader, job, Duration.ofSeconds(60)));
        cluster.runSeconds(10);
        assertEquals(11, cluster.startCount());
        cluster.crash(failedLeader);
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
        int formerLeader = cluster.leader();
        FakeStoreConnection connection = cluster.storeConnection(formerLeader);
        connection.holdCommits();
        JobSpec job = arrayJob(1, 5);
        assertTrue(
                cluster.users().submit(nodeOtherThan(formerLeader), job, Duration.ofSeconds(20)));
        cluster.runSeconds(3);
        cluster.crash(formerLeader);
        awaitLeaderOtherThan(formerLeader);
        cluster.runSeconds(0.5);
        connection.holdRequests(false);
        runUntilDone(job, 40);
        assertEquals(11, cluster.startCount());
    }

    @Test
    void overloadedStandbyTakesOverWithItsReplica() {
        int failedLeader = cluster.leader();
        int successor = nodeOtherThan(failedLeader);
        cluster.overload(successor, true);
        JobSpec job = arrayJob(1, 5);
        assertTrue(cluster.users().submit(failedLeader, job, Duration.ofSeconds(60)));
        cluster.runSeconds(25);
        cluster.crash(failedLeader);
        cluster.crash(3 - failedLeader - successor);
        cluster.runSeconds(60);
        assertEquals(successor, cluster.leader());
        runUntilDone(job, 60);
        assertEquals(11, cluster.startCount());
    }

    @Test
    void auditFindsDivergentRecordOfStandby() {
        JobSpec job = arrayJob(1, 4);
        int standby = nodeOtherThan(cluster.leader());
        cluster.storeConnection(standby).skipChangesOf(RecordKeys.job(job.id()));
        assertTrue(cluster.users().submit(cluster.leader(), job, LONG_RUNTIME));
        cluster.runSeconds(130);
        cluster.storeConnection(standby).skipChangesOf(null);
        expectedDivergentRecords = 1;
        int failedLeader = cluster.leader();
        cluster.crash(failedLeader);
        cluster.crash(3 - failedLeader - standby);
        awaitLeaderOtherThan(failedLeader);
        cluster.runSeconds(20);
        assertEquals(Phase.RUNNING, phaseOf(job));
        assertEquals(10, cluster.startCount());
    }

    @Test
    void terminatingLeaderHandsLeaseToStandby() {
        cluster.runSeconds(RISK_TABLE_LEARNING_S);
        int terminatingLeader = cluster.leader();
        cluster.node(terminatingLeader).handOver();
        cluster.runSeconds(0.6);
        int next = cluster.leader();
        assertNotEquals(terminatingLeader, next);
        assertTrue(next >= 0, "the leader names one of two equally suitable standbys");
        cluster.crash(terminatingLeader);
        long fencingToken = cluster.fencingToken();
        cluster.runSeconds(5);
        assertEquals(6, usableRiskTableCount(next));
        assertEquals(fencingToken, cluster.fencingToken());
    }

    @Test
    void nextStandbyTakesOverWhenPreferredSuccessorIsDown() {
        int terminatingLeader = cluster.leader();
        int preferredSuccessor = terminatingLeader == 0 ? 1 : 0;
        cluster.crash(preferredSuccessor);
        cluster.node(terminatingLeader).handOver();
        cluster.runSeconds(0.5);
        cluster.crash(terminatingLeader);
        cluster.runSeconds(2.5);
        assertEquals(
                3 - terminatingLeader - preferredSuccessor,
                cluster.leader(),
                "long before the lease would have expired");
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
        cluster.runSeconds(RISK_TABLE_LEARNING_S);
        int firstLeader = cluster.leader();
        cluster.crash(firstLeader);
        int secondLeader = awaitLeaderOtherThan(firstLeader);
        cluster.runSeconds(4);
        assertEquals(6, usableRiskTableCount(secondLeader), "full tables are requested instead");
        cluster.restart(firstLeader);
        cluster.network()
                .interceptRiskTables(
                        delta -> {
                            throw new PeerGateway.UnreadableResponseException("damaged");
                        },
                        Duration.ofMillis(5));
        cluster.runSeconds(RISK_TABLE_LEARNING_S);
        JobSpec job = arrayJob(1, 4);
        int failedLeader = cluster.leader();
        cluster.crash(failedLeader);
        int thirdLeader = awaitLeaderOtherThan(failedLeader);
        assertTrue(cluster.users().submit(thirdLeader, job, SHORT_RUNTIME));
        runUntilDone(job, 30);
        cluster.restart(failedLeader);
        cluster.network().interceptRiskTables(UnaryOperator.identity(), Duration.ofMillis(5));
        cluster.runSeconds(RISK_TABLE_LEARNING_S);
        cluster.crash(thirdLeader);
        int fourthLeader = awaitLeaderOtherThan(thirdLeader);
        cluster.runSeconds(4);
        assertEquals(6, usableRiskTableCount(fourthLeader));
    }

    @Test
    void riskTablesSurviveRestartOfAllControllers() {
        cluster.runSeconds(2 * RISK_TABLE_LEARNING_S);
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
        assertEquals(6, usableRiskTableCount(cluster.leader()));
    }

    @Test
    void incompleteSnapshotIsNotUsed() {
        cluster.runSeconds(3 * RISK_TABLE_LEARNING_S);
        Map<String, Object> head = cluster.store().valueOf(RecordKeys.RISK_TABLE_HEAD_KEY);
        int newestSet = (int) (long) head.get("set");
        Map<String, Object> older =
                cluster.store().valueOf(RecordKeys.riskTableChunk(1 - newestSet, 0));
        Map<String, Object> newest =
                cluster.store().valueOf(RecordKeys.riskTableChunk(newestSet, 0));
        cluster.crashAll();
        cluster.store().put(RecordKeys.riskTableChunk(newestSet, 0), older);
        cluster.restartAll();
        cluster.runSeconds(20);
        assertEquals(
                0,
                usableRiskTableCount(cluster.leader()),
                "the chunk does not match the head record");
        cluster.crashAll();
        cluster.store().put(RecordKeys.riskTableChunk(newestSet, 0), newest);
        Map<String, Object> unknown = new HashMap<>(head);
        unknown.put("form", 2L);
        cluster.store().put(RecordKeys.RISK_TABLE_HEAD_KEY, unknown);
        cluster.restartAll();
        cluster.runSeconds(20);
        assertEquals(0, usableRiskTableCount(cluster.leader()), "the form is unknown");
        assertFalse(cluster.leader() < 0);
    }

    @Test
    void rollingReplacementDuringStoreOutageKeepsTasks() {
        JobSpec job = arrayJob(1, 12);
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
    void resumedLeaderDecidesNothingFromStaleState() {
        int pausedLeader = cluster.leader();
        JobSpec job = arrayJob(1, 6);
        assertTrue(
                cluster.users().submit(nodeOtherThan(pausedLeader), job, Duration.ofSeconds(40)));
        cluster.runSeconds(5);
        cluster.pause(pausedLeader);
        int next = awaitLeaderOtherThan(pausedLeader);
        JobSpec later = arrayJob(2, 6);
        assertTrue(cluster.users().submit(next, later, Duration.ofSeconds(40)));
        cluster.runSeconds(24);
        cluster.resume(pausedLeader);
        runUntilDone(later, 60);
        assertEquals(Phase.DONE, phaseOf(job));
        assertEquals(next, cluster.leader());
    }
}
