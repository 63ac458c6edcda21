package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import org.meadowhollow.coordination.api.PeerGateway.ProbeResult;
import org.meadowhollow.coordination.leadership.LeadershipEffect.NotifyFollowing;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ProbeSuspect;
import org.meadowhollow.coordination.leadership.LeadershipEffect.RevokeSuspectLease;
import org.meadowhollow.coordination.leadership.LeadershipEvent.ProbeCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RevocationFailed;
import org.meadowhollow.coordination.leadership.LeadershipEvent.WorkerArrived;
import org.meadowhollow.coordination.leadership.LeadershipState.ObservedLeader;
import org.meadowhollow.coordination.leadership.LeadershipState.Suspicion;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;

/**
 * The part of {@link LeadershipStateMachine} that replaces a leader whose process has ended before
 * its lease expires. Workers that such a leader answered last turn to other controllers. The first
 * of them makes this node probe the leader; if the leader refuses several connections in a row, and
 * several distinct workers have left it, its lease is revoked.
 *
 * <p>A wrong suspicion costs a failover and nothing else: the next leader writes the leader record
 * with a compare-and-swap and a higher fencing token, as in every election. Missing responses and
 * timeouts are no evidence; only refused connections are.
 *
 * <p>Pure functions of state, event and clock.
 */
final class LeaderFailureDetection {
    /**
     * The number of distinct workers that must have left a leader before its lease is revoked. One
     * or two workers may lose a connection at any time; that must not suffice while packet filters
     * between the controllers refuse connections although the leader is healthy.
     */
    private static final int MIN_DEPARTED_WORKERS = 3;

    /**
     * The number of consecutive refused probes before the lease of a leader is revoked. Between two
     * probes, a process that has only run out of sockets closes some and accepts connections again.
     */
    private static final int MIN_CONSECUTIVE_REFUSALS = 2;

    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    /**
     * The number of probes after which the suspicion is dropped. Together they take about as long
     * as heartbeats are deferred while a leader is suspected.
     */
    private static final int MAX_PROBES = 8;

    /** The time for which a leader is not suspected again after it answered a probe. */
    private static final Duration TRUST_DURATION = Duration.ofSeconds(2);

    private final String member;

    /**
     * @param member the name of this node
     */
    LeaderFailureDetection(String member) {
        this.member = member;
    }

    /**
     * Whether the departure of a worker is evidence that the leader has failed: this node follows
     * another member, the worker has shown the highest token, and the leader has not answered a
     * probe recently.
     *
     * @param shownToken the fencing token that the worker has shown
     */
    boolean leaderMayHaveFailed(LeadershipState state, FencingToken shownToken, MonotonicTime now) {
        return followsOtherMember(state)
                && shownToken.equals(state.observedLeader().highestToken())
                && !answeredRecently(state.suspicion(), now);
    }

    private boolean followsOtherMember(LeadershipState state) {
        String leader = state.observedLeader().leader();
        return !state.isLeader() && leader != null && !member.equals(leader);
    }

    private static boolean answeredRecently(Suspicion suspicion, MonotonicTime now) {
        MonotonicTime answeredAt = suspicion.lastAnsweredAt();
        return answeredAt != null && now.elapsedSince(answeredAt).compareTo(TRUST_DURATION) < 0;
    }

    /**
     * Records that a worker has left the leader, and probes the leader unless a probe is running.
     */
    LeadershipTransition onWorkerArrived(
            LeadershipState state, WorkerArrived event, MonotonicTime now) {
        if (!leaderMayHaveFailed(state, event.shownToken(), now)) {
            return LeadershipTransition.unchanged(state);
        }
        Suspicion suspicion = state.suspicion().withDeparture(event.worker(), MIN_DEPARTED_WORKERS);
        if (suspicion.probing()) {
            return LeadershipTransition.to(state.with(suspicion));
        }
        String suspect = state.observedLeader().leader();
        return LeadershipTransition.to(
                state.with(suspicion.withProbing(true)),
                new ProbeSuspect(state.epoch(), suspect, 0, 0, Duration.ZERO));
    }

    /** Drops the suspicion, revokes the lease of the suspect, or probes it again. */
    LeadershipTransition onProbeCompleted(
            LeadershipState state, ProbeCompleted event, MonotonicTime now) {
        if (event.probeResult() == ProbeResult.HEALTHY) {
            return LeadershipTransition.to(
                    state.with(Suspicion.cleared(now)), new NotifyFollowing(event.suspect()));
        }
        if (isOutdated(state, event) || event.probesSent() >= MAX_PROBES) {
            return LeadershipTransition.to(state.with(Suspicion.cleared(null)));
        }
        int refusals =
                event.probeResult() == ProbeResult.CONNECTION_REFUSED
                        ? event.consecutiveRefusals() + 1
                        : 0;
        if (shouldRevokeLease(state, refusals)) {
            return revokeLeaseOf(event.suspect(), state);
        }
        return LeadershipTransition.to(
                state,
                new ProbeSuspect(
                        state.epoch(),
                        event.suspect(),
                        event.probesSent() + 1,
                        refusals,
                        PROBE_INTERVAL));
    }

    /** Whether another leadership has begun since the probe was sent. */
    private static boolean isOutdated(LeadershipState state, ProbeCompleted event) {
        return event.epoch() != state.epoch()
                || !event.suspect().equals(state.observedLeader().leader());
    }

    private static boolean shouldRevokeLease(LeadershipState state, int refusals) {
        return refusals >= MIN_CONSECUTIVE_REFUSALS
                && state.suspicion().departedWorkers().size() >= MIN_DEPARTED_WORKERS
                && state.observedLeader().lease() != null;
    }

    private static LeadershipTransition revokeLeaseOf(String suspect, LeadershipState state) {
        Suspicion suspicion = state.suspicion();
        ObservedLeader observed = state.observedLeader();
        return LeadershipTransition.to(
                state.with(suspicion.withProbing(false)).with(observed.withoutLeader()),
                new RevokeSuspectLease(
                        state.epoch(), suspect, observed.lease(), suspicion.departureCount()));
    }

    /**
     * Makes the suspect the observed leader again after its lease could not be revoked, unless
     * another leader is known by now.
     */
    LeadershipTransition onRevocationFailed(LeadershipState state, RevocationFailed event) {
        ObservedLeader observed = state.observedLeader();
        if (observed.leader() != null) {
            return LeadershipTransition.unchanged(state);
        }
        return LeadershipTransition.to(
                state.with(
                        new ObservedLeader(
                                event.suspect(),
                                observed.highestToken(),
                                event.lease(),
                                observed.vacantSince())));
    }
}
