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
    record Look(int epoch, boolean later) implements LeadershipEffect {}

    /** Wait until the leader's key changes. */
    record Watch(int epoch, Revision after) implements LeadershipEffect {}

    record ReadCounter(int epoch, Revision seen) implements LeadershipEffect {}

    record Grant(int epoch, Revision seen, Optional<KeyValueStore.Entry> counter)
            implements LeadershipEffect {}

    /**
     * Take the key and raise the term.
     *
     * @param leader the version that the leader's key must have
     * @param counter the version that the record of terms must have
     */
    record Claim(
            int epoch,
            Revision leader,
            Revision counter,
            FencingToken term,
            LeaseId lease,
            MonotonicTime sentAt)
            implements LeadershipEffect {}

    /** Let a tick come. */
    record TickLater(int epoch) implements LeadershipEffect {}

    record Renew(int epoch, LeaseId lease, MonotonicTime sentAt) implements LeadershipEffect {}

    /** Remove the key, and note in the record of terms who should take it. */
    record GiveUp(
            int epoch,
            LeaseId lease,
            Revision leader,
            FencingToken term,
            boolean forWantOfHearing,
            String heir)
            implements LeadershipEffect {}

    /** End an own lease that is of no use any more. */
    record Revoke(LeaseId lease) implements LeadershipEffect {}

    /** End the lease of a leader whose process has ended. */
    record RevokeOf(int epoch, String suspect, LeaseId lease, int left)
            implements LeadershipEffect {}

    record Ask(int epoch, String suspect, int asked, int refused, Duration pause)
            implements LeadershipEffect {}

    record Elected(FencingToken term, Revision leaderVersion, MonotonicTime noticedAt)
            implements LeadershipEffect {}

    record Deposed(FencingToken term, String why) implements LeadershipEffect {}

    record Following(String leader) implements LeadershipEffect {}
}
