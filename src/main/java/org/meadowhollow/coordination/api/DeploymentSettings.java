package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Resources;

/**
 * What the platform's settings say of a deployment.
 *
 * @param team limits by name; 0 in a limit means none
 */
public record DeploymentSettings(
        String member,
        List<String> zones,
        Map<String, TeamQuota> teamQuotas,
        List<ServiceLevelTarget> serviceLevelTargets,
        Duration heartbeatInterval,
        Duration workerLease,
        Duration gangStartTimeout,
        Duration cancellationBound,
        double storeRequestsPerSecond,
        double storeWritesPerSecond,
        int maxValueBytes,
        int maxTransactionOperations,
        double cloudRequestsPerSecond,
        Duration cloudListingDelay) {

    /** What a team is guaranteed and what it may use at most, in cpu and gpu. */
    public record TeamQuota(String name, Resources guaranteed, Resources limit) {}

    /** An aim for a class of jobs; {@code jobClass} is null where it holds for all. */
    public record ServiceLevelTarget(String kind, String jobClass, double thresholdSeconds) {}
}
