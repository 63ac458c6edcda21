package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.TaskId;

/** Many who ask, guests who fill everything, jobs with a mistake, and machines that never come. */
class CrowdStoriesTest extends Story {
    private static JobSpec withPriority(JobSpec spec, Priority priority, Resources each) {
        return new JobSpec(
                spec.id(),
                spec.jobClass(),
                spec.team(),
                spec.kind(),
                priority,
                spec.taskCount(),
                each,
                spec.allowedMachineTypes(),
                spec.requiredZone(),
                spec.requiresSingleZone(),
                spec.spreadsAcrossZones(),
                spec.allowsSpot(),
                spec.image(),
                spec.imageSizeGb(),
                spec.estimatedRuntimeSeconds(),
                spec.checkpointIntervalSeconds(),
                spec.checkpointDurationSeconds(),
                spec.deadlineSeconds());
    }

    /** With a deadline, by which it comes before work of the same priority that has none. */
    private static JobSpec due(JobSpec spec) {
        return new JobSpec(
                spec.id(),
                spec.jobClass(),
                spec.team(),
                spec.kind(),
                spec.priority(),
                spec.taskCount(),
                spec.resourcesPerTask(),
                spec.allowedMachineTypes(),
                spec.requiredZone(),
                spec.requiresSingleZone(),
                spec.spreadsAcrossZones(),
                spec.allowsSpot(),
                spec.image(),
                spec.imageSizeGb(),
                spec.estimatedRuntimeSeconds(),
                spec.checkpointIntervalSeconds(),
                spec.checkpointDurationSeconds(),
                60);
    }

    @Test
    void askingManyTimesAsOftenCostsTheStateServiceNoMore() {
        JobSpec job = World.spec(1, JobKind.SERVICE, 2, 1);
        assertTrue(world.submit(0, job, null));
        world.poll(1, job.id());
        world.runS(1);
        int reads = world.line(1).reads();
        int watches = world.line(1).watches();
        for (int second = 0; second < 4; second++) {
            for (int at = 0; at < 100; at++) {
                world.asks(1, job.id());
            }
            world.runS(1);
        }
        assertEquals(400, world.answered());
        assertTrue(
                world.line(1).reads() - reads < 5,
                "read " + (world.line(1).reads() - reads) + " times");
        assertTrue(
                world.line(1).watches() - watches < 30,
                "looked " + (world.line(1).watches() - watches) + " times");
    }

    /**
     * The rules are checked by {@link World}: no node may tell an older state than another has
     * told.
     */
    @Test
    void whatIsKeptInMemoryIsNeverToldOlderThanWhatAnotherNodeTold() {
        List<JobSpec> jobs = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            JobSpec job =
                    World.spec(number, number % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 1, 1);
            jobs.add(job);
            assertTrue(world.submit(number % 3, job, SHORT));
            for (int node = 0; node < 3; node++) {
                assertTrue(world.poll(node, job.id()).isPresent());
            }
        }
        for (JobSpec job : jobs) {
            world.line(0).failWatches(job.id().hashCode() % 3 == 0);
            assertTrue(world.cancel(2, job.id()));
            world.poll(2, job.id());
            world.poll(0, job.id());
            world.poll(1, job.id());
        }
    }

    @Test
    void idleWorkGivesWayToAGangThoughSmallTasksComeFirst() {
        JobSpec idle = withPriority(array(1, 48), Priority.LOW, Resources.of(4, 1, 16));
        assertTrue(world.submit(0, idle, Duration.ofMinutes(20)));
        world.mostMachines(6);
        world.runS(10);
        assertEquals(48, world.starts(), "all machines are full of it");
        JobSpec gang =
                withPriority(
                        World.spec(2, JobKind.GANG, 3, 8),
                        Priority.NORMAL,
                        Resources.of(30, 8, 120));
        assertTrue(world.submit(1, gang, LONG));
        for (int number = 3; number < 9; number++) {
            assertTrue(world.submit(2, due(array(number, 3)), LONG));
            world.runS(1);
        }
        world.runS(15);
        for (int task = 0; task < 3; task++) {
            assertEquals(
                    1,
                    world.on(new TaskId(gang.id(), task)).size(),
                    "task " + task + " of the gang");
        }
        for (int number = 3; number < 9; number++) {
            assertTrue(placeOf(array(number, 3), 2) != null, "the small ones run as well");
        }
    }

    @Test
    void aJobWithAMistakeIsTriedWithOneTaskAndNoMachineIsBlamed() {
        JobSpec broken = array(1, 30);
        assertTrue(world.submit(0, broken, LONG));
        failAll(40);
        assertEquals(List.of(), world.returned(), "no machine is blamed");
        failAll(90);
        assertTrue(world.starts() < 30 + 12, "started " + world.starts() + " times");
        JobSpec sound = array(2, 40);
        assertTrue(world.submit(1, sound, SHORT));
        world.runS(40);
        assertEquals(Phase.DONE, phase(sound));
        assertTrue(world.cancel(2, broken.id()));
        world.runS(10);
        assertEquals(Phase.CANCELLED, phase(broken));
    }

    /** Every task fails as soon as it runs. */
    private void failAll(int seconds) {
        for (int second = 0; second < seconds; second++) {
            world.runS(1);
            world.workers().forEach(worker -> worker.running().forEach(worker::fail));
        }
    }

    @Test
    void machinesThatNeverComeUpAreReplacedWithoutRentingWithoutEnd() {
        world.neverUp(4);
        JobSpec job = array(1, 48 + 16);
        assertTrue(world.submit(0, job, LONG));
        world.runS(45);
        assertEquals(48 + 16, world.starts(), "nobody waits for four boot times");
        assertTrue(world.machinesRented() <= 16, "rented " + world.machinesRented());
    }

    /**
     * Four one-task jobs a second for two minutes, a quarter of them called off, at 30 changes a
     * second for all nodes together, while leaders change.
     */
    @Test
    void fourOneTaskJobsASecondAreTakenInTimeAndAllServedWhileLeadersChange() {
        world.store().limit(30);
        world.fetch(Duration.ofMillis(500));
        Random random = new Random(5);
        List<JobSpec> jobs = new ArrayList<>();
        List<Boolean> inTime = new ArrayList<>();
        int before = world.store().changes();
        for (int second = 0; second < 120; second++) {
            for (int each = 0; each < 4; each++) {
                JobSpec job = array(jobs.size(), 1);
                jobs.add(job);
                int node = jobs.size() % 3;
                submitAgain(node, job, world.loop().now(), inTime);
                if (random.nextInt(4) == 0) {
                    world.loop()
                            .schedule(
                                    Duration.ofMillis(500 + random.nextInt(12_000)),
                                    () -> world.cancels(other(node, 1), job.id()));
                }
                world.run(Duration.ofMillis(250));
            }
            if (second % 40 == 20) {
                world.bounce(world.leader(), Duration.ofSeconds(3));
            }
        }
        world.calm();
        world.runS(60);
        assertEquals(jobs.size(), inTime.size(), "all were accepted");
        long soon = inTime.stream().filter(each -> each).count();
        assertTrue(soon >= 0.9 * jobs.size(), soon + " of " + jobs.size() + " within a second");
        for (JobSpec job : jobs) {
            assertTrue(world.judge().isOver(job.id()), job.id() + " is not over");
        }
        world.judge().served();
        double each = (world.store().changes() - before) / (double) jobs.size();
        assertTrue(each < 5.5, each + " changes a job");
        assertEquals(0, world.store().size("job/") + world.store().size("task/"));
    }

    /** As users do: again after a second, until there is an answer. */
    private void submitAgain(int node, JobSpec job, MonotonicTime since, List<Boolean> inTime) {
        world.submits(node, job, SHORT)
                .whenComplete(
                        (state, failure) -> {
                            if (failure == null) {
                                inTime.add(
                                        world.loop()
                                                        .now()
                                                        .elapsedSince(since)
                                                        .compareTo(Duration.ofSeconds(1))
                                                <= 0);
                            } else {
                                world.loop()
                                        .schedule(
                                                Duration.ofSeconds(1),
                                                () ->
                                                        submitAgain(
                                                                other(node, 1),
                                                                job,
                                                                since,
                                                                inTime));
                            }
                        });
    }
}
