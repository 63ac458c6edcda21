package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Resources;

/**
 * The settings of a deployment, as the platform gives them.
 *
 * @param member the name of this node among the controllers
 * @param zones the zones in which machines may be rented
 * @param teamQuotas quotas by team; 0 in a limit means none
 * @param heartbeatInterval how often a worker sends a heartbeat
 * @param workerLease how long a worker runs tasks without an answered heartbeat
 * @param gangStartTimeout how long tasks of a gang wait for the others
 * @param cancellationBound within which a cancelled job has stopped everywhere
 * @param storeRequestsPerSecond the limit of requests to the key-value store
 * @param storeWritesPerSecond the limit of records written to it
 * @param maxValueBytes the largest value that it takes
 * @param maxTransactionOperations the most operations in one of its transactions
 * @param cloudRequestsPerSecond the limit of requests to the cloud
 * @param cloudListingDelay by how much the cloud's list may be late
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

    /** What a team is guaranteed and the most it may use, in CPUs and GPUs. */
    public record TeamQuota(String name, Resources guaranteed, Resources limit) {}

    /** An objective for a class of jobs; {@code jobClass} is null where it holds for all. */
    public record ServiceLevelTarget(String kind, String jobClass, double thresholdSeconds) {}
}
