package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.admission.Admission;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.failover.StandbySettings;
import org.meadowhollow.coordination.failover.WarmStandby;
import org.meadowhollow.coordination.hearing.Earshot;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.platform.Cloud;
import org.meadowhollow.coordination.platform.NodeStatus;
import org.meadowhollow.coordination.platform.Peers;
import org.meadowhollow.coordination.platform.Platform;
import org.meadowhollow.coordination.platform.TableDelta;
import org.meadowhollow.coordination.platform.TableQuestion;
import org.meadowhollow.coordination.platform.Workers;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A controller node: follows the leader, and leads when elected. */
public final class Node implements Leadership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final Duration RETRY = Duration.ofSeconds(1);

    /**
     * How long another node's word holds that the state service serves it; a few probes of the
     * balancer.
     */
    private static final Duration SERVED_FOR = Duration.ofSeconds(3);

    /**
     * How long a report waits here for a leader to be known; well below the 4 s that a worker waits
     * for an answer. Sent on at once, hundreds of workers would go round all nodes every second,
     * each time on a new connection, while these have to find a leader; and the new one would hear
     * of most of them late.
     */
    private static final Duration MOST_ORPHANED = Duration.ofMillis(2500);

    private static final Duration SWEEP = Duration.ofMillis(500);

    /**
     * Workers that a deaf node asks whether they can be reached again, and how often; one answer
     * will do.
     */
    private static final int MOST_ASKED = 3;

    private static final Duration LISTEN_AGAIN = Duration.ofSeconds(4);

    /** How often a node looks how late it comes to its own work. */
    private static final Duration LOAD_CHECK = Duration.ofMillis(500);

    /** Later than this a node is short of time; a pause of the collector is shorter. */
    private static final Duration LATE = Duration.ofMillis(300);

    /**
     * Looks in a row that were late before a leader sends users elsewhere, about what the
     * balancer's probes need.
     */
    private static final int LATE_LOOKS = 3;

    /** For how long it does; the balancer lets no node back sooner than after a few seconds. */
    private static final Duration SHED_FOR = Duration.ofSeconds(10);

    private final EventLoop loop;
    private final KeyValueStore store;
    private final Workers workers;
    private final Cloud cloud;
    private final Platform platform;
    private final MachineTypeCatalog machineTypeCatalog;
    private final JobEventListeners jobEventListeners;
    private final CalendarSettings calendar;
    private final Leadership leadership;
    private final Peers peers;
    private final HeldReports orphans = new HeldReports();
    private final Earshot earshot = new Earshot();

    /** Null unless this node keeps warm what a successor needs. */
    private final WarmStandby warmStandby;

    private Leader leader;
    private boolean sweeping;
    private MonotonicTime othersServedAt;
    private boolean closed;
    private boolean cloudSilent;
    private int lateLooks;
    private MonotonicTime shedUntil;

    public Node(
            EventLoop loop,
            KeyValueStore store,
            Workers workers,
            Cloud cloud,
            Peers peers,
            Platform platform,
            MachineTypeCatalog machineTypeCatalog,
            JobEventListeners jobEventListeners,
            CalendarSettings calendar,
            StandbySettings standbySettings,
            RandomGenerator random) {
        this.calendar = calendar;
        this.jobEventListeners = jobEventListeners;
        this.loop = loop;
        this.store = store;
        this.workers = workers;
        this.cloud = cloud;
        this.platform = platform;
        this.machineTypeCatalog = machineTypeCatalog;
        this.peers = peers;
        this.leadership = new Leadership(store, loop, peers, platform, earshot, random, this);
        this.warmStandby =
                standbySettings.enabled()
                        ? new WarmStandby(
                                loop,
                                store,
                                peers,
                                new NodeStatus(
                                        platform.member(),
                                        random.nextLong(),
                                        standbySettings.zone(),
                                        standbySettings.programVersion(),
                                        RecordCodec.SCHEMA_VERSION,
                                        Revision.ABSENT),
                                leadership::lastKnownLeader,
                                leadership::highestObservedToken)
                        : null;
    }

    public void start() {
        leadership.start();
        if (warmStandby != null) {
            warmStandby.start();
        }
        readTypes();
        watchState();
        watchLoad(loop.now());
    }

    /**
     * Whether this node comes to its work in time. A leader that users ask many times as often,
     * beside the reports of hundreds of workers, answered these too late: their leases ran out with
     * all their tasks.
     */
    private void watchLoad(MonotonicTime last) {
        if (isClosed()) {
            return;
        }
        MonotonicTime now = loop.now();
        boolean late = now.elapsedSince(last).compareTo(LOAD_CHECK.plus(LATE)) > 0;
        boolean ask;
        synchronized (this) {
            lateLooks = late ? lateLooks + 1 : 0;
            if (lateLooks >= LATE_LOOKS && leader != null) {
                if (shedUntil == null || shedUntil.isBefore(now)) {
                    LOG.info(
                            "this node leads and is short of time: users are sent to others for {} s",
                            SHED_FOR.toSeconds());
                }
                shedUntil = now.plus(SHED_FOR);
            }
            ask = shedUntil != null && now.isBefore(shedUntil);
        }
        if (ask) {
            askOthers();
        }
        loop.schedule(LOAD_CHECK, () -> watchLoad(now));
    }

    private void askOthers() {
        peers.anyServed()
                .thenAccept(
                        served -> {
                            if (served) {
                                othersServed();
                            }
                        });
    }

    /**
     * While the state service does not serve this node: whether it is back, and whether it serves
     * others.
     */
    private void watchState() {
        if (isClosed()) {
            return;
        }
        loop.schedule(RETRY, this::watchState);
        if (store.seemsUnavailable()) {
            store.get(RecordCodec.FENCING_TOKEN_KEY, RequestPriority.BACKGROUND);
            askOthers();
        }
    }

    private synchronized void othersServed() {
        othersServedAt = loop.now();
    }

    /**
     * Whether users should come here. A node that the state service alone refuses sends them to the
     * others; in an outage for all it stays, for a node that leaves is let back late. A leader that
     * is short of time sends them to the others as well, for reports and its lease come first.
     */
    public synchronized boolean isReady() {
        boolean shedding = leader != null && shedUntil != null && loop.now().isBefore(shedUntil);
        return !machineTypeCatalog.isEmpty()
                && !((store.seemsUnavailable() || shedding)
                        && othersServedAt != null
                        && loop.now().elapsedSince(othersServedAt).compareTo(SERVED_FOR) < 0);
    }

    /** The types as an earlier node noted them, so that a node can start while the cloud is out. */
    private void readTypes() {
        store.get(RecordCodec.MACHINE_TYPES_KEY, RequestPriority.USER)
                .whenComplete(
                        (entry, failure) -> {
                            if (isClosed() || !machineTypeCatalog.isEmpty()) {
                                return;
                            }
                            if (failure != null) {
                                loop.schedule(RETRY, this::readTypes);
                            } else if (entry.isPresent()) {
                                machineTypeCatalog.replaceAll(
                                        RecordCodec.types(entry.get().value()));
                                LOG.info(
                                        "the state service names {} machine types",
                                        RecordCodec.types(entry.get().value()).size());
                            } else {
                                askTypes();
                            }
                        });
    }

    private void askTypes() {
        cloud.types()
                .whenComplete(
                        (types, failure) -> {
                            if (isClosed()) {
                                return;
                            }
                            if (failure != null || types.isEmpty()) {
                                if (!cloudSilent) {
                                    LOG.info(
                                            "the cloud does not name its machine types: {}; trying on",
                                            failure == null ? "it has none" : failure.getMessage());
                                }
                                cloudSilent = true;
                                loop.schedule(RETRY, this::readTypes);
                                return;
                            }
                            machineTypeCatalog.replaceAll(types);
                            LOG.info("the cloud offers {} machine types", types.size());
                            store.commit(
                                    new Transaction()
                                            .requireRevision(
                                                    RecordCodec.MACHINE_TYPES_KEY, Revision.ABSENT)
                                            .put(
                                                    RecordCodec.MACHINE_TYPES_KEY,
                                                    RecordCodec.types(types)),
                                    RequestPriority.BACKGROUND);
                        });
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    @Override
    public void elected(
            FencingToken fencingToken, Revision leaderVersion, MonotonicTime noticedAt) {
        Leader begun =
                new Leader(
                        loop,
                        store,
                        workers,
                        cloud,
                        peers,
                        platform,
                        machineTypeCatalog,
                        leadership,
                        fencingToken,
                        leaderVersion,
                        jobEventListeners,
                        calendar,
                        warmStandby == null ? HandoverState.EMPTY : warmStandby.handOver(),
                        noticedAt);
        synchronized (this) {
            if (leader != null) {
                leader.close();
            }
            leader = begun;
        }
        begun.start();
        for (HeldReports.Held each : takeOrphans()) {
            begun.report(each.report()).thenAccept(each.answer()::complete);
        }
    }

    @Override
    public void leadershipLost(String why) {
        List<String> addresses = List.of();
        synchronized (this) {
            if (leader != null) {
                addresses = leadership.isIsolated() ? leader.someAddresses(MOST_ASKED) : addresses;
                leader.close();
                leader = null;
            }
        }
        if (warmStandby != null && !isClosed()) {
            warmStandby.start();
        }
        listenAgain(addresses);
    }

    /**
     * While this node is deaf: whether some workers answer it again, since none comes to a node
     * that does not lead.
     */
    private void listenAgain(List<String> addresses) {
        if (isClosed() || addresses.isEmpty() || !leadership.isIsolated()) {
            return;
        }
        FencingToken shown = leadership.fencingToken();
        addresses.forEach(
                address ->
                        workers.send(address, shown, new WorkerIncarnation(1), List.of())
                                .thenAccept(
                                        heartbeat -> {
                                            LOG.info(
                                                    "worker {} answers this node again",
                                                    heartbeat.machineId());
                                            leadership.restoreWorkerContact();
                                        }));
        loop.schedule(LISTEN_AGAIN, () -> listenAgain(addresses));
    }

    /** Whether this node leads and misses the reports of more workers than fail by themselves. */
    public boolean isHardOfHearing() {
        Leader now = leader();
        return now != null && !now.hearsWell();
    }

    /**
     * What this node's tables have come to know, for a standby that asks; empty if it does not
     * lead.
     */
    public Optional<TableDelta> tables(TableQuestion question) {
        Leader now = leader();
        return now == null ? Optional.empty() : now.tables(question);
    }

    /**
     * The digests of the records as this node knows them; empty if it does not lead, or has not
     * loaded them.
     */
    public Optional<RecordDigests> digests() {
        Leader now = leader();
        return now == null ? Optional.empty() : now.digests();
    }

    /** Records that audits found wrong in what this node follows. */
    public long wrongRecords() {
        return warmStandby == null ? 0 : warmStandby.mismatchedRecordCount();
    }

    /**
     * Gives the lease to the standby that could take over best, because this node is about to end.
     */
    public void handOver() {
        Leader now = leader();
        if (now != null) {
            leadership.handOver(now.heir().orElse(null));
        }
    }

    /** Whether this node leads. */
    public boolean leads() {
        return leader() != null;
    }

    /** Those of some machines whose reports have come to this node within a time. */
    public Set<MachineId> heardAmong(List<MachineId> machines, Duration within) {
        return earshot.among(machines, within, loop.now());
    }

    private synchronized Leader leader() {
        return leader;
    }

    /**
     * Answers a worker's report, or sends it to the leader; while none is known, the worker waits a
     * little.
     */
    public CompletableFuture<Answer> report(Heartbeat heartbeat) {
        earshot.heard(heartbeat.machineId(), loop.now());
        if (leadership.isIsolated()) {
            leadership.restoreWorkerContact();
        }
        Leader now = leader();
        if (now != null) {
            return now.report(heartbeat);
        }
        leadership.observeToken(heartbeat.fencingToken(), null);
        boolean mayBeGone =
                leadership.recordWorkerArrival(heartbeat.machineId(), heartbeat.fencingToken());
        String other = leadership.lastKnownLeader();
        boolean known = other != null && !platform.member().equals(other) && !mayBeGone;
        if (known || store.seemsUnavailable()) {
            return CompletableFuture.completedFuture(new Answer.Elsewhere(known ? other : null));
        }
        return orphaned(heartbeat);
    }

    private synchronized CompletableFuture<Answer> orphaned(Heartbeat heartbeat) {
        if (!sweeping) {
            sweeping = true;
            loop.schedule(SWEEP, this::sweepOrphans);
        }
        return orphans.hold(heartbeat, loop.now().plus(MOST_ORPHANED));
    }

    private void sweepOrphans() {
        List<HeldReports.Held> due;
        synchronized (this) {
            due = orphans.due(loop.now());
            sweeping = !closed && !orphans.isEmpty();
            if (sweeping) {
                loop.schedule(SWEEP, this::sweepOrphans);
            }
        }
        HeldReports.sendOn(due, null);
    }

    private synchronized List<HeldReports.Held> takeOrphans() {
        return orphans.takeAll();
    }

    @Override
    public void following(String other) {
        boolean isOther = !platform.member().equals(other);
        HeldReports.sendOn(takeOrphans(), isOther ? other : null);
    }

    public void heardOf(FencingToken fencingToken, String member) {
        leadership.observeToken(fencingToken, member);
    }

    public Optional<Admission.JobState> counts(JobId id) {
        Leader now = leader();
        return now == null ? Optional.empty() : now.counts(id);
    }

    public synchronized void close() {
        closed = true;
        if (warmStandby != null) {
            warmStandby.close();
        }
        if (leader != null) {
            leader.close();
        }
        HeldReports.sendOn(orphans.takeAll(), null);
    }
}
