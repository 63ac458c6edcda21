package org.meadowhollow.model;

import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param capacity the resources that are available to tasks
 * @param imageCacheGb the capacity of the container image cache, in gigabytes
 * @param imagePullGbPerSecond the rate at which container images are pulled, in gigabytes per
 *     second
 * @param hourlyPrice the price per hour on demand
 * @param hourlySpotPrice the price per hour as a spot instance
 * @param bootSeconds the time that a machine takes to boot, as stated by the cloud
 * @param zones the zones in which the type is offered
 */
public record MachineType(
        String name,
        Resources capacity,
        double imageCacheGb,
        double imagePullGbPerSecond,
        double hourlyPrice,
        double hourlySpotPrice,
        double bootSeconds,
        List<String> zones) {}
