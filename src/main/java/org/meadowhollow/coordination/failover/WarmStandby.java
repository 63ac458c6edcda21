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
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.storage.RecordKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps warm what a successor needs, on a node that does not lead: the records, from the state
 * service, and the risk tables, from the leader. All of it but the records are hints.
 */
public final class WarmStandby {
    private static final Logger LOG = LoggerFactory.getLogger(WarmStandby.class);

    /**
     * A node that has just started has more urgent work, and so has one that has just lost its
     * lease.
     */
    static final Duration START_DELAY = Duration.ofSeconds(8);

    /** How often a leader is asked for samples: three reports of each machine, or so. */
    static final Duration PULL_INTERVAL = Duration.ofSeconds(8);

    /**
     * Between two pages: a whole set of tables takes some pages, and what a leader spends on them
     * is bounded.
     */
    private static final Duration NEXT_PAGE_DELAY = Duration.ofSeconds(1);

    /** An audit costs one message and, where something seems to differ, one page of records. */
    static final Duration AUDIT_INTERVAL = Duration.ofSeconds(60);

    /**
     * Bytes that all records may take, about: a fifth of the heap that the smallest controllers
     * have.
     */
    private static final long MAX_RECORD_BYTES = 12L * 1024 * 1024;

    /** Parts of the records that the leader's digests cover; it knows the versions of no others. */
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
     * @param self what this node says of itself, but for the revision
     * @param leader the member that leads as far as is known, or null
     * @param highest the highest term that this node has heard of
     */
    public WarmStandby(
            EventLoop loop,
            KeyValueStore store,
            PeerGateway peerGateway,
            ControllerStatus self,
            Supplier<String> leader,
            Supplier<FencingToken> highest) {
        this.loop = loop;
        this.generations = new GenerationCounter(loop);
        this.peerGateway = peerGateway;
        this.ownStatus = self;
        this.leaderSupplier = leader;
        this.highestTokenSupplier = highest;
        for (String prefix :
                List.of(RecordKeys.JOB_PREFIX, RecordKeys.TASK_PREFIX, RecordKeys.IMAGE_PREFIX)) {
            followers.put(
                    prefix, new ChangeFeedFollower(store, loop, prefix, MAX_RECORD_BYTES / 2));
        }
    }

    /** Begins to follow, from nothing. */
    public void start() {
        int mine;
        synchronized (this) {
            mine = generations.startNext();
            tableReplica = new RiskTableReplica();
        }
        generations.runLater(
                START_DELAY,
                mine,
                () -> {
                    followers.values().forEach(ChangeFeedFollower::start);
                    pullTables(mine);
                });
        generations.runLater(AUDIT_INTERVAL, mine, () -> audit(mine));
    }

    /** Ends the following; what was followed goes to the leadership that begins. */
    public synchronized HandoverState handOver() {
        generations.startNext();
        return new HandoverState(followers, tableReplica);
    }

    /** Ends the following without handing over what was followed. */
    public synchronized void close() {
        generations.startNext();
        followers.values().forEach(ChangeFeedFollower::stop);
    }

    /** Records that audits found wrong in the images since this node began; none is right. */
    public synchronized long mismatchedRecordCount() {
        return mismatchedRecordCount;
    }

    private boolean isOtherMember(String name) {
        return name != null && !name.equals(ownStatus.member());
    }

    /** The revision of the image that is furthest behind, or {@link Revision#ABSENT}. */
    private Revision oldestRevision() {
        Revision least = null;
        for (ChangeFeedFollower follower : followers.values()) {
            Revision its = follower.revision();
            if (its == null) {
                return Revision.ABSENT;
            }
            least = least == null || least.isAfter(its) ? its : least;
        }
        return least;
    }

    private ControllerStatus currentStatus() {
        return new ControllerStatus(
                ownStatus.member(),
                ownStatus.processIncarnation(),
                ownStatus.zone(),
                ownStatus.softwareVersion(),
                ownStatus.schemaVersion(),
                oldestRevision());
    }

    // The chain handles success and failure itself, and schedules the next pull.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void pullTables(int mine) {
        String asked = leaderSupplier.get();
        if (!isOtherMember(asked)) {
            generations.runLater(PULL_INTERVAL, mine, () -> pullTables(mine));
            return;
        }
        RiskTableReplica filled;
        synchronized (this) {
            filled = tableReplica;
        }
        peerGateway
                .fetchRiskTables(asked, filled.nextRequest(currentStatus()))
                .whenComplete(
                        (delta, failure) -> {
                            if (!generations.isCurrent(mine)) {
                                return;
                            }
                            boolean more;
                            synchronized (this) {
                                more =
                                        failure == null
                                                && delta.isPresent()
                                                && applyDelta(filled, asked, delta.get());
                            }
                            if (failure != null) {
                                filled.requestFullSync();
                                LOG.info(
                                        "what {} says of its tables cannot be read and is asked for anew: {}",
                                        asked,
                                        reason(failure));
                            }
                            generations.runLater(
                                    more ? NEXT_PAGE_DELAY : PULL_INTERVAL,
                                    mine,
                                    () -> pullTables(mine));
                        });
    }

    private static String reason(Throwable failure) {
        return (failure instanceof CompletionException ? failure.getCause() : failure).getMessage();
    }

    private boolean applyDelta(RiskTableReplica filled, String asked, RiskTableDelta delta) {
        RiskTableReplica.ApplyResult applyResult =
                filled.apply(delta, highestTokenSupplier.get(), loop.now());
        if (applyResult == RiskTableReplica.ApplyResult.STALE_LEADER) {
            LOG.info(
                    "tables of term {} came from {}, which does not lead any more: dropped",
                    delta.token(),
                    asked);
        } else if (applyResult == RiskTableReplica.ApplyResult.INCONSISTENT) {
            LOG.info(
                    "tables from {} do not follow those that are here and are asked for anew",
                    asked);
        }
        return applyResult == RiskTableReplica.ApplyResult.MORE_AVAILABLE
                || applyResult == RiskTableReplica.ApplyResult.INCONSISTENT;
    }

    // ---- the audit ----

    // An audit that fails tells nothing; the next one is scheduled already.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void audit(int mine) {
        generations.runLater(AUDIT_INTERVAL, mine, () -> audit(mine));
        String asked = leaderSupplier.get();
        if (!isOtherMember(asked)) {
            return;
        }
        peerGateway
                .fetchDigests(asked)
                .whenComplete(
                        (told, failure) -> {
                            if (generations.isCurrent(mine) && failure == null) {
                                told.flatMap(this::findFirstDifference)
                                        .ifPresent(part -> verifyAndRepair(mine, part));
                            }
                        });
    }

    /**
     * Under load some part nearly always differs by the changes of the last seconds; only reading
     * it again tells.
     */
    private Optional<String> findFirstDifference(RecordDigests told) {
        RecordDigests here = new RecordDigests();
        AUDITED_PREFIXES.forEach(prefix -> here.add(followers.get(prefix).digests()));
        return AUDITED_PREFIXES.stream()
                        .allMatch(prefix -> followers.get(prefix).revision() != null)
                ? told.differingParts(here).stream().findFirst()
                : Optional.empty();
    }

    // The follower turns a failed read into an empty list, and the chain logs the rest.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void verifyAndRepair(int mine, String part) {
        String prefix = part.substring(0, part.indexOf('/') + 1);
        followers
                .get(prefix)
                .verifyAndRepair(part)
                .thenAccept(
                        wrong -> {
                            if (generations.isCurrent(mine) && !wrong.isEmpty()) {
                                synchronized (this) {
                                    mismatchedRecordCount += wrong.size();
                                }
                                LOG.error(
                                        "{} records under {} were wrong here and are read again, {} since the start; the first is {}",
                                        wrong.size(),
                                        part,
                                        mismatchedRecordCount(),
                                        wrong.get(0));
                            }
                        });
    }
}
