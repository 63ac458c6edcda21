package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import org.meadowhollow.coordination.leadership.LeadershipEffect.NotifyFollowing;
import org.meadowhollow.coordination.leadership.LeadershipEffect.NotifyLeadershipLost;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ReadLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ReadTokenCounter;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ReleaseLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEffect.RenewLease;
import org.meadowhollow.coordination.leadership.LeadershipEffect.RevokeOwnLease;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ScheduleRenewalCheck;
import org.meadowhollow.coordination.leadership.LeadershipEffect.WatchLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEvent.EpochBound;
import org.meadowhollow.coordination.leadership.LeadershipEvent.FreshnessAdvanced;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyClaimCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyLost;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyRead;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyWatchEnded;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaseGrantCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.ProbeCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RecoveryProgressed;
import org.meadowhollow.coordination.leadership.LeadershipEvent.ReleaseCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.ReleaseRequested;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RenewalCheckpointReached;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RenewalCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RenewalTimerFired;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RevocationFailed;
import org.meadowhollow.coordination.leadership.LeadershipEvent.TokenCounterRead;
import org.meadowhollow.coordination.leadership.LeadershipEvent.TokenObserved;
import org.meadowhollow.coordination.leadership.LeadershipEvent.WorkerArrived;
import org.meadowhollow.coordination.leadership.LeadershipEvent.WorkerContactRestored;
import org.meadowhollow.coordination.leadership.LeadershipRecordCodec.LeaderRecord;
import org.meadowhollow.coordination.leadership.LeadershipState.ObservedLeader;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore.Entry;

/**
 * Leader election on one node as a pure function from a state, an event and the clock to the next
 * state and a list of effects. {@link Leadership} runs it in the controller; the model-checking
 * tests run it with every order of events up to a bound.
 *
 * <p>A node passes through these roles in a cycle; each event has one handler:
 *
 * <ol>
 *   <li><b>Follower.</b> Read the leader record. If another member holds it, watch it until it
 *       changes, and read it again.
 *   <li><b>Candidate.</b> There is no leader record, or it names this member, whose process has
 *       just restarted. Read the token counter; if {@link CandidacyPolicy} lets this node stand,
 *       request a lease, then write the leader record and the raised counter in one transaction.
 *       Any failure leads back to reading the leader record after a delay.
 *   <li><b>Leader.</b> Renew the lease every {@link #RENEWAL_INTERVAL}. The leadership ends with a
 *       renewal that finds the lease expired, a higher fencing token, a write that finds the leader
 *       record changed, or a release. The epoch is raised, and the node is a follower again.
 * </ol>
 *
 * <p>What a leader may do while it holds the record is decided by {@link LeadershipSafety}.
 */
final class LeadershipStateMachine {
    /**
     * The interval between two renewals of the lease. Three attempts fit into {@link
     * LeadershipSafety#LEASE_TTL}.
     */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1500);

    private final String member;
    private final LeaderFailureDetection failureDetection;
    private final LeaderCandidacy candidacy;

    /**
     * @param member the name of this node
     */
    LeadershipStateMachine(String member) {
        this.member = member;
        this.failureDetection = new LeaderFailureDetection(member);
        this.candidacy = new LeaderCandidacy(member);
    }

    /** Delegates to {@link LeaderFailureDetection#leaderMayHaveFailed}. */
    boolean leaderMayHaveFailed(LeadershipState state, FencingToken shownToken, MonotonicTime now) {
        return failureDetection.leaderMayHaveFailed(state, shownToken, now);
    }

    /** Computes the transition for an event. */
    LeadershipTransition apply(LeadershipState state, LeadershipEvent event, MonotonicTime now) {
        if (event instanceof EpochBound reply) {
            return reply.epoch() == state.epoch()
                    ? applyReply(state, reply, now)
                    : LeadershipTransition.unchanged(state);
        }
        return applyInput(state, event, now);
    }

    /** Handles a reply or a timer of the current epoch. */
    private LeadershipTransition applyReply(
            LeadershipState state, EpochBound event, MonotonicTime now) {
        if (event instanceof LeaderKeyRead read) {
            return onLeaderKeyRead(state, read, now);
        } else if (event instanceof LeaderKeyWatchEnded watch) {
            return onLeaderKeyWatchEnded(state, watch);
        } else if (event instanceof TokenCounterRead read) {
            return candidacy.onTokenCounterRead(state, read, now);
        } else if (event instanceof LeaseGrantCompleted grant) {
            return LeaderCandidacy.onLeaseGrantCompleted(state, grant);
        } else if (event instanceof LeaderKeyClaimCompleted claim) {
            return candidacy.onLeaderKeyClaimCompleted(state, claim);
        } else if (event instanceof RenewalTimerFired) {
            return onRenewalTimerFired(state, now);
        } else if (event instanceof RenewalCompleted renewal) {
            return onRenewalCompleted(state, renewal);
        } else if (event instanceof ReleaseCompleted release) {
            return onReleaseCompleted(state, release, now);
        } else if (event instanceof RevocationFailed revocation) {
            return failureDetection.onRevocationFailed(state, revocation);
        }
        throw new IllegalStateException("no transition for " + event);
    }

    /** Handles an event that is valid in every epoch. */
    private LeadershipTransition applyInput(
            LeadershipState state, LeadershipEvent event, MonotonicTime now) {
        if (event instanceof LeadershipEvent.Started) {
            return readLeaderKey(state);
        } else if (event instanceof RenewalCheckpointReached) {
            return renewIfDue(state, now);
        } else if (event instanceof FreshnessAdvanced freshness) {
            return onFreshnessAdvanced(state, freshness);
        } else if (event instanceof RecoveryProgressed progress) {
            return onRecoveryProgressed(state, progress);
        } else if (event instanceof TokenObserved token) {
            return onTokenObserved(state, token);
        } else if (event instanceof LeaderKeyLost) {
            return stepDown(state, "leader record changed");
        } else if (event instanceof ReleaseRequested release) {
            return onReleaseRequested(state, release);
        } else if (event instanceof WorkerArrived arrival) {
            return failureDetection.onWorkerArrived(state, arrival, now);
        } else if (event instanceof ProbeCompleted probe) {
            return failureDetection.onProbeCompleted(state, probe, now);
        } else if (event instanceof WorkerContactRestored) {
            return LeadershipTransition.to(state.withoutIsolation());
        }
        throw new IllegalStateException("no transition for " + event);
    }

    // ---- follower ----

    private static LeadershipTransition readLeaderKey(LeadershipState state) {
        return LeadershipTransition.to(state, new ReadLeaderKey(state.epoch(), false));
    }

    /** Reads the leader record again after a delay. */
    static LeadershipTransition readLeaderKeyLater(LeadershipState state) {
        return LeadershipTransition.to(state, new ReadLeaderKey(state.epoch(), true));
    }

    private LeadershipTransition onLeaderKeyRead(
            LeadershipState state, LeaderKeyRead event, MonotonicTime now) {
        if (event.page() == null) {
            return readLeaderKeyLater(state);
        }
        if (event.page().entries().isEmpty()) {
            return onLeaderKeyVacant(state, now);
        }
        Entry entry = event.page().entries().get(0);
        if (member.equals(LeadershipRecordCodec.memberOf(entry.value()))) {
            // A member is one process, and this one has not been elected, so the holder is the
            // previous process of this member, which has ended.
            return LeadershipTransition.to(
                    state, new ReadTokenCounter(state.epoch(), entry.revision()));
        }
        LeaderRecord leader = LeadershipRecordCodec.decodeLeader(entry.value());
        return follow(state, leader, event.page().revision());
    }

    private static LeadershipTransition onLeaderKeyVacant(
            LeadershipState state, MonotonicTime now) {
        LeadershipState vacant =
                state.with(state.observedLeader().vacant(now))
                        .with(state.suspicion().withoutDepartures());
        return LeadershipTransition.to(
                vacant, new ReadTokenCounter(state.epoch(), Revision.ABSENT));
    }

    private static LeadershipTransition follow(
            LeadershipState state, LeaderRecord leader, Revision readAt) {
        FencingToken highest = state.observedLeader().highestToken();
        WatchLeaderKey watch = new WatchLeaderKey(state.epoch(), readAt);
        if (highest.isAfter(leader.fencingToken())) {
            // A newer leader is known, and the watch will report its record.
            return LeadershipTransition.to(state, watch);
        }
        LeadershipState following =
                leader.fencingToken().isAfter(highest)
                        ? state.with(state.suspicion().withoutDepartures())
                        : state;
        ObservedLeader observed =
                new ObservedLeader(leader.member(), leader.fencingToken(), leader.lease(), null);
        return LeadershipTransition.to(
                following.with(observed), new NotifyFollowing(leader.member()), watch);
    }

    private static LeadershipTransition onLeaderKeyWatchEnded(
            LeadershipState state, LeaderKeyWatchEnded event) {
        if (event.changes() == null) {
            return readLeaderKeyLater(state);
        }
        if (event.changes().changes().isEmpty()) {
            return LeadershipTransition.to(
                    state, new WatchLeaderKey(state.epoch(), event.changes().revision()));
        }
        return readLeaderKey(state);
    }

    // ---- leader ----

    private static LeadershipTransition onRenewalTimerFired(
            LeadershipState state, MonotonicTime now) {
        return state.isLeader()
                ? renewIfDue(state, now).andThen(new ScheduleRenewalCheck(state.epoch()))
                : LeadershipTransition.unchanged(state);
    }

    private static LeadershipTransition renewIfDue(LeadershipState state, MonotonicTime now) {
        if (!isRenewalDue(state, now)) {
            return LeadershipTransition.unchanged(state);
        }
        HeldLeadership held = state.heldLeadership();
        return LeadershipTransition.to(
                state.with(held.withRenewalSent(now)),
                new RenewLease(state.epoch(), held.lease(), now));
    }

    /** Whether this node leads and should send a renewal now. */
    static boolean isRenewalDue(LeadershipState state, MonotonicTime now) {
        return state.isLeader() && state.heldLeadership().isRenewalDue(now, RENEWAL_INTERVAL);
    }

    private LeadershipTransition onRenewalCompleted(LeadershipState state, RenewalCompleted event) {
        if (!state.isLeader()) {
            return LeadershipTransition.unchanged(state);
        }
        HeldLeadership held = state.heldLeadership();
        return switch (event.outcome()) {
            case RENEWED ->
                    LeadershipTransition.to(state.with(held.withRenewalConfirmed(event.sentAt())));
            // The timer sends the next attempt.
            case UNKNOWN -> LeadershipTransition.to(state.with(held.withRenewalFailed()));
            case LEASE_EXPIRED -> stepDown(state, "lease expired");
        };
    }

    private static LeadershipTransition onFreshnessAdvanced(
            LeadershipState state, FreshnessAdvanced event) {
        if (!state.isLeader() || !event.fencingToken().equals(state.fencingToken())) {
            return LeadershipTransition.unchanged(state);
        }
        return LeadershipTransition.to(
                state.with(state.heldLeadership().withFreshness(event.freshAsOf())));
    }

    private static LeadershipTransition onRecoveryProgressed(
            LeadershipState state, RecoveryProgressed event) {
        if (!state.isLeader() || !event.fencingToken().equals(state.fencingToken())) {
            return LeadershipTransition.unchanged(state);
        }
        return LeadershipTransition.to(state.with(state.heldLeadership().withProgress()));
    }

    private LeadershipTransition onTokenObserved(LeadershipState state, TokenObserved event) {
        ObservedLeader known = state.observedLeader();
        if (!event.fencingToken().isAfter(known.highestToken())) {
            return LeadershipTransition.unchanged(state);
        }
        ObservedLeader observed =
                new ObservedLeader(event.leader(), event.fencingToken(), null, known.vacantSince());
        // If this node continued to answer heartbeats with its lower token, its workers would not
        // turn to the successor until their leases expire.
        LeadershipTransition transition =
                stepDown(state.with(observed), "higher fencing token " + event.fencingToken());
        return event.leader() == null
                ? transition
                : transition.andThen(new NotifyFollowing(event.leader()));
    }

    /** Ends this node's leadership, if it leads. */
    private LeadershipTransition stepDown(LeadershipState state, String reason) {
        if (!state.isLeader()) {
            return LeadershipTransition.unchanged(state);
        }
        LeadershipState follower = state.steppedDown(member);
        return LeadershipTransition.to(
                follower,
                new NotifyLeadershipLost(state.fencingToken(), reason),
                new ReadLeaderKey(follower.epoch(), false));
    }

    // ---- release of the lease ----

    private static LeadershipTransition onReleaseRequested(
            LeadershipState state, ReleaseRequested event) {
        HeldLeadership held = state.heldLeadership();
        if (held == null || held.resigning()) {
            return LeadershipTransition.unchanged(state);
        }
        return LeadershipTransition.to(
                state.with(held.withResigning(true)),
                new ReleaseLeaderKey(
                        state.epoch(),
                        held.lease(),
                        held.leaderKeyRevision(),
                        state.fencingToken(),
                        event.reason(),
                        event.preferredSuccessor()));
    }

    private LeadershipTransition onReleaseCompleted(
            LeadershipState state, ReleaseCompleted event, MonotonicTime now) {
        if (!state.isLeader()) {
            return LeadershipTransition.unchanged(state);
        }
        if (event.refused()) {
            return LeadershipTransition.to(state.with(state.heldLeadership().withResigning(false)));
        }
        LeadershipState released =
                event.reason() == ReleaseReason.ISOLATED ? markIsolated(state, event, now) : state;
        return stepDown(released, releaseReason(event)).andThen(new RevokeOwnLease(event.lease()));
    }

    private static LeadershipState markIsolated(
            LeadershipState state, ReleaseCompleted event, MonotonicTime now) {
        return state.withIsolation(
                event.preferredSuccessor() == null ? now : state.resignedWithoutSuccessorAt());
    }

    private static String releaseReason(ReleaseCompleted event) {
        if (event.commit() == null) {
            // The release may have been executed or may be executed later, so this node steps down.
            return "release not confirmed";
        }
        if (!event.commit().isApplied()) {
            return "leader record changed";
        }
        return event.reason().endText();
    }
}
