package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;

/**
 * Teams at their quota limits and jobs that are bound to zones, while tasks are cancelled on
 * unreachable machines, and the leader changes. The history checker of {@link SimulatedCluster}
 * checks limits, zones and the time that a cancellation may take.
 */
class QuotaScenarioTest extends ClusterTestBase {
    /** A fault that makes a machine unreachable. */
    enum ReachabilityFault {
        HUNG(FakeWorker::setHung),
        CUT(
                (worker, active) -> {
                    for (int node = 0; node < 3; node++) {
                        worker.blockPathTo(node, active);
                    }
                }),
        CANNOT_CONNECT(FakeWorker::blockOutgoingConnections),
        LOSES_INCOMING(FakeWorker::loseIncoming);

        // Each of these functions is stateless.
        @SuppressWarnings("ImmutableEnumChecker")
        private final BiConsumer<FakeWorker, Boolean> fault;

        ReachabilityFault(BiConsumer<FakeWorker, Boolean> fault) {
            this.fault = fault;
        }
    }

    private JobSpec submitService(int number, String team, int tasks) {
        JobSpec job = withTeam(SimulatedCluster.spec(number, JobKind.SERVICE, tasks, 1), team);
        assertTrue(cluster.users().submit(0, job, null));
        return job;
    }

    /** Submits jobs that use up the limits of both teams, and runs until all their tasks run. */
    private List<JobSpec> submitJobsUpToBothTeamLimits() {
        cluster.withTeam("team", 0, 12).withTeam("other", 0, 8);
        List<JobSpec> running = List.of(submitService(1, "team", 12), submitService(2, "other", 8));
        cluster.runSeconds(10);
        running.forEach(job -> assertTrue(allTasksRunning(job)));
        return running;
    }

    @ParameterizedTest
    @CsvSource({
        "HUNG, 1",
        "HUNG, 2",
        "HUNG, 3",
        "CUT, 1",
        "CUT, 2",
        "CANNOT_CONNECT, 1",
        "CANNOT_CONNECT, 2",
        "LOSES_INCOMING, 1",
        "LOSES_INCOMING, 2",
        "LOSES_INCOMING, 3"
    })
    void cancelledUnreachableTasksCountAgainstQuotaUntilGoneAcrossFailovers(
            ReachabilityFault unreachableBy, int failovers) {
        List<JobSpec> running = submitJobsUpToBothTeamLimits();
        cluster.cloud().setOutage(true);
        List<FakeWorker> lost = cluster.workers().subList(0, 2);
        lost.forEach(worker -> unreachableBy.fault.accept(worker, true));
        running.forEach(
                job ->
                        assertTrue(
                                cluster.users().cancel(nodeAfter(cluster.leader(), 1), job.id())));
        List<JobSpec> next =
                List.of(withTeam(arrayJob(3, 12), "team"), withTeam(arrayJob(4, 8), "other"));
        next.forEach(
                job ->
                        assertTrue(
                                cluster.users()
                                        .submit(
                                                nodeAfter(cluster.leader(), 1),
                                                job,
                                                HOURS_RUNTIME)));
        boolean ranUnderNextLeader = false;
        for (int failover = 0; failover < failovers; failover++) {
            int leader = cluster.leader();
            cluster.crash(leader);
            for (int second = 0; second < 8; second++) {
                cluster.runSeconds(1);
                ranUnderNextLeader |=
                        cluster.leader() != leader
                                && lost.stream()
                                        .anyMatch(worker -> !worker.runningTasks().isEmpty());
            }
            assertNotEquals(leader, cluster.leader());
            cluster.restart(leader);
        }
        // Direct commands reach a machine that cannot connect, so its tasks stop at once.
        assertEquals(
                unreachableBy != ReachabilityFault.CANNOT_CONNECT,
                ranUnderNextLeader,
                "a cancelled task ran while the next leader led");
        cluster.runSeconds(60);
        lost.forEach(worker -> unreachableBy.fault.accept(worker, false));
        cluster.cloud().setOutage(false);
        cluster.beginFaultFreePhase();
        cluster.runSeconds(60);
        next.forEach(job -> assertTrue(allTasksRunning(job), job.id() + " must not wait for ever"));
    }

    /**
     * The start was committed and never sent: the next leader cannot know that, and must not wait
     * for the task for ever.
     */
    @Test
    void attemptWithUnsentStartCountsAgainstQuotaAndIsReleased() {
        cluster.withTeam("team", 0, 8);
        List<FakeWorker> first = cluster.workers();
        first.forEach(worker -> worker.loseIncoming(true));
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 8, 1);
        assertTrue(cluster.users().submit(0, job, HOURS_RUNTIME));
        cluster.runSeconds(3);
        assertEquals(1, cluster.store().recordCount("task/"), "its placements are committed");
        int leader = cluster.leader();
        cluster.crash(leader);
        assertTrue(cluster.users().cancel(nodeAfter(leader, 1), job.id()));
        JobSpec next = arrayJob(2, 8);
        assertTrue(cluster.users().submit(nodeAfter(leader, 1), next, HOURS_RUNTIME));
        first.forEach(worker -> worker.loseIncoming(false));
        cluster.runSeconds(30);
        assertTrue(allTasksRunning(next));
        assertEquals(8, cluster.startCount(), "nothing of the cancelled job was started");
        assertEquals(0, cluster.historyChecker().startsAfterCancellation());
    }

    /** The way in which the leader changes. */
    enum LeaderChange {
        RESIGNED,
        CRASHED,
        DEPOSED,
        RESTARTED
    }

    private void changeLeader(LeaderChange change, int leader) {
        switch (change) {
            case RESIGNED -> cluster.node(leader).handOver();
            case CRASHED -> cluster.crash(leader);
            case DEPOSED ->
                    cluster.node(leader)
                            .observeLeader(
                                    new FencingToken(cluster.fencingToken() + 1),
                                    "n" + nodeAfter(leader, 1));
            default -> cluster.restartAfter(leader, Duration.ofMillis(200));
        }
    }

    /**
     * Cancellations a quarter of a second apart, from before the leader changes until after the
     * next one has recovered.
     */
    @ParameterizedTest
    @EnumSource(LeaderChange.class)
    void jobsCancelledDuringHandoverStopWithinBound(LeaderChange change) {
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 1; number <= 24; number++) {
            JobSpec job =
                    number % 6 == 0
                            ? SimulatedCluster.spec(number, JobKind.GANG, 2, 1)
                            : arrayJob(number, 1);
            jobs.add(job);
            CompletableFuture<?> unused =
                    cluster.users().submitAsync(number % 3, job, HOURS_RUNTIME);
        }
        cluster.runSeconds(10);
        jobs.forEach(job -> assertTrue(allTasksRunning(job)));
        int leader = cluster.leader();
        long fencingToken = cluster.fencingToken();
        int cancelledWithoutLeader = 0;
        for (int at = 0; at < jobs.size(); at++) {
            if (at == 4) {
                changeLeader(change, leader);
            }
            // Through a controller that is not the leader, as far as it knows.
            CompletableFuture<?> unused =
                    cluster.users().cancelAsync(nodeAfter(leader, 1 + at % 2), jobs.get(at).id());
            cluster.run(Duration.ofMillis(250));
            cancelledWithoutLeader +=
                    at >= 4 && (cluster.leader() < 0 || cluster.fencingToken() == fencingToken)
                            ? 1
                            : 0;
        }
        assertTrue(
                change != LeaderChange.CRASHED || cancelledWithoutLeader > 0,
                "some jobs are cancelled while nobody leads");
        assertTrue(cluster.fencingToken() > fencingToken);
        cluster.runSeconds(15);
        for (JobSpec job : jobs) {
            assertEquals(Phase.CANCELLED, phaseOf(job));
            assertEquals(null, machineRunning(job, 0));
        }
        assertEquals(0, cluster.store().recordCount("job/") + cluster.store().recordCount("task/"));
        assertEquals(0, cluster.historyChecker().startsAfterCancellation());
    }

    /**
     * The leader changes at least ten times in two minutes, in one case during a store outage as
     * well, in which no leader can read anything.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void tasksSurviveTenFailoversInTwoMinutes(boolean duringOutage) {
        cluster.withTeam("team", 0, 12);
        JobSpec uncancelled = submitService(1, "team", 6);
        JobSpec cancelled = submitService(2, "team", 6);
        cluster.runSeconds(10);
        long fencingToken = cluster.fencingToken();
        for (int failover = 0; failover < 13; failover++) {
            cluster.restartAfter(
                    Math.max(0, cluster.leader()),
                    Duration.ofMillis(failover % 2 == 0 ? 200 : 3000));
            if (duringOutage && failover == 4) {
                cluster.store().setOutage(true);
            }
            cluster.runSeconds(5);
            if (duringOutage && failover == 6) {
                cluster.store().setOutage(false);
            }
            cluster.runSeconds(4);
            if (failover == 2) {
                assertTrue(cluster.users().cancel(nodeAfter(cluster.leader(), 1), cancelled.id()));
                assertTrue(
                        cluster.users()
                                .submit(
                                        nodeAfter(cluster.leader(), 1),
                                        arrayJob(3, 6),
                                        HOURS_RUNTIME));
            }
        }
        assertTrue(
                cluster.fencingToken() - fencingToken >= 10,
                "the leader changed " + (cluster.fencingToken() - fencingToken) + " times");
        cluster.beginFaultFreePhase();
        cluster.runSeconds(60);
        assertTrue(allTasksRunning(uncancelled) && allTasksRunning(arrayJob(3, 6)));
        assertEquals(Phase.CANCELLED, phaseOf(cancelled));
    }

    /**
     * A job that is bound to a zone loses its machines: nothing of it starts elsewhere, and it does
     * not wait for ever.
     */
    @ParameterizedTest
    @CsvSource({"ARRAY, true", "ARRAY, false", "GANG, true", "GANG, false", "SERVICE, true"})
    void singleZoneJobRecoversFromMachineLossInItsZone(JobKind kind, boolean together) {
        JobSpec plain = SimulatedCluster.spec(1, kind, 3, 8);
        JobSpec job = together ? withZonePolicy(plain, true, false) : inZone(plain, "a");
        assertTrue(cluster.users().submit(0, job, HOURS_RUNTIME));
        cluster.runSeconds(10);
        assertTrue(allTasksRunning(job));
        String zone = machineRunning(job, 0).zone();
        cluster.cloud().limitMachines(cluster.workers().size() + 1);
        // One machine hangs and resumes after its task was given up, one is reclaimed, and the
        // leader crashes.
        FakeWorker hung = machineRunning(job, 0);
        hung.setHung(true);
        cluster.cloud().reclaim(machineRunning(job, 1));
        cluster.crash(cluster.leader());
        cluster.runSeconds(40);
        hung.setHung(false);
        cluster.restartAll();
        cluster.beginFaultFreePhase();
        cluster.runSeconds(90);
        assertTrue(together || zone.equals("a"));
        assertTrue(allTasksRunning(job), "it runs again, in the zone that it may use");
    }

    /**
     * One machine of the zone fails, the other hangs during a failover, and only the other zone has
     * capacity.
     */
    @Test
    void singleZoneArrayStaysInZoneOfPossiblyRunningTask() {
        JobSpec job = withZonePolicy(SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8), true, false);
        assertTrue(cluster.users().submit(0, job, HOURS_RUNTIME));
        cluster.runSeconds(10);
        FakeWorker hung = machineRunning(job, 0);
        JobSpec fillingJob =
                inZone(
                        withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 1, 8), "other"),
                        hung.zone());
        assertTrue(cluster.users().submit(0, fillingJob, null));
        cluster.runSeconds(5);
        assertTrue(allTasksRunning(fillingJob));
        cluster.cloud().limitMachines(0);
        cluster.cloud().fail(machineRunning(job, 1));
        hung.setHung(true);
        cluster.crash(cluster.leader());
        cluster.runSeconds(14);
        assertEquals(hung, machineRunning(job, 0), "the hung machine may resume at any time");
        hung.setHung(false);
        cluster.runSeconds(6);
        assertEquals(3, cluster.startCount(), "the job may not use the capacity of the other zone");
        cluster.addMachine(SimulatedCluster.LARGE, hung.zone());
        cluster.beginFaultFreePhase();
        cluster.runSeconds(40);
        assertTrue(allTasksRunning(job));
    }

    /**
     * New machines boot before their rental is answered or listed, get work at once while writes
     * are slow, and the leader crashes.
     */
    @ParameterizedTest
    @ValueSource(ints = {50, 150, 600, 1900})
    void quicklyBootedMachinesGetWorkDespiteSlowWritesAndLeaderCrash(int bootMillis) {
        cluster.cloud().setBootTimes(Duration.ofMillis(bootMillis), Duration.ofSeconds(20));
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 48, 1);
        assertTrue(cluster.users().submit(0, job, Duration.ofSeconds(40)));
        cluster.runSeconds(5);
        int before = cluster.workers().size();
        int leader = cluster.leader();
        for (int node = 0; node < 3; node++) {
            cluster.storeConnection(node).delayCommits(0.7, 1_000_003L * (node + 1));
        }
        JobSpec more = SimulatedCluster.spec(2, JobKind.ARRAY, 40, 4);
        CompletableFuture<?> unused =
                cluster.users().submitAsync(nodeAfter(leader, 1), more, Duration.ofSeconds(20));
        for (int step = 0; step < 80 && cluster.workers().size() == before; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertTrue(cluster.workers().size() > before, "machines were rented");
        // The writes of their first attempts are on the way to the store, or applied and not
        // answered yet.
        cluster.run(Duration.ofMillis(1250));
        cluster.crash(leader);
        cluster.runSeconds(20);
        int lateCommits = 0;
        for (int node = 0; node < 3; node++) {
            lateCommits += cluster.storeConnection(node).lateCommitCount();
            cluster.storeConnection(node).delayCommits(0, 0);
        }
        assertTrue(lateCommits > 0, "a transaction was executed late");
        cluster.restart(leader);
        cluster.cloud().setBootTimes(Duration.ofSeconds(10), Duration.ZERO);
        cluster.beginFaultFreePhase();
        cluster.runSeconds(400);
        assertEquals(Phase.DONE, phaseOf(job));
        assertEquals(Phase.DONE, phaseOf(more));
    }
}
