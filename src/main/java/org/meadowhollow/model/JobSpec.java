package org.meadowhollow.model;

import java.util.List;

/**
 * The specification of a job, as its user submitted it.
 *
 * @param jobClass the class of similar jobs that the job belongs to
 * @param team the team whose quota the job counts against
 * @param resourcesPerTask the resources that each task takes
 * @param allowedMachineTypes the names of the allowed machine types, or null for any
 * @param requiredZone the only allowed zone, or null for any
 * @param requiresSingleZone whether all tasks must run in the same zone
 * @param spreadsAcrossZones whether no zone may have more than half of the tasks
 * @param allowsSpot whether tasks may run on spot instances
 * @param image the container image of the tasks
 * @param imageSizeGb the size of the image in gigabytes
 * @param estimatedRuntimeSeconds the user's estimate of a task's run time
 * @param checkpointIntervalSeconds the time between two checkpoints, or 0 for none
 * @param checkpointDurationSeconds the time that it takes to save a checkpoint
 * @param deadlineSeconds the deadline in seconds from submission, or NaN for none
 */
public record JobSpec(
        JobId id,
        String jobClass,
        String team,
        JobKind kind,
        Priority priority,
        int taskCount,
        Resources resourcesPerTask,
        List<String> allowedMachineTypes,
        String requiredZone,
        boolean requiresSingleZone,
        boolean spreadsAcrossZones,
        boolean allowsSpot,
        String image,
        double imageSizeGb,
        double estimatedRuntimeSeconds,
        double checkpointIntervalSeconds,
        double checkpointDurationSeconds,
        double deadlineSeconds) {

    /** Whether tasks may run on machines of a type. */
    public boolean allowsMachineType(String type) {
        return allowedMachineTypes == null || allowedMachineTypes.contains(type);
    }

    /** Whether tasks may run in a zone. */
    public boolean allowsZone(String zone) {
        return requiredZone == null || requiredZone.equals(zone);
    }

    /** Whether tasks save checkpoints, from which a later attempt resumes. */
    public boolean usesCheckpoints() {
        return checkpointIntervalSeconds > 0;
    }

    /** The maximum number of tasks that may be in one zone at a time. */
    public int maxTasksPerZone() {
        return spreadsAcrossZones ? (taskCount + 1) / 2 : taskCount;
    }

    /**
     * Whether free capacity covers a number of the job's tasks at the same time. The tasks must fit
     * into one zone if the job requires that, and no zone counts for more than {@link
     * #maxTasksPerZone}.
     *
     * @param capacityByZone the number of tasks that fit into each zone
     */
    public boolean isCoveredBy(Iterable<Long> capacityByZone, int tasks) {
        long covered = 0;
        for (long capacity : capacityByZone) {
            long usable = Math.min(capacity, maxTasksPerZone());
            covered = requiresSingleZone ? Math.max(covered, usable) : covered + usable;
        }
        return covered >= tasks;
    }
}
