package org.meadowhollow.coordination.failover;

/**
 * Whether nodes that do not lead keep warm what a successor needs.
 *
 * @param programVersion this program's version, as other nodes are told
 * @param zone that this node is in, as other nodes are told
 */
public record StandbySettings(boolean enabled, String programVersion, String zone) {
    public static final StandbySettings DISABLED = new StandbySettings(false, "", "");
}
