package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Resources;

/**
 * The settings of a deployment, which the platform provides.
 *
 * @param member the name of this node among the controllers
 * @param zones the zones in which machines may be rented
 * @param teamQuotas the quotas of the teams; an amount of 0 in a limit means no limit
 * @param heartbeatInterval how often a worker sends a heartbeat
 * @param workerLease how long a worker runs tasks without an answered heartbeat
 * @param gangStartTimeout how long tasks of a gang wait for the others
 * @param cancellationBound the time within which all tasks of a cancelled job must have stopped
 * @param storeRequestsPerSecond the limit of requests to the key-value store
 * @param storeWritesPerSecond the limit of records written to it
 * @param maxValueBytes the largest value that the key-value store accepts
 * @param maxTransactionOperations the most operations in one of its transactions
 * @param cloudRequestsPerSecond the limit of requests to the cloud
 * @param cloudListingDelay how far the cloud's list of machines may lag behind
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

    /** The resources that a team is guaranteed, and the most it may use, in CPUs and GPUs. */
    public record TeamQuota(String name, Resources guaranteed, Resources limit) {}

    /** An objective for a class of jobs; {@code jobClass} is null if it applies to all classes. */
    public record ServiceLevelTarget(String kind, String jobClass, double thresholdSeconds) {}
}
