package org.meadowhollow.coordination.recovery;

import java.time.Duration;
import java.util.Optional;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.failover.RiskTableSnapshotStore;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Restores the machines' risk tables from the snapshot in the key-value store, for a leader that
 * inherited none as a standby. Tracks whether all existing tables are known to this leader. Guarded
 * by the leader's lock; methods take the lock themselves unless they are documented as called with
 * it held.
 */
public final class RiskTableRestorer {
    private static final Logger LOG = LoggerFactory.getLogger(RiskTableRestorer.class);

    /**
     * The delay before the snapshot is read again after a failure. It is not overwritten until it
     * has been read.
     */
    private static final Duration READ_RETRY_DELAY = Duration.ofSeconds(2);

    /** The delay between two batches of restored tables. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(200);

    private final RecoveryContext context;
    private final ClusterState clusterState;
    private final HandoverState handoverState;
    private boolean started;
    private boolean complete;

    /** Creates a restorer into {@code clusterState}. */
    public RiskTableRestorer(
            RecoveryContext context, ClusterState clusterState, HandoverState handoverState) {
        this.context = context;
        this.clusterState = clusterState;
        this.handoverState = handoverState;
    }

    /**
     * Begins the restoration; later calls have no effect. Called with the leader's lock held.
     *
     * @return whether the stored snapshot must be read, with {@link #readSnapshot}
     */
    public boolean beginRestoration() {
        if (started) {
            return false;
        }
        started = true;
        complete = !handoverState.hasNoTables();
        return !complete;
    }

    /**
     * Whether all existing tables are known to this leader. Until then it must not store a
     * snapshot, which would replace one with more tables. Called with the leader's lock held.
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Reads the stored snapshot, and repeats a failed read until it succeeds. Called without the
     * leader's lock.
     */
    public void readSnapshot() {
        RepeatingSteps.handle(
                context.loop(),
                RepeatingStep.RISK_TABLE_RESTORE,
                RiskTableSnapshotStore.read(context.store(), context.loop()),
                this::onSnapshotRead,
                this::readSnapshotLater);
    }

    private void readSnapshotLater() {
        if (!context.listener().isClosed()) {
            context.loop().schedule(READ_RETRY_DELAY, this::readSnapshot);
        }
    }

    private void onSnapshotRead(
            Optional<RiskTableSnapshotStore.StoredTables> read, Throwable failure) {
        if (failure != null) {
            readSnapshotLater();
            return;
        }
        synchronized (context.lock()) {
            read.ifPresent(
                    snapshot -> handoverState.addSnapshotTables(snapshot, context.loop().now()));
        }
        restoreBatch();
    }

    private void restoreBatch() {
        RepeatingSteps.run(
                context.loop(),
                RepeatingStep.RISK_TABLE_RESTORE,
                this::restoreNextTables,
                this::restoreBatchLater);
    }

    private void restoreBatchLater() {
        context.loop().schedule(BATCH_INTERVAL, this::restoreBatch);
    }

    private void restoreNextTables() {
        synchronized (context.lock()) {
            context.listener().renewLeadershipIfDue();
            if (context.listener().isClosed()) {
                return;
            }
            if (handoverState.restoreSnapshotTables(
                    clusterState.machines(), clusterState.riskTables(), context.loop().now())) {
                restoreBatchLater();
            } else {
                complete = true;
                LOG.info(
                        "risk tables restored tables={} source=key-value store",
                        handoverState.inheritedTableCount());
            }
        }
    }
}
