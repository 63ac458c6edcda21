package org.meadowhollow.protocol.peers;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.meadowhollow.model.MachineId;

/** Tells which machines have recently sent a heartbeat to this node. */
@FunctionalInterface
public interface RecentHeartbeatSource {
    /** Returns the given machines whose last heartbeat arrived within the given time before now. */
    Set<MachineId> recentlyHeard(List<MachineId> machines, Duration within);
}
