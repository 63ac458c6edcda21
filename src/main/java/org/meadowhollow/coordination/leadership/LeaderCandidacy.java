package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ClaimLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEffect.GrantLease;
import org.meadowhollow.coordination.leadership.LeadershipEffect.NotifyElected;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ScheduleRenewalCheck;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyClaimCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaseGrantCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.TokenCounterRead;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore.Entry;

/**
 * The transitions of a candidate in the election of a leader, as part of {@link
 * LeadershipStateMachine}: it reads the token counter, requests a lease, and writes the leader
 * record and the raised counter in one transaction. Any failure leads back to reading the leader
 * record after a delay. All functions are pure.
 */
final class LeaderCandidacy {
    private final String member;

    /**
     * @param member the name of this node
     */
    LeaderCandidacy(String member) {
        this.member = member;
    }

    /** Requests a lease, if this node may stand for election. */
    LeadershipTransition onTokenCounterRead(
            LeadershipState state, TokenCounterRead event, MonotonicTime now) {
        if (event.counter() == null || !mayStandForElection(state, event, now)) {
            return LeadershipStateMachine.readLeaderKeyLater(state);
        }
        return LeadershipTransition.to(
                state, new GrantLease(state.epoch(), event.leaderKeyRevision(), event.counter()));
    }

    /** Whether the leader record has been absent for at least the candidacy delay of this node. */
    private boolean mayStandForElection(
            LeadershipState state, TokenCounterRead event, MonotonicTime now) {
        MonotonicTime vacantSince = state.observedLeader().vacantSince();
        Duration vacantFor = vacantSince == null ? Duration.ZERO : now.elapsedSince(vacantSince);
        Map<String, Object> counter = event.counter().map(Entry::value).orElse(null);
        Duration delay =
                CandidacyPolicy.candidacyDelay(
                        counter, member, event.workersReachNode(), state.isolated());
        return vacantFor.compareTo(delay) >= 0;
    }

    /** Writes the leader record and the raised counter under the lease that was granted. */
    static LeadershipTransition onLeaseGrantCompleted(
            LeadershipState state, LeaseGrantCompleted event) {
        if (event.lease() == null) {
            return LeadershipStateMachine.readLeaderKeyLater(state);
        }
        Optional<Entry> counter = event.counter();
        return LeadershipTransition.to(
                state,
                new ClaimLeaderKey(
                        state.epoch(),
                        event.leaderKeyRevision(),
                        counter.map(Entry::revision).orElse(Revision.ABSENT),
                        nextToken(state, counter),
                        event.lease(),
                        event.sentAt()));
    }

    /**
     * The fencing token of the next leadership. It is above the counter and above every token that
     * this node has seen: workers reject a token below the highest that they have seen, and that
     * one may be missing from the counter.
     */
    private static FencingToken nextToken(LeadershipState state, Optional<Entry> counter) {
        FencingToken storedToken =
                counter.map(entry -> LeadershipRecordCodec.fencingTokenOf(entry.value()))
                        .orElse(FencingToken.NONE);
        FencingToken observedToken = state.observedLeader().highestToken();
        return (observedToken.isAfter(storedToken) ? observedToken : storedToken).next();
    }

    /** Begins to lead if the leader record was written. */
    LeadershipTransition onLeaderKeyClaimCompleted(
            LeadershipState state, LeaderKeyClaimCompleted event) {
        if (event.commit() == null || !event.commit().isApplied()) {
            // Without a reply the transaction may still be executed. The next read then finds this
            // member's own name, and another attempt replaces that record.
            return LeadershipStateMachine.readLeaderKeyLater(state);
        }
        Revision revision = event.commit().revision();
        HeldLeadership held = HeldLeadership.begin(event.lease(), event.sentAt(), revision);
        return LeadershipTransition.to(
                state.elected(member, event.fencingToken(), held),
                new NotifyElected(
                        event.fencingToken(), revision, state.observedLeader().vacantSince()),
                new ScheduleRenewalCheck(state.epoch()));
    }
}
