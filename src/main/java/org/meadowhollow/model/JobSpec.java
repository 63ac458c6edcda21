package org.meadowhollow.model;

import java.util.List;

/**
 * What a user asked for.
 *
 * @param allowedMachineTypes allowed machine types, or null for any
 * @param requiredZone the only allowed zone, or null
 * @param deadlineSeconds seconds from submission, or NaN for none
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

    public boolean allowsMachineType(String type) {
        return allowedMachineTypes == null || allowedMachineTypes.contains(type);
    }

    public boolean allowsZone(String name) {
        return requiredZone == null || requiredZone.equals(name);
    }

    public boolean usesCheckpoints() {
        return checkpointIntervalSeconds > 0;
    }

    /** How many tasks may be in one zone at a time. */
    public int maxTasksPerZone() {
        return spreadsAcrossZones ? (taskCount + 1) / 2 : taskCount;
    }
}
