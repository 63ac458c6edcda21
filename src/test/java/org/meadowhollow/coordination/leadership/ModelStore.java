package org.meadowhollow.coordination.leadership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.coordination.leadership.LeadershipModelTest.RemovedSafeguard;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.RecordKeys;

/**
 * The key-value store of {@link LeadershipModelTest}, immutable.
 *
 * @param revision the revision of the last transaction
 * @param leases the expiry time of each lease by its number
 * @param nextLease the number of the lease that is granted next
 * @param decisions the committed decisions, in the order of their transactions
 */
record ModelStore(
        long revision,
        LeaderKey leaderKey,
        TokenCounter counter,
        Map<Long, MonotonicTime> leases,
        long nextLease,
        List<Decision> decisions) {
    /**
     * The leader record.
     *
     * @param revision 0 if there is no record
     */
    record LeaderKey(String member, long fencingToken, long lease, long revision) {
        static final LeaderKey ABSENT = new LeaderKey(null, 0, 0, 0);

        boolean isPresent() {
            return revision != 0;
        }
    }

    /**
     * The token counter.
     *
     * @param revision 0 if there is no record
     */
    record TokenCounter(long fencingToken, String preferredSuccessor, long revision) {}

    /**
     * A decision of a leader, committed as a transaction.
     *
     * @param requiredRevision the revision that the leader record must have
     * @param knownDecisions the number of committed decisions that the leader knew
     */
    record Decision(FencingToken fencingToken, Revision requiredRevision, int knownDecisions) {}

    /**
     * The result of executing a request.
     *
     * @param reply the reply, or null if there is none yet or the model ignores it
     */
    record Executed(ModelStore after, LeadershipEvent reply) {}

    /** Returns the store after the election of the first leader. */
    static ModelStore withLeader(String member, long lease, MonotonicTime leaseExpiresAt) {
        return new ModelStore(
                1,
                new LeaderKey(member, 1, lease, 1),
                new TokenCounter(1, null, 1),
                Map.of(lease, leaseExpiresAt),
                lease + 1,
                List.of());
    }

    /** Executes a request of a node: an effect or a {@link Decision}. */
    Executed execute(Object request, String sender, MonotonicTime now, RemovedSafeguard removed) {
        if (request instanceof LeadershipEffect.ReadLeaderKey read) {
            return new Executed(this, readLeaderKey(read));
        } else if (request instanceof LeadershipEffect.WatchLeaderKey watch) {
            return new Executed(this, watchLeaderKey(watch));
        } else if (request instanceof LeadershipEffect.ReadTokenCounter read) {
            return new Executed(this, readTokenCounter(read));
        } else if (request instanceof LeadershipEffect.GrantLease grant) {
            return grantLease(grant, now);
        } else if (request instanceof LeadershipEffect.ClaimLeaderKey claim) {
            return claimLeaderKey(claim, sender, removed);
        } else if (request instanceof LeadershipEffect.RenewLease renewal) {
            return renewLease(renewal, now);
        } else if (request instanceof LeadershipEffect.ReleaseLeaderKey release) {
            return releaseLeaderKey(release);
        } else if (request instanceof Decision decision) {
            return commit(decision, removed);
        }
        return new Executed(this, null);
    }

    private LeadershipEvent readLeaderKey(LeadershipEffect.ReadLeaderKey request) {
        List<KeyValueStore.Entry> entries =
                leaderKey.isPresent()
                        ? List.of(
                                new KeyValueStore.Entry(
                                        RecordKeys.LEADER_KEY,
                                        Map.of(
                                                "member",
                                                leaderKey.member(),
                                                "term",
                                                leaderKey.fencingToken(),
                                                "lease",
                                                leaderKey.lease()),
                                        new Revision(leaderKey.revision())))
                        : List.of();
        return new LeadershipEvent.LeaderKeyRead(
                request.epoch(), new KeyValueStore.Page(entries, false, new Revision(revision)));
    }

    private LeadershipEvent watchLeaderKey(LeadershipEffect.WatchLeaderKey request) {
        if (revision <= request.afterRevision().value()) {
            return null;
        }
        KeyValueStore.Change change =
                new KeyValueStore.Change(RecordKeys.LEADER_KEY, null, new Revision(revision));
        return new LeadershipEvent.LeaderKeyWatchEnded(
                request.epoch(),
                new KeyValueStore.ChangeBatch(new Revision(revision), List.of(change)));
    }

    private LeadershipEvent readTokenCounter(LeadershipEffect.ReadTokenCounter request) {
        Optional<KeyValueStore.Entry> entry =
                counter.revision() == 0
                        ? Optional.empty()
                        : Optional.of(
                                new KeyValueStore.Entry(
                                        RecordKeys.FENCING_TOKEN_KEY,
                                        CandidacyPolicy.handoverRecord(
                                                counter.fencingToken(),
                                                counter.preferredSuccessor()),
                                        new Revision(counter.revision())));
        return new LeadershipEvent.TokenCounterRead(
                request.epoch(), request.leaderKeyRevision(), entry, false);
    }

    private Executed grantLease(LeadershipEffect.GrantLease request, MonotonicTime now) {
        Map<Long, MonotonicTime> granted = new HashMap<>(leases);
        granted.put(nextLease, now.plus(LeadershipSafety.LEASE_TTL));
        ModelStore after =
                new ModelStore(revision, leaderKey, counter, granted, nextLease + 1, decisions);
        return new Executed(
                after,
                new LeadershipEvent.LeaseGrantCompleted(
                        request.epoch(),
                        request.leaderKeyRevision(),
                        request.counter(),
                        new LeaseId(nextLease),
                        now));
    }

    private Executed claimLeaderKey(
            LeadershipEffect.ClaimLeaderKey request, String sender, RemovedSafeguard removed) {
        boolean applies =
                request.expectedLeaderKeyRevision().value() == leaderKey.revision()
                        && leases.containsKey(request.lease().value())
                        && (request.expectedCounterRevision().value() == counter.revision()
                                || removed == RemovedSafeguard.COUNTER_REVISION_OF_CLAIMS);
        ModelStore after = applies ? withClaim(request, sender) : this;
        return new Executed(
                after,
                new LeadershipEvent.LeaderKeyClaimCompleted(
                        request.epoch(),
                        request.fencingToken(),
                        request.lease(),
                        request.sentAt(),
                        new KeyValueStore.CommitResult(
                                applies, new Revision(after.revision()), List.of())));
    }

    private ModelStore withClaim(LeadershipEffect.ClaimLeaderKey request, String sender) {
        long token = request.fencingToken().value();
        long next = revision + 1;
        return new ModelStore(
                next,
                new LeaderKey(sender, token, request.lease().value(), next),
                new TokenCounter(token, null, next),
                leases,
                nextLease,
                decisions);
    }

    private Executed renewLease(LeadershipEffect.RenewLease request, MonotonicTime now) {
        long lease = request.lease().value();
        boolean alive = leases.containsKey(lease);
        Map<Long, MonotonicTime> renewed = new HashMap<>(leases);
        renewed.computeIfPresent(lease, (id, expiry) -> now.plus(LeadershipSafety.LEASE_TTL));
        ModelStore after =
                new ModelStore(revision, leaderKey, counter, renewed, nextLease, decisions);
        return new Executed(
                after,
                new LeadershipEvent.RenewalCompleted(
                        request.epoch(),
                        request.sentAt(),
                        alive
                                ? LeadershipEvent.RenewalOutcome.RENEWED
                                : LeadershipEvent.RenewalOutcome.LEASE_EXPIRED));
    }

    private Executed releaseLeaderKey(LeadershipEffect.ReleaseLeaderKey request) {
        boolean applies = request.expectedLeaderKeyRevision().value() == leaderKey.revision();
        ModelStore after = applies ? withRelease(request) : this;
        return new Executed(
                after,
                new LeadershipEvent.ReleaseCompleted(
                        request.epoch(),
                        request.lease(),
                        request.reason(),
                        request.preferredSuccessor(),
                        new KeyValueStore.CommitResult(
                                applies, new Revision(after.revision()), List.of()),
                        false));
    }

    private ModelStore withRelease(LeadershipEffect.ReleaseLeaderKey request) {
        long next = revision + 1;
        return new ModelStore(
                next,
                LeaderKey.ABSENT,
                new TokenCounter(
                        request.fencingToken().value(), request.preferredSuccessor(), next),
                leases,
                nextLease,
                decisions);
    }

    private Executed commit(Decision decision, RemovedSafeguard removed) {
        boolean applies =
                decision.requiredRevision().value() == leaderKey.revision()
                        || removed == RemovedSafeguard.LEADER_KEY_REVISION_OF_DECISIONS;
        if (!applies) {
            return new Executed(this, null);
        }
        List<Decision> committed = new ArrayList<>(decisions);
        committed.add(decision);
        return new Executed(
                new ModelStore(revision + 1, leaderKey, counter, leases, nextLease, committed),
                null);
    }

    /** Lets a lease expire, and with it the leader record that is stored under it. */
    ModelStore withLeaseExpired(long lease) {
        Map<Long, MonotonicTime> rest = new HashMap<>(leases);
        rest.remove(lease);
        boolean deletesLeaderKey = leaderKey.isPresent() && leaderKey.lease() == lease;
        return new ModelStore(
                deletesLeaderKey ? revision + 1 : revision,
                deletesLeaderKey ? LeaderKey.ABSENT : leaderKey,
                counter,
                rest,
                nextLease,
                decisions);
    }
}
