package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Optional;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/**
 * What a transition asks for. An effect with an epoch is answered by the event of the same name
 * with the same epoch.
 */
sealed interface LeadershipEffect {
    /** A request to the key-value store; {@link LeadershipStoreClient} sends it. */
    sealed interface StoreRequest extends LeadershipEffect {}

    /** Something that other parts of the controller are told. */
    sealed interface Notification extends LeadershipEffect {}

    // ---- requests to the key-value store ----

    /**
     * Read the leader record.
     *
     * @param afterDelay whether to wait first, because an attempt has failed or it is not this
     *     node's turn to stand for election
     */
    record ReadLeaderKey(int epoch, boolean afterDelay) implements StoreRequest {}

    /** Wait until the leader record changes. */
    record WatchLeaderKey(int epoch, Revision afterRevision) implements StoreRequest {}

    /**
     * Read the token counter.
     *
     * @param leaderKeyRevision of the leader record that is to be replaced, {@link Revision#ABSENT}
     *     if there is none
     */
    record ReadTokenCounter(int epoch, Revision leaderKeyRevision) implements StoreRequest {}

    /**
     * Request a lease for the leader record.
     *
     * @param leaderKeyRevision as in {@link ReadTokenCounter}
     * @param counter the token counter, passed through to the reply
     */
    record GrantLease(int epoch, Revision leaderKeyRevision, Optional<KeyValueStore.Entry> counter)
            implements StoreRequest {}

    /**
     * Write the leader record under a lease and raise the token counter, in one transaction.
     *
     * @param expectedLeaderKeyRevision the revision that the leader record must have
     * @param expectedCounterRevision the revision that the token counter must have
     * @param fencingToken of the new leadership
     * @param sentAt when the lease was requested
     */
    record ClaimLeaderKey(
            int epoch,
            Revision expectedLeaderKeyRevision,
            Revision expectedCounterRevision,
            FencingToken fencingToken,
            LeaseId lease,
            MonotonicTime sentAt)
            implements StoreRequest {}

    /**
     * Renew this node's lease.
     *
     * @param sentAt now
     */
    record RenewLease(int epoch, LeaseId lease, MonotonicTime sentAt) implements StoreRequest {}

    /**
     * Delete the leader record, and write into the token counter who should be elected next.
     *
     * @param expectedLeaderKeyRevision the revision that the leader record must have
     * @param fencingToken of the leadership that ends
     * @param becauseIsolated as in {@link LeadershipEvent.ReleaseRequested}
     * @param preferredSuccessor as in {@link LeadershipEvent.ReleaseRequested}
     */
    record ReleaseLeaderKey(
            int epoch,
            LeaseId lease,
            Revision expectedLeaderKeyRevision,
            FencingToken fencingToken,
            boolean becauseIsolated,
            String preferredSuccessor)
            implements StoreRequest {}

    /** Revoke a lease of this node that has no further use. The reply does not matter. */
    record RevokeOwnLease(LeaseId lease) implements StoreRequest {}

    /**
     * Revoke the lease of a leader whose process has ended.
     *
     * @param departureCount how many workers have left it, for the log
     */
    record RevokeSuspectLease(int epoch, String suspect, LeaseId lease, int departureCount)
            implements StoreRequest {}

    // ---- timers and probes ----

    /** Check after the renewal check interval whether a renewal is due. */
    record ScheduleRenewalCheck(int epoch) implements LeadershipEffect {}

    /**
     * Probe a suspected leader.
     *
     * @param probesSent how many probes went before
     * @param consecutiveRefusals how many of the probes just before were refused
     * @param delay after which to send it, zero for at once
     */
    record ProbeSuspect(
            int epoch, String suspect, int probesSent, int consecutiveRefusals, Duration delay)
            implements LeadershipEffect {}

    // ---- notifications ----

    /**
     * This node leads.
     *
     * @param leaderKeyRevision the revision of the transaction that wrote the leader record
     * @param vacantSince when this node saw that there is no leader, or null if it never did
     */
    record NotifyElected(
            FencingToken fencingToken, Revision leaderKeyRevision, MonotonicTime vacantSince)
            implements Notification {}

    /**
     * This node does not lead any more.
     *
     * @param reason for the log
     */
    record NotifyLeadershipLost(FencingToken fencingToken, String reason) implements Notification {}

    /** Another member leads, as far as is known. */
    record NotifyFollowing(String leader) implements Notification {}
}
