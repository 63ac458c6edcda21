package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.TaskId;

/**
 * Disturbs gangs within the seconds in which a task that timed out waiting for the others is
 * started again: another task of the gang fails, its user cancels it, or an urgent job arrives.
 */
final class GangDisturbance {
    /** Covers the time until the next heartbeat, and the longest delay of its response. */
    private static final int MAX_DELAY_MILLIS = 7000;

    /** Below the number of failures after which a machine is cordoned. */
    private static final int MAX_FAILED_TASKS = 2;

    private final SimulatedCluster cluster;
    private final Random random;
    private final List<JobSpec> jobs;
    private int failedTaskCount;

    /**
     * Creates the disturbance of one day.
     *
     * @param jobs all jobs of the day; urgent jobs are added to it
     */
    GangDisturbance(SimulatedCluster cluster, Random random, List<JobSpec> jobs) {
        this.cluster = cluster;
        this.random = random;
        this.jobs = jobs;
    }

    /** Schedules one disturbance of a gang, one of whose tasks has just timed out. */
    void onGangTimeout(JobSpec gang) {
        Duration delay = Duration.ofMillis(random.nextInt(MAX_DELAY_MILLIS));
        int node = random.nextInt(cluster.nodeCount());
        if (failedTaskCount < MAX_FAILED_TASKS && random.nextInt(3) == 0) {
            failedTaskCount++;
            cluster.loop().schedule(delay, () -> failOneTask(gang));
        } else if (random.nextBoolean()) {
            cluster.loop()
                    .schedule(
                            delay,
                            () -> ignoreAnswer(cluster.users().cancelAsync(node, gang.id())));
        } else {
            JobSpec urgent = drawUrgentJob();
            jobs.add(urgent);
            Duration runtime = Duration.ofSeconds(5 + random.nextInt(30));
            cluster.loop()
                    .schedule(
                            delay,
                            () -> ignoreAnswer(cluster.users().submitAsync(node, urgent, runtime)));
        }
    }

    private void failOneTask(JobSpec gang) {
        for (int task = 0; task < gang.taskCount(); task++) {
            TaskId taskId = new TaskId(gang.id(), task);
            for (FakeWorker worker : cluster.workers()) {
                if (worker.heldTasks().contains(taskId) && !worker.isHung()) {
                    worker.failTask(taskId);
                    return;
                }
            }
        }
    }

    private JobSpec drawUrgentJob() {
        JobSpec plain = SimulatedCluster.spec(jobs.size(), JobKind.ARRAY, 1, 3 + random.nextInt(6));
        return JobSpecBuilder.from(plain)
                .team(random.nextBoolean() ? "other" : "team")
                .priority(Priority.PRODUCTION)
                .build();
    }

    /** The simulated users check each answer themselves. */
    private static void ignoreAnswer(CompletableFuture<?> unusedAnswer) {}
}
