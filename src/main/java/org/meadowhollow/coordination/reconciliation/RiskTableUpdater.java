package org.meadowhollow.coordination.reconciliation;

import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.failover.RiskTablePublisher;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;

/**
 * Updates the machines' risk tables with their heartbeats, and publishes each sample to the
 * standbys. Guarded by the leader's lock.
 */
public final class RiskTableUpdater {
    private final ClusterState clusterState;
    private final HandoverState handoverState;
    private final RiskTablePublisher riskTablePublisher;

    /** Creates an updater of the tables in {@code clusterState}. */
    public RiskTableUpdater(
            ClusterState clusterState,
            HandoverState handoverState,
            RiskTablePublisher riskTablePublisher) {
        this.clusterState = clusterState;
        this.handoverState = handoverState;
        this.riskTablePublisher = riskTablePublisher;
    }

    /**
     * Takes over the risk table that this node replicated for a machine when the machine's first
     * heartbeat arrives.
     */
    void inheritTable(Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        handoverState
                .takeTable(heartbeat, now)
                .ifPresent(table -> clusterState.riskTables().put(machine.id(), table));
    }

    /** Records one sample of a machine's allocation and of the tasks lost on it. */
    void recordSample(Machine machine, MonotonicTime now) {
        int sample =
                clusterState
                        .riskTables()
                        .get(machine.id())
                        .recordSample(
                                machine.placements().size(),
                                machine.allocated().dominantShareOf(machine.type().capacity()),
                                machine.takeLostTaskCount(),
                                now);
        riskTablePublisher.recordSample(machine, sample, now);
    }
}
