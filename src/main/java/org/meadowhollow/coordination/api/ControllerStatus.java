package org.meadowhollow.coordination.api;

import org.meadowhollow.model.Revision;

/**
 * The status that a controller node sends to its peers.
 *
 * @param processIncarnation a random number that distinguishes this process from an earlier one of
 *     the same node
 * @param softwareVersion the version of its program
 * @param schemaVersion the version of the records that it reads and writes
 * @param replicaRevision the revision of its replica of the records, or {@link Revision#ABSENT}
 *     while it has none
 */
public record ControllerStatus(
        String member,
        long processIncarnation,
        String zone,
        String softwareVersion,
        int schemaVersion,
        Revision replicaRevision) {}
