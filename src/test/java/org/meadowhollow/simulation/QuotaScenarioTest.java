package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
 * Teams at their limits and zones that jobs are bound to, while tasks are called off on machines
 * that cannot be asked, and the work changes hands. The judge of {@link SimulatedCluster} watches
 * limits, zones and the time that a cancellation has.
 */
class QuotaScenarioTest extends ClusterTestBase {
    /** Why a machine cannot be asked. */
    enum OutOfReach {
        HUNG(FakeWorker::hang),
        CUT(
                (worker, now) -> {
                    for (int node = 0; node < 3; node++) {
                        worker.cannotReach(node, now);
                    }
                }),
        MUTE(FakeWorker::mute),
        DEAF(FakeWorker::deaf);

        private final BiConsumer<FakeWorker, Boolean> trouble;

        OutOfReach(BiConsumer<FakeWorker, Boolean> trouble) {
            this.trouble = trouble;
        }
    }

    private JobSpec filling(int number, String team, int tasks) {
        JobSpec job = withTeam(SimulatedCluster.spec(number, JobKind.SERVICE, tasks, 1), team);
        assertTrue(cluster.submit(0, job, null));
        return job;
    }

    /** Both teams use all that they may; more of each waits. */
    private List<JobSpec> bothTeamsAtTheirLimits() {
        cluster.team("team", 0, 12).team("other", 0, 8);
        List<JobSpec> running = List.of(filling(1, "team", 12), filling(2, "other", 8));
        cluster.runS(10);
        running.forEach(job -> assertTrue(allRun(job)));
        return running;
    }

    @ParameterizedTest
    @CsvSource({
        "HUNG, 1", "HUNG, 2", "HUNG, 3", "CUT, 1", "CUT, 2", "MUTE, 1", "MUTE, 2", "DEAF, 1",
        "DEAF, 2", "DEAF, 3"
    })
    void whatIsCalledOffOutOfReachCountsForItsTeamUntilItIsGoneAcrossLeaders(
            OutOfReach how, int leaders) {
        List<JobSpec> running = bothTeamsAtTheirLimits();
        cluster.cloudOut(true);
        List<FakeWorker> lost = cluster.workers().subList(0, 2);
        lost.forEach(worker -> how.trouble.accept(worker, true));
        running.forEach(job -> assertTrue(cluster.cancel(other(cluster.leader(), 1), job.id())));
        List<JobSpec> next =
                List.of(withTeam(array(3, 12), "team"), withTeam(array(4, 8), "other"));
        next.forEach(job -> assertTrue(cluster.submit(other(cluster.leader(), 1), job, HOURS)));
        boolean still = false;
        for (int takeover = 0; takeover < leaders; takeover++) {
            int leader = cluster.leader();
            cluster.crash(leader);
            for (int second = 0; second < 8; second++) {
                cluster.runS(1);
                still |=
                        cluster.leader() != leader
                                && lost.stream().anyMatch(worker -> !worker.running().isEmpty());
            }
            assertNotEquals(leader, cluster.leader());
            cluster.restart(leader);
        }
        // Direct commands reach a mute machine, so there its tasks are gone at once.
        assertEquals(
                how != OutOfReach.MUTE,
                still,
                "a task that was called off was there while the next one led");
        cluster.runS(60);
        lost.forEach(worker -> how.trouble.accept(worker, false));
        cluster.cloudOut(false);
        cluster.calm();
        cluster.runS(60);
        next.forEach(job -> assertTrue(allRun(job), job.id() + " waits for nobody for ever"));
    }

    /**
     * The start was committed and never sent: the next leader cannot know, and nobody waits for it
     * for ever.
     */
    @Test
    void anAttemptWhoseStartWasNeverSentCountsAndIsGivenUp() {
        cluster.team("team", 0, 8);
        List<FakeWorker> first = cluster.workers();
        first.forEach(worker -> worker.deaf(true));
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 8, 1);
        assertTrue(cluster.submit(0, job, HOURS));
        cluster.runS(3);
        assertEquals(1, cluster.store().size("task/"), "its places are committed");
        int leader = cluster.leader();
        cluster.crash(leader);
        assertTrue(cluster.cancel(other(leader, 1), job.id()));
        JobSpec next = array(2, 8);
        assertTrue(cluster.submit(other(leader, 1), next, HOURS));
        first.forEach(worker -> worker.deaf(false));
        cluster.runS(30);
        assertTrue(allRun(next));
        assertEquals(8, cluster.starts(), "nothing of the cancelled job was started");
        assertEquals(0, cluster.judge().startsAfterCancellation());
    }

    /** How the work changes hands. */
    enum Handing {
        RESIGNED,
        ENDED,
        DEPOSED,
        ENDED_AND_BACK
    }

    private void handOn(Handing how, int leader) {
        switch (how) {
            case RESIGNED -> cluster.node(leader).handOver();
            case ENDED -> cluster.crash(leader);
            case DEPOSED ->
                    cluster.node(leader)
                            .observeLeader(
                                    new FencingToken(cluster.term() + 1), "n" + other(leader, 1));
            default -> cluster.bounce(leader, Duration.ofMillis(200));
        }
    }

    /**
     * Cancellations a quarter of a second apart, from before the work changes hands until after the
     * next one has loaded.
     */
    @ParameterizedTest
    @EnumSource(Handing.class)
    void jobsCalledOffInTheSecondsInWhichWorkChangesHandsAreGone(Handing how) {
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 1; number <= 24; number++) {
            JobSpec job =
                    number % 6 == 0
                            ? SimulatedCluster.spec(number, JobKind.GANG, 2, 1)
                            : array(number, 1);
            jobs.add(job);
            cluster.submits(number % 3, job, HOURS);
        }
        cluster.runS(10);
        jobs.forEach(job -> assertTrue(allRun(job)));
        int leader = cluster.leader();
        long term = cluster.term();
        int during = 0;
        for (int at = 0; at < jobs.size(); at++) {
            if (at == 4) {
                handOn(how, leader);
            }
            // By a node that thinks that another one leads.
            cluster.cancels(other(leader, 1 + at % 2), jobs.get(at).id());
            cluster.run(Duration.ofMillis(250));
            during += at >= 4 && (cluster.leader() < 0 || cluster.term() == term) ? 1 : 0;
        }
        assertTrue(how != Handing.ENDED || during > 0, "called off while nobody led");
        assertTrue(cluster.term() > term);
        cluster.runS(15);
        for (JobSpec job : jobs) {
            assertEquals(Phase.CANCELLED, phase(job));
            assertEquals(null, placeOf(job, 0));
        }
        assertEquals(0, cluster.store().size("job/") + cluster.store().size("task/"));
        assertEquals(0, cluster.judge().startsAfterCancellation());
    }

    /**
     * Ten leaders in two minutes, also inside an outage, in which none of them can read anything.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void tenLeadersInTwoMinutes(boolean inAnOutage) {
        cluster.team("team", 0, 12);
        JobSpec stays = filling(1, "team", 6);
        JobSpec goes = filling(2, "team", 6);
        cluster.runS(10);
        long term = cluster.term();
        for (int change = 0; change < 13; change++) {
            cluster.bounce(
                    Math.max(0, cluster.leader()), Duration.ofMillis(change % 2 == 0 ? 200 : 3000));
            if (inAnOutage && change == 4) {
                cluster.store().out(true);
            }
            cluster.runS(5);
            if (inAnOutage && change == 6) {
                cluster.store().out(false);
            }
            cluster.runS(4);
            if (change == 2) {
                assertTrue(cluster.cancel(other(cluster.leader(), 1), goes.id()));
                assertTrue(cluster.submit(other(cluster.leader(), 1), array(3, 6), HOURS));
            }
        }
        assertTrue(cluster.term() - term >= 10, "led " + (cluster.term() - term) + " times");
        cluster.calm();
        cluster.runS(60);
        assertTrue(allRun(stays) && allRun(array(3, 6)));
        assertEquals(Phase.CANCELLED, phase(goes));
    }

    /**
     * A job bound to a zone loses its machines: nothing of it starts elsewhere, and it does not
     * wait for ever.
     */
    @ParameterizedTest
    @CsvSource({"ARRAY, true", "ARRAY, false", "GANG, true", "GANG, false", "SERVICE, true"})
    void aJobBoundToOneZoneLosesMachinesThere(JobKind kind, boolean together) {
        JobSpec plain = SimulatedCluster.spec(1, kind, 3, 8);
        JobSpec job = together ? zoned(plain, true, false) : inZone(plain, "a");
        assertTrue(cluster.submit(0, job, HOURS));
        cluster.runS(10);
        assertTrue(allRun(job));
        String zone = placeOf(job, 0).zone();
        cluster.mostMachines(cluster.workers().size() + 1);
        // One hangs and goes on when its task is given up, one is taken away, and the leader ends.
        FakeWorker hung = placeOf(job, 0);
        hung.hang(true);
        cluster.take(placeOf(job, 1));
        cluster.crash(cluster.leader());
        cluster.runS(40);
        hung.hang(false);
        cluster.restartAll();
        cluster.calm();
        cluster.runS(90);
        assertTrue(together || zone.equals("a"));
        assertTrue(allRun(job), "it runs again, where its tasks may be");
    }

    /**
     * One machine of the zone fails, the other hangs through a change of leader, and only the other
     * zone has room.
     */
    @Test
    void anArrayThatIsTogetherStaysWhereOneOfItsTasksMayBe() {
        JobSpec job = zoned(SimulatedCluster.spec(1, JobKind.ARRAY, 2, 8), true, false);
        assertTrue(cluster.submit(0, job, HOURS));
        cluster.runS(10);
        FakeWorker hung = placeOf(job, 0);
        JobSpec fills =
                inZone(
                        withTeam(SimulatedCluster.spec(2, JobKind.SERVICE, 1, 8), "other"),
                        hung.zone());
        assertTrue(cluster.submit(0, fills, null));
        cluster.runS(5);
        assertTrue(allRun(fills));
        cluster.mostMachines(0);
        cluster.fail(placeOf(job, 1));
        hung.hang(true);
        cluster.crash(cluster.leader());
        cluster.runS(14);
        assertEquals(hung, placeOf(job, 0), "it may go on at any time");
        hung.hang(false);
        cluster.runS(6);
        assertEquals(3, cluster.starts(), "the other zone has room, and is not for it");
        cluster.machine(SimulatedCluster.LARGE, hung.zone());
        cluster.calm();
        cluster.runS(40);
        assertTrue(allRun(job));
    }

    /**
     * New machines are up before their rental is answered or listed, get work at once while writes
     * lag, and the leader ends.
     */
    @ParameterizedTest
    @ValueSource(ints = {50, 150, 600, 1900})
    void machinesUpAtOnceGetWorkWhileWritesLagAndTheLeaderEnds(int bootMillis) {
        cluster.boots(Duration.ofMillis(bootMillis), Duration.ofSeconds(20));
        JobSpec job = SimulatedCluster.spec(1, JobKind.ARRAY, 48, 1);
        assertTrue(cluster.submit(0, job, Duration.ofSeconds(40)));
        cluster.runS(5);
        int before = cluster.workers().size();
        int leader = cluster.leader();
        for (int node = 0; node < 3; node++) {
            cluster.line(node).lateWrites(0.7, 1_000_003L * (node + 1));
        }
        JobSpec more = SimulatedCluster.spec(2, JobKind.ARRAY, 40, 4);
        cluster.submits(other(leader, 1), more, Duration.ofSeconds(20));
        for (int step = 0; step < 80 && cluster.workers().size() == before; step++) {
            cluster.run(Duration.ofMillis(250));
        }
        assertTrue(cluster.workers().size() > before, "machines came");
        // Their first attempts are on their way to the state service, or there and not answered.
        cluster.run(Duration.ofMillis(1250));
        cluster.crash(leader);
        cluster.runS(20);
        int late = 0;
        for (int node = 0; node < 3; node++) {
            late += cluster.line(node).lateCommits();
            cluster.line(node).lateWrites(0, 0);
        }
        assertTrue(late > 0, "a transaction was executed late");
        cluster.restart(leader);
        cluster.boots(Duration.ofSeconds(10), Duration.ZERO);
        cluster.calm();
        cluster.runS(400);
        assertEquals(Phase.DONE, phase(job));
        assertEquals(Phase.DONE, phase(more));
    }
}
