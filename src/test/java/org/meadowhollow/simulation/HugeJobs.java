package org.meadowhollow.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/** Creates valid jobs with as many tasks as the protocol allows. */
final class HugeJobs {
    static final int MAX_TASKS = 100_000;

    /** Tasks that each need a machine of the smaller type to themselves. */
    static final Resources WHOLE_SMALL_MACHINE = SimulatedCluster.SMALL.capacity();

    /** Tasks of which thousands fit on a machine by their resources. */
    static final Resources TINY = Resources.of(0.001, 0, 0.001);

    private static final List<JobKind> KINDS = List.of(JobKind.values());
    private static final List<Priority> PRIORITIES = List.of(Priority.values());

    private HugeJobs() {}

    static JobSpec job(int number, JobKind kind, int tasks, Resources perTask, Priority priority) {
        return JobSpecBuilder.from(SimulatedCluster.spec(number, kind, tasks, 0))
                .resourcesPerTask(perTask)
                .priority(priority)
                .build();
    }

    /** Returns a job of each kind and priority, which only uses machines of zone b. */
    static List<JobSpec> ofEachKindAndPriority(int firstNumber) {
        List<JobSpec> jobs = new ArrayList<>();
        for (JobKind kind : KINDS) {
            for (Priority priority : PRIORITIES) {
                int number = firstNumber + jobs.size();
                JobSpec job = job(number, kind, MAX_TASKS, WHOLE_SMALL_MACHINE, priority);
                jobs.add(JobSpecBuilder.from(job).zone("b").build());
            }
        }
        return jobs;
    }

    /** Draws a job of any kind and priority, in most cases one of which few tasks can run. */
    static JobSpec draw(Random random, int number) {
        JobKind kind = KINDS.get(random.nextInt(KINDS.size()));
        Priority priority = PRIORITIES.get(random.nextInt(PRIORITIES.size()));
        JobSpec job =
                random.nextInt(4) == 0
                        ? job(number, kind, 20 + random.nextInt(40), TINY, priority)
                        : job(number, kind, MAX_TASKS, WHOLE_SMALL_MACHINE, priority);
        return JobSpecBuilder.from(job)
                .team(random.nextBoolean() ? "other" : "unlimited")
                .zone(random.nextInt(3) == 0 ? "a" : null)
                .singleZone(random.nextInt(4) == 0)
                .build();
    }
}
