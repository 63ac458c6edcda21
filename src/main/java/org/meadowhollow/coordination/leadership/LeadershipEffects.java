package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerGateway.ProbeResult;
import org.meadowhollow.coordination.leadership.LeadershipEffect.AwaitedRequest;
import org.meadowhollow.coordination.leadership.LeadershipEffect.Notification;
import org.meadowhollow.coordination.leadership.LeadershipEffect.NotifyElected;
import org.meadowhollow.coordination.leadership.LeadershipEffect.NotifyFollowing;
import org.meadowhollow.coordination.leadership.LeadershipEffect.NotifyLeadershipLost;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ProbeSuspect;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ReadLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ScheduleRenewalCheck;
import org.meadowhollow.coordination.leadership.LeadershipEffect.StoreRequest;
import org.meadowhollow.coordination.leadership.LeadershipEvent.EpochBound;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyLost;
import org.meadowhollow.coordination.leadership.LeadershipEvent.ProbeCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RenewalTimerFired;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RevocationFailed;
import org.meadowhollow.coordination.leadership.LeadershipEvent.Started;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Performs the effects of the leader election: sends requests and probes, starts timers and
 * notifies the listener. An effect or event that fails must not end the election: most events
 * follow from an earlier effect, so this class takes care that one follows all the same. Called
 * without the lock of {@link Leadership}.
 */
final class LeadershipEffects {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipEffects.class);
    private static final Duration RENEWAL_CHECK_INTERVAL = Duration.ofMillis(500);

    /**
     * The delay before another attempt to read the leader record. Jitter lengthens it by up to
     * {@link #MAX_RELATIVE_JITTER} of it.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    private static final double MAX_RELATIVE_JITTER = 0.5;

    /** The election that the effects belong to. */
    interface Election {
        /** Handles an event that follows from an effect. */
        void handle(LeadershipEvent event);

        /** Called when a renewal check is due. */
        void onRenewalTimer(int epoch);

        /** Whether replies to requests of this epoch are still handled. */
        boolean isCurrentEpoch(int epoch);

        /** Whether this node holds the leader record, as far as it knows. */
        boolean isLeader();
    }

    private final EventLoop loop;
    private final PeerGateway peerGateway;
    private final String member;
    private final LeadershipStoreClient storeClient;
    private final RandomGenerator random;
    private final Leadership.Listener listener;
    private final Election election;

    /**
     * @param member the name of this node
     * @param random source of the jitter of retries
     */
    LeadershipEffects(
            EventLoop loop,
            PeerGateway peerGateway,
            String member,
            LeadershipStoreClient storeClient,
            RandomGenerator random,
            Leadership.Listener listener,
            Election election) {
        this.loop = loop;
        this.peerGateway = peerGateway;
        this.member = member;
        this.storeClient = storeClient;
        this.random = random;
        this.listener = listener;
        this.election = election;
    }

    /** Performs an effect; throws nothing. */
    void perform(LeadershipEffect effect) {
        RepeatingSteps.run(
                loop,
                RepeatingStep.ELECTION,
                () -> performNow(effect),
                () -> onEffectFailed(effect));
    }

    private void performNow(LeadershipEffect effect) {
        if (effect instanceof ReadLeaderKey read && read.afterDelay()) {
            readLeaderKeyAfterDelay(read);
        } else if (effect instanceof StoreRequest request) {
            storeClient.send(request);
        } else if (effect instanceof ScheduleRenewalCheck check) {
            scheduleRenewalCheck(check.epoch());
        } else if (effect instanceof ProbeSuspect probe) {
            probeAfterDelay(probe);
        } else if (effect instanceof Notification notification) {
            publish(notification);
        }
    }

    // ---- timers ----

    private void scheduleRenewalCheck(int epoch) {
        loop.schedule(RENEWAL_CHECK_INTERVAL, () -> election.onRenewalTimer(epoch));
    }

    /**
     * Reads the leader record after a delay. Its jitter keeps members that lost the same leader at
     * the same moment from retrying at the same moment.
     */
    private void readLeaderKeyAfterDelay(ReadLeaderKey read) {
        double jitter = random.nextDouble() * MAX_RELATIVE_JITTER;
        Duration delay =
                RETRY_DELAY.plus(Duration.ofNanos((long) (RETRY_DELAY.toNanos() * jitter)));
        loop.schedule(
                delay,
                () -> {
                    if (election.isCurrentEpoch(read.epoch()) && !election.isLeader()) {
                        perform(new ReadLeaderKey(read.epoch(), false));
                    }
                });
    }

    // ---- probes ----

    private void probeAfterDelay(ProbeSuspect probe) {
        if (probe.delay().isZero()) {
            probe(probe);
        } else {
            loop.schedule(probe.delay(), () -> probe(probe));
        }
    }

    private void probe(ProbeSuspect probe) {
        CompletableFuture<?> unusedReply =
                peerGateway
                        .probe(probe.suspect())
                        .exceptionally(failure -> ProbeResult.UNRESPONSIVE)
                        .thenAccept(result -> completeProbe(probe, result));
    }

    private void completeProbe(ProbeSuspect probe, ProbeResult result) {
        election.handle(
                new ProbeCompleted(
                        probe.epoch(),
                        probe.suspect(),
                        probe.probesSent(),
                        probe.consecutiveRefusals(),
                        result));
    }

    // ---- notifications ----

    private void publish(Notification notification) {
        if (notification instanceof NotifyElected elected) {
            LOG.info("leader elected node={} token={}", member, elected.fencingToken());
            listener.onElected(
                    elected.fencingToken(), elected.leaderKeyRevision(), elected.vacantSince());
            peerGateway.announceLeader(member, elected.fencingToken());
        } else if (notification instanceof NotifyLeadershipLost lost) {
            LOG.info("leadership lost token={} reason={}", lost.fencingToken(), lost.reason());
            listener.onLeadershipLost(lost.reason());
        } else if (notification instanceof NotifyFollowing following) {
            listener.onFollowing(following.leader());
        }
    }

    // ---- failures ----

    /** Goes on after an event could not be handled, such as a record that cannot be decoded. */
    void onEventFailed(LeadershipEvent event) {
        if (event instanceof RenewalTimerFired timer) {
            scheduleRenewalCheck(timer.epoch());
        } else if (event instanceof EpochBound reply && !(event instanceof RevocationFailed)) {
            beginAnew(reply.epoch());
        } else if (event instanceof Started) {
            beginAnew(LeadershipState.INITIAL.epoch());
        }
    }

    private void onEffectFailed(LeadershipEffect effect) {
        if (effect instanceof ScheduleRenewalCheck check) {
            scheduleRenewalCheck(check.epoch());
        } else if (effect instanceof AwaitedRequest request) {
            beginAnew(request.epoch());
        } else if (effect instanceof ProbeSuspect probe) {
            completeProbe(probe, ProbeResult.UNRESPONSIVE);
        } else if (effect instanceof NotifyElected) {
            election.handle(new LeaderKeyLost());
        }
    }

    /**
     * Takes the place of a reply that will not be handled: a follower reads the leader record
     * again. A leader steps down, since its next renewal may wait for that reply.
     */
    private void beginAnew(int epoch) {
        if (!election.isCurrentEpoch(epoch)) {
            return;
        }
        if (election.isLeader()) {
            election.handle(new LeaderKeyLost());
        } else {
            readLeaderKeyAfterDelay(new ReadLeaderKey(epoch, true));
        }
    }
}
