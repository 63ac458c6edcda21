package org.meadowhollow.coordination.leadership;

import java.util.Optional;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/**
 * An input of {@link LeadershipStateMachine}: a reply, a timer, or a report from another part of
 * the controller.
 */
sealed interface LeadershipEvent {
    /**
     * The reply to an effect of an epoch, or a timer that an effect started. It is ignored once
     * that epoch is over, so that requests of a former leadership have no effect on the next one.
     */
    sealed interface EpochBound extends LeadershipEvent {
        /** Returns the epoch of the effect, see {@link LeadershipState#epoch()}. */
        int epoch();
    }

    // ---- replies and timers ----

    /**
     * The leader record was read.
     *
     * @param page null if the read failed
     */
    record LeaderKeyRead(int epoch, KeyValueStore.Page page) implements EpochBound {}

    /**
     * The watch of the leader record ended.
     *
     * @param changes null if the watch failed; without changes if it timed out
     */
    record LeaderKeyWatchEnded(int epoch, KeyValueStore.ChangeBatch changes)
            implements EpochBound {}

    /**
     * The token counter was read.
     *
     * @param leaderKeyRevision the revision of the leader record for which it was read
     * @param counter null if the read failed; empty if there is no token counter
     * @param workersReachNode whether several workers have reached this node recently
     */
    record TokenCounterRead(
            int epoch,
            Revision leaderKeyRevision,
            Optional<KeyValueStore.Entry> counter,
            boolean workersReachNode)
            implements EpochBound {}

    /**
     * The request for a lease ended.
     *
     * @param leaderKeyRevision as in {@link TokenCounterRead}
     * @param counter the token counter that was read before
     * @param lease null if the request failed
     * @param sentAt when the request was sent; this node counts the lease from then
     */
    record LeaseGrantCompleted(
            int epoch,
            Revision leaderKeyRevision,
            Optional<KeyValueStore.Entry> counter,
            LeaseId lease,
            MonotonicTime sentAt)
            implements EpochBound {}

    /**
     * The transaction that writes the leader record ended.
     *
     * @param sentAt when the lease was requested
     * @param commit null if there was no reply, so that the transaction may have been executed or
     *     may still be
     */
    record LeaderKeyClaimCompleted(
            int epoch,
            FencingToken fencingToken,
            LeaseId lease,
            MonotonicTime sentAt,
            KeyValueStore.CommitResult commit)
            implements EpochBound {}

    /** The timer fired that checks whether a renewal is due. */
    record RenewalTimerFired(int epoch) implements EpochBound {}

    /** The outcome of a renewal. */
    enum RenewalOutcome {
        /** The lease was extended. */
        RENEWED,
        /** The store no longer knows the lease. */
        LEASE_EXPIRED,
        /** No reply; the lease may or may not have been extended. */
        UNKNOWN
    }

    /**
     * A renewal of this node's lease ended.
     *
     * @param sentAt when the renewal was sent
     */
    record RenewalCompleted(int epoch, MonotonicTime sentAt, RenewalOutcome outcome)
            implements EpochBound {}

    /**
     * The transaction that releases the lease ended.
     *
     * @param reason as in {@link ReleaseRequested}
     * @param preferredSuccessor as in {@link ReleaseRequested}
     * @param commit null if there was no reply or the transaction was refused
     * @param refused whether the store refused the transaction, so that it certainly was not and
     *     will not be executed
     */
    record ReleaseCompleted(
            int epoch,
            LeaseId lease,
            ReleaseReason reason,
            String preferredSuccessor,
            KeyValueStore.CommitResult commit,
            boolean refused)
            implements EpochBound {}

    /** The lease of a suspected leader could not be revoked. */
    record RevocationFailed(int epoch, String suspect, LeaseId lease) implements EpochBound {}

    /**
     * A suspected leader was probed. Not {@link EpochBound}: the result of a probe that was sent in
     * an earlier epoch still clears the suspicion of that epoch.
     *
     * @param suspect the member that was probed
     * @param probesSent the number of probes sent before this one
     * @param consecutiveRefusals the number of consecutive refused probes directly before this one
     */
    record ProbeCompleted(
            int epoch,
            String suspect,
            int probesSent,
            int consecutiveRefusals,
            PeerGateway.ProbeResult probeResult)
            implements LeadershipEvent {}

    // ---- inputs from other parts of the controller ----

    /** The node has started. */
    record Started() implements LeadershipEvent {}

    /** Long-running work has reached a point at which a renewal may be sent. */
    record RenewalCheckpointReached() implements LeadershipEvent {}

    /**
     * This node knows all changes of jobs up to a moment.
     *
     * @param fencingToken the fencing token of the leadership that read the changes
     * @param freshAsOf when the request was sent whose response contained the last of them
     */
    record FreshnessAdvanced(FencingToken fencingToken, MonotonicTime freshAsOf)
            implements LeadershipEvent {}

    /**
     * A peer or a worker has shown a fencing token.
     *
     * @param leader the member that the token belongs to, or null if that is not known
     */
    record TokenObserved(FencingToken fencingToken, String leader) implements LeadershipEvent {}

    /** The leadership with this fencing token has loaded more of the records of earlier leaders. */
    record RecoveryProgressed(FencingToken fencingToken) implements LeadershipEvent {}

    /** A write found that the leader record is no longer this node's. */
    record LeaderKeyLost() implements LeadershipEvent {}

    /**
     * The release of this node's lease was requested.
     *
     * @param reason why the lease is released
     * @param preferredSuccessor the member that should be elected, or null
     */
    record ReleaseRequested(ReleaseReason reason, String preferredSuccessor)
            implements LeadershipEvent {}

    /**
     * A worker has sent a heartbeat to this node instead of to the leader that answered it last.
     *
     * @param shownToken the fencing token of that leader
     */
    record WorkerArrived(MachineId worker, FencingToken shownToken) implements LeadershipEvent {}

    /** A worker has reached this node again after it was isolated. */
    record WorkerContactRestored() implements LeadershipEvent {}
}
