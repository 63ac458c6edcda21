package org.meadowhollow.coordination.platform;

import org.meadowhollow.model.Revision;

/**
 * What a node says of itself.
 *
 * @param incarnation a random number of this process, so that a restarted one is told from itself
 *     before
 * @param program its version
 * @param schema of the records that it reads and writes
 * @param revision that its image of the records stands at, or {@link Revision#ABSENT} while it has
 *     none
 */
public record NodeStatus(
        String member,
        long incarnation,
        String zone,
        String program,
        int schema,
        Revision revision) {}
