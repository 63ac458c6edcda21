package org.meadowhollow.coordination.rounds;

import java.util.List;
import java.util.Set;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.model.MachineId;

/**
 * Receives the capacity that a scheduling round found lacking. Called with the leader's lock held.
 */
@FunctionalInterface
public interface CapacityDemandSink {
    /**
     * Replaces the demand of the previous round.
     *
     * @param retainedMachines machines that must not be returned to the cloud
     */
    void updateCapacityDemand(
            List<Autoscaler.CapacityDemand> demands, Set<MachineId> retainedMachines);
}
