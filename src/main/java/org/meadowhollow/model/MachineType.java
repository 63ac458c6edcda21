package org.meadowhollow.model;

import java.util.List;

/**
 * A machine type that the cloud provider offers.
 *
 * @param capacity the resources that tasks can take
 * @param imageCacheGb how much the cache of container images holds, in gigabytes
 * @param imagePullGbPerSecond how fast container images are pulled, in gigabytes per second
 * @param hourlyPrice the price per hour on demand
 * @param hourlySpotPrice the price per hour as a spot instance
 * @param bootSeconds how long a machine takes to boot, as the provider gives it
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
