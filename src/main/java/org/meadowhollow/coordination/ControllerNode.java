package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.failover.StandbySettings;
import org.meadowhollow.coordination.failover.WarmStandby;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats;
import org.meadowhollow.coordination.heartbeat.HeartbeatTracker;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.reservation.ReservationSettings;
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
public final class ControllerNode implements Leadership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /**
     * How long another node's word holds that the state service serves it; a few probes of the
     * balancer.
     */
    private static final Duration PEER_REACHES_STORE_VALIDITY = Duration.ofSeconds(3);

    /**
     * How long a report waits here for a leader to be known; well below the 4 s that a worker waits
     * for an answer. Sent on at once, hundreds of workers would go round all nodes every second,
     * each time on a new connection, while these have to find a leader; and the new one would hear
     * of most of them late.
     */
    private static final Duration MAX_LEADER_WAIT = Duration.ofMillis(2500);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    /**
     * Workers that a deaf node asks whether they can be reached again, and how often; one answer
     * will do.
     */
    private static final int MAX_WORKERS_PROBED = 3;

    private static final Duration WORKER_PROBE_INTERVAL = Duration.ofSeconds(4);

    /** How often a node looks how late it comes to its own work. */
    private static final Duration LOAD_CHECK_INTERVAL = Duration.ofMillis(500);

    /** Later than this a node is short of time; a pause of the collector is shorter. */
    private static final Duration LATE_THRESHOLD = Duration.ofMillis(300);

    /**
     * Looks in a row that were late before a leader sends users elsewhere, about what the
     * balancer's probes need.
     */
    private static final int LATE_CHECKS_BEFORE_SHEDDING = 3;

    /** For how long it does; the balancer lets no node back sooner than after a few seconds. */
    private static final Duration LOAD_SHEDDING_DURATION = Duration.ofSeconds(10);

    private final EventLoop loop;
    private final KeyValueStore store;
    private final WorkerGateway workerGateway;
    private final CloudProvider cloudProvider;
    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final JobEventListeners jobEventListeners;
    private final ReservationSettings reservationSettings;
    private final Leadership leadership;
    private final PeerGateway peerGateway;
    private final DeferredHeartbeats heartbeatsAwaitingLeader = new DeferredHeartbeats();
    private final HeartbeatTracker heartbeatTracker = new HeartbeatTracker();

    /** Null unless this node keeps warm what a successor needs. */
    private final WarmStandby warmStandby;

    private LeaderService leaderService;
    private boolean sweeping;
    private MonotonicTime peerReachedStoreAt;
    private boolean closed;
    private boolean cloudFailureLogged;
    private int consecutiveLateChecks;
    private MonotonicTime sheddingUntil;

    public ControllerNode(
            EventLoop loop,
            KeyValueStore store,
            WorkerGateway workerGateway,
            CloudProvider cloudProvider,
            PeerGateway peerGateway,
            DeploymentSettings deploymentSettings,
            MachineTypeCatalog machineTypeCatalog,
            JobEventListeners jobEventListeners,
            ReservationSettings calendar,
            StandbySettings standbySettings,
            RandomGenerator random) {
        this.reservationSettings = calendar;
        this.jobEventListeners = jobEventListeners;
        this.loop = loop;
        this.store = store;
        this.workerGateway = workerGateway;
        this.cloudProvider = cloudProvider;
        this.deploymentSettings = deploymentSettings;
        this.machineTypeCatalog = machineTypeCatalog;
        this.peerGateway = peerGateway;
        this.leadership =
                new Leadership(
                        store,
                        loop,
                        peerGateway,
                        deploymentSettings,
                        heartbeatTracker,
                        random,
                        this);
        this.warmStandby =
                standbySettings.enabled()
                        ? new WarmStandby(
                                loop,
                                store,
                                peerGateway,
                                new ControllerStatus(
                                        deploymentSettings.member(),
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
        loadMachineTypes();
        probeStoreDuringOutage();
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
        boolean late =
                now.elapsedSince(last).compareTo(LOAD_CHECK_INTERVAL.plus(LATE_THRESHOLD)) > 0;
        boolean ask;
        synchronized (this) {
            consecutiveLateChecks = late ? consecutiveLateChecks + 1 : 0;
            if (consecutiveLateChecks >= LATE_CHECKS_BEFORE_SHEDDING && leaderService != null) {
                if (sheddingUntil == null || sheddingUntil.isBefore(now)) {
                    LOG.info(
                            "this node leads and is short of time: users are sent to others for {} s",
                            LOAD_SHEDDING_DURATION.toSeconds());
                }
                sheddingUntil = now.plus(LOAD_SHEDDING_DURATION);
            }
            ask = sheddingUntil != null && now.isBefore(sheddingUntil);
        }
        if (ask) {
            askPeersAboutStore();
        }
        loop.schedule(LOAD_CHECK_INTERVAL, () -> watchLoad(now));
    }

    private void askPeersAboutStore() {
        peerGateway
                .anyPeerReachesStore()
                .thenAccept(
                        served -> {
                            if (served) {
                                onPeerReachesStore();
                            }
                        });
    }

    /**
     * While the state service does not serve this node: whether it is back, and whether it serves
     * others.
     */
    private void probeStoreDuringOutage() {
        if (isClosed()) {
            return;
        }
        loop.schedule(RETRY_DELAY, this::probeStoreDuringOutage);
        if (store.seemsUnavailable()) {
            store.get(RecordCodec.FENCING_TOKEN_KEY, RequestPriority.BACKGROUND);
            askPeersAboutStore();
        }
    }

    private synchronized void onPeerReachesStore() {
        peerReachedStoreAt = loop.now();
    }

    /**
     * Whether users should come here. A node that the state service alone refuses sends them to the
     * others; in an outage for all it stays, for a node that leaves is let back late. A leader that
     * is short of time sends them to the others as well, for reports and its lease come first.
     */
    public synchronized boolean isReadyForUsers() {
        boolean shedding =
                leaderService != null
                        && sheddingUntil != null
                        && loop.now().isBefore(sheddingUntil);
        return !machineTypeCatalog.isEmpty()
                && !((store.seemsUnavailable() || shedding)
                        && peerReachedStoreAt != null
                        && loop.now()
                                        .elapsedSince(peerReachedStoreAt)
                                        .compareTo(PEER_REACHES_STORE_VALIDITY)
                                < 0);
    }

    /** The types as an earlier node noted them, so that a node can start while the cloud is out. */
    private void loadMachineTypes() {
        store.get(RecordCodec.MACHINE_TYPES_KEY, RequestPriority.USER)
                .whenComplete(
                        (entry, failure) -> {
                            if (isClosed() || !machineTypeCatalog.isEmpty()) {
                                return;
                            }
                            if (failure != null) {
                                loop.schedule(RETRY_DELAY, this::loadMachineTypes);
                            } else if (entry.isPresent()) {
                                machineTypeCatalog.replaceAll(
                                        RecordCodec.types(entry.get().value()));
                                LOG.info(
                                        "the state service names {} machine types",
                                        RecordCodec.types(entry.get().value()).size());
                            } else {
                                fetchMachineTypes();
                            }
                        });
    }

    private void fetchMachineTypes() {
        cloudProvider
                .listMachineTypes()
                .whenComplete(
                        (types, failure) -> {
                            if (isClosed()) {
                                return;
                            }
                            if (failure != null || types.isEmpty()) {
                                if (!cloudFailureLogged) {
                                    LOG.info(
                                            "the cloud does not name its machine types: {}; trying on",
                                            failure == null ? "it has none" : failure.getMessage());
                                }
                                cloudFailureLogged = true;
                                loop.schedule(RETRY_DELAY, this::loadMachineTypes);
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
        LeaderService begun =
                new LeaderService(
                        new ControllerServices(
                                loop,
                                store,
                                workerGateway,
                                cloudProvider,
                                peerGateway,
                                deploymentSettings,
                                machineTypeCatalog,
                                jobEventListeners,
                                reservationSettings),
                        new LeadershipTerm(
                                leadership,
                                fencingToken,
                                leaderVersion,
                                warmStandby == null ? HandoverState.EMPTY : warmStandby.handOver(),
                                noticedAt));
        synchronized (this) {
            if (leaderService != null) {
                leaderService.close();
            }
            leaderService = begun;
        }
        begun.start();
        for (DeferredHeartbeats.DeferredHeartbeat each : takeHeartbeatsAwaitingLeader()) {
            begun.handleHeartbeat(each.heartbeat()).thenAccept(each.response()::complete);
        }
    }

    @Override
    public void leadershipLost(String why) {
        List<String> addresses = List.of();
        synchronized (this) {
            if (leaderService != null) {
                addresses =
                        leadership.isIsolated()
                                ? leaderService.sampleAddresses(MAX_WORKERS_PROBED)
                                : addresses;
                leaderService.close();
                leaderService = null;
            }
        }
        if (warmStandby != null && !isClosed()) {
            warmStandby.start();
        }
        probeWorkersWhileIsolated(addresses);
    }

    /**
     * While this node is deaf: whether some workers answer it again, since none comes to a node
     * that does not lead.
     */
    private void probeWorkersWhileIsolated(List<String> addresses) {
        if (isClosed() || addresses.isEmpty() || !leadership.isIsolated()) {
            return;
        }
        FencingToken shown = leadership.fencingToken();
        addresses.forEach(
                address ->
                        workerGateway
                                .sendCommands(address, shown, new WorkerIncarnation(1), List.of())
                                .thenAccept(
                                        heartbeat -> {
                                            LOG.info(
                                                    "worker {} answers this node again",
                                                    heartbeat.machineId());
                                            leadership.restoreWorkerContact();
                                        }));
        loop.schedule(WORKER_PROBE_INTERVAL, () -> probeWorkersWhileIsolated(addresses));
    }

    /** Whether this node leads and misses the reports of more workers than fail by themselves. */
    public boolean isMissingHeartbeats() {
        LeaderService now = leader();
        return now != null && !now.isReachabilityHealthy();
    }

    /**
     * What this node's tables have come to know, for a standby that asks; empty if it does not
     * lead.
     */
    public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest question) {
        LeaderService now = leader();
        return now == null ? Optional.empty() : now.riskTableDelta(question);
    }

    /**
     * The digests of the records as this node knows them; empty if it does not lead, or has not
     * loaded them.
     */
    public Optional<RecordDigests> recordDigests() {
        LeaderService now = leader();
        return now == null ? Optional.empty() : now.recordDigests();
    }

    /** Records that audits found wrong in what this node follows. */
    public long divergentRecordCount() {
        return warmStandby == null ? 0 : warmStandby.mismatchedRecordCount();
    }

    /**
     * Gives the lease to the standby that could take over best, because this node is about to end.
     */
    public void handOver() {
        LeaderService now = leader();
        if (now != null) {
            leadership.handOver(now.preferredSuccessor().orElse(null));
        }
    }

    /** Whether this node leads. */
    public boolean isLeader() {
        return leader() != null;
    }

    /** Those of some machines whose reports have come to this node within a time. */
    public Set<MachineId> recentlyHeardMachines(List<MachineId> machines, Duration within) {
        return heartbeatTracker.recentAmong(machines, within, loop.now());
    }

    private synchronized LeaderService leader() {
        return leaderService;
    }

    /**
     * Answers a worker's report, or sends it to the leader; while none is known, the worker waits a
     * little.
     */
    public CompletableFuture<HeartbeatResponse> handleHeartbeat(Heartbeat heartbeat) {
        heartbeatTracker.recordHeartbeat(heartbeat.machineId(), loop.now());
        if (leadership.isIsolated()) {
            leadership.restoreWorkerContact();
        }
        LeaderService now = leader();
        if (now != null) {
            return now.handleHeartbeat(heartbeat);
        }
        leadership.observeToken(heartbeat.fencingToken(), null);
        boolean mayBeGone =
                leadership.recordWorkerArrival(heartbeat.machineId(), heartbeat.fencingToken());
        String other = leadership.lastKnownLeader();
        boolean known = other != null && !deploymentSettings.member().equals(other) && !mayBeGone;
        if (known || store.seemsUnavailable()) {
            return CompletableFuture.completedFuture(
                    new HeartbeatResponse.Redirect(known ? other : null));
        }
        return deferUntilLeaderKnown(heartbeat);
    }

    private synchronized CompletableFuture<HeartbeatResponse> deferUntilLeaderKnown(
            Heartbeat heartbeat) {
        if (!sweeping) {
            sweeping = true;
            loop.schedule(SWEEP_INTERVAL, this::redirectExpired);
        }
        return heartbeatsAwaitingLeader.defer(heartbeat, loop.now().plus(MAX_LEADER_WAIT));
    }

    private void redirectExpired() {
        List<DeferredHeartbeats.DeferredHeartbeat> due;
        synchronized (this) {
            due = heartbeatsAwaitingLeader.takeDue(loop.now());
            sweeping = !closed && !heartbeatsAwaitingLeader.isEmpty();
            if (sweeping) {
                loop.schedule(SWEEP_INTERVAL, this::redirectExpired);
            }
        }
        DeferredHeartbeats.redirectAll(due, null);
    }

    private synchronized List<DeferredHeartbeats.DeferredHeartbeat> takeHeartbeatsAwaitingLeader() {
        return heartbeatsAwaitingLeader.takeAll();
    }

    @Override
    public void following(String other) {
        boolean isOther = !deploymentSettings.member().equals(other);
        DeferredHeartbeats.redirectAll(takeHeartbeatsAwaitingLeader(), isOther ? other : null);
    }

    public void observeLeader(FencingToken fencingToken, String member) {
        leadership.observeToken(fencingToken, member);
    }

    public Optional<AdmissionService.JobStatus> liveJobState(JobId id) {
        LeaderService now = leader();
        return now == null ? Optional.empty() : now.liveJobState(id);
    }

    public synchronized void close() {
        closed = true;
        if (warmStandby != null) {
            warmStandby.close();
        }
        if (leaderService != null) {
            leaderService.close();
        }
        DeferredHeartbeats.redirectAll(heartbeatsAwaitingLeader.takeAll(), null);
    }
}
