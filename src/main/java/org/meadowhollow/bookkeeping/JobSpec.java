package org.meadowhollow.bookkeeping;

import java.util.List;

/**
 * What a user asked for.
 *
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param deadlineS seconds from submission, or NaN for none
 */
public record JobSpec(
        JobId id,
        String jobClass,
        String team,
        Kind kind,
        Priority priority,
        int tasks,
        Resources perTask,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        String image,
        double imageGb,
        double estimateS,
        double checkpointS,
        double saveS,
        double deadlineS) {

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String name) {
        return zone == null || zone.equals(name);
    }

    public boolean saves() {
        return checkpointS > 0;
    }

    /** How many tasks may be in one zone at a time. */
    public int mostPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }
}
