package org.meadowhollow.coordination.leadership;

import java.util.Optional;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/** What can happen to the leadership of a node: an input of {@link LeadershipStateMachine}. */
sealed interface LeadershipEvent {
    /**
     * The reply to an effect of an epoch, or its timer. It is ignored once that epoch is over, so
     * that what a former leadership began does not act on the next.
     */
    sealed interface EpochBound extends LeadershipEvent {
        /** The epoch of the effect, see {@link LeadershipState#epoch()}. */
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
     * @param counter null if the read failed; empty if there is none
     * @param workersReachNode whether several workers have reached this node lately
     */
    record TokenCounterRead(
            int epoch,
            Revision leaderKeyRevision,
            Optional<KeyValueStore.Entry> counter,
            boolean workersReachNode)
            implements EpochBound {}

    /**
     * A lease was requested.
     *
     * @param leaderKeyRevision as in {@link TokenCounterRead}
     * @param counter the token counter that was read before
     * @param lease null if the request failed
     * @param sentAt when the request was sent, from when on the lease counts
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
     * @param commit null if there was no reply, so that it may have been or may yet be executed
     */
    record LeaderKeyClaimCompleted(
            int epoch,
            FencingToken fencingToken,
            LeaseId lease,
            MonotonicTime sentAt,
            KeyValueStore.CommitResult commit)
            implements EpochBound {}

    /** The timer that checks whether a renewal is due. */
    record RenewalTimerFired(int epoch) implements EpochBound {}

    /** How a renewal ended. */
    enum RenewalOutcome {
        /** The lease was extended. */
        RENEWED,
        /** The store does not know the lease any more. */
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
     * @param becauseIsolated as in {@link ReleaseRequested}
     * @param preferredSuccessor as in {@link ReleaseRequested}
     * @param commit null if there was no reply, or it was refused
     * @param refused whether it certainly was not and will not be executed
     */
    record ReleaseCompleted(
            int epoch,
            LeaseId lease,
            boolean becauseIsolated,
            String preferredSuccessor,
            KeyValueStore.CommitResult commit,
            boolean refused)
            implements EpochBound {}

    /** The lease of a suspected leader could not be revoked. */
    record RevocationFailed(int epoch, String suspect, LeaseId lease) implements EpochBound {}

    /**
     * A suspected leader was probed. Not {@link EpochBound}: a probe that an earlier epoch began
     * ends that epoch's suspicion when it returns.
     *
     * @param suspect the member that was probed
     * @param probesSent how many probes went before this one
     * @param consecutiveRefusals how many of the probes just before this one were refused
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

    /** Long work has reached a point at which a renewal may be sent. */
    record RenewalCheckpointReached() implements LeadershipEvent {}

    /**
     * This node knows all changes of jobs up to a moment.
     *
     * @param fencingToken of the leadership for which they were read
     * @param freshAsOf when the request was sent whose answer showed the last of them
     */
    record FreshnessAdvanced(FencingToken fencingToken, MonotonicTime freshAsOf)
            implements LeadershipEvent {}

    /**
     * A peer or a worker has shown a fencing token.
     *
     * @param leader the member that it belongs to, or null if that is not known
     */
    record TokenObserved(FencingToken fencingToken, String leader) implements LeadershipEvent {}

    /** A write has shown that the leader record is not this node's any more. */
    record LeaderKeyLost() implements LeadershipEvent {}

    /**
     * This node is to release its lease.
     *
     * @param becauseIsolated true if hardly any worker reaches this node, false if its process is
     *     about to end
     * @param preferredSuccessor the member that should be elected, or null
     */
    record ReleaseRequested(boolean becauseIsolated, String preferredSuccessor)
            implements LeadershipEvent {}

    /**
     * A worker has turned to this node instead of to the leader that answered it last.
     *
     * @param shownToken the fencing token of that leader
     */
    record WorkerArrived(MachineId worker, FencingToken shownToken) implements LeadershipEvent {}

    /** A worker has reached this node again after it was isolated. */
    record WorkerContactRestored() implements LeadershipEvent {}
}
