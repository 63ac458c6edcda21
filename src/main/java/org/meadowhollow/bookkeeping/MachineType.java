package org.meadowhollow.bookkeeping;

import java.util.List;

/** A kind of machine that the cloud rents out. */
public record MachineType(
        String name,
        Resources room,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {}
