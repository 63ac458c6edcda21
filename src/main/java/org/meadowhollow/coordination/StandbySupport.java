package org.meadowhollow.coordination;

import java.util.Optional;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.failover.Membership;
import org.meadowhollow.coordination.failover.RiskTablePublisher;
import org.meadowhollow.coordination.failover.RiskTableSnapshotStore;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.storage.RecordKeys;

/**
 * Supports a leader's standbys: answers their requests for risk tables, chooses the preferred
 * successor among them, and writes snapshots of the tables. Owns the standbys' last statuses and
 * the publisher of the tables. Guarded by the leader's lock.
 */
final class StandbySupport {
    private final EventLoop loop;
    private final ClusterState clusterState;
    private final boolean standbysEnabled;
    private final Membership membership = new Membership();
    private final RiskTablePublisher riskTablePublisher;
    private final RiskTableSnapshotStore riskTableSnapshots;

    StandbySupport(ControllerServices services, LeadershipTerm term, ClusterState clusterState) {
        DeploymentSettings settings = services.deploymentSettings();
        this.loop = services.loop();
        this.clusterState = clusterState;
        this.standbysEnabled = term.handoverState().wasStandby();
        this.riskTablePublisher = new RiskTablePublisher(term.fencingToken(), standbysEnabled);
        this.riskTableSnapshots =
                new RiskTableSnapshotStore(
                        services.store(),
                        term.leaderKeyRevision(),
                        settings.maxTransactionOperations(),
                        settings.maxValueBytes());
    }

    /** The publisher in which new samples of the risk tables are recorded. */
    RiskTablePublisher riskTablePublisher() {
        return riskTablePublisher;
    }

    /** The response to a standby's request for risk tables; empty if standbys are disabled. */
    Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
        if (!standbysEnabled) {
            return Optional.empty();
        }
        membership.recordStatus(request.requester(), loop.now());
        return Optional.of(
                riskTablePublisher.answerRequest(
                        request, clusterState.machines(), clusterState.riskTables(), loop.now()));
    }

    /** The standby that should be elected next; empty if none is known to qualify. */
    Optional<String> preferredSuccessor() {
        return membership.preferredSuccessor(RecordKeys.SCHEMA_VERSION, loop.now());
    }

    /**
     * Writes the next part of a snapshot when it is due.
     *
     * @param isWriterIdle whether no job records wait to be written; these have precedence
     */
    void writeSnapshotIfDue(boolean isWriterIdle, MonotonicTime now) {
        riskTableSnapshots.writeNext(
                () ->
                        RiskTablePublisher.exportAll(
                                clusterState.machines(), clusterState.riskTables(), now),
                isWriterIdle,
                now,
                loop.wallClockMillis());
    }
}
