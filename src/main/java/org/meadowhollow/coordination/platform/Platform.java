package org.meadowhollow.coordination.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Resources;

/**
 * What the platform's settings say of a deployment.
 *
 * @param team limits by name; 0 in a limit means none
 */
public record Platform(
        String member,
        List<String> zones,
        Map<String, Team> teams,
        List<Objective> objectives,
        Duration reportEvery,
        Duration lease,
        Duration gangWait,
        Duration cancelWithin,
        double stateRps,
        double stateWriteRps,
        int valueBytes,
        int txnOps,
        double cloudRps,
        Duration listLag) {

    /** What a team is guaranteed and what it may use at most, in cpu and gpu. */
    public record Team(String name, Resources guaranteed, Resources most) {}

    /** An aim for a class of jobs; {@code jobClass} is null where it holds for all. */
    public record Objective(String kind, String jobClass, double withinS) {}
}
