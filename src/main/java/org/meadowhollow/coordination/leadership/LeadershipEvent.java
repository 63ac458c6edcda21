package org.meadowhollow.coordination.leadership;

import java.util.Optional;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/** What can happen to a node's leadership. Answers name the epoch that they were asked for in. */
sealed interface LeadershipEvent {
    record Started() implements LeadershipEvent {}

    /**
     * The leader's key was read.
     *
     * @param page null if it could not be
     */
    record LeaderKeyRead(int epoch, KeyValueStore.Page page) implements LeadershipEvent {}

    /**
     * The watch of the leader's key has ended.
     *
     * @param changes null if it failed
     */
    record LeaderKeyWatchEnded(int epoch, KeyValueStore.ChangeBatch changes)
            implements LeadershipEvent {}

    /**
     * The record of terms was read.
     *
     * @param leaderKeyRevision the version of the leader's key for which it was
     * @param counter null if it could not be
     * @param workersReachNode whether workers have come to this node lately
     */
    record TokenCounterRead(
            int epoch,
            Revision leaderKeyRevision,
            Optional<KeyValueStore.Entry> counter,
            boolean workersReachNode)
            implements LeadershipEvent {}

    /**
     * A lease was asked for.
     *
     * @param lease null if there is none
     */
    record LeaseGrantCompleted(
            int epoch,
            Revision leaderKeyRevision,
            Optional<KeyValueStore.Entry> counter,
            LeaseId lease,
            MonotonicTime sentAt)
            implements LeadershipEvent {}

    /**
     * The key was claimed.
     *
     * @param commit null if that was not answered
     */
    record LeaderKeyClaimCompleted(
            int epoch,
            FencingToken fencingToken,
            LeaseId lease,
            MonotonicTime sentAt,
            KeyValueStore.CommitResult commit)
            implements LeadershipEvent {}

    /** A timer's turn, by which a renewal may be due. */
    record RenewalTimerFired(int epoch) implements LeadershipEvent {}

    /** Long work has come to a point at which a renewal may be sent. */
    record RenewalCheckpointReached() implements LeadershipEvent {}

    enum RenewalOutcome {
        RENEWED,
        LEASE_EXPIRED,
        UNKNOWN
    }

    record RenewalCompleted(int epoch, MonotonicTime sentAt, RenewalOutcome outcome)
            implements LeadershipEvent {}

    /**
     * All changes of jobs up to a moment are known here.
     *
     * @param fencingToken of the leadership that knows them
     * @param freshAsOf when the request was sent whose answer showed the last of them
     */
    record FreshnessAdvanced(FencingToken fencingToken, MonotonicTime freshAsOf)
            implements LeadershipEvent {}

    /** A peer or a worker told of a term. */
    record TokenObserved(FencingToken fencingToken, String leader) implements LeadershipEvent {}

    /** A write has shown that the key is not this node's any more. */
    record LeaderKeyLost() implements LeadershipEvent {}

    /**
     * The lease is to be given up.
     *
     * @param becauseIsolated whether because hardly any worker is heard, or else because the
     *     process is to end
     * @param preferredSuccessor the node that is to take it, or null
     */
    record ReleaseRequested(boolean becauseIsolated, String preferredSuccessor)
            implements LeadershipEvent {}

    /**
     * @param commit null if that was not answered, or refused
     * @param refused whether it is certain that nothing was and will be executed
     */
    record ReleaseCompleted(
            int epoch,
            LeaseId lease,
            boolean becauseIsolated,
            String preferredSuccessor,
            KeyValueStore.CommitResult commit,
            boolean refused)
            implements LeadershipEvent {}

    /** A worker has come that has left the leader. */
    record WorkerArrived(MachineId worker, FencingToken shownToken) implements LeadershipEvent {}

    /** A leader that may have ended was asked, or could not be. */
    record ProbeCompleted(
            int epoch,
            String suspect,
            int probesSent,
            int consecutiveRefusals,
            PeerGateway.ProbeResult probeResult)
            implements LeadershipEvent {}

    /** Another leader's lease could not be ended. */
    record RevocationFailed(int epoch, String suspect, LeaseId lease) implements LeadershipEvent {}

    /** A worker was heard of again. */
    record WorkerContactRestored() implements LeadershipEvent {}
}
