package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Optional;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/**
 * An action that a transition requests. The outcome of an effect with an epoch returns as the
 * corresponding {@link LeadershipEvent} with the same epoch.
 */
sealed interface LeadershipEffect {
    /** A request to the key-value store; {@link LeadershipStoreClient} sends it. */
    sealed interface StoreRequest extends LeadershipEffect {}

    /** A request whose reply is the next event of the election, in the same epoch. */
    sealed interface AwaitedRequest extends StoreRequest {
        /** The epoch in which the reply is valid. */
        int epoch();
    }

    /** A notification to other parts of the controller. */
    sealed interface Notification extends LeadershipEffect {}

    // ---- requests to the key-value store ----

    /**
     * Read the leader record.
     *
     * @param afterDelay whether to wait first, because an attempt has failed or this node may not
     *     stand for election yet
     */
    record ReadLeaderKey(int epoch, boolean afterDelay) implements AwaitedRequest {}

    /** Wait until the leader record changes. */
    record WatchLeaderKey(int epoch, Revision afterRevision) implements AwaitedRequest {}

    /**
     * Read the token counter.
     *
     * @param leaderKeyRevision the revision of the leader record that is to be replaced, {@link
     *     Revision#ABSENT} if there is none
     */
    record ReadTokenCounter(int epoch, Revision leaderKeyRevision) implements AwaitedRequest {}

    /**
     * Request a lease for the leader record.
     *
     * @param leaderKeyRevision as in {@link ReadTokenCounter}
     * @param counter the token counter, passed through to the reply
     */
    record GrantLease(int epoch, Revision leaderKeyRevision, Optional<KeyValueStore.Entry> counter)
            implements AwaitedRequest {}

    /**
     * Write the leader record under a lease and raise the token counter, in one transaction.
     *
     * @param expectedLeaderKeyRevision the revision that the leader record must have
     * @param expectedCounterRevision the revision that the token counter must have
     * @param fencingToken the fencing token of the new leadership
     * @param sentAt when the lease was requested
     */
    record ClaimLeaderKey(
            int epoch,
            Revision expectedLeaderKeyRevision,
            Revision expectedCounterRevision,
            FencingToken fencingToken,
            LeaseId lease,
            MonotonicTime sentAt)
            implements AwaitedRequest {}

    /**
     * Renew this node's lease.
     *
     * @param sentAt the current time
     */
    record RenewLease(int epoch, LeaseId lease, MonotonicTime sentAt) implements AwaitedRequest {}

    /**
     * Delete the leader record, and write into the token counter which member should be elected
     * next.
     *
     * @param expectedLeaderKeyRevision the revision that the leader record must have
     * @param fencingToken the fencing token of the leadership that ends
     * @param reason as in {@link LeadershipEvent.ReleaseRequested}
     * @param preferredSuccessor as in {@link LeadershipEvent.ReleaseRequested}
     */
    record ReleaseLeaderKey(
            int epoch,
            LeaseId lease,
            Revision expectedLeaderKeyRevision,
            FencingToken fencingToken,
            ReleaseReason reason,
            String preferredSuccessor)
            implements AwaitedRequest {}

    /** Revoke a lease that this node no longer uses. The reply is ignored. */
    record RevokeOwnLease(LeaseId lease) implements StoreRequest {}

    /**
     * Revoke the lease of a leader whose process has ended.
     *
     * @param departureCount how often workers have left the leader, for the log
     */
    record RevokeSuspectLease(int epoch, String suspect, LeaseId lease, int departureCount)
            implements StoreRequest {}

    // ---- timers and probes ----

    /** Check after the renewal check interval whether a renewal is due. */
    record ScheduleRenewalCheck(int epoch) implements LeadershipEffect {}

    /**
     * Probe a suspected leader.
     *
     * @param probesSent the number of probes sent before this one
     * @param consecutiveRefusals the number of consecutive refused probes directly before this one
     * @param delay the time to wait before the probe is sent, possibly zero
     */
    record ProbeSuspect(
            int epoch, String suspect, int probesSent, int consecutiveRefusals, Duration delay)
            implements LeadershipEffect {}

    // ---- notifications ----

    /**
     * This node has been elected leader.
     *
     * @param leaderKeyRevision the revision of the transaction that wrote the leader record
     * @param vacantSince when this node first saw that there was no leader, or null if it did not
     */
    record NotifyElected(
            FencingToken fencingToken, Revision leaderKeyRevision, MonotonicTime vacantSince)
            implements Notification {}

    /**
     * This node no longer leads.
     *
     * @param reason for the log
     */
    record NotifyLeadershipLost(FencingToken fencingToken, String reason) implements Notification {}

    /** Another member is believed to lead. */
    record NotifyFollowing(String leader) implements Notification {}
}
