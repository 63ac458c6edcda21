package org.meadowhollow.model;

import java.util.List;

/** A kind of machine that the cloud rents out. */
public record MachineType(
        String name,
        Resources capacity,
        double imageCacheGb,
        double imagePullGbPerSecond,
        double hourlyPrice,
        double hourlySpotPrice,
        double bootSeconds,
        List<String> zones) {}
