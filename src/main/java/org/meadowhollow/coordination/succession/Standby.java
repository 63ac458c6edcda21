package org.meadowhollow.coordination.succession;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.meadowhollow.coordination.platform.NodeStatus;
import org.meadowhollow.coordination.platform.Peers;
import org.meadowhollow.coordination.platform.TableDelta;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.RecordDigests;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps warm what a successor needs, on a node that does not lead: the records, from the state
 * service, and the risk tables, from the leader. All of it but the records are hints.
 */
public final class Standby {
    private static final Logger LOG = LoggerFactory.getLogger(Standby.class);

    /**
     * A node that has just started has more urgent work, and so has one that has just lost its
     * lease.
     */
    static final Duration FIRST = Duration.ofSeconds(8);

    /** How often a leader is asked for samples: three reports of each machine, or so. */
    static final Duration PULL = Duration.ofSeconds(8);

    /**
     * Between two pages: a whole set of tables takes some pages, and what a leader spends on them
     * is bounded.
     */
    private static final Duration MORE = Duration.ofSeconds(1);

    /** An audit costs one message and, where something seems to differ, one page of records. */
    static final Duration AUDIT = Duration.ofSeconds(60);

    /**
     * Bytes that all records may take, about: a fifth of the heap that the smallest controllers
     * have.
     */
    private static final long MOST_BYTES = 12L * 1024 * 1024;

    /** Parts of the records that the leader's digests cover; it knows the versions of no others. */
    private static final List<String> AUDITED =
            List.of(RecordCodec.JOB_PREFIX, RecordCodec.TASK_PREFIX);

    private final EventLoop loop;
    private final Lives lives;
    private final Peers peers;
    private final NodeStatus self;
    private final Supplier<String> leader;
    private final Supplier<FencingToken> highest;
    private final Map<String, RecordFollower> followers = new TreeMap<>();
    private TableCopies copies = new TableCopies();
    private long wrongRecords;

    /**
     * @param self what this node says of itself, but for the revision
     * @param leader the member that leads as far as is known, or null
     * @param highest the highest term that this node has heard of
     */
    public Standby(
            EventLoop loop,
            KeyValueStore store,
            Peers peers,
            NodeStatus self,
            Supplier<String> leader,
            Supplier<FencingToken> highest) {
        this.loop = loop;
        this.lives = new Lives(loop);
        this.peers = peers;
        this.self = self;
        this.leader = leader;
        this.highest = highest;
        for (String prefix :
                List.of(
                        RecordCodec.JOB_PREFIX,
                        RecordCodec.TASK_PREFIX,
                        RecordCodec.IMAGE_PREFIX)) {
            followers.put(prefix, new RecordFollower(store, loop, prefix, MOST_BYTES / 2));
        }
    }

    /** Begins to follow, from nothing. */
    public void start() {
        int mine;
        synchronized (this) {
            mine = lives.next();
            copies = new TableCopies();
        }
        lives.later(
                FIRST,
                mine,
                () -> {
                    followers.values().forEach(RecordFollower::start);
                    pull(mine);
                });
        lives.later(AUDIT, mine, () -> audit(mine));
    }

    /** Ends the following; what was followed goes to the leadership that begins. */
    public synchronized Inheritance handOver() {
        lives.next();
        return new Inheritance(followers, copies);
    }

    public synchronized void close() {
        lives.next();
        followers.values().forEach(RecordFollower::stop);
    }

    /** Records that audits found wrong in the images since this node began; none is right. */
    public synchronized long wrongRecords() {
        return wrongRecords;
    }

    private boolean isOther(String name) {
        return name != null && !name.equals(self.member());
    }

    /** The revision of the image that is furthest behind, or {@link Revision#ABSENT}. */
    private Revision revision() {
        Revision least = null;
        for (RecordFollower follower : followers.values()) {
            Revision its = follower.revision();
            if (its == null) {
                return Revision.ABSENT;
            }
            least = least == null || least.isAfter(its) ? its : least;
        }
        return least;
    }

    private NodeStatus status() {
        return new NodeStatus(
                self.member(),
                self.incarnation(),
                self.zone(),
                self.program(),
                self.schema(),
                revision());
    }

    private void pull(int mine) {
        String asked = leader.get();
        if (!isOther(asked)) {
            lives.later(PULL, mine, () -> pull(mine));
            return;
        }
        TableCopies filled;
        synchronized (this) {
            filled = copies;
        }
        peers.tables(asked, filled.question(status()))
                .whenComplete(
                        (delta, failure) -> {
                            if (!lives.isCurrent(mine)) {
                                return;
                            }
                            boolean more;
                            synchronized (this) {
                                more =
                                        failure == null
                                                && delta.isPresent()
                                                && take(filled, asked, delta.get());
                            }
                            if (failure != null) {
                                filled.askForWhole();
                                LOG.info(
                                        "what {} says of its tables cannot be read and is asked for anew: {}",
                                        asked,
                                        reason(failure));
                            }
                            lives.later(more ? MORE : PULL, mine, () -> pull(mine));
                        });
    }

    private static String reason(Throwable failure) {
        return (failure instanceof CompletionException ? failure.getCause() : failure).getMessage();
    }

    private boolean take(TableCopies filled, String asked, TableDelta delta) {
        TableCopies.Taken taken = filled.take(delta, highest.get(), loop.now());
        if (taken == TableCopies.Taken.DEPOSED) {
            LOG.info(
                    "tables of term {} came from {}, which does not lead any more: dropped",
                    delta.term(),
                    asked);
        } else if (taken == TableCopies.Taken.BROKEN) {
            LOG.info(
                    "tables from {} do not follow those that are here and are asked for anew",
                    asked);
        }
        return taken == TableCopies.Taken.MORE || taken == TableCopies.Taken.BROKEN;
    }

    // ---- the audit ----

    private void audit(int mine) {
        lives.later(AUDIT, mine, () -> audit(mine));
        String asked = leader.get();
        if (!isOther(asked)) {
            return;
        }
        peers.digests(asked)
                .whenComplete(
                        (told, failure) -> {
                            if (lives.isCurrent(mine) && failure == null) {
                                told.flatMap(this::firstDiffering)
                                        .ifPresent(part -> readAgain(mine, part));
                            }
                        });
    }

    /**
     * Under load some part nearly always differs by the changes of the last seconds; only reading
     * it again tells.
     */
    private Optional<String> firstDiffering(RecordDigests told) {
        RecordDigests here = new RecordDigests();
        AUDITED.forEach(prefix -> here.add(followers.get(prefix).digests()));
        return AUDITED.stream().allMatch(prefix -> followers.get(prefix).revision() != null)
                ? told.differingParts(here).stream().findFirst()
                : Optional.empty();
    }

    private void readAgain(int mine, String part) {
        String prefix = part.substring(0, part.indexOf('/') + 1);
        followers
                .get(prefix)
                .readAgain(part)
                .thenAccept(
                        wrong -> {
                            if (lives.isCurrent(mine) && !wrong.isEmpty()) {
                                synchronized (this) {
                                    wrongRecords += wrong.size();
                                }
                                LOG.error(
                                        "{} records under {} were wrong here and are read again, {} since the start; the first is {}",
                                        wrong.size(),
                                        part,
                                        wrongRecords(),
                                        wrong.get(0));
                            }
                        });
    }
}
