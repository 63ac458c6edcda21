package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.meadowhollow.coordination.leadership.LeadershipState.Holding;
import org.meadowhollow.coordination.leadership.LeadershipState.Known;
import org.meadowhollow.coordination.leadership.LeadershipState.Suspicion;
import org.meadowhollow.coordination.platform.Peers;
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
final class LeadershipStep {
    /**
     * Long enough for a hiccup of the store and a slow turn of ours, short enough for a takeover.
     */
    static final Duration TTL = Duration.ofSeconds(5);

    /** Three tries fit into a lease. */
    static final Duration RENEW = Duration.ofMillis(1500);

    /**
     * How old a leader's knowledge of cancellations may be for a start to go out: a watch of a
     * second, its answer's time and a try again. Refused alone, it went on with starts of jobs
     * called off elsewhere for as long as its lease held.
     */
    static final Duration FRESH = Duration.ofMillis(2500);

    /** The bound that the protocol gives for the drift between two machines' clocks. */
    private static final double DRIFT = 0.0005;

    /**
     * Workers that must have left a leader before its lease is ended for it. One or two lose a
     * connection now and then, also while packet filters between the controllers refuse connections
     * for no fault of the leader.
     */
    private static final int LEAST_DESERTERS = 3;

    /** Refusals in a row; between them a process that is only short of sockets has closed some. */
    private static final int LEAST_REFUSALS = 2;

    private static final Duration ASK_AGAIN = Duration.ofMillis(250);

    /**
     * Questions to a suspected leader before the suspicion is dropped; about as long as reports are
     * held for.
     */
    private static final int MOST_QUESTIONS = 8;

    /** How long the leader is trusted after it answered. */
    private static final Duration TRUST = Duration.ofSeconds(2);

    /** What comes of an event; the effects in their order. */
    record Step(LeadershipState next, List<LeadershipEffect> effects) {
        static Step of(LeadershipState next, LeadershipEffect... effects) {
            return new Step(next, List.of(effects));
        }

        Step then(LeadershipEffect effect) {
            List<LeadershipEffect> all = new ArrayList<>(effects);
            all.add(effect);
            return new Step(next, all);
        }
    }

    private final String member;

    LeadershipStep(String member) {
        this.member = member;
    }

    /**
     * Whether new starts may go out: the lease certainly holds, and is not being given up, which
     * may be done by now.
     */
    static boolean mayStart(LeadershipState state, MonotonicTime now) {
        return state.holding() != null
                && within(TTL, state.holding().leaseSentAt(), now)
                && !state.holding().resigning();
    }

    /**
     * Whether starts may be sent: decisions may, and all cancellations are known up to a moment
     * ago.
     */
    static boolean maySendStarts(LeadershipState state, MonotonicTime now) {
        return mayStart(state, now)
                && state.holding().knownAt() != null
                && within(FRESH, state.holding().knownAt(), now);
    }

    /**
     * Whether reports may be answered, which renews the leases of workers. It counts from when the
     * last answered renewal was sent, or from when this node last knew all cancellations, whichever
     * was earlier: a renewal shows that the lease holds, not that anything was read, and a leader
     * that has not loaded yet knows of none.
     *
     * @param span the time for a cancellation less a worker's lease
     */
    static boolean mayAnswer(Duration span, LeadershipState state, MonotonicTime now) {
        LeadershipState.Holding held = state.holding();
        return held != null
                && held.knownAt() != null
                && within(span, held.leaseSentAt(), now)
                && within(span, held.knownAt(), now);
    }

    /** Whether a moment is less than a time ago, by any clock. */
    private static boolean within(Duration span, MonotonicTime since, MonotonicTime now) {
        return now.isBefore(since.plus(Duration.ofNanos((long) (span.toNanos() * (1 - DRIFT)))));
    }

    Step on(LeadershipState state, LeadershipEvent event, MonotonicTime now) {
        if (event instanceof LeadershipEvent.Heard heard) {
            return heard(state, heard);
        } else if (event instanceof LeadershipEvent.WorkGoesOn) {
            return renewIfDue(state, now);
        } else if (event instanceof LeadershipEvent.Tick tick) {
            return tick.epoch() != state.epoch() || state.holding() == null
                    ? Step.of(state)
                    : renewIfDue(state, now).then(new LeadershipEffect.TickLater(state.epoch()));
        } else if (event instanceof LeadershipEvent.Arrived arrived) {
            return arrived(state, arrived, now);
        } else if (event instanceof LeadershipEvent.Looked looked) {
            return looked.epoch() != state.epoch()
                    ? Step.of(state)
                    : looked(state, looked.page(), now);
        } else if (event instanceof LeadershipEvent.Watched watched) {
            return watched.epoch() != state.epoch()
                    ? Step.of(state)
                    : watched(state, watched.changes());
        } else if (event instanceof LeadershipEvent.CounterRead read) {
            return read.epoch() != state.epoch() ? Step.of(state) : counterRead(state, read, now);
        } else if (event instanceof LeadershipEvent.Granted granted) {
            return granted.epoch() != state.epoch() ? Step.of(state) : granted(state, granted);
        } else if (event instanceof LeadershipEvent.Claimed claimed) {
            return claimed.epoch() != state.epoch() ? Step.of(state) : claimed(state, claimed);
        } else if (event instanceof LeadershipEvent.Renewed renewed) {
            return renewed.epoch() != state.epoch() ? Step.of(state) : renewed(state, renewed);
        } else if (event instanceof LeadershipEvent.TookIn took) {
            return state.holding() == null || !took.term().equals(state.term())
                    ? Step.of(state)
                    : Step.of(state.with(state.holding().knowing(took.upTo())));
        } else if (event instanceof LeadershipEvent.GivingUp givingUp) {
            return givingUp(state, givingUp);
        } else if (event instanceof LeadershipEvent.GivenUp givenUp) {
            return givenUp.epoch() != state.epoch() ? Step.of(state) : givenUp(state, givenUp, now);
        } else if (event instanceof LeadershipEvent.Told told) {
            return told(state, told, now);
        } else if (event instanceof LeadershipEvent.NotRevoked failed) {
            // The lease could not be ended, so its holder goes on being the leader.
            return failed.epoch() != state.epoch() || state.known().leader() != null
                    ? Step.of(state)
                    : Step.of(
                            state.with(
                                    new Known(
                                            failed.suspect(),
                                            state.known().term(),
                                            failed.lease(),
                                            state.known().freeSince())));
        } else if (event instanceof LeadershipEvent.HearsAgain) {
            return Step.of(state.deaf(false, state.resignedAloneAt()));
        } else if (event instanceof LeadershipEvent.Lost) {
            return stepDown(state, "the leader's record has changed");
        }
        return Step.of(state, new LeadershipEffect.Look(state.epoch(), false));
    }

    // ---- waiting for the key, and taking it ----

    private static Step lookAgain(LeadershipState state) {
        return Step.of(state, new LeadershipEffect.Look(state.epoch(), true));
    }

    private Step looked(LeadershipState state, KeyValueStore.Page page, MonotonicTime now) {
        if (page == null) {
            return lookAgain(state);
        }
        if (page.entries().isEmpty()) {
            return Step.of(
                    state.with(state.known().nobody(now)).with(state.suspicion().ofNobody()),
                    new LeadershipEffect.ReadCounter(state.epoch(), Revision.ABSENT));
        }
        KeyValueStore.Entry found = page.entries().get(0);
        if (member.equals(found.value().get("member"))) {
            // This process has only just begun, so the holder is its own dead predecessor.
            return Step.of(
                    state, new LeadershipEffect.ReadCounter(state.epoch(), found.revision()));
        }
        LeadershipEffect watch = new LeadershipEffect.Watch(state.epoch(), page.revision());
        Known known = known(found.value());
        if (state.known().term().isAfter(known.term())) {
            return Step.of(state, watch);
        }
        LeadershipState following =
                known.term().isAfter(state.known().term())
                        ? state.with(state.suspicion().ofNobody())
                        : state;
        return Step.of(
                following.with(known), new LeadershipEffect.Following(known.leader()), watch);
    }

    private static Known known(Map<String, Object> record) {
        return new Known(
                (String) record.get("member"),
                new FencingToken(((Number) record.get("term")).longValue()),
                record.get("lease") instanceof Number id ? new LeaseId(id.longValue()) : null,
                null);
    }

    private static Step watched(LeadershipState state, KeyValueStore.ChangeBatch changeBatch) {
        return changeBatch == null
                ? lookAgain(state)
                : Step.of(
                        state,
                        changeBatch.changes().isEmpty()
                                ? new LeadershipEffect.Watch(state.epoch(), changeBatch.revision())
                                : new LeadershipEffect.Look(state.epoch(), false));
    }

    private Step counterRead(
            LeadershipState state, LeadershipEvent.CounterRead read, MonotonicTime now) {
        if (read.counter() == null) {
            return lookAgain(state);
        }
        MonotonicTime freeSince = state.known().freeSince();
        Duration free = freeSince == null ? Duration.ZERO : now.elapsedSince(freeSince);
        Map<String, Object> terms = read.counter().map(KeyValueStore.Entry::value).orElse(null);
        return free.compareTo(Standing.after(terms, member, read.hears(), state.deaf())) < 0
                ? lookAgain(state)
                : Step.of(
                        state,
                        new LeadershipEffect.Grant(state.epoch(), read.seen(), read.counter()));
    }

    private static Step granted(LeadershipState state, LeadershipEvent.Granted granted) {
        if (granted.lease() == null) {
            return lookAgain(state);
        }
        Optional<KeyValueStore.Entry> counter = granted.counter();
        FencingToken counted =
                counter.map(
                                entry ->
                                        new FencingToken(
                                                ((Number) entry.value().get("term")).longValue()))
                        .orElse(FencingToken.NONE);
        FencingToken heard = state.known().term();
        // Workers drop a term below what they have shown, and may have shown one that the counter
        // does not know.
        FencingToken next = (heard.isAfter(counted) ? heard : counted).next();
        return Step.of(
                state,
                new LeadershipEffect.Claim(
                        state.epoch(),
                        granted.seen(),
                        counter.map(KeyValueStore.Entry::revision).orElse(Revision.ABSENT),
                        next,
                        granted.lease(),
                        granted.sentAt()));
    }

    private Step claimed(LeadershipState state, LeadershipEvent.Claimed claimed) {
        if (claimed.commit() == null || !claimed.commit().isApplied()) {
            // Unanswered, it may yet be applied; the next look then finds our own name and claims
            // anew.
            return lookAgain(state);
        }
        Revision revision = claimed.commit().revision();
        Holding held =
                new Holding(
                        claimed.lease(),
                        claimed.sentAt(),
                        claimed.sentAt(),
                        false,
                        revision,
                        false,
                        null);
        return Step.of(
                state.elected(member, claimed.term(), held),
                new LeadershipEffect.Elected(claimed.term(), revision, state.known().freeSince()),
                new LeadershipEffect.TickLater(state.epoch()));
    }

    // ---- keeping it, and its end ----

    private static Step renewIfDue(LeadershipState state, MonotonicTime now) {
        Holding held = state.holding();
        return held == null || !held.isDue(now, RENEW)
                ? Step.of(state)
                : Step.of(
                        state.with(held.renewing(now)),
                        new LeadershipEffect.Renew(state.epoch(), held.lease(), now));
    }

    private Step renewed(LeadershipState state, LeadershipEvent.Renewed renewed) {
        Holding held = state.holding();
        if (held == null) {
            return Step.of(state);
        }
        return switch (renewed.renewal()) {
            case DONE -> Step.of(state.with(held.renewed(renewed.sentAt())));
            // Tried again at the timer's next turn.
            case UNKNOWN -> Step.of(state.with(held.notRenewed()));
            case LEASE_ENDED -> stepDown(state, "the lease has ended");
        };
    }

    private Step stepDown(LeadershipState state, String why) {
        if (state.holding() == null) {
            return Step.of(state);
        }
        LeadershipState over = state.over(member);
        return Step.of(
                over,
                new LeadershipEffect.Deposed(state.term(), why),
                new LeadershipEffect.Look(over.epoch(), false));
    }

    private Step heard(LeadershipState state, LeadershipEvent.Heard heard) {
        if (!heard.term().isAfter(state.known().term())) {
            return Step.of(state);
        }
        LeadershipState told =
                state.with(
                        new Known(heard.leader(), heard.term(), null, state.known().freeSince()));
        // Answering on with a lower token would keep workers at this node until their leases end.
        Step step = stepDown(told, "a higher term " + heard.term() + " exists");
        return heard.leader() == null
                ? step
                : step.then(new LeadershipEffect.Following(heard.leader()));
    }

    private static Step givingUp(LeadershipState state, LeadershipEvent.GivingUp event) {
        Holding held = state.holding();
        return held == null || held.resigning()
                ? Step.of(state)
                : Step.of(
                        state.with(held.resigning(true)),
                        new LeadershipEffect.GiveUp(
                                state.epoch(),
                                held.lease(),
                                held.version(),
                                state.term(),
                                event.forWantOfHearing(),
                                event.heir()));
    }

    private Step givenUp(LeadershipState state, LeadershipEvent.GivenUp event, MonotonicTime now) {
        if (state.holding() == null) {
            return Step.of(state);
        }
        if (event.refused()) {
            return Step.of(state.with(state.holding().resigning(false)));
        }
        LeadershipState given =
                event.forWantOfHearing()
                        ? state.deaf(true, event.heir() == null ? now : state.resignedAloneAt())
                        : state;
        // Unanswered, it may have been executed, or may be at any later time, so this node cannot
        // lead on.
        String why =
                event.commit() == null
                        ? "whether it is given up is not known"
                        : !event.commit().isApplied()
                                ? "the leader's record has changed"
                                : event.forWantOfHearing()
                                        ? "it hears hardly any worker"
                                        : "it was handed over";
        return stepDown(given, why).then(new LeadershipEffect.Revoke(event.lease()));
    }

    // ---- a leader that may have ended ----

    /**
     * Whether it is better to wait than to send a worker back to the leader that answered it last:
     * it has left the leader, whose process may have ended.
     */
    boolean mayBeGone(LeadershipState state, FencingToken shown, MonotonicTime now) {
        MonotonicTime trustedAt = state.suspicion().trustedAt();
        String leader = state.known().leader();
        return state.holding() == null
                && leader != null
                && !member.equals(leader)
                && shown.equals(state.known().term())
                && (trustedAt == null || now.elapsedSince(trustedAt).compareTo(TRUST) >= 0);
    }

    private Step arrived(
            LeadershipState state, LeadershipEvent.Arrived arrived, MonotonicTime now) {
        if (!mayBeGone(state, arrived.shown(), now)) {
            return Step.of(state);
        }
        Suspicion more = state.suspicion().left(arrived.worker(), LEAST_DESERTERS);
        return more.asking()
                ? Step.of(state.with(more))
                : Step.of(
                        state.with(more.asking(true)),
                        new LeadershipEffect.Ask(
                                state.epoch(), state.known().leader(), 0, 0, Duration.ZERO));
    }

    private static Step told(LeadershipState state, LeadershipEvent.Told told, MonotonicTime now) {
        boolean trusted = told.sign() == Peers.Sign.ANSWERS;
        boolean refuses = told.sign() == Peers.Sign.REFUSES;
        Suspicion suspicion = state.suspicion();
        if (told.epoch() != state.epoch()
                || !told.suspect().equals(state.known().leader())
                || trusted
                || told.asked() >= MOST_QUESTIONS) {
            Step dropped =
                    Step.of(state.with(new Suspicion(Set.of(), 0, false, trusted ? now : null)));
            return trusted ? dropped.then(new LeadershipEffect.Following(told.suspect())) : dropped;
        }
        if (refuses
                && told.refused() + 1 >= LEAST_REFUSALS
                && suspicion.deserters().size() >= LEAST_DESERTERS
                && state.known().lease() != null) {
            return Step.of(
                    state.with(suspicion.asking(false)).with(state.known().leader(null)),
                    new LeadershipEffect.RevokeOf(
                            state.epoch(),
                            told.suspect(),
                            state.known().lease(),
                            suspicion.left()));
        }
        return Step.of(
                state,
                new LeadershipEffect.Ask(
                        state.epoch(),
                        told.suspect(),
                        told.asked() + 1,
                        refuses ? told.refused() + 1 : 0,
                        ASK_AGAIN));
    }
}
