package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.failover.Membership;
import org.meadowhollow.coordination.failover.RiskTablePublisher;
import org.meadowhollow.coordination.failover.RiskTableSnapshotStore;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.fleet.FailureDetector;
import org.meadowhollow.coordination.fleet.HeartbeatTimeoutMonitor;
import org.meadowhollow.coordination.fleet.LeadershipContext;
import org.meadowhollow.coordination.fleet.UnreachableMachineReturnPolicy;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats;
import org.meadowhollow.coordination.heartbeat.LeaderReachability;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.lifecycle.ImageCacheRecorder;
import org.meadowhollow.coordination.lifecycle.JobTracker;
import org.meadowhollow.coordination.lifecycle.MachineRegistry;
import org.meadowhollow.coordination.lifecycle.TaskLifecycle;
import org.meadowhollow.coordination.reconciliation.DirectCommandSender;
import org.meadowhollow.coordination.reconciliation.HeartbeatContext;
import org.meadowhollow.coordination.reconciliation.HeartbeatHandler;
import org.meadowhollow.coordination.reconciliation.HeartbeatReconciler;
import org.meadowhollow.coordination.reconciliation.RiskTableUpdater;
import org.meadowhollow.coordination.recovery.JobRecordApplier;
import org.meadowhollow.coordination.recovery.RecordRestorer;
import org.meadowhollow.coordination.recovery.RecoveryContext;
import org.meadowhollow.coordination.recovery.RecoveryListener;
import org.meadowhollow.coordination.recovery.RiskTableRestorer;
import org.meadowhollow.coordination.recovery.StateRecovery;
import org.meadowhollow.coordination.reservation.ReservableCapacity;
import org.meadowhollow.coordination.reservation.ReservationCalendarReplica;
import org.meadowhollow.coordination.reservation.ReservationService;
import org.meadowhollow.coordination.reservation.ReservationSettings;
import org.meadowhollow.coordination.rounds.FirstRoundGate;
import org.meadowhollow.coordination.rounds.ReservationEnforcer;
import org.meadowhollow.coordination.rounds.RoundContext;
import org.meadowhollow.coordination.rounds.RoundScheduler;
import org.meadowhollow.coordination.rounds.UnplacedJobHandler;
import org.meadowhollow.coordination.scheduling.ArrivalForecast;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.coordination.scheduling.PreemptionPlanner;
import org.meadowhollow.coordination.scheduling.ServiceLevelObjectives;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.storage.RecordWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leadership: everything that the leader of one term knows and does. A new term begins with a
 * new object, so nothing that an old term believed can leak into it.
 */
final class LeaderService implements RecordWriter.Listener, RecoveryListener, LeadershipContext {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderService.class);

    /** How often a warm leader looks whether its first round can be. */
    private static final Duration WARM_CHECK_INTERVAL = Duration.ofMillis(200);

    private final EventLoop loop;
    private final KeyValueStore store;
    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final Leadership leadership;
    private final Autoscaler autoscaler;
    private final RecordWriter recordWriter;
    private final ImageCacheRecorder imageCacheRecorder;
    private final FencingToken fencingToken;
    private final MonotonicTime startedAt;
    private final ClusterState clusterState;
    private final Map<JobId, Job> jobs;
    private final Map<MachineId, Machine> machines;
    private final ServiceLevelObjectives objectives;
    private final StateRecovery stateRecovery;
    private final HeartbeatTimeoutMonitor heartbeatTimeoutMonitor;
    private final HeartbeatHandler heartbeatHandler;
    private final DirectCommandSender directCommandSender;
    private final FailureDetector failureDetector;
    private final ReservationSettings reservationSettings;
    private final ReservationEnforcer reservationEnforcer;
    private final Revision leaderKeyRevision;
    private final HandoverState handoverState;
    private final FailoverTimeline failoverTimeline;
    private final RiskTablePublisher riskTablePublisher;
    private final RiskTableSnapshotStore riskTableSnapshots;
    private final Membership membership = new Membership();
    private final JobTracker jobTracker;
    private final MachineRegistry machineRegistry;
    private final TaskLifecycle taskLifecycle;
    private final JobRecordApplier jobRecords;
    private final RiskTableRestorer riskTableRestorer;
    private final FirstRoundGate firstRoundGate;
    private final RoundScheduler roundScheduler;
    private boolean closed;

    public LeaderService(
            EventLoop loop,
            KeyValueStore store,
            WorkerGateway workerGateway,
            CloudProvider cloudProvider,
            PeerGateway peerGateway,
            DeploymentSettings deploymentSettings,
            MachineTypeCatalog machineTypeCatalog,
            Leadership leadership,
            FencingToken fencingToken,
            Revision leaderVersion,
            JobEventListeners jobEventListeners,
            ReservationSettings reservationSettings,
            HandoverState handoverState,
            MonotonicTime noticedAt) {
        this.loop = loop;
        this.store = store;
        this.deploymentSettings = deploymentSettings;
        this.machineTypeCatalog = machineTypeCatalog;
        this.reservationSettings = reservationSettings;
        this.leadership = leadership;
        this.fencingToken = fencingToken;
        this.leaderKeyRevision = leaderVersion;
        this.handoverState = handoverState;
        this.startedAt = loop.now();
        this.failoverTimeline = new FailoverTimeline(fencingToken, noticedAt, startedAt);
        this.riskTablePublisher = new RiskTablePublisher(fencingToken, handoverState.isWarm());
        this.riskTableSnapshots =
                new RiskTableSnapshotStore(
                        store,
                        leaderVersion,
                        deploymentSettings.maxTransactionOperations(),
                        deploymentSettings.maxValueBytes());
        this.clusterState = new ClusterState(deploymentSettings, fencingToken);
        this.jobs = clusterState.jobs();
        this.machines = clusterState.machines();
        this.objectives = new ServiceLevelObjectives(deploymentSettings, machineTypeCatalog);
        this.recordWriter =
                new RecordWriter(
                        store,
                        loop,
                        deploymentSettings.maxTransactionOperations(),
                        leaderVersion,
                        jobEventListeners,
                        this);
        this.imageCacheRecorder = new ImageCacheRecorder(store, leaderVersion, deploymentSettings);
        this.jobTracker = new JobTracker(loop, clusterState);
        this.machineRegistry =
                new MachineRegistry(
                        loop,
                        clusterState,
                        machineTypeCatalog,
                        imageCacheRecorder,
                        this::isReturned);
        this.taskLifecycle =
                new TaskLifecycle(
                        loop,
                        recordWriter,
                        machineRegistry,
                        jobTracker,
                        this::recordRuntime,
                        this::sendCommands);
        ArrivalForecast arrivalForecast = new ArrivalForecast();
        this.jobRecords =
                new JobRecordApplier(
                        loop,
                        clusterState,
                        objectives,
                        arrivalForecast,
                        recordWriter,
                        jobTracker,
                        taskLifecycle);
        RecoveryContext recoveryContext = new RecoveryContext(this, this, store, loop);
        this.riskTableRestorer =
                new RiskTableRestorer(recoveryContext, clusterState, handoverState);
        this.stateRecovery =
                new StateRecovery(
                        recoveryContext,
                        new RecordRestorer(
                                loop,
                                clusterState,
                                recordWriter,
                                imageCacheRecorder,
                                jobRecords,
                                taskLifecycle),
                        jobRecords,
                        fencingToken,
                        leaderVersion,
                        handoverState,
                        failoverTimeline);
        this.heartbeatTimeoutMonitor =
                new HeartbeatTimeoutMonitor(
                        this, clusterState, deploymentSettings, fencingToken, startedAt);
        this.failureDetector =
                new FailureDetector(
                        this,
                        clusterState,
                        deploymentSettings,
                        loop,
                        peerGateway,
                        leadership,
                        startedAt);
        UnreachableMachineReturnPolicy unreachableReturnPolicy =
                new UnreachableMachineReturnPolicy(failureDetector, deploymentSettings);
        HeartbeatReconciler heartbeatReconciler =
                new HeartbeatReconciler(
                        taskLifecycle,
                        imageCacheRecorder,
                        new RiskTableUpdater(clusterState, handoverState, riskTablePublisher),
                        leadership,
                        fencingToken,
                        stateRecovery::isComplete);
        HeartbeatContext heartbeatContext =
                new HeartbeatContext(this, this::isClosed, loop, leadership, fencingToken);
        this.heartbeatHandler =
                new HeartbeatHandler(
                        heartbeatContext,
                        deploymentSettings,
                        clusterState,
                        machineRegistry,
                        heartbeatReconciler,
                        unreachableReturnPolicy,
                        recordWriter);
        this.directCommandSender =
                new DirectCommandSender(
                        heartbeatContext, workerGateway, machineRegistry, heartbeatHandler);
        this.reservationEnforcer =
                new ReservationEnforcer(
                        taskLifecycle,
                        clusterState,
                        objectives,
                        loop,
                        reservationSettings,
                        new ReservationCalendarReplica(store, loop, this::isClosed),
                        this::reservableCapacity);
        this.firstRoundGate =
                new FirstRoundGate(
                        startedAt,
                        deploymentSettings.heartbeatInterval(),
                        machineRegistry,
                        handoverState,
                        failoverTimeline,
                        new RoundConditions());
        this.autoscaler =
                new Autoscaler(
                        this,
                        cloudProvider,
                        deploymentSettings,
                        machineTypeCatalog,
                        loop,
                        fencingToken,
                        unreachableReturnPolicy);
        RoundContext roundContext =
                new RoundContext(loop, deploymentSettings, clusterState, objectives, recordWriter);
        this.roundScheduler =
                new RoundScheduler(
                        roundContext,
                        firstRoundGate,
                        reservationEnforcer,
                        arrivalForecast,
                        new UnplacedJobHandler(
                                roundContext,
                                new PreemptionPlanner(clusterState, deploymentSettings, objectives),
                                taskLifecycle,
                                jobTracker),
                        autoscaler::capacityDemand);
    }

    private void recordRuntime(JobSpec spec, double seconds) {
        reservationEnforcer.recordRuntime(spec, seconds);
    }

    private ReservableCapacity reservableCapacity() {
        return ReservationService.reservableCapacity(
                machineTypeCatalog, deploymentSettings, reservationSettings.machineLimits());
    }

    private boolean isReturned(MachineId id) {
        return autoscaler.isReturned(id);
    }

    /** Loads all live jobs, then begins its rounds. */
    public void start() {
        stateRecovery.start();
        reservationEnforcer.start();
        autoscaler.start();
        loop.schedule(RoundScheduler.ROUND_INTERVAL, this::runRound);
        if (handoverState.isWarm()) {
            loop.schedule(WARM_CHECK_INTERVAL, this::checkWarmStart);
        }
        heartbeatHandler.start();
    }

    public void close() {
        List<DeferredHeartbeats.DeferredHeartbeat> unanswered;
        synchronized (this) {
            closed = true;
            recordWriter.close();
            autoscaler.close();
            unanswered = heartbeatHandler.takeAll();
        }
        // Whoever leads now may renew their leases; this leader must not.
        DeferredHeartbeats.redirectAll(unanswered, null);
    }

    @Override
    public void renewLeadershipIfDue() {
        leadership.renewIfDue();
    }

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    // ---- what the ledger tells ----

    @Override
    public synchronized void onJobEndPersisted(Job job) {
        jobTracker.onJobEndPersisted(job);
    }

    @Override
    public void onConcurrentJobChange(JobId id) {
        store.get(RecordCodec.job(id), RequestPriority.PLACEMENT)
                .whenComplete(
                        (entry, failure) -> {
                            synchronized (this) {
                                Job job = jobs.get(id);
                                if (failure != null || closed || job == null) {
                                    return;
                                }
                                if (entry.isPresent()) {
                                    jobRecords.apply(
                                            entry.get().key(),
                                            entry.get().value(),
                                            entry.get().revision());
                                } else {
                                    // Only our own unanswered transaction can have moved it to its
                                    // final record.
                                    recordWriter.recordUnacknowledgedEnd(job);
                                }
                                recordWriter.flush();
                            }
                        });
    }

    @Override
    public void onLeadershipLost() {
        leadership.stepDown();
    }

    // ---- reports ----

    /** Answers a worker's heartbeat, or defers its answer. */
    CompletableFuture<HeartbeatResponse> handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatHandler.handleHeartbeat(heartbeat);
    }

    /** Answers the heartbeats that were deferred until the cancellations are known. */
    @Override
    public synchronized void onCancellationsKnownUpTo(MonotonicTime upTo) {
        leadership.advanceFreshness(fencingToken, upTo);
        heartbeatHandler.onCancellationsKnown();
    }

    @Override
    public void onTasksPersisted(Job job) {
        heartbeatHandler.onTasksPersisted(job);
    }

    @Override
    public void markTaskLost(Machine machine, Placement placement, String why, MonotonicTime now) {
        taskLifecycle.markTaskLost(machine, placement, why, now);
    }

    @Override
    public void stopWithCheckpoint(Placement placement, String why) {
        taskLifecycle.stopWithCheckpoint(placement, why);
    }

    @Override
    public void sendCommands(
            Machine machine, WorkerIncarnation incarnation, List<WorkerCommand> commands) {
        directCommandSender.sendCommands(machine, incarnation, commands);
    }

    // ---- rounds ----

    private void runRound() {
        synchronized (this) {
            if (closed) {
                return;
            }
            loop.schedule(RoundScheduler.ROUND_INTERVAL, this::runRound);
            if (!stateRecovery.isComplete()) {
                return;
            }
            MonotonicTime now = loop.now();
            leadership.renewIfDue();
            failureDetector.evaluate(now);
            heartbeatTimeoutMonitor.checkAllMachines(now);
            if (firstRoundGate.maySchedule(now)) {
                roundScheduler.runRound(now);
            }
            jobTracker.reportMetricsIfDue(now);
            recordWriter.flush();
            imageCacheRecorder.writeIfDue(machines.values(), now);
            if (riskTableRestorer.isComplete() && leadership.canDecide()) {
                riskTableSnapshots.writeNext(
                        () ->
                                RiskTablePublisher.exportAll(
                                        clusterState.machines(), clusterState.riskTables(), now),
                        recordWriter.dirtyShardCount() == 0,
                        now,
                        loop.wallClockMillis());
            }
        }
        failureDetector.queryPeersAndMaybeResign();
        autoscaler.scaleOutAndIn();
    }

    /**
     * The first round of a warm leader, as soon as it may decide; its other rounds come every
     * second from its begin.
     */
    private void checkWarmStart() {
        boolean mustReadRiskTables;
        synchronized (this) {
            if (closed) {
                return;
            }
            MonotonicTime now = loop.now();
            if (stateRecovery.isComplete()
                    && !firstRoundGate.isFirstRoundAllowed()
                    && firstRoundGate.maySchedule(now)) {
                roundScheduler.runRound(now);
                recordWriter.flush();
            }
            if (!firstRoundGate.isFirstRoundAllowed()) {
                loop.schedule(WARM_CHECK_INTERVAL, this::checkWarmStart);
            }
            mustReadRiskTables = stateRecovery.isComplete() && riskTableRestorer.begin();
        }
        if (mustReadRiskTables) {
            riskTableRestorer.readSnapshot();
        }
    }

    /** What a round needs of this leader. */
    private final class RoundConditions implements FirstRoundGate.LeaderConditions {
        @Override
        public FailoverPreconditions.Facts facts(int machinesReported, int machinesRequired) {
            return new FailoverPreconditions.Facts(
                    leadership.canDecide(),
                    fencingToken,
                    leadership.highestObservedToken(),
                    leaderKeyRevision,
                    stateRecovery.recoveredRevision(),
                    !machineTypeCatalog.isEmpty(),
                    reservationEnforcer.isReady(),
                    failureDetector.reachability() != LeaderReachability.Reachability.ISOLATED,
                    machinesReported,
                    machinesRequired);
        }

        @Override
        public boolean maySchedule() {
            return canActAsLeader() && reservationEnforcer.isReady();
        }
    }

    /**
     * Whether to place, stop, rent and return: the lease certainly holds, and the workers are
     * heard. To a deaf leader everything that waits seems to lack room, and what it would do about
     * it comes too early or hits what is healthy.
     */
    @Override
    public synchronized boolean canActAsLeader() {
        return leadership.canDecide()
                && failureDetector.reachability() != LeaderReachability.Reachability.ISOLATED;
    }

    /** Whether what is silent is so for its own reasons, as far as can be told. */
    @Override
    public synchronized boolean isReachabilityHealthy() {
        return failureDetector.reachability() == LeaderReachability.Reachability.HEALTHY;
    }

    @Override
    public synchronized boolean isHeartbeatOverdue(Machine machine, MonotonicTime now) {
        return failureDetector.isHeartbeatOverdue(machine, now);
    }

    /** Some workers' addresses, to see later whether this node hears them again. */
    synchronized List<String> sampleAddresses(int most) {
        return machineRegistry.sampleAddresses(most);
    }

    // ---- for the fleet ----

    @Override
    public synchronized List<Machine> snapshotMachines() {
        return List.copyOf(machines.values());
    }

    @Override
    public synchronized double startupDelaySeconds(JobSpec spec) {
        return objectives.startupDelaySeconds(spec);
    }

    @Override
    public synchronized boolean isInOutageWindow(String type, String zone) {
        return clusterState.reservationView().isInOutageWindow(type, zone);
    }

    @Override
    public synchronized double largestImageGb() {
        return objectives.largestImageGb();
    }

    @Override
    public synchronized boolean isStateRecovered() {
        return stateRecovery.isComplete();
    }

    /**
     * Takes in what the cloud lists: machines not yet heard of, their addresses, and failed ones.
     */
    @Override
    public synchronized void applyMachineList(List<CloudProvider.ListedMachine> list) {
        machineRegistry.markListed();
        MonotonicTime now = loop.now();
        failureDetector.recordMachineList(now);
        for (CloudProvider.ListedMachine item : list) {
            machineRegistry.applyListedMachine(item, now);
            if (item.phase() == CloudProvider.MachinePhase.FAILED) {
                markMachineGone(item.id(), "the cloud lists its machine as failed", false);
            }
        }
    }

    /** Takes a machine, and all that was on it, as gone. */
    @Override
    public synchronized void markMachineGone(MachineId id, String why, boolean forget) {
        MonotonicTime now = loop.now();
        Machine machine = machines.get(id);
        List<Placement> placements =
                machine != null
                        ? List.copyOf(machine.placements())
                        : clusterState.placementsOnUnseenMachines().getOrDefault(id, List.of());
        for (Placement placement : List.copyOf(placements)) {
            markTaskLost(machine, placement, why, now);
        }
        clusterState.placementsOnUnseenMachines().remove(id);
        if (machine != null) {
            machine.orphanedTasks().clear();
            if (forget) {
                machineRegistry.remove(id);
                heartbeatTimeoutMonitor.forget(id);
            }
        }
        recordWriter.flush();
    }

    // ---- for standbys ----

    /**
     * What the tables have come to know since a standby last asked; empty until the records are in.
     */
    synchronized Optional<RiskTableDelta> riskTableDelta(RiskTableRequest asked) {
        if (closed || !stateRecovery.isComplete() || !handoverState.isWarm()) {
            return Optional.empty();
        }
        membership.recordStatus(asked.requester(), loop.now());
        return Optional.of(
                riskTablePublisher.answerRequest(
                        asked, clusterState.machines(), clusterState.riskTables(), loop.now()));
    }

    synchronized Optional<RecordDigests> recordDigests() {
        if (closed || !stateRecovery.isComplete()) {
            return Optional.empty();
        }
        return Optional.of(jobTracker.recordDigests());
    }

    /** The standby that could take over best, as far as is known. */
    synchronized Optional<String> preferredSuccessor() {
        return membership.preferredSuccessor(RecordCodec.SCHEMA_VERSION, loop.now());
    }

    /** Counts of a live job for display; empty when it is not known here. */
    public synchronized Optional<AdmissionService.JobStatus> liveJobState(JobId id) {
        return stateRecovery.isComplete() ? jobTracker.liveJobState(id) : Optional.empty();
    }
}
