package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ClaimLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEffect.GrantLease;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ReadLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ReadTokenCounter;
import org.meadowhollow.coordination.leadership.LeadershipEffect.ReleaseLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEffect.RenewLease;
import org.meadowhollow.coordination.leadership.LeadershipEffect.RevokeOwnLease;
import org.meadowhollow.coordination.leadership.LeadershipEffect.RevokeSuspectLease;
import org.meadowhollow.coordination.leadership.LeadershipEffect.StoreRequest;
import org.meadowhollow.coordination.leadership.LeadershipEffect.WatchLeaderKey;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyClaimCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyRead;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaderKeyWatchEnded;
import org.meadowhollow.coordination.leadership.LeadershipEvent.LeaseGrantCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.ReleaseCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RenewalCompleted;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RenewalOutcome;
import org.meadowhollow.coordination.leadership.LeadershipEvent.RevocationFailed;
import org.meadowhollow.coordination.leadership.LeadershipEvent.TokenCounterRead;
import org.meadowhollow.coordination.leadership.LeadershipRecordCodec.LeaderRecord;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the requests of {@link LeadershipStateMachine} to the key-value store and returns each
 * reply as an event. Stateless; takes no lock and does not block.
 */
final class LeadershipStoreClient {
    // The logger of Leadership, so that all log lines of leader election have the same name.
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** The maximum wait of a watch, which returns at once when the leader record changes. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String member;
    private final BooleanSupplier workersReachNode;
    private final Consumer<LeadershipEvent> replies;

    /**
     * @param member the name of this node
     * @param workersReachNode whether several workers have reached this node recently
     * @param replies receives the replies, on the thread that completes the request
     */
    LeadershipStoreClient(
            KeyValueStore store,
            EventLoop loop,
            String member,
            BooleanSupplier workersReachNode,
            Consumer<LeadershipEvent> replies) {
        this.store = store;
        this.loop = loop;
        this.member = member;
        this.workersReachNode = workersReachNode;
        this.replies = replies;
    }

    /** Sends a request at once. The caller handles {@link ReadLeaderKey#afterDelay()}. */
    void send(StoreRequest request) {
        if (request instanceof ReadLeaderKey read) {
            readLeaderKey(read);
        } else if (request instanceof WatchLeaderKey watch) {
            watchLeaderKey(watch);
        } else if (request instanceof ReadTokenCounter read) {
            readTokenCounter(read);
        } else if (request instanceof GrantLease grant) {
            grantLease(grant);
        } else if (request instanceof ClaimLeaderKey claim) {
            claimLeaderKey(claim);
        } else if (request instanceof RenewLease renewal) {
            renewLease(renewal);
        } else if (request instanceof ReleaseLeaderKey release) {
            releaseLeaderKey(release);
        } else if (request instanceof RevokeOwnLease revocation) {
            CompletableFuture<Void> unusedReply = store.revokeLease(revocation.lease());
        } else if (request instanceof RevokeSuspectLease revocation) {
            revokeSuspectLease(revocation);
        }
    }

    private void readLeaderKey(ReadLeaderKey request) {
        CompletableFuture<?> unusedReply =
                store.list(RecordKeys.LEADER_KEY, null, RequestPriority.LEASE)
                        .whenComplete(
                                (page, failure) ->
                                        replies.accept(
                                                new LeaderKeyRead(
                                                        request.epoch(),
                                                        failure == null ? page : null)));
    }

    private void watchLeaderKey(WatchLeaderKey request) {
        CompletableFuture<?> unusedReply =
                store.watch(RecordKeys.LEADER_KEY, request.afterRevision(), WATCH_TIMEOUT)
                        .whenComplete(
                                (changes, failure) ->
                                        replies.accept(
                                                new LeaderKeyWatchEnded(
                                                        request.epoch(),
                                                        failure == null ? changes : null)));
    }

    private void readTokenCounter(ReadTokenCounter request) {
        CompletableFuture<?> unusedReply =
                store.get(RecordKeys.FENCING_TOKEN_KEY, RequestPriority.LEASE)
                        .whenComplete(
                                (counter, failure) ->
                                        replies.accept(
                                                new TokenCounterRead(
                                                        request.epoch(),
                                                        request.leaderKeyRevision(),
                                                        failure == null ? counter : null,
                                                        workersReachNode.getAsBoolean())));
    }

    private void grantLease(GrantLease request) {
        MonotonicTime sentAt = loop.now();
        CompletableFuture<?> unusedReply =
                store.grantLease(LeadershipSafety.LEASE_TTL)
                        .whenComplete(
                                (lease, failure) ->
                                        replies.accept(
                                                new LeaseGrantCompleted(
                                                        request.epoch(),
                                                        request.leaderKeyRevision(),
                                                        request.counter(),
                                                        failure == null ? lease : null,
                                                        sentAt)));
    }

    private void claimLeaderKey(ClaimLeaderKey request) {
        CompletableFuture<?> unusedReply =
                store.commit(claimTransaction(request), RequestPriority.LEASE)
                        .whenComplete(
                                (commit, failure) ->
                                        replies.accept(
                                                new LeaderKeyClaimCompleted(
                                                        request.epoch(),
                                                        request.fencingToken(),
                                                        request.lease(),
                                                        request.sentAt(),
                                                        failure == null ? commit : null)));
    }

    private Transaction claimTransaction(ClaimLeaderKey request) {
        LeaderRecord leader = new LeaderRecord(member, request.fencingToken(), request.lease());
        return new Transaction()
                .requireRevision(RecordKeys.LEADER_KEY, request.expectedLeaderKeyRevision())
                .requireRevision(RecordKeys.FENCING_TOKEN_KEY, request.expectedCounterRevision())
                .put(
                        RecordKeys.FENCING_TOKEN_KEY,
                        LeadershipRecordCodec.encodeCounter(request.fencingToken()))
                .put(
                        RecordKeys.LEADER_KEY,
                        LeadershipRecordCodec.encodeLeader(leader),
                        request.lease());
    }

    private void renewLease(RenewLease request) {
        CompletableFuture<?> unusedReply =
                store.renewLease(request.lease())
                        .whenComplete(
                                (unusedResult, failure) ->
                                        replies.accept(
                                                new RenewalCompleted(
                                                        request.epoch(),
                                                        request.sentAt(),
                                                        renewalOutcome(failure))));
    }

    private static RenewalOutcome renewalOutcome(Throwable failure) {
        if (failure == null) {
            return RenewalOutcome.RENEWED;
        }
        return KeyValueStoreException.outcomeOf(failure) == Outcome.LEASE_EXPIRED
                ? RenewalOutcome.LEASE_EXPIRED
                : RenewalOutcome.UNKNOWN;
    }

    private void releaseLeaderKey(ReleaseLeaderKey request) {
        LOG.info(
                "lease release requested token={} reason={} successor={}",
                request.fencingToken(),
                request.reason().requestText(),
                request.preferredSuccessor() == null ? "any" : request.preferredSuccessor());
        CompletableFuture<?> unusedReply =
                store.commit(releaseTransaction(request), RequestPriority.LEASE)
                        .whenComplete(
                                (commit, failure) ->
                                        replies.accept(
                                                new ReleaseCompleted(
                                                        request.epoch(),
                                                        request.lease(),
                                                        request.reason(),
                                                        request.preferredSuccessor(),
                                                        failure == null ? commit : null,
                                                        isRefused(failure))));
    }

    private static boolean isRefused(Throwable failure) {
        return failure != null && KeyValueStoreException.outcomeOf(failure) == Outcome.REJECTED;
    }

    private Transaction releaseTransaction(ReleaseLeaderKey request) {
        long token = request.fencingToken().value();
        Map<String, Object> counter =
                request.reason() == ReleaseReason.ISOLATED
                        ? CandidacyPolicy.resignationRecord(
                                token, member, request.preferredSuccessor())
                        : CandidacyPolicy.handoverRecord(token, request.preferredSuccessor());
        return new Transaction()
                .requireRevision(RecordKeys.LEADER_KEY, request.expectedLeaderKeyRevision())
                .delete(RecordKeys.LEADER_KEY)
                .put(RecordKeys.FENCING_TOKEN_KEY, counter);
    }

    private void revokeSuspectLease(RevokeSuspectLease request) {
        LOG.info(
                "lease revocation requested node={} departures={}"
                        + " reason=suspected leader refuses connections",
                request.suspect(),
                request.departureCount());
        CompletableFuture<?> unusedReply =
                store.revokeLease(request.lease())
                        .whenComplete(
                                (unusedResult, failure) -> {
                                    if (failure != null) {
                                        replies.accept(
                                                new RevocationFailed(
                                                        request.epoch(),
                                                        request.suspect(),
                                                        request.lease()));
                                    }
                                });
    }
}
