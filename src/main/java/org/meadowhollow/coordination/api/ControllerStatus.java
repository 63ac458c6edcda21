package org.meadowhollow.coordination.api;

import org.meadowhollow.model.Revision;

/**
 * What a node says of itself.
 *
 * @param processIncarnation a random number of this process, so that a restarted one is told from
 *     itself before
 * @param softwareVersion its version
 * @param schemaVersion of the records that it reads and writes
 * @param replicaRevision that its image of the records stands at, or {@link Revision#ABSENT} while
 *     it has none
 */
public record ControllerStatus(
        String member,
        long processIncarnation,
        String zone,
        String softwareVersion,
        int schemaVersion,
        Revision replicaRevision) {}
