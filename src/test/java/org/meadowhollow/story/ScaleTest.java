package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.storage.RecordCodec;

/**
 * What a large deployment must bear; it counts messages and records, not seconds of a machine's
 * time.
 */
class ScaleTest {
    private static final int MACHINES = 900;
    private static final int JOBS = 40;
    private static final int TASKS = 25;

    private World world;
    private final List<JobSpec> jobs = new ArrayList<>();

    @BeforeEach
    void nineHundredMachinesWithAThousandTasks() {
        world = new World();
        for (int at = 0; at < MACHINES; at++) {
            world.machine(World.SMALL, at % 2 == 0 ? "a" : "b");
        }
        world.runS(12);
        world.cloudOut(true);
        for (int number = 0; number < JOBS; number++) {
            JobSpec job = World.spec(number, JobKind.ARRAY, TASKS, 1);
            jobs.add(job);
            assertTrue(world.submit(number % 3, job, Duration.ofSeconds(60)));
        }
        world.runS(10);
    }

    @Test
    void aBacklogStartsInAFewRoundsAndARecordHoldsAJob() {
        assertEquals(JOBS * TASKS, world.starts());
        assertEquals(JOBS, world.store().size("task/"));
    }

    @Test
    void aTakeoverLosesNothingAndAsksNobodyWhoReports() {
        world.takeDirects();
        world.crash(world.leader());
        world.runS(70);
        assertEquals(0, world.takeDirects(), "every worker found the new leader by itself");
        assertEquals(JOBS * TASKS, world.starts());
        for (JobSpec job : jobs) {
            assertEquals(Phase.DONE, world.poll(world.leader(), job.id()).orElseThrow().phase());
        }
    }

    @Test
    void aWarmStandbyPlacesWithinASecondOfItsKeyAndReadsNoPages() {
        world.standby();
        world.runS(60);
        int dead = world.leader();
        int[] pages = new int[3];
        int[] watches = new int[3];
        for (int node = 0; node < 3; node++) {
            pages[node] = world.line(node).pages();
            watches[node] = world.line(node).watches();
        }
        for (int second = 0; second < 20; second++) {
            assertTrue(
                    world.submit(
                            dead,
                            World.spec(JOBS + 1 + second, JobKind.ARRAY, 2, 1),
                            Duration.ofSeconds(3)));
            world.runS(0.75);
        }
        int follower = (dead + 1) % 3;
        int asked = world.line(follower).watches() - watches[follower];
        assertTrue(
                asked <= 3 * 11,
                asked + " watches of three prefixes in 20 s, at most one each in 2 s");
        JobSpec waiting = World.spec(JOBS, JobKind.ARRAY, 1, 1);
        world.crash(dead);
        assertTrue(world.submit(follower, waiting, Duration.ofSeconds(20)));
        for (int step = 0; step < 40 && (world.leader() < 0 || world.leader() == dead); step++) {
            world.runS(0.25);
        }
        int next = world.leader();
        world.runS(1);
        assertEquals(
                1,
                world.store().size(RecordCodec.TASK_PREFIX + waiting.id().value()),
                "placed within a second or so");
        assertEquals(pages[next], world.line(next).pages(), "it has all records in hand");
    }

    @Test
    void manySilentMachinesAreAskedAFewAtATime() {
        world.workers().stream().limit(MACHINES / 2).forEach(worker -> worker.hang(true));
        world.takeDirects();
        int most = 0;
        int all = 0;
        for (int second = 0; second < 15; second++) {
            world.runS(1);
            int asked = world.takeDirects();
            most = Math.max(most, asked);
            all += asked;
        }
        assertTrue(most <= 100, most + " machines were asked in a round");
        assertTrue(all >= MACHINES / 2, "all are asked in the end: " + all);
    }
}
