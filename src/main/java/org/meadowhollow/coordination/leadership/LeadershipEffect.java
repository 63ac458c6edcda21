package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Optional;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/** What a step asks for; those with an epoch are answered by an event with the same one. */
sealed interface LeadershipEffect {
    /** Read the leader's key, after a pause if {@code later}. */
    record ReadLeaderKey(int epoch, boolean afterDelay) implements LeadershipEffect {}

    /** Wait until the leader's key changes. */
    record WatchLeaderKey(int epoch, Revision afterRevision) implements LeadershipEffect {}

    record ReadTokenCounter(int epoch, Revision leaderKeyRevision) implements LeadershipEffect {}

    record GrantLease(int epoch, Revision leaderKeyRevision, Optional<KeyValueStore.Entry> counter)
            implements LeadershipEffect {}

    /**
     * Take the key and raise the term.
     *
     * @param expectedLeaderKeyRevision the version that the leader's key must have
     * @param expectedCounterRevision the version that the record of terms must have
     */
    record ClaimLeaderKey(
            int epoch,
            Revision expectedLeaderKeyRevision,
            Revision expectedCounterRevision,
            FencingToken fencingToken,
            LeaseId lease,
            MonotonicTime sentAt)
            implements LeadershipEffect {}

    /** Let a tick come. */
    record ScheduleRenewalCheck(int epoch) implements LeadershipEffect {}

    record RenewLease(int epoch, LeaseId lease, MonotonicTime sentAt) implements LeadershipEffect {}

    /** Remove the key, and note in the record of terms who should take it. */
    record ReleaseLeaderKey(
            int epoch,
            LeaseId lease,
            Revision expectedLeaderKeyRevision,
            FencingToken fencingToken,
            boolean becauseIsolated,
            String preferredSuccessor)
            implements LeadershipEffect {}

    /** End an own lease that is of no use any more. */
    record RevokeOwnLease(LeaseId lease) implements LeadershipEffect {}

    /** End the lease of a leader whose process has ended. */
    record RevokeSuspectLease(int epoch, String suspect, LeaseId lease, int departureCount)
            implements LeadershipEffect {}

    record ProbeSuspect(
            int epoch, String suspect, int probesSent, int consecutiveRefusals, Duration delay)
            implements LeadershipEffect {}

    record NotifyElected(
            FencingToken fencingToken, Revision leaderKeyRevision, MonotonicTime vacantSince)
            implements LeadershipEffect {}

    record NotifyLeadershipLost(FencingToken fencingToken, String reason)
            implements LeadershipEffect {}

    record NotifyFollowing(String leader) implements LeadershipEffect {}
}
