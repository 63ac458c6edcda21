package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Optional;
import org.meadowhollow.bookkeeping.LeaseId;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.bookkeeping.Version;

/** What a step asks for; those with an epoch are answered by an event with the same one. */
sealed interface LeadershipEffect {
    /** Read the leader's key, after a pause if {@code later}. */
    record Look(int epoch, boolean later) implements LeadershipEffect {}

    /** Wait until the leader's key changes. */
    record Watch(int epoch, Version after) implements LeadershipEffect {}

    record ReadCounter(int epoch, Version seen) implements LeadershipEffect {}

    record Grant(int epoch, Version seen, Optional<StateStore.Entry> counter)
            implements LeadershipEffect {}

    /**
     * Take the key and raise the term.
     *
     * @param leader the version that the leader's key must have
     * @param counter the version that the record of terms must have
     */
    record Claim(
            int epoch, Version leader, Version counter, Term term, LeaseId lease, Moment sentAt)
            implements LeadershipEffect {}

    /** Let a tick come. */
    record TickLater(int epoch) implements LeadershipEffect {}

    record Renew(int epoch, LeaseId lease, Moment sentAt) implements LeadershipEffect {}

    /** Remove the key, and note in the record of terms who should take it. */
    record GiveUp(
            int epoch,
            LeaseId lease,
            Version leader,
            Term term,
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

    record Elected(Term term, Version leaderVersion, Moment noticedAt)
            implements LeadershipEffect {}

    record Deposed(Term term, String why) implements LeadershipEffect {}

    record Following(String leader) implements LeadershipEffect {}
}
