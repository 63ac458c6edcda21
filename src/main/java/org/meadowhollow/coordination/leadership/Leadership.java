package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.heartbeat.HeartbeatTracker;
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
 * by {@link LeadershipStateMachine}, under a short lock; this does what it asks for.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final Duration RENEWAL_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    /** A watch of the leader's key; it returns at once when the key goes. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    /**
     * For what a worker takes to notice that its lease is over. An answer that is held back or late
     * needs none: a lease counts from when its report was sent, which is before it was taken in
     * here.
     */
    private static final Duration LEASE_END_MARGIN = Duration.ofSeconds(1);

    /**
     * Workers that must have come here within some seconds for this node to count as one that hears
     * them. Those of a silent leader go round all nodes, one every 5 s and more.
     */
    private static final int MIN_REACHING_WORKERS = 3;

    private static final Duration REACHING_WORKERS_WINDOW = Duration.ofSeconds(6);

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
        void leadershipLost(String why);

        /** Another member leads, as far as is known. */
        void following(String leader);
    }

    private final KeyValueStore store;
    private final EventLoop loop;
    private final PeerGateway peerGateway;
    private final String member;
    private final LeadershipStateMachine stateMachine;
    private final Duration workerLeaseRenewalBound;
    private final HeartbeatTracker heartbeatTracker;
    private final RandomGenerator random;
    private final Listener listener;
    private LeadershipState state = LeadershipState.INITIAL;

    public Leadership(
            KeyValueStore store,
            EventLoop loop,
            PeerGateway peerGateway,
            DeploymentSettings deploymentSettings,
            HeartbeatTracker earshot,
            RandomGenerator random,
            Listener listener) {
        this.store = store;
        this.loop = loop;
        this.peerGateway = peerGateway;
        this.member = deploymentSettings.member();
        this.stateMachine = new LeadershipStateMachine(member);
        this.heartbeatTracker = earshot;
        this.workerLeaseRenewalBound =
                deploymentSettings
                        .cancellationBound()
                        .minus(deploymentSettings.workerLease())
                        .minus(LEASE_END_MARGIN);
        this.random = random;
        this.listener = listener;
    }

    public void start() {
        handle(new LeadershipEvent.Started());
    }

    /** Whether new starts may go out: the lease certainly holds. */
    public synchronized boolean canDecide() {
        return LeadershipStateMachine.canDecide(state, loop.now());
    }

    /**
     * Whether starts may be sent to workers: the lease certainly holds, and no cancellation of a
     * moment ago is unknown here.
     */
    public synchronized boolean canStartTasks() {
        return LeadershipStateMachine.canStartTasks(state, loop.now());
    }

    /**
     * Whether reports may be answered. A leader that cannot renew keeps the tasks running, but only
     * so long that all leases it renewed are over before a cancellation it never heard of is due.
     * Before it has loaded it may not.
     */
    public synchronized boolean canRenewWorkerLeases() {
        return LeadershipStateMachine.canRenewWorkerLeases(
                workerLeaseRenewalBound, state, loop.now());
    }

    /**
     * The leader of a term knows all cancellations up to a moment.
     *
     * @param upTo when the request was sent whose answer showed the last of them
     */
    public void advanceFreshness(FencingToken fencingToken, MonotonicTime upTo) {
        handle(new LeadershipEvent.FreshnessAdvanced(fencingToken, upTo));
    }

    /** The term of this node's last leadership. */
    public synchronized FencingToken fencingToken() {
        return state.fencingToken();
    }

    /** The highest term heard of, by whomever it was shown. */
    public synchronized FencingToken highestObservedToken() {
        return state.observedLeader().highestToken();
    }

    /** The leader last heard of, or null. */
    public synchronized String lastKnownLeader() {
        return state.observedLeader().leader();
    }

    /** Whether this node gave its lease up for want of hearing, and has heard nobody since. */
    public synchronized boolean isIsolated() {
        return state.isolated();
    }

    /** Whether giving up without knowing of a node that hears has not been tried for a time. */
    public synchronized boolean canResignWithoutSuccessor(Duration pause) {
        return state.resignedWithoutSuccessorAt() == null
                || loop.now().elapsedSince(state.resignedWithoutSuccessorAt()).compareTo(pause)
                        >= 0;
    }

    /** A peer or a worker told of a term; a higher one than ours ends our leadership. */
    public void observeToken(FencingToken other, String otherLeader) {
        handle(new LeadershipEvent.TokenObserved(other, otherLeader));
    }

    /** Gives the leadership up, when a write has shown that it is lost. */
    public void stepDown() {
        handle(new LeadershipEvent.LeaderKeyLost());
    }

    /** A worker was heard of again, so this node may stand like any other. */
    public void restoreWorkerContact() {
        handle(new LeadershipEvent.WorkerContactRestored());
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
        handle(new LeadershipEvent.ReleaseRequested(true, heir));
    }

    /**
     * Gives the lease to another node, because this one is going to end. The others leave it to
     * that node for a moment.
     *
     * @param heir the node that is to take it, or null if it does not matter which
     */
    public void handOver(String heir) {
        handle(new LeadershipEvent.ReleaseRequested(false, heir));
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
    public boolean recordWorkerArrival(MachineId worker, FencingToken shown) {
        synchronized (this) {
            if (!stateMachine.leaderMayHaveFailed(state, shown, loop.now())) {
                return false;
            }
        }
        handle(new LeadershipEvent.WorkerArrived(worker, shown));
        return true;
    }

    /**
     * Sends a renewal that is due. Called by a timer, and in between by long work: a node that
     * computes slowly can be busy with hundreds of reports or with a round for longer than its
     * lease lasts, and while its timer waited the leadership went round from one starved node to
     * the next, each of which had to load everything anew.
     */
    public void renewIfDue() {
        synchronized (this) {
            if (state.heldLeadership() == null
                    || !state.heldLeadership()
                            .isRenewalDue(loop.now(), LeadershipStateMachine.RENEWAL_INTERVAL)) {
                return;
            }
        }
        handle(new LeadershipEvent.RenewalCheckpointReached());
    }

    // ---- what steps ask for ----

    private void handle(LeadershipEvent event) {
        LeadershipStateMachine.Transition transition;
        synchronized (this) {
            transition = stateMachine.apply(state, event, loop.now());
            state = transition.next();
        }
        transition.effects().forEach(this::perform);
    }

    private synchronized boolean isCurrentEpoch(int expected) {
        return state.epoch() == expected;
    }

    private void runAfterJitteredDelay(Duration pause, int expected, Runnable work) {
        Duration jittered =
                pause.plus(Duration.ofNanos((long) (pause.toNanos() * random.nextDouble() * 0.5)));
        loop.schedule(
                jittered,
                () -> {
                    if (isCurrentEpoch(expected)) {
                        work.run();
                    }
                });
    }

    private void perform(LeadershipEffect effect) {
        if (effect instanceof LeadershipEffect.ReadLeaderKey readLeaderKey) {
            if (readLeaderKey.afterDelay()) {
                runAfterJitteredDelay(
                        RETRY_DELAY,
                        readLeaderKey.epoch(),
                        () -> readLeaderKey(readLeaderKey.epoch()));
            } else {
                readLeaderKey(readLeaderKey.epoch());
            }
        } else if (effect instanceof LeadershipEffect.WatchLeaderKey watchLeaderKey) {
            store.watch(RecordCodec.LEADER_KEY, watchLeaderKey.afterRevision(), WATCH_TIMEOUT)
                    .whenComplete(
                            (changeBatch, failure) ->
                                    handle(
                                            new LeadershipEvent.LeaderKeyWatchEnded(
                                                    watchLeaderKey.epoch(),
                                                    failure == null ? changeBatch : null)));
        } else if (effect instanceof LeadershipEffect.ReadTokenCounter read) {
            store.get(RecordCodec.FENCING_TOKEN_KEY, RequestPriority.LEASE)
                    .whenComplete(
                            (counter, failure) ->
                                    handle(
                                            new LeadershipEvent.TokenCounterRead(
                                                    read.epoch(),
                                                    read.leaderKeyRevision(),
                                                    failure == null ? counter : null,
                                                    heartbeatTracker.countRecent(
                                                                    REACHING_WORKERS_WINDOW,
                                                                    loop.now())
                                                            >= MIN_REACHING_WORKERS)));
        } else if (effect instanceof LeadershipEffect.GrantLease grantLease) {
            MonotonicTime sentAt = loop.now();
            store.grantLease(LeadershipStateMachine.LEASE_TTL)
                    .whenComplete(
                            (lease, failure) ->
                                    handle(
                                            new LeadershipEvent.LeaseGrantCompleted(
                                                    grantLease.epoch(),
                                                    grantLease.leaderKeyRevision(),
                                                    grantLease.counter(),
                                                    failure == null ? lease : null,
                                                    sentAt)));
        } else if (effect instanceof LeadershipEffect.ClaimLeaderKey claimLeaderKey) {
            store.commit(buildTransaction(claimLeaderKey), RequestPriority.LEASE)
                    .whenComplete(
                            (commitResult, failure) ->
                                    handle(
                                            new LeadershipEvent.LeaderKeyClaimCompleted(
                                                    claimLeaderKey.epoch(),
                                                    claimLeaderKey.fencingToken(),
                                                    claimLeaderKey.lease(),
                                                    claimLeaderKey.sentAt(),
                                                    failure == null ? commitResult : null)));
        } else if (effect instanceof LeadershipEffect.ScheduleRenewalCheck tick) {
            loop.schedule(
                    RENEWAL_CHECK_INTERVAL,
                    () -> handle(new LeadershipEvent.RenewalTimerFired(tick.epoch())));
        } else if (effect instanceof LeadershipEffect.RenewLease renewLease) {
            store.renewLease(renewLease.lease())
                    .whenComplete(
                            (unused, failure) ->
                                    handle(
                                            new LeadershipEvent.RenewalCompleted(
                                                    renewLease.epoch(),
                                                    renewLease.sentAt(),
                                                    failure == null
                                                            ? LeadershipEvent.RenewalOutcome.RENEWED
                                                            : KeyValueStoreException.outcomeOf(
                                                                                    failure)
                                                                            == Outcome.LEASE_EXPIRED
                                                                    ? LeadershipEvent.RenewalOutcome
                                                                            .LEASE_EXPIRED
                                                                    : LeadershipEvent.RenewalOutcome
                                                                            .UNKNOWN)));
        } else if (effect instanceof LeadershipEffect.ReleaseLeaderKey releaseLeaderKey) {
            releaseLeaderKey(releaseLeaderKey);
        } else if (effect instanceof LeadershipEffect.RevokeOwnLease revokeOwnLease) {
            store.revokeLease(revokeOwnLease.lease());
        } else if (effect instanceof LeadershipEffect.RevokeSuspectLease revoke) {
            LOG.info(
                    "{} workers have left {}, which refuses connections: its lease is ended",
                    revoke.departureCount(),
                    revoke.suspect());
            store.revokeLease(revoke.lease())
                    .whenComplete(
                            (unused, failure) -> {
                                if (failure != null) {
                                    handle(
                                            new LeadershipEvent.RevocationFailed(
                                                    revoke.epoch(),
                                                    revoke.suspect(),
                                                    revoke.lease()));
                                }
                            });
        } else if (effect instanceof LeadershipEffect.ProbeSuspect probeSuspect) {
            if (probeSuspect.delay().isZero()) {
                probeSuspect(probeSuspect);
            } else {
                loop.schedule(probeSuspect.delay(), () -> probeSuspect(probeSuspect));
            }
        } else if (effect instanceof LeadershipEffect.NotifyElected notifyElected) {
            LOG.info("elected: {} leads in term {}", member, notifyElected.fencingToken());
            listener.elected(
                    notifyElected.fencingToken(),
                    notifyElected.leaderKeyRevision(),
                    notifyElected.vacantSince());
            peerGateway.announceLeader(member, notifyElected.fencingToken());
        } else if (effect instanceof LeadershipEffect.NotifyLeadershipLost notifyLeadershipLost) {
            LOG.info(
                    "leadership of term {} lost: {}",
                    notifyLeadershipLost.fencingToken(),
                    notifyLeadershipLost.reason());
            listener.leadershipLost(notifyLeadershipLost.reason());
        } else if (effect instanceof LeadershipEffect.NotifyFollowing notifyFollowing) {
            listener.following(notifyFollowing.leader());
        }
    }

    private void readLeaderKey(int epoch) {
        store.list(RecordCodec.LEADER_KEY, null, RequestPriority.LEASE)
                .whenComplete(
                        (page, failure) ->
                                handle(
                                        new LeadershipEvent.LeaderKeyRead(
                                                epoch, failure == null ? page : null)));
    }

    private void probeSuspect(LeadershipEffect.ProbeSuspect probeSuspect) {
        peerGateway
                .probe(probeSuspect.suspect())
                .thenAccept(
                        probeResult ->
                                handle(
                                        new LeadershipEvent.ProbeCompleted(
                                                probeSuspect.epoch(),
                                                probeSuspect.suspect(),
                                                probeSuspect.probesSent(),
                                                probeSuspect.consecutiveRefusals(),
                                                probeResult)));
    }

    private void releaseLeaderKey(LeadershipEffect.ReleaseLeaderKey releaseLeaderKey) {
        LOG.info(
                "term {} {} its lease {}{}",
                releaseLeaderKey.fencingToken(),
                releaseLeaderKey.becauseIsolated()
                        ? "hears hardly any worker and gives"
                        : "is to end and hands",
                releaseLeaderKey.becauseIsolated() ? "up" : "over",
                releaseLeaderKey.preferredSuccessor() == null
                        ? ""
                        : " to " + releaseLeaderKey.preferredSuccessor());
        store.commit(buildTransaction(releaseLeaderKey), RequestPriority.LEASE)
                .whenComplete(
                        (commitResult, failure) ->
                                handle(
                                        new LeadershipEvent.ReleaseCompleted(
                                                releaseLeaderKey.epoch(),
                                                releaseLeaderKey.lease(),
                                                releaseLeaderKey.becauseIsolated(),
                                                releaseLeaderKey.preferredSuccessor(),
                                                failure == null ? commitResult : null,
                                                failure != null
                                                        && KeyValueStoreException.outcomeOf(failure)
                                                                == Outcome.REJECTED)));
    }

    private Transaction buildTransaction(LeadershipEffect.ClaimLeaderKey claimLeaderKey) {
        return new Transaction()
                .requireRevision(RecordCodec.LEADER_KEY, claimLeaderKey.expectedLeaderKeyRevision())
                .requireRevision(
                        RecordCodec.FENCING_TOKEN_KEY, claimLeaderKey.expectedCounterRevision())
                .put(
                        RecordCodec.FENCING_TOKEN_KEY,
                        Map.of("term", claimLeaderKey.fencingToken().value()))
                .put(
                        RecordCodec.LEADER_KEY,
                        Map.of(
                                "member",
                                member,
                                "term",
                                claimLeaderKey.fencingToken().value(),
                                "lease",
                                claimLeaderKey.lease().value()),
                        claimLeaderKey.lease());
    }

    private Transaction buildTransaction(LeadershipEffect.ReleaseLeaderKey releaseLeaderKey) {
        return new Transaction()
                .requireRevision(
                        RecordCodec.LEADER_KEY, releaseLeaderKey.expectedLeaderKeyRevision())
                .delete(RecordCodec.LEADER_KEY)
                .put(
                        RecordCodec.FENCING_TOKEN_KEY,
                        releaseLeaderKey.becauseIsolated()
                                ? CandidacyPolicy.resignationRecord(
                                        releaseLeaderKey.fencingToken().value(),
                                        member,
                                        releaseLeaderKey.preferredSuccessor())
                                : CandidacyPolicy.handoverRecord(
                                        releaseLeaderKey.fencingToken().value(),
                                        releaseLeaderKey.preferredSuccessor()));
    }
}
