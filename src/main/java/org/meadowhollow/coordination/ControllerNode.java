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
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats.DeferredHeartbeat;
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
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.storage.RecordKeys;

/**
 * A controller node: follows the leader, and leads when elected. {@link Leadership} notifies it of
 * elections and losses; the servers that {@code cli.Controller} sets up query it. While it does not
 * lead, queries about jobs and records return empty, and heartbeats are redirected or deferred. Its
 * monitor guards its current leadership and the state of its parts.
 */
public final class ControllerNode implements Leadership.Listener {
    private final EventLoop loop;
    private final ControllerServices services;
    private final Leadership leadership;
    private final HeartbeatTracker heartbeatTracker = new HeartbeatTracker();
    private final LeaderlessHeartbeats leaderlessHeartbeats;
    private final UserReadiness userReadiness;
    private final MachineTypeLoader machineTypeLoader;
    private final WorkerContactProbe workerContactProbe;

    /**
     * The standby that replicates the leader's state while this node does not lead; null if
     * disabled.
     */
    private final WarmStandby warmStandby;

    /** The current leadership, or null while this node does not lead. */
    private LeaderService leaderService;

    private boolean closed;

    /** Creates a node that has no effect until {@link #start}. */
    public ControllerNode(
            EventLoop loop,
            KeyValueStore store,
            WorkerGateway workerGateway,
            CloudProvider cloudProvider,
            PeerGateway peerGateway,
            DeploymentSettings deploymentSettings,
            MachineTypeCatalog machineTypeCatalog,
            JobEventListeners jobEventListeners,
            ReservationSettings reservationSettings,
            StandbySettings standbySettings,
            RandomGenerator random) {
        this.loop = loop;
        this.services =
                new ControllerServices(
                        loop,
                        store,
                        workerGateway,
                        cloudProvider,
                        peerGateway,
                        deploymentSettings,
                        machineTypeCatalog,
                        jobEventListeners,
                        reservationSettings);
        this.leadership =
                new Leadership(
                        services.store(),
                        loop,
                        services.peerGateway(),
                        deploymentSettings,
                        heartbeatTracker,
                        random,
                        this);
        this.leaderlessHeartbeats = new LeaderlessHeartbeats(this, loop);
        this.userReadiness = new UserReadiness(this, services, this::isLeader, this::isClosed);
        this.machineTypeLoader = new MachineTypeLoader(services, this::isClosed);
        this.workerContactProbe =
                new WorkerContactProbe(loop, services.workerGateway(), leadership, this::isClosed);
        this.warmStandby =
                standbySettings.enabled() ? createWarmStandby(standbySettings, random) : null;
    }

    private WarmStandby createWarmStandby(StandbySettings settings, RandomGenerator random) {
        ControllerStatus status =
                new ControllerStatus(
                        services.deploymentSettings().member(),
                        random.nextLong(),
                        settings.zone(),
                        settings.softwareVersion(),
                        RecordKeys.SCHEMA_VERSION,
                        Revision.ABSENT);
        return new WarmStandby(
                loop,
                services.store(),
                services.peerGateway(),
                status,
                leadership::lastKnownLeader,
                leadership::highestObservedToken);
    }

    /**
     * Joins the election of a leader, starts the warm standby, loads the machine types, and begins
     * to monitor the key-value store and the node's own load.
     */
    public void start() {
        leadership.start();
        if (warmStandby != null) {
            warmStandby.start();
        }
        machineTypeLoader.load();
        userReadiness.start();
    }

    /** Whether users should be sent to this node; queried by the load balancer's probes. */
    public boolean isReadyForUsers() {
        return userReadiness.isReadyForUsers();
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    // The chain completes each deferred response; nothing waits for the chain itself.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void onElected(
            FencingToken fencingToken, Revision leaderKeyRevision, MonotonicTime vacantSince) {
        HandoverState handoverState =
                warmStandby == null ? HandoverState.EMPTY : warmStandby.handOver();
        LeaderService elected =
                new LeaderService(
                        services,
                        new LeadershipTerm(
                                leadership,
                                fencingToken,
                                leaderKeyRevision,
                                handoverState,
                                vacantSince));
        synchronized (this) {
            if (leaderService != null) {
                leaderService.close();
            }
            leaderService = elected;
        }
        elected.start();
        for (DeferredHeartbeat each : leaderlessHeartbeats.takeAll()) {
            elected.handleHeartbeat(each.heartbeat()).thenAccept(each.response()::complete);
        }
    }

    @Override
    public void onLeadershipLost(String reason) {
        List<String> addresses = List.of();
        synchronized (this) {
            if (leaderService != null) {
                addresses =
                        leadership.isIsolated()
                                ? leaderService.sampleAddresses(WorkerContactProbe.MAX_WORKERS)
                                : addresses;
                leaderService.close();
                leaderService = null;
            }
        }
        if (warmStandby != null && !isClosed()) {
            warmStandby.start();
        }
        workerContactProbe.probeWhileIsolated(addresses);
    }

    /**
     * Whether this node leads and misses the heartbeats of more workers than are expected to fail
     * independently.
     */
    public boolean isMissingHeartbeats() {
        LeaderService leader = currentLeadership();
        return leader != null && !leader.isReachabilityHealthy();
    }

    /**
     * The response to a standby's request for risk tables; empty if this node does not lead, has
     * not recovered the state, or has no standbys configured.
     */
    public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
        return Optional.ofNullable(currentLeadership())
                .flatMap(leader -> leader.riskTableDelta(request));
    }

    /**
     * The digests of the records as this node knows them; empty if it does not lead, or has not
     * loaded them.
     */
    public Optional<RecordDigests> recordDigests() {
        return Optional.ofNullable(currentLeadership()).flatMap(LeaderService::recordDigests);
    }

    /** The number of replicated records that audits of this node's standby found to be wrong. */
    public long mismatchedRecordCount() {
        return warmStandby == null ? 0 : warmStandby.mismatchedRecordCount();
    }

    /** Releases the lease in favour of the preferred successor, because this node shuts down. */
    public void handOver() {
        LeaderService leader = currentLeadership();
        if (leader != null) {
            leadership.handOver(leader.preferredSuccessor().orElse(null));
        }
    }

    /** Whether this node leads. */
    public boolean isLeader() {
        return currentLeadership() != null;
    }

    /** Returns those of {@code machines} that sent this node a heartbeat within a time. */
    public Set<MachineId> recentlyHeardMachines(List<MachineId> machines, Duration within) {
        return heartbeatTracker.recentAmong(machines, within, loop.now());
    }

    private synchronized LeaderService currentLeadership() {
        return leaderService;
    }

    /**
     * Answers a worker's heartbeat if this node leads, and redirects the worker to the leader
     * otherwise. While no leader is known, the response is deferred for a short time.
     */
    public CompletableFuture<HeartbeatResponse> handleHeartbeat(Heartbeat heartbeat) {
        heartbeatTracker.recordHeartbeat(heartbeat.machineId(), loop.now());
        if (leadership.isIsolated()) {
            leadership.restoreWorkerContact();
        }
        LeaderService leader = currentLeadership();
        if (leader != null) {
            return leader.handleHeartbeat(heartbeat);
        }
        leadership.observeToken(heartbeat.fencingToken(), null);
        boolean leaderMayBeGone =
                leadership.recordWorkerArrival(heartbeat.machineId(), heartbeat.fencingToken());
        String lastKnownLeader = leadership.lastKnownLeader();
        boolean isLeaderKnown =
                lastKnownLeader != null && !isThisNode(lastKnownLeader) && !leaderMayBeGone;
        if (isLeaderKnown || services.store().seemsUnavailable()) {
            return CompletableFuture.completedFuture(
                    new HeartbeatResponse.Redirect(isLeaderKnown ? lastKnownLeader : null));
        }
        return leaderlessHeartbeats.defer(heartbeat);
    }

    private boolean isThisNode(String member) {
        return services.deploymentSettings().member().equals(member);
    }

    @Override
    public void onFollowing(String leader) {
        DeferredHeartbeats.redirectAll(
                leaderlessHeartbeats.takeAll(), isThisNode(leader) ? null : leader);
    }

    /** Records a leader that a peer has announced. */
    public void observeLeader(FencingToken fencingToken, String member) {
        leadership.observeToken(fencingToken, member);
    }

    /**
     * The task counts of a live job for display; empty if this node does not lead or does not know
     * the job.
     */
    public Optional<AdmissionService.JobStatus> liveJobStatus(JobId id) {
        return Optional.ofNullable(currentLeadership()).flatMap(leader -> leader.liveJobStatus(id));
    }

    /** Stops this node: ends its leadership, and schedules no further work. */
    public synchronized void close() {
        closed = true;
        leaderlessHeartbeats.close();
        if (warmStandby != null) {
            warmStandby.close();
        }
        if (leaderService != null) {
            leaderService.close();
        }
        DeferredHeartbeats.redirectAll(leaderlessHeartbeats.takeAll(), null);
    }
}
