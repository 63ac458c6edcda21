package org.meadowhollow.coordination.api;

import org.meadowhollow.model.Revision;

/**
 * What a controller node tells its peers about itself.
 *
 * @param processIncarnation a random number of this process, so that a restarted one is told from
 *     itself before
 * @param softwareVersion the version of its program
 * @param schemaVersion the version of the records that it reads and writes
 * @param replicaRevision the revision that its replica of the records has reached, or {@link
 *     Revision#ABSENT} while it has none
 */
public record ControllerStatus(
        String member,
        long processIncarnation,
        String zone,
        String softwareVersion,
        int schemaVersion,
        Revision replicaRevision) {}
