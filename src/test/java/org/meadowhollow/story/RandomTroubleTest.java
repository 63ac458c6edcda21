package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.coordination.admission.AdmissionService.JobStatus;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;

/**
 * Troubles of all kinds at random times, from fixed seeds; the world checks the rules at every
 * step.
 */
class RandomTroubleTest {
    private static final int STEPS = 150;

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, 60);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void theRulesHoldWhateverFails(long seed) {
        Random random = new Random(seed);
        World world = new World().team("team", 4, 20);
        if (seed % 2 == 0) {
            world.standby();
        }
        sixMachines(world);
        List<JobSpec> jobs = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            trouble(world, random, jobs, step);
            world.runS(1 + random.nextInt(5));
        }
        ends(world, jobs, 30, 400);
        for (int node = 0; node < 3; node++) {
            assertEquals(0, world.node(node).divergentRecordCount());
        }
    }

    private static void sixMachines(World world) {
        for (int at = 0; at < 6; at++) {
            world.machine(at % 2 == 0 ? World.LARGE : World.SMALL, at < 3 ? "a" : "b");
        }
    }

    /**
     * After all troubles, whatever was accepted comes to its end.
     *
     * @param settlesS seconds until no submission can come any more
     * @param runsS seconds that what was still waiting for its team's share may take then
     */
    private static void ends(World world, List<JobSpec> jobs, double settlesS, double runsS) {
        calm(world);
        world.runS(settlesS);
        // Replicas would fill the team's limit for ever.
        for (JobSpec job : jobs) {
            if (job.kind() == JobKind.SERVICE) {
                assertTrue(world.cancel(0, job.id()));
            }
        }
        world.runS(runsS);
        for (JobSpec job : jobs) {
            Phase phase = world.poll(0, job.id()).map(JobStatus::phase).orElse(null);
            assertTrue(
                    phase == null || phase == Phase.CANCELLED || phase == Phase.DONE,
                    job.id() + " is " + phase + " long after all troubles");
        }
    }

    private static LongStream quickSeeds() {
        // A property of the system, Long.getLong, lets thousands run once.
        return LongStream.rangeClosed(1, Long.getLong("quick.seeds", 30));
    }

    /**
     * Processes and machines that are back within a fraction of a second, processes that stand
     * still, late copies.
     */
    @ParameterizedTest
    @MethodSource("quickSeeds")
    void theRulesHoldWhenWhatEndsIsBackAtOnceAndMessagesComeAgain(long seed) {
        Random random = new Random(seed);
        World world = new World().team("team", 4, 20).copies(seed);
        if (seed % 3 == 0) {
            world.standby();
        }
        sixMachines(world);
        List<JobSpec> jobs = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            trouble(world, random, jobs, step);
            int node = random.nextInt(3);
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> world.bounce(node, back(random));
                case 3 -> {
                    for (int each = 0; each < 3; each++) {
                        world.bounce(each, back(random));
                    }
                }
                case 4 -> {
                    for (int time = 0; time < 4; time++) {
                        world.bounce(node, Duration.ofMillis(100));
                        world.run(Duration.ofMillis(500));
                    }
                }
                case 5 -> world.freeze(node);
                case 6 -> world.thaw(node);
                case 7 -> {
                    List<FakeWorker> workers = world.workers();
                    if (!workers.isEmpty()) {
                        workers.get(random.nextInt(workers.size())).reboot();
                    }
                }
                default -> {
                    // Nothing besides.
                }
            }
            world.runS(random.nextInt(5));
        }
        for (int node = 0; node < 3; node++) {
            world.thaw(node);
        }
        // A copy of a submission may come four minutes late.
        ends(world, jobs, 250, 400);
    }

    private static LongStream meetingSeeds() {
        return LongStream.rangeClosed(1, Long.getLong("meeting.seeds", 40));
    }

    /**
     * Two troubles that overlap, most of them of the leader, with long tasks and cancellations in
     * the gap.
     */
    @ParameterizedTest
    @MethodSource("meetingSeeds")
    void theRulesHoldWhenTroublesMeet(long seed) {
        Random random = new Random(seed);
        World world = new World().team("team", 4, 24);
        if (seed % 3 == 0) {
            world.standby();
        }
        sixMachines(world);
        world.runS(10);
        List<JobSpec> jobs = new ArrayList<>();
        for (int meeting = 0; meeting < 10; meeting++) {
            for (int at = 0; at < 3; at++) {
                JobKind kind = JobKind.values()[random.nextInt(3)];
                JobSpec job =
                        World.spec(jobs.size(), kind, 1 + random.nextInt(4), 1 + random.nextInt(2));
                jobs.add(job);
                world.submit(
                        random.nextInt(3),
                        job,
                        kind == JobKind.SERVICE
                                ? null
                                : Duration.ofSeconds(
                                        random.nextBoolean() ? 300 : 5 + random.nextInt(40)));
            }
            world.runS(random.nextInt(20));
            List<Runnable> ends = new ArrayList<>();
            for (int each = 0; each < 2; each++) {
                ends.add(Trouble.begin(world, random));
                askOrCancel(world, random, jobs, 6);
            }
            endAll(world, random, ends);
        }
        // The longest tasks take five minutes, and may have to begin anew.
        ends(world, jobs, 60, 1000);
    }

    /** Users ask about some jobs, and call some off. */
    private static void askOrCancel(World world, Random random, List<JobSpec> jobs, int most) {
        for (int step = random.nextInt(most); step >= 0; step--) {
            JobSpec job = jobs.get(random.nextInt(jobs.size()));
            if (random.nextInt(3) == 0) {
                world.poll(random.nextInt(3), job.id());
            } else {
                world.cancel(random.nextInt(3), job.id());
            }
            world.runS(random.nextInt(4));
        }
    }

    /** After a time the troubles end, one after the other in any order. */
    private static void endAll(World world, Random random, List<Runnable> ends) {
        world.runS(random.nextInt(90));
        Collections.shuffle(ends, random);
        for (Runnable end : ends) {
            end.run();
            world.runS(random.nextInt(10));
        }
    }

    private static LongStream furtherSeeds() {
        return LongStream.rangeClosed(
                Long.getLong("further.first", 1), Long.getLong("further.seeds", 40));
    }

    /**
     * One of the further troubles with any other, two teams at their limits on every second day,
     * and what is promised for the time after all troubles held against what workers and users saw.
     */
    @ParameterizedTest
    @MethodSource("furtherSeeds")
    void theRulesHoldWhenFurtherTroublesMeet(long seed) {
        Random random = new Random(seed);
        boolean limited = seed % 2 == 0;
        World world =
                new World().team("team", 4, limited ? 12 : 0).team("other", 2, limited ? 8 : 0);
        if (seed % 3 == 0) {
            world.standby();
        }
        sixMachines(world);
        world.runS(10);
        List<JobSpec> jobs = new ArrayList<>();
        for (int meeting = 0; meeting < 8; meeting++) {
            for (int at = 0; at < 4; at++) {
                jobs.add(anyJob(world, random, jobs.size()));
            }
            world.runS(random.nextInt(20));
            List<Runnable> ends = new ArrayList<>();
            ends.add(Trouble.beginFurther(world, random));
            world.run(Duration.ofMillis(250 * random.nextInt(16)));
            ends.add(
                    random.nextBoolean()
                            ? Trouble.begin(world, random)
                            : Trouble.beginFurther(world, random));
            askOrCancel(world, random, jobs, 5);
            endAll(world, random, ends);
        }
        calm(world);
        world.calm();
        ends(world, jobs, 60, 1200);
        if (!limited) {
            world.judge().served();
        }
    }

    private static JobSpec anyJob(World world, Random random, int number) {
        JobKind kind = JobKind.values()[random.nextInt(3)];
        JobSpec plain = World.spec(number, kind, 1 + random.nextInt(4), 1 + random.nextInt(2));
        JobSpec job =
                new JobSpec(
                        plain.id(),
                        kind.name(),
                        random.nextInt(3) == 0 ? "other" : "team",
                        kind,
                        Priority.values()[random.nextInt(3)],
                        plain.taskCount(),
                        plain.resourcesPerTask(),
                        null,
                        random.nextInt(6) == 0 ? "a" : null,
                        random.nextInt(4) == 0,
                        false,
                        false,
                        plain.image(),
                        plain.imageSizeGb(),
                        plain.estimatedRuntimeSeconds(),
                        0,
                        0,
                        Double.NaN);
        world.submit(
                random.nextInt(3),
                job,
                kind == JobKind.SERVICE
                        ? null
                        : Duration.ofSeconds(random.nextBoolean() ? 200 : 5 + random.nextInt(40)));
        return job;
    }

    private static Duration back(Random random) {
        return Duration.ofMillis(List.of(50, 200, 500, 1000).get(random.nextInt(4)));
    }

    private static void trouble(World world, Random random, List<JobSpec> jobs, int step) {
        int node = random.nextInt(3);
        switch (random.nextInt(16)) {
            case 0, 1, 2, 3 -> {
                JobKind kind = JobKind.values()[random.nextInt(3)];
                JobSpec job = World.spec(step, kind, 1 + random.nextInt(4), 1 + random.nextInt(2));
                // Without an answer it may have been accepted all the same.
                jobs.add(job);
                world.submit(
                        node,
                        job,
                        kind == JobKind.SERVICE
                                ? null
                                : Duration.ofSeconds(5 + random.nextInt(40)));
            }
            case 4, 5 -> {
                if (!jobs.isEmpty()) {
                    world.cancel(node, jobs.get(random.nextInt(jobs.size())).id());
                }
            }
            case 6 -> world.crash(node);
            case 7, 8 -> world.restart(node);
            case 9 -> world.line(node).cut(random.nextBoolean());
            case 10 -> world.line(node).loseAnswers(random.nextInt(3) == 0);
            case 11 -> world.line(node).hold(random.nextInt(3) == 0);
            case 12 -> world.store().out(random.nextInt(3) == 0);
            case 13 -> world.cutFromWorkers(node, random.nextBoolean());
            case 14 -> world.cloudOut(random.nextBoolean());
            default -> {
                List<FakeWorker> workers = world.workers();
                if (!workers.isEmpty()) {
                    FakeWorker worker = workers.get(random.nextInt(workers.size()));
                    if (random.nextBoolean()) {
                        worker.hang(random.nextBoolean());
                    } else {
                        worker.deaf(random.nextBoolean());
                    }
                }
            }
        }
    }

    private static void calm(World world) {
        world.noMoreCopies();
        world.store().out(false);
        world.cloudOut(false);
        for (int node = 0; node < 3; node++) {
            world.line(node).cut(false);
            world.line(node).loseAnswers(false);
            world.line(node).hold(false);
            world.cutFromWorkers(node, false);
            world.restart(node);
        }
        for (FakeWorker worker : world.workers()) {
            worker.hang(false);
            worker.deaf(false);
            worker.mute(false);
        }
    }
}
