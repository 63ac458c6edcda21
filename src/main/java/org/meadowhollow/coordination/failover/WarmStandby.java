package org.meadowhollow.coordination.failover;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.storage.RecordKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicates, on a node that does not lead, the state that a new leader needs: the records from the
 * key-value store, and the risk tables from the leader. The risk tables are only hints.
 */
public final class WarmStandby {
    private static final Logger LOG = LoggerFactory.getLogger(WarmStandby.class);

    /**
     * The pause before replication begins: a node that has just started, or has just lost its
     * lease, has more urgent work.
     */
    static final Duration START_DELAY = Duration.ofSeconds(8);

    /** The interval between requests for new samples; about three heartbeats of each machine. */
    static final Duration PULL_INTERVAL = Duration.ofSeconds(8);

    /**
     * The pause before the next page of a response; bounds the leader's load while a standby reads
     * all tables, which takes several pages.
     */
    private static final Duration NEXT_PAGE_DELAY = Duration.ofSeconds(1);

    /**
     * The interval between comparisons of the replica with the leader's records. Each costs one
     * message and, if digests differ, one page of records.
     */
    static final Duration AUDIT_INTERVAL = Duration.ofSeconds(60);

    /**
     * Estimated bytes that all replicated records may take: a fifth of the heap of the smallest
     * controllers.
     */
    private static final long MAX_RECORD_BYTES = 12L * 1024 * 1024;

    /**
     * The prefixes that the leader's digests cover; it does not know the revisions of other
     * records.
     */
    private static final List<String> AUDITED_PREFIXES =
            List.of(RecordKeys.JOB_PREFIX, RecordKeys.TASK_PREFIX);

    private final EventLoop loop;
    private final GenerationCounter generations;
    private final PeerGateway peerGateway;
    private final ControllerStatus ownStatus;
    private final Supplier<String> leaderSupplier;
    private final Supplier<FencingToken> highestTokenSupplier;
    private final Map<String, ChangeFeedFollower> followers = new TreeMap<>();
    private RiskTableReplica tableReplica = new RiskTableReplica();
    private long mismatchedRecordCount;

    /**
     * Creates a standby that is idle until {@link #start}.
     *
     * @param ownStatus the status of this node, without the replica revision
     * @param leaderSupplier supplies the last known leader, or null
     * @param highestTokenSupplier supplies the highest fencing token that this node has observed
     */
    public WarmStandby(
            EventLoop loop,
            KeyValueStore store,
            PeerGateway peerGateway,
            ControllerStatus ownStatus,
            Supplier<String> leaderSupplier,
            Supplier<FencingToken> highestTokenSupplier) {
        this.loop = loop;
        this.generations = new GenerationCounter(loop);
        this.peerGateway = peerGateway;
        this.ownStatus = ownStatus;
        this.leaderSupplier = leaderSupplier;
        this.highestTokenSupplier = highestTokenSupplier;
        for (String prefix :
                List.of(RecordKeys.JOB_PREFIX, RecordKeys.TASK_PREFIX, RecordKeys.IMAGE_PREFIX)) {
            followers.put(
                    prefix, new ChangeFeedFollower(store, loop, prefix, MAX_RECORD_BYTES / 2));
        }
    }

    /** Starts replication with empty replicas. */
    public void start() {
        int generation;
        synchronized (this) {
            generation = generations.startNext();
            tableReplica = new RiskTableReplica();
        }
        generations.runLater(
                START_DELAY,
                generation,
                () -> {
                    followers.values().forEach(ChangeFeedFollower::start);
                    pullTables(generation);
                });
        RepeatingSteps.every(
                loop,
                RepeatingStep.STANDBY_AUDIT,
                AUDIT_INTERVAL,
                () -> !generations.isCurrent(generation),
                () -> audit(generation));
    }

    /** Stops pulling and auditing, and hands the replicas to the leadership that begins here. */
    public synchronized HandoverState handOver() {
        generations.startNext();
        return new HandoverState(followers, tableReplica);
    }

    /** Stops replication and discards the replicated records. */
    public synchronized void close() {
        generations.startNext();
        followers.values().forEach(ChangeFeedFollower::stop);
    }

    /**
     * The number of replicated records that audits found to differ from the store since this node
     * started. Any value but 0 indicates a defect.
     */
    public synchronized long mismatchedRecordCount() {
        return mismatchedRecordCount;
    }

    private boolean isOtherMember(String name) {
        return name != null && !name.equals(ownStatus.member());
    }

    /** The lowest revision among the replicas, or {@link Revision#ABSENT} if one is not loaded. */
    private Revision lowestRevision() {
        Revision lowest = null;
        for (ChangeFeedFollower follower : followers.values()) {
            Revision revision = follower.revision();
            if (revision == null) {
                return Revision.ABSENT;
            }
            lowest = lowest == null || lowest.isAfter(revision) ? revision : lowest;
        }
        return lowest;
    }

    private ControllerStatus currentStatus() {
        return new ControllerStatus(
                ownStatus.member(),
                ownStatus.processIncarnation(),
                ownStatus.zone(),
                ownStatus.softwareVersion(),
                ownStatus.schemaVersion(),
                lowestRevision());
    }

    private void pullTables(int generation) {
        String leader = leaderSupplier.get();
        if (!isOtherMember(leader)) {
            pullTablesAfter(PULL_INTERVAL, generation);
            return;
        }
        RiskTableReplica replica;
        synchronized (this) {
            replica = tableReplica;
        }
        RepeatingSteps.handle(
                loop,
                RepeatingStep.RISK_TABLE_PULL,
                peerGateway.fetchRiskTables(leader, replica.nextRequest(currentStatus())),
                (delta, failure) -> {
                    if (generations.isCurrent(generation)) {
                        onTablesPulled(generation, replica, leader, delta, failure);
                    }
                },
                () -> {
                    replica.requestFullSync();
                    pullTablesAfter(PULL_INTERVAL, generation);
                });
    }

    private void pullTablesAfter(Duration delay, int generation) {
        generations.runLater(delay, generation, () -> pullTables(generation));
    }

    private void onTablesPulled(
            int generation,
            RiskTableReplica replica,
            String leader,
            Optional<RiskTableDelta> delta,
            Throwable failure) {
        boolean hasMore;
        synchronized (this) {
            hasMore =
                    failure == null
                            && delta.isPresent()
                            && applyDelta(replica, leader, delta.get());
        }
        if (failure != null) {
            replica.requestFullSync();
            LOG.info("full risk tables requested node={} reason={}", leader, reason(failure));
        }
        pullTablesAfter(hasMore ? NEXT_PAGE_DELAY : PULL_INTERVAL, generation);
    }

    private static String reason(Throwable failure) {
        return (failure instanceof CompletionException ? failure.getCause() : failure).getMessage();
    }

    private boolean applyDelta(RiskTableReplica replica, String leader, RiskTableDelta delta) {
        RiskTableReplica.ApplyResult applyResult =
                replica.apply(delta, highestTokenSupplier.get(), loop.now());
        if (applyResult == RiskTableReplica.ApplyResult.STALE_LEADER) {
            LOG.info(
                    "risk tables dropped token={} node={} reason=leader is stale",
                    delta.token(),
                    leader);
        } else if (applyResult == RiskTableReplica.ApplyResult.INCONSISTENT) {
            LOG.info(
                    "full risk tables requested node={} reason=delta is inconsistent with replica",
                    leader);
        }
        return applyResult == RiskTableReplica.ApplyResult.MORE_AVAILABLE
                || applyResult == RiskTableReplica.ApplyResult.INCONSISTENT;
    }

    // ---- Audit ----

    // A failed request is ignored: the next audit is already scheduled.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void audit(int generation) {
        String leader = leaderSupplier.get();
        if (!isOtherMember(leader)) {
            return;
        }
        peerGateway
                .fetchDigests(leader)
                .whenComplete(
                        (leaderDigests, failure) -> {
                            if (generations.isCurrent(generation) && failure == null) {
                                leaderDigests
                                        .flatMap(this::findFirstDifference)
                                        .ifPresent(part -> verifyAndRepair(generation, part));
                            }
                        });
    }

    /**
     * The first part whose digest differs from the leader's, if all audited replicas are loaded.
     * Under load some part nearly always differs by the changes of the last seconds, so a
     * difference proves nothing until the part has been read again.
     */
    private Optional<String> findFirstDifference(RecordDigests leaderDigests) {
        RecordDigests ownDigests = new RecordDigests();
        AUDITED_PREFIXES.forEach(prefix -> ownDigests.add(followers.get(prefix).digests()));
        return AUDITED_PREFIXES.stream()
                        .allMatch(prefix -> followers.get(prefix).revision() != null)
                ? leaderDigests.differingParts(ownDigests).stream().findFirst()
                : Optional.empty();
    }

    // The follower maps a failed read to an empty list; the chain logs mismatches.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void verifyAndRepair(int generation, String part) {
        String prefix = part.substring(0, part.indexOf('/') + 1);
        followers
                .get(prefix)
                .verifyAndRepair(part)
                .thenAccept(
                        mismatchedKeys -> {
                            if (generations.isCurrent(generation) && !mismatchedKeys.isEmpty()) {
                                synchronized (this) {
                                    mismatchedRecordCount += mismatchedKeys.size();
                                }
                                LOG.error(
                                        "replica differed from key-value store and was repaired records={} prefix={} records_since_start={} first_key={}",
                                        mismatchedKeys.size(),
                                        part,
                                        mismatchedRecordCount(),
                                        mismatchedKeys.get(0));
                            }
                        });
    }
}
