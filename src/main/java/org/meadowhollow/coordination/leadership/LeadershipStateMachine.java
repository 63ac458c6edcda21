package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.leadership.LeadershipState.HeldLeadership;
import org.meadowhollow.coordination.leadership.LeadershipState.ObservedLeader;
import org.meadowhollow.coordination.leadership.LeadershipState.Suspicion;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/**
 * Leadership as a step function: a state, an event and the clock in; the next state and what is to
 * be done out. The daemon runs it ({@link Leadership}), and so does the exploration of its model,
 * in the tests.
 */
final class LeadershipStateMachine {
    /**
     * Long enough for a hiccup of the store and a slow turn of ours, short enough for a takeover.
     */
    static final Duration LEASE_TTL = Duration.ofSeconds(5);

    /** Three tries fit into a lease. */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1500);

    /**
     * How old a leader's knowledge of cancellations may be for a start to go out: a watch of a
     * second, its answer's time and a try again. Refused alone, it went on with starts of jobs
     * called off elsewhere for as long as its lease held.
     */
    static final Duration MAX_STALENESS_FOR_STARTS = Duration.ofMillis(2500);

    /** The bound that the protocol gives for the drift between two machines' clocks. */
    private static final double MAX_CLOCK_DRIFT = 0.0005;

    /**
     * Workers that must have left a leader before its lease is ended for it. One or two lose a
     * connection now and then, also while packet filters between the controllers refuse connections
     * for no fault of the leader.
     */
    private static final int MIN_DEPARTED_WORKERS = 3;

    /** Refusals in a row; between them a process that is only short of sockets has closed some. */
    private static final int MIN_CONSECUTIVE_REFUSALS = 2;

    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    /**
     * Questions to a suspected leader before the suspicion is dropped; about as long as reports are
     * held for.
     */
    private static final int MAX_PROBES = 8;

    /** How long the leader is trusted after it answered. */
    private static final Duration TRUST_DURATION = Duration.ofSeconds(2);

    /** What comes of an event; the effects in their order. */
    record Transition(LeadershipState next, List<LeadershipEffect> effects) {
        static Transition of(LeadershipState next, LeadershipEffect... effects) {
            return new Transition(next, List.of(effects));
        }

        Transition andThen(LeadershipEffect effect) {
            List<LeadershipEffect> all = new ArrayList<>(effects);
            all.add(effect);
            return new Transition(next, all);
        }
    }

    private final String member;

    LeadershipStateMachine(String member) {
        this.member = member;
    }

    /**
     * Whether new starts may go out: the lease certainly holds, and is not being given up, which
     * may be done by now.
     */
    static boolean canDecide(LeadershipState state, MonotonicTime now) {
        return state.heldLeadership() != null
                && isCertainlyWithin(LEASE_TTL, state.heldLeadership().leaseValidFrom(), now)
                && !state.heldLeadership().resigning();
    }

    /**
     * Whether starts may be sent: decisions may, and all cancellations are known up to a moment
     * ago.
     */
    static boolean canStartTasks(LeadershipState state, MonotonicTime now) {
        return canDecide(state, now)
                && state.heldLeadership().freshAsOf() != null
                && isCertainlyWithin(
                        MAX_STALENESS_FOR_STARTS, state.heldLeadership().freshAsOf(), now);
    }

    /**
     * Whether reports may be answered, which renews the leases of workers. It counts from when the
     * last answered renewal was sent, or from when this node last knew all cancellations, whichever
     * was earlier: a renewal shows that the lease holds, not that anything was read, and a leader
     * that has not loaded yet knows of none.
     *
     * @param span the time for a cancellation less a worker's lease
     */
    static boolean canRenewWorkerLeases(Duration span, LeadershipState state, MonotonicTime now) {
        LeadershipState.HeldLeadership held = state.heldLeadership();
        return held != null
                && held.freshAsOf() != null
                && isCertainlyWithin(span, held.leaseValidFrom(), now)
                && isCertainlyWithin(span, held.freshAsOf(), now);
    }

    /** Whether a moment is less than a time ago, by any clock. */
    private static boolean isCertainlyWithin(
            Duration span, MonotonicTime since, MonotonicTime now) {
        return now.isBefore(
                since.plus(Duration.ofNanos((long) (span.toNanos() * (1 - MAX_CLOCK_DRIFT)))));
    }

    Transition apply(LeadershipState state, LeadershipEvent event, MonotonicTime now) {
        if (event instanceof LeadershipEvent.TokenObserved tokenObserved) {
            return onTokenObserved(state, tokenObserved);
        } else if (event instanceof LeadershipEvent.RenewalCheckpointReached) {
            return renewIfDue(state, now);
        } else if (event instanceof LeadershipEvent.RenewalTimerFired renewalTimerFired) {
            return renewalTimerFired.epoch() != state.epoch() || state.heldLeadership() == null
                    ? Transition.of(state)
                    : renewIfDue(state, now)
                            .andThen(new LeadershipEffect.ScheduleRenewalCheck(state.epoch()));
        } else if (event instanceof LeadershipEvent.WorkerArrived workerArrived) {
            return onWorkerArrived(state, workerArrived, now);
        } else if (event instanceof LeadershipEvent.LeaderKeyRead leaderKeyRead) {
            return leaderKeyRead.epoch() != state.epoch()
                    ? Transition.of(state)
                    : onLeaderKeyRead(state, leaderKeyRead.page(), now);
        } else if (event instanceof LeadershipEvent.LeaderKeyWatchEnded leaderKeyWatchEnded) {
            return leaderKeyWatchEnded.epoch() != state.epoch()
                    ? Transition.of(state)
                    : onLeaderKeyWatchEnded(state, leaderKeyWatchEnded.changes());
        } else if (event instanceof LeadershipEvent.TokenCounterRead read) {
            return read.epoch() != state.epoch()
                    ? Transition.of(state)
                    : onTokenCounterRead(state, read, now);
        } else if (event instanceof LeadershipEvent.LeaseGrantCompleted leaseGrantCompleted) {
            return leaseGrantCompleted.epoch() != state.epoch()
                    ? Transition.of(state)
                    : onLeaseGrantCompleted(state, leaseGrantCompleted);
        } else if (event
                instanceof LeadershipEvent.LeaderKeyClaimCompleted leaderKeyClaimCompleted) {
            return leaderKeyClaimCompleted.epoch() != state.epoch()
                    ? Transition.of(state)
                    : onLeaderKeyClaimCompleted(state, leaderKeyClaimCompleted);
        } else if (event instanceof LeadershipEvent.RenewalCompleted renewalCompleted) {
            return renewalCompleted.epoch() != state.epoch()
                    ? Transition.of(state)
                    : onRenewalCompleted(state, renewalCompleted);
        } else if (event instanceof LeadershipEvent.FreshnessAdvanced took) {
            return state.heldLeadership() == null
                            || !took.fencingToken().equals(state.fencingToken())
                    ? Transition.of(state)
                    : Transition.of(
                            state.with(state.heldLeadership().withFreshness(took.freshAsOf())));
        } else if (event instanceof LeadershipEvent.ReleaseRequested releaseRequested) {
            return onReleaseRequested(state, releaseRequested);
        } else if (event instanceof LeadershipEvent.ReleaseCompleted releaseCompleted) {
            return releaseCompleted.epoch() != state.epoch()
                    ? Transition.of(state)
                    : onReleaseCompleted(state, releaseCompleted, now);
        } else if (event instanceof LeadershipEvent.ProbeCompleted probeCompleted) {
            return onProbeCompleted(state, probeCompleted, now);
        } else if (event instanceof LeadershipEvent.RevocationFailed failed) {
            // The lease could not be ended, so its holder goes on being the leader.
            return failed.epoch() != state.epoch() || state.observedLeader().leader() != null
                    ? Transition.of(state)
                    : Transition.of(
                            state.with(
                                    new ObservedLeader(
                                            failed.suspect(),
                                            state.observedLeader().highestToken(),
                                            failed.lease(),
                                            state.observedLeader().vacantSince())));
        } else if (event instanceof LeadershipEvent.WorkerContactRestored) {
            return Transition.of(state.isolated(false, state.resignedWithoutSuccessorAt()));
        } else if (event instanceof LeadershipEvent.LeaderKeyLost) {
            return stepDown(state, "the leader's record has changed");
        }
        return Transition.of(state, new LeadershipEffect.ReadLeaderKey(state.epoch(), false));
    }

    // ---- waiting for the key, and taking it ----

    private static Transition readLeaderKeyLater(LeadershipState state) {
        return Transition.of(state, new LeadershipEffect.ReadLeaderKey(state.epoch(), true));
    }

    private Transition onLeaderKeyRead(
            LeadershipState state, KeyValueStore.Page page, MonotonicTime now) {
        if (page == null) {
            return readLeaderKeyLater(state);
        }
        if (page.entries().isEmpty()) {
            return Transition.of(
                    state.with(state.observedLeader().withoutLeader(now))
                            .with(state.suspicion().withoutDepartures()),
                    new LeadershipEffect.ReadTokenCounter(state.epoch(), Revision.ABSENT));
        }
        KeyValueStore.Entry found = page.entries().get(0);
        if (member.equals(found.value().get("member"))) {
            // This process has only just begun, so the holder is its own dead predecessor.
            return Transition.of(
                    state, new LeadershipEffect.ReadTokenCounter(state.epoch(), found.revision()));
        }
        LeadershipEffect watch =
                new LeadershipEffect.WatchLeaderKey(state.epoch(), page.revision());
        ObservedLeader observedLeader = parseLeaderRecord(found.value());
        if (state.observedLeader().highestToken().isAfter(observedLeader.highestToken())) {
            return Transition.of(state, watch);
        }
        LeadershipState following =
                observedLeader.highestToken().isAfter(state.observedLeader().highestToken())
                        ? state.with(state.suspicion().withoutDepartures())
                        : state;
        return Transition.of(
                following.with(observedLeader),
                new LeadershipEffect.NotifyFollowing(observedLeader.leader()),
                watch);
    }

    private static ObservedLeader parseLeaderRecord(Map<String, Object> record) {
        return new ObservedLeader(
                (String) record.get("member"),
                new FencingToken(((Number) record.get("term")).longValue()),
                record.get("lease") instanceof Number id ? new LeaseId(id.longValue()) : null,
                null);
    }

    private static Transition onLeaderKeyWatchEnded(
            LeadershipState state, KeyValueStore.ChangeBatch changeBatch) {
        return changeBatch == null
                ? readLeaderKeyLater(state)
                : Transition.of(
                        state,
                        changeBatch.changes().isEmpty()
                                ? new LeadershipEffect.WatchLeaderKey(
                                        state.epoch(), changeBatch.revision())
                                : new LeadershipEffect.ReadLeaderKey(state.epoch(), false));
    }

    private Transition onTokenCounterRead(
            LeadershipState state, LeadershipEvent.TokenCounterRead read, MonotonicTime now) {
        if (read.counter() == null) {
            return readLeaderKeyLater(state);
        }
        MonotonicTime freeSince = state.observedLeader().vacantSince();
        Duration free = freeSince == null ? Duration.ZERO : now.elapsedSince(freeSince);
        Map<String, Object> terms = read.counter().map(KeyValueStore.Entry::value).orElse(null);
        return free.compareTo(
                                CandidacyPolicy.candidacyDelay(
                                        terms, member, read.workersReachNode(), state.isolated()))
                        < 0
                ? readLeaderKeyLater(state)
                : Transition.of(
                        state,
                        new LeadershipEffect.GrantLease(
                                state.epoch(), read.leaderKeyRevision(), read.counter()));
    }

    private static Transition onLeaseGrantCompleted(
            LeadershipState state, LeadershipEvent.LeaseGrantCompleted leaseGrantCompleted) {
        if (leaseGrantCompleted.lease() == null) {
            return readLeaderKeyLater(state);
        }
        Optional<KeyValueStore.Entry> counter = leaseGrantCompleted.counter();
        FencingToken counted =
                counter.map(
                                entry ->
                                        new FencingToken(
                                                ((Number) entry.value().get("term")).longValue()))
                        .orElse(FencingToken.NONE);
        FencingToken heard = state.observedLeader().highestToken();
        // Workers drop a term below what they have shown, and may have shown one that the counter
        // does not know.
        FencingToken next = (heard.isAfter(counted) ? heard : counted).next();
        return Transition.of(
                state,
                new LeadershipEffect.ClaimLeaderKey(
                        state.epoch(),
                        leaseGrantCompleted.leaderKeyRevision(),
                        counter.map(KeyValueStore.Entry::revision).orElse(Revision.ABSENT),
                        next,
                        leaseGrantCompleted.lease(),
                        leaseGrantCompleted.sentAt()));
    }

    private Transition onLeaderKeyClaimCompleted(
            LeadershipState state,
            LeadershipEvent.LeaderKeyClaimCompleted leaderKeyClaimCompleted) {
        if (leaderKeyClaimCompleted.commit() == null
                || !leaderKeyClaimCompleted.commit().isApplied()) {
            // Unanswered, it may yet be applied; the next look then finds our own name and claims
            // anew.
            return readLeaderKeyLater(state);
        }
        Revision revision = leaderKeyClaimCompleted.commit().revision();
        HeldLeadership held =
                new HeldLeadership(
                        leaderKeyClaimCompleted.lease(),
                        leaderKeyClaimCompleted.sentAt(),
                        leaderKeyClaimCompleted.sentAt(),
                        false,
                        revision,
                        false,
                        null);
        return Transition.of(
                state.elected(member, leaderKeyClaimCompleted.fencingToken(), held),
                new LeadershipEffect.NotifyElected(
                        leaderKeyClaimCompleted.fencingToken(),
                        revision,
                        state.observedLeader().vacantSince()),
                new LeadershipEffect.ScheduleRenewalCheck(state.epoch()));
    }

    // ---- keeping it, and its end ----

    private static Transition renewIfDue(LeadershipState state, MonotonicTime now) {
        HeldLeadership held = state.heldLeadership();
        return held == null || !held.isRenewalDue(now, RENEWAL_INTERVAL)
                ? Transition.of(state)
                : Transition.of(
                        state.with(held.renewing(now)),
                        new LeadershipEffect.RenewLease(state.epoch(), held.lease(), now));
    }

    private Transition onRenewalCompleted(
            LeadershipState state, LeadershipEvent.RenewalCompleted renewalCompleted) {
        HeldLeadership held = state.heldLeadership();
        if (held == null) {
            return Transition.of(state);
        }
        return switch (renewalCompleted.outcome()) {
            case RENEWED -> Transition.of(state.with(held.renewed(renewalCompleted.sentAt())));
            // Tried again at the timer's next turn.
            case UNKNOWN -> Transition.of(state.with(held.renewalFailed()));
            case LEASE_EXPIRED -> stepDown(state, "the lease has ended");
        };
    }

    private Transition stepDown(LeadershipState state, String why) {
        if (state.heldLeadership() == null) {
            return Transition.of(state);
        }
        LeadershipState over = state.steppedDown(member);
        return Transition.of(
                over,
                new LeadershipEffect.NotifyLeadershipLost(state.fencingToken(), why),
                new LeadershipEffect.ReadLeaderKey(over.epoch(), false));
    }

    private Transition onTokenObserved(
            LeadershipState state, LeadershipEvent.TokenObserved tokenObserved) {
        if (!tokenObserved.fencingToken().isAfter(state.observedLeader().highestToken())) {
            return Transition.of(state);
        }
        LeadershipState told =
                state.with(
                        new ObservedLeader(
                                tokenObserved.leader(),
                                tokenObserved.fencingToken(),
                                null,
                                state.observedLeader().vacantSince()));
        // Answering on with a lower token would keep workers at this node until their leases end.
        Transition transition =
                stepDown(told, "a higher term " + tokenObserved.fencingToken() + " exists");
        return tokenObserved.leader() == null
                ? transition
                : transition.andThen(new LeadershipEffect.NotifyFollowing(tokenObserved.leader()));
    }

    private static Transition onReleaseRequested(
            LeadershipState state, LeadershipEvent.ReleaseRequested event) {
        HeldLeadership held = state.heldLeadership();
        return held == null || held.resigning()
                ? Transition.of(state)
                : Transition.of(
                        state.with(held.resigning(true)),
                        new LeadershipEffect.ReleaseLeaderKey(
                                state.epoch(),
                                held.lease(),
                                held.leaderKeyRevision(),
                                state.fencingToken(),
                                event.becauseIsolated(),
                                event.preferredSuccessor()));
    }

    private Transition onReleaseCompleted(
            LeadershipState state, LeadershipEvent.ReleaseCompleted event, MonotonicTime now) {
        if (state.heldLeadership() == null) {
            return Transition.of(state);
        }
        if (event.refused()) {
            return Transition.of(state.with(state.heldLeadership().resigning(false)));
        }
        LeadershipState given =
                event.becauseIsolated()
                        ? state.isolated(
                                true,
                                event.preferredSuccessor() == null
                                        ? now
                                        : state.resignedWithoutSuccessorAt())
                        : state;
        // Unanswered, it may have been executed, or may be at any later time, so this node cannot
        // lead on.
        String why =
                event.commit() == null
                        ? "whether it is given up is not known"
                        : !event.commit().isApplied()
                                ? "the leader's record has changed"
                                : event.becauseIsolated()
                                        ? "it hears hardly any worker"
                                        : "it was handed over";
        return stepDown(given, why).andThen(new LeadershipEffect.RevokeOwnLease(event.lease()));
    }

    // ---- a leader that may have ended ----

    /**
     * Whether it is better to wait than to send a worker back to the leader that answered it last:
     * it has left the leader, whose process may have ended.
     */
    boolean leaderMayHaveFailed(LeadershipState state, FencingToken shown, MonotonicTime now) {
        MonotonicTime trustedAt = state.suspicion().lastAnsweredAt();
        String leader = state.observedLeader().leader();
        return state.heldLeadership() == null
                && leader != null
                && !member.equals(leader)
                && shown.equals(state.observedLeader().highestToken())
                && (trustedAt == null
                        || now.elapsedSince(trustedAt).compareTo(TRUST_DURATION) >= 0);
    }

    private Transition onWorkerArrived(
            LeadershipState state, LeadershipEvent.WorkerArrived workerArrived, MonotonicTime now) {
        if (!leaderMayHaveFailed(state, workerArrived.shownToken(), now)) {
            return Transition.of(state);
        }
        Suspicion more = state.suspicion().left(workerArrived.worker(), MIN_DEPARTED_WORKERS);
        return more.probing()
                ? Transition.of(state.with(more))
                : Transition.of(
                        state.with(more.probing(true)),
                        new LeadershipEffect.ProbeSuspect(
                                state.epoch(),
                                state.observedLeader().leader(),
                                0,
                                0,
                                Duration.ZERO));
    }

    private static Transition onProbeCompleted(
            LeadershipState state,
            LeadershipEvent.ProbeCompleted probeCompleted,
            MonotonicTime now) {
        boolean trusted = probeCompleted.probeResult() == PeerGateway.ProbeResult.HEALTHY;
        boolean refuses =
                probeCompleted.probeResult() == PeerGateway.ProbeResult.CONNECTION_REFUSED;
        Suspicion suspicion = state.suspicion();
        if (probeCompleted.epoch() != state.epoch()
                || !probeCompleted.suspect().equals(state.observedLeader().leader())
                || trusted
                || probeCompleted.probesSent() >= MAX_PROBES) {
            Transition dropped =
                    Transition.of(
                            state.with(new Suspicion(Set.of(), 0, false, trusted ? now : null)));
            return trusted
                    ? dropped.andThen(
                            new LeadershipEffect.NotifyFollowing(probeCompleted.suspect()))
                    : dropped;
        }
        if (refuses
                && probeCompleted.consecutiveRefusals() + 1 >= MIN_CONSECUTIVE_REFUSALS
                && suspicion.departedWorkers().size() >= MIN_DEPARTED_WORKERS
                && state.observedLeader().lease() != null) {
            return Transition.of(
                    state.with(suspicion.probing(false)).with(state.observedLeader().leader(null)),
                    new LeadershipEffect.RevokeSuspectLease(
                            state.epoch(),
                            probeCompleted.suspect(),
                            state.observedLeader().lease(),
                            suspicion.left()));
        }
        return Transition.of(
                state,
                new LeadershipEffect.ProbeSuspect(
                        state.epoch(),
                        probeCompleted.suspect(),
                        probeCompleted.probesSent() + 1,
                        refuses ? probeCompleted.consecutiveRefusals() + 1 : 0,
                        PROBE_INTERVAL));
    }
}
