package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.coordination.admission.Admission.Phase;

/** What a large deployment must bear; it counts messages and records, not seconds of a machine's time. */
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
            JobSpec job = World.spec(number, Kind.ARRAY, TASKS, 1);
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
