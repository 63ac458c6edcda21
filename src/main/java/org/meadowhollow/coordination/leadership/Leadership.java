package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.hearing.Earshot;
import org.meadowhollow.coordination.platform.Peers;
import org.meadowhollow.coordination.platform.Platform;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads: the holder of a leased key in the state service. The term comes from a counter that
 * only grows, raised in the same transaction that takes the key. What follows from what is decided
 * by {@link LeadershipStep}, under a short lock; this does what it asks for.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final Duration RENEWAL_CHECK = Duration.ofMillis(500);
    private static final Duration RETRY = Duration.ofMillis(400);

    /** A watch of the leader's key; it returns at once when the key goes. */
    private static final Duration WATCH = Duration.ofSeconds(20);

    /**
     * For what a worker takes to notice that its lease is over. An answer that is held back or late
     * needs none: a lease counts from when its report was sent, which is before it was taken in
     * here.
     */
    private static final Duration MARGIN = Duration.ofSeconds(1);

    /**
     * Workers that must have come here within some seconds for this node to count as one that hears
     * them. Those of a silent leader go round all nodes, one every 5 s and more.
     */
    private static final int LEAST_HEARD = 3;

    private static final Duration HEARD_WITHIN = Duration.ofSeconds(6);

    /** What follows from a change of leadership. */
    public interface Listener {
        /**
         * This member leads from now on.
         *
         * @param leaderVersion the revision of the transaction that took the key
         * @param noticedAt when this node saw that nobody leads, or null
         */
        void elected(FencingToken fencingToken, Revision leaderVersion, MonotonicTime noticedAt);

        /** This member does not lead any more. */
        void deposed(String why);

        /** Another member leads, as far as is known. */
        void following(String leader);
    }

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Peers peers;
    private final String member;
    private final LeadershipStep steps;
    private final Duration answerFor;
    private final Earshot earshot;
    private final RandomGenerator random;
    private final Listener listener;
    private LeadershipState state = LeadershipState.FIRST;

    public Leadership(
            KeyValueStore store,
            EventLoop loop,
            Peers peers,
            Platform platform,
            Earshot earshot,
            RandomGenerator random,
            Listener listener) {
        this.store = store;
        this.loop = loop;
        this.peers = peers;
        this.member = platform.member();
        this.steps = new LeadershipStep(member);
        this.earshot = earshot;
        this.answerFor = platform.cancelWithin().minus(platform.lease()).minus(MARGIN);
        this.random = random;
        this.listener = listener;
    }

    public void start() {
        on(new LeadershipEvent.Started());
    }

    /** Whether new starts may go out: the lease certainly holds. */
    public synchronized boolean mayStart() {
        return LeadershipStep.mayStart(state, loop.now());
    }

    /**
     * Whether starts may be sent to workers: the lease certainly holds, and no cancellation of a
     * moment ago is unknown here.
     */
    public synchronized boolean maySendStarts() {
        return LeadershipStep.maySendStarts(state, loop.now());
    }

    /**
     * Whether reports may be answered. A leader that cannot renew keeps the tasks running, but only
     * so long that all leases it renewed are over before a cancellation it never heard of is due.
     * Before it has loaded it may not.
     */
    public synchronized boolean mayAnswer() {
        return LeadershipStep.mayAnswer(answerFor, state, loop.now());
    }

    /**
     * The leader of a term knows all cancellations up to a moment.
     *
     * @param upTo when the request was sent whose answer showed the last of them
     */
    public void knows(FencingToken fencingToken, MonotonicTime upTo) {
        on(new LeadershipEvent.TookIn(fencingToken, upTo));
    }

    /** The term of this node's last leadership. */
    public synchronized FencingToken term() {
        return state.term();
    }

    /** The highest term heard of, by whomever it was shown. */
    public synchronized FencingToken highest() {
        return state.known().term();
    }

    /** The leader last heard of, or null. */
    public synchronized String leader() {
        return state.known().leader();
    }

    /** Whether this node gave its lease up for want of hearing, and has heard nobody since. */
    public synchronized boolean isDeaf() {
        return state.deaf();
    }

    /** Whether giving up without knowing of a node that hears has not been tried for a time. */
    public synchronized boolean mayResignAlone(Duration pause) {
        return state.resignedAloneAt() == null
                || loop.now().elapsedSince(state.resignedAloneAt()).compareTo(pause) >= 0;
    }

    /** A peer or a worker told of a term; a higher one than ours ends our leadership. */
    public void heardOf(FencingToken other, String otherLeader) {
        on(new LeadershipEvent.Heard(other, otherLeader));
    }

    /** Gives the leadership up, when a write has shown that it is lost. */
    public void lost() {
        on(new LeadershipEvent.Lost());
    }

    /** A worker was heard of again, so this node may stand like any other. */
    public void hearsAgain() {
        on(new LeadershipEvent.HearsAgain());
    }

    /**
     * Gives the lease up because hardly any worker is heard here; the record of terms says so, and
     * for whom. Its key is removed under a guard, so nothing is given up that another has taken.
     * Until the answer comes this node answers reports and decides nothing; refused, it leads on
     * and tries again when asked to.
     *
     * @param heir a node that hears them, or null if none is known
     */
    public void resign(String heir) {
        on(new LeadershipEvent.GivingUp(true, heir));
    }

    /**
     * Gives the lease to another node, because this one is going to end. The others leave it to
     * that node for a moment.
     *
     * @param heir the node that is to take it, or null if it does not matter which
     */
    public void handOver(String heir) {
        on(new LeadershipEvent.GivingUp(false, heir));
    }

    /**
     * A worker has come here. If the leader answered it last, it has left the leader, whose process
     * may have ended: the leader is asked, and if it refuses connections while several workers have
     * left it, its lease is ended at once instead of when it runs out. That is a matter of time
     * alone: whoever leads next takes the key and a higher term as ever, so a leader that is
     * wrongly suspected loses its place, and no more.
     *
     * @return whether it is better to wait for what comes of this than to send the worker back to
     *     the leader
     */
    public boolean arrived(MachineId worker, FencingToken shown) {
        synchronized (this) {
            if (!steps.mayBeGone(state, shown, loop.now())) {
                return false;
            }
        }
        on(new LeadershipEvent.Arrived(worker, shown));
        return true;
    }

    /**
     * Sends a renewal that is due. Called by a timer, and in between by long work: a node that
     * computes slowly can be busy with hundreds of reports or with a round for longer than its
     * lease lasts, and while its timer waited the leadership went round from one starved node to
     * the next, each of which had to load everything anew.
     */
    public void keepUp() {
        synchronized (this) {
            if (state.holding() == null
                    || !state.holding().isDue(loop.now(), LeadershipStep.RENEW)) {
                return;
            }
        }
        on(new LeadershipEvent.WorkGoesOn());
    }

    // ---- what steps ask for ----

    private void on(LeadershipEvent event) {
        LeadershipStep.Step step;
        synchronized (this) {
            step = steps.on(state, event, loop.now());
            state = step.next();
        }
        step.effects().forEach(this::carryOut);
    }

    private synchronized boolean current(int expected) {
        return state.epoch() == expected;
    }

    private void later(Duration pause, int expected, Runnable work) {
        Duration jittered =
                pause.plus(Duration.ofNanos((long) (pause.toNanos() * random.nextDouble() * 0.5)));
        loop.schedule(
                jittered,
                () -> {
                    if (current(expected)) {
                        work.run();
                    }
                });
    }

    private void carryOut(LeadershipEffect effect) {
        if (effect instanceof LeadershipEffect.Look look) {
            if (look.later()) {
                later(RETRY, look.epoch(), () -> look(look.epoch()));
            } else {
                look(look.epoch());
            }
        } else if (effect instanceof LeadershipEffect.Watch watch) {
            store.watch(RecordCodec.LEADER_KEY, watch.after(), WATCH)
                    .whenComplete(
                            (changeBatch, failure) ->
                                    on(
                                            new LeadershipEvent.Watched(
                                                    watch.epoch(),
                                                    failure == null ? changeBatch : null)));
        } else if (effect instanceof LeadershipEffect.ReadCounter read) {
            store.get(RecordCodec.FENCING_TOKEN_KEY, RequestPriority.LEASE)
                    .whenComplete(
                            (counter, failure) ->
                                    on(
                                            new LeadershipEvent.CounterRead(
                                                    read.epoch(),
                                                    read.seen(),
                                                    failure == null ? counter : null,
                                                    earshot.count(HEARD_WITHIN, loop.now())
                                                            >= LEAST_HEARD)));
        } else if (effect instanceof LeadershipEffect.Grant grant) {
            MonotonicTime sentAt = loop.now();
            store.grantLease(LeadershipStep.TTL)
                    .whenComplete(
                            (lease, failure) ->
                                    on(
                                            new LeadershipEvent.Granted(
                                                    grant.epoch(),
                                                    grant.seen(),
                                                    grant.counter(),
                                                    failure == null ? lease : null,
                                                    sentAt)));
        } else if (effect instanceof LeadershipEffect.Claim claim) {
            store.commit(transaction(claim), RequestPriority.LEASE)
                    .whenComplete(
                            (commitResult, failure) ->
                                    on(
                                            new LeadershipEvent.Claimed(
                                                    claim.epoch(),
                                                    claim.term(),
                                                    claim.lease(),
                                                    claim.sentAt(),
                                                    failure == null ? commitResult : null)));
        } else if (effect instanceof LeadershipEffect.TickLater tick) {
            loop.schedule(RENEWAL_CHECK, () -> on(new LeadershipEvent.Tick(tick.epoch())));
        } else if (effect instanceof LeadershipEffect.Renew renew) {
            store.renewLease(renew.lease())
                    .whenComplete(
                            (unused, failure) ->
                                    on(
                                            new LeadershipEvent.Renewed(
                                                    renew.epoch(),
                                                    renew.sentAt(),
                                                    failure == null
                                                            ? LeadershipEvent.Renewal.DONE
                                                            : KeyValueStoreException.outcomeOf(
                                                                                    failure)
                                                                            == Outcome.LEASE_EXPIRED
                                                                    ? LeadershipEvent.Renewal
                                                                            .LEASE_ENDED
                                                                    : LeadershipEvent.Renewal
                                                                            .UNKNOWN)));
        } else if (effect instanceof LeadershipEffect.GiveUp giveUp) {
            giveUp(giveUp);
        } else if (effect instanceof LeadershipEffect.Revoke revoke) {
            store.revokeLease(revoke.lease());
        } else if (effect instanceof LeadershipEffect.RevokeOf revoke) {
            LOG.info(
                    "{} workers have left {}, which refuses connections: its lease is ended",
                    revoke.left(),
                    revoke.suspect());
            store.revokeLease(revoke.lease())
                    .whenComplete(
                            (unused, failure) -> {
                                if (failure != null) {
                                    on(
                                            new LeadershipEvent.NotRevoked(
                                                    revoke.epoch(),
                                                    revoke.suspect(),
                                                    revoke.lease()));
                                }
                            });
        } else if (effect instanceof LeadershipEffect.Ask ask) {
            if (ask.pause().isZero()) {
                ask(ask);
            } else {
                loop.schedule(ask.pause(), () -> ask(ask));
            }
        } else if (effect instanceof LeadershipEffect.Elected elected) {
            LOG.info("elected: {} leads in term {}", member, elected.term());
            listener.elected(elected.term(), elected.leaderVersion(), elected.noticedAt());
            peers.announce(member, elected.term());
        } else if (effect instanceof LeadershipEffect.Deposed deposed) {
            LOG.info("leadership of term {} lost: {}", deposed.term(), deposed.why());
            listener.deposed(deposed.why());
        } else if (effect instanceof LeadershipEffect.Following following) {
            listener.following(following.leader());
        }
    }

    private void look(int epoch) {
        store.list(RecordCodec.LEADER_KEY, null, RequestPriority.LEASE)
                .whenComplete(
                        (page, failure) ->
                                on(
                                        new LeadershipEvent.Looked(
                                                epoch, failure == null ? page : null)));
    }

    private void ask(LeadershipEffect.Ask ask) {
        peers.signOf(ask.suspect())
                .thenAccept(
                        sign ->
                                on(
                                        new LeadershipEvent.Told(
                                                ask.epoch(),
                                                ask.suspect(),
                                                ask.asked(),
                                                ask.refused(),
                                                sign)));
    }

    private void giveUp(LeadershipEffect.GiveUp giveUp) {
        LOG.info(
                "term {} {} its lease {}{}",
                giveUp.term(),
                giveUp.forWantOfHearing()
                        ? "hears hardly any worker and gives"
                        : "is to end and hands",
                giveUp.forWantOfHearing() ? "up" : "over",
                giveUp.heir() == null ? "" : " to " + giveUp.heir());
        store.commit(transaction(giveUp), RequestPriority.LEASE)
                .whenComplete(
                        (commitResult, failure) ->
                                on(
                                        new LeadershipEvent.GivenUp(
                                                giveUp.epoch(),
                                                giveUp.lease(),
                                                giveUp.forWantOfHearing(),
                                                giveUp.heir(),
                                                failure == null ? commitResult : null,
                                                failure != null
                                                        && KeyValueStoreException.outcomeOf(failure)
                                                                == Outcome.REJECTED)));
    }

    private Transaction transaction(LeadershipEffect.Claim claim) {
        return new Transaction()
                .requireRevision(RecordCodec.LEADER_KEY, claim.leader())
                .requireRevision(RecordCodec.FENCING_TOKEN_KEY, claim.counter())
                .put(RecordCodec.FENCING_TOKEN_KEY, Map.of("term", claim.term().value()))
                .put(
                        RecordCodec.LEADER_KEY,
                        Map.of(
                                "member",
                                member,
                                "term",
                                claim.term().value(),
                                "lease",
                                claim.lease().value()),
                        claim.lease());
    }

    private Transaction transaction(LeadershipEffect.GiveUp giveUp) {
        return new Transaction()
                .requireRevision(RecordCodec.LEADER_KEY, giveUp.leader())
                .delete(RecordCodec.LEADER_KEY)
                .put(
                        RecordCodec.FENCING_TOKEN_KEY,
                        giveUp.forWantOfHearing()
                                ? Standing.resigned(giveUp.term().value(), member, giveUp.heir())
                                : Standing.handedOver(giveUp.term().value(), giveUp.heir()));
    }
}
