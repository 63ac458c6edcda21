package org.meadowhollow.protocol.peers;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.meadowhollow.model.MachineId;

/** Knows which machines have sent a heartbeat to this node lately. */
@FunctionalInterface
public interface RecentHeartbeatSource {
    /** Those of the machines whose last heartbeat came within a time before now. */
    Set<MachineId> recentlyHeard(List<MachineId> machines, Duration within);
}
