package org.meadowhollow.coordination.succession;

/**
 * Whether nodes that do not lead keep warm what a successor needs.
 *
 * @param program this program's version, as other nodes are told
 * @param zone that this node is in, as other nodes are told
 */
public record StandbySettings(boolean on, String program, String zone) {
    public static final StandbySettings OFF = new StandbySettings(false, "", "");
}
