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
 * What a leader does for its standbys: answers their requests for risk tables, knows which of them
 * could succeed it best, and writes snapshots of the tables. Owns the standbys' last statuses and
 * the tables' feed. Guarded by the leader's lock.
 */
final class StandbySupport {
    private final EventLoop loop;
    private final ClusterState clusterState;
    private final boolean warm;
    private final Membership membership = new Membership();
    private final RiskTablePublisher riskTablePublisher;
    private final RiskTableSnapshotStore riskTableSnapshots;

    StandbySupport(ControllerServices services, LeadershipTerm term, ClusterState clusterState) {
        DeploymentSettings settings = services.deploymentSettings();
        this.loop = services.loop();
        this.clusterState = clusterState;
        this.warm = term.handoverState().isWarm();
        this.riskTablePublisher = new RiskTablePublisher(term.fencingToken(), warm);
        this.riskTableSnapshots =
                new RiskTableSnapshotStore(
                        services.store(),
                        term.leaderKeyRevision(),
                        settings.maxTransactionOperations(),
                        settings.maxValueBytes());
    }

    /** The feed to which samples of the risk tables go. */
    RiskTablePublisher riskTablePublisher() {
        return riskTablePublisher;
    }

    /** What the tables have learned since a standby last asked; empty unless standbys are on. */
    Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
        if (!warm) {
            return Optional.empty();
        }
        membership.recordStatus(request.requester(), loop.now());
        return Optional.of(
                riskTablePublisher.answerRequest(
                        request, clusterState.machines(), clusterState.riskTables(), loop.now()));
    }

    /** The standby that could take over best, as far as is known. */
    Optional<String> preferredSuccessor() {
        return membership.preferredSuccessor(RecordKeys.SCHEMA_VERSION, loop.now());
    }

    /**
     * Writes the next part of a snapshot when it is due.
     *
     * @param isWriterIdle whether no records of jobs wait to be written, which go first
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
