package org.meadowhollow.coordination.failover;

/**
 * Settings of the warm standby.
 *
 * @param enabled whether nodes that do not lead replicate the state that a new leader needs
 * @param softwareVersion this program's version, which is sent to other nodes
 * @param zone the zone of this node, which is sent to other nodes
 */
public record StandbySettings(boolean enabled, String softwareVersion, String zone) {
    public static final StandbySettings DISABLED = new StandbySettings(false, "", "");
}
