package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Prints how long the steps of the controllers take with 1,600 simulated machines: with ordinary
 * jobs alone, with huge jobs beside them, and through a failover with all of them on record. Run by
 * hand as described in {@code docs/measurements.md}.
 */
final class HugeJobsBenchmarkMain {
    private static final int MACHINES = 1_600;
    private static final int ORDINARY_JOBS = 60;
    private static final int TASKS_PER_ORDINARY_JOB = 40;
    private static final int WAITING_JOBS = 200;
    private static final int MEASURED_SECONDS = 60;

    private final SimulatedCluster cluster = new SimulatedCluster();
    private int jobCount;

    private HugeJobsBenchmarkMain() {}

    /** Runs the benchmark; without the huge jobs if the argument {@code ordinary} is given. */
    public static void main(String[] arguments) {
        new HugeJobsBenchmarkMain().run(arguments.length == 0 || !arguments[0].equals("ordinary"));
    }

    private void run(boolean withHugeJobs) {
        for (int number = 0; number < MACHINES; number++) {
            cluster.addMachine(SimulatedCluster.SMALL, number % 2 == 0 ? "a" : "b");
        }
        cluster.runSeconds(12);
        cluster.cloud().setOutage(true);
        submitOrdinaryJobs();
        measure("warm-up");
        measure("ordinary jobs");
        if (withHugeJobs) {
            submitHugeJobs();
            cluster.cloud().setOutage(false);
            measure("the first minute with huge jobs");
            measure("huge jobs");
        }
        cluster.loop().stepTimes().clear();
        cluster.crash(cluster.leader());
        cluster.runSeconds(MEASURED_SECONDS);
        print("failover");
    }

    private void submitOrdinaryJobs() {
        for (int number = 0; number < ORDINARY_JOBS; number++) {
            submit(SimulatedCluster.spec(++jobCount, JobKind.ARRAY, TASKS_PER_ORDINARY_JOB, 1));
        }
        for (int number = 0; number < WAITING_JOBS; number++) {
            JobSpec spec = SimulatedCluster.spec(++jobCount, JobKind.GANG, 2 * MACHINES, 2);
            submit(JobSpecBuilder.from(spec).resourcesPerTask(Resources.of(8, 2, 32)).build());
        }
    }

    private void submitHugeJobs() {
        List<JobSpec> jobs = new ArrayList<>();
        for (Priority priority : Priority.values()) {
            for (int number = 0; number < 5; number++) {
                jobs.add(huge(JobKind.GANG, HugeJobs.MAX_TASKS, priority));
                jobs.add(huge(JobKind.ARRAY, HugeJobs.MAX_TASKS, priority));
                jobs.add(huge(JobKind.SERVICE, HugeJobs.MAX_TASKS, priority));
            }
            for (int number = 0; number < 10; number++) {
                jobs.add(huge(JobKind.GANG, 3_000, priority));
            }
        }
        jobs.forEach(this::submit);
    }

    private JobSpec huge(JobKind kind, int tasks, Priority priority) {
        return HugeJobs.job(++jobCount, kind, tasks, HugeJobs.WHOLE_SMALL_MACHINE, priority);
    }

    private void submit(JobSpec spec) {
        boolean accepted =
                cluster.users()
                        .submit(
                                jobCount % 3,
                                spec,
                                spec.kind() == JobKind.SERVICE ? null : Duration.ofMinutes(10));
        if (!accepted) {
            throw new IllegalStateException(spec.id() + " was not accepted");
        }
    }

    private void measure(String phase) {
        cluster.loop().stepTimes().clear();
        cluster.runSeconds(MEASURED_SECONDS);
        print(phase);
    }

    // The output of a benchmark is its purpose.
    @SuppressWarnings("SystemOut")
    private void print(String phase) {
        System.out.print(phase + ":\n" + cluster.loop().stepTimes().format());
    }
}
