package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.fleet.FailureDetector;
import org.meadowhollow.coordination.fleet.HeartbeatTimeoutMonitor;
import org.meadowhollow.coordination.fleet.LeadershipContext;
import org.meadowhollow.coordination.fleet.UnreachableMachineReturnPolicy;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats;
import org.meadowhollow.coordination.heartbeat.LeaderReachability.Reachability;
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
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.storage.RecordWriter;

/**
 * One leadership of this node: wires its parts and runs its timers. Each leadership has an object
 * of its own, so nothing that an earlier one believed can leak into it.
 *
 * <p>This object's monitor is the leader's lock, the only one that its parts share; what they own
 * is read and changed with it held. Requests to the cloud and to peers are sent, and deferred
 * responses completed, outside it.
 */
final class LeaderService implements RecordWriter.Listener, RecoveryListener, LeadershipContext {
    /** How often a warm leader checks whether it may hold its first round. */
    private static final Duration WARM_CHECK_INTERVAL = Duration.ofMillis(200);

    private final ControllerServices services;
    private final LeadershipTerm term;
    private final EventLoop loop;
    private final KeyValueStore store;
    private final DeploymentSettings deploymentSettings;
    private final Leadership leadership;
    private final MonotonicTime startedAt;
    private final FailoverTimeline failoverTimeline;
    private final ClusterState clusterState;
    private final ServiceLevelObjectives objectives;
    private final ArrivalForecast arrivalForecast = new ArrivalForecast();
    private final RecordWriter recordWriter;
    private final ImageCacheRecorder imageCacheRecorder;
    private final StandbySupport standbySupport;
    private final JobTracker jobTracker;
    private final MachineRegistry machineRegistry;
    private final TaskLifecycle taskLifecycle;
    private final JobRecordApplier jobRecords;
    private final RiskTableRestorer riskTableRestorer;
    private final StateRecovery stateRecovery;
    private final FailureDetector failureDetector;
    private final HeartbeatTimeoutMonitor heartbeatTimeoutMonitor;
    private final HeartbeatHandler heartbeatHandler;
    private final DirectCommandSender directCommandSender;
    private final ReservationEnforcer reservationEnforcer;
    private final FirstRoundGate firstRoundGate;
    private final Autoscaler autoscaler;
    private final RoundScheduler roundScheduler;

    /** Guarded by this object's monitor, as everything that changes. */
    private boolean closed;

    /** Creates a leadership that has begun; {@link #start} sets it going. */
    LeaderService(ControllerServices services, LeadershipTerm term) {
        this.services = services;
        this.term = term;
        this.loop = services.loop();
        this.store = services.store();
        this.deploymentSettings = services.deploymentSettings();
        this.leadership = term.leadership();
        this.startedAt = loop.now();
        this.failoverTimeline =
                new FailoverTimeline(term.fencingToken(), term.noticedAt(), startedAt);
        this.clusterState = new ClusterState(deploymentSettings, term.fencingToken());
        this.objectives =
                new ServiceLevelObjectives(deploymentSettings, services.machineTypeCatalog());
        this.recordWriter = createRecordWriter();
        this.imageCacheRecorder =
                new ImageCacheRecorder(store, term.leaderKeyRevision(), deploymentSettings);
        this.standbySupport = new StandbySupport(services, term, clusterState);
        this.jobTracker = new JobTracker(loop, clusterState);
        this.machineRegistry = createMachineRegistry();
        this.taskLifecycle = createTaskLifecycle();
        this.jobRecords = createJobRecordApplier();
        RecoveryContext recoveryContext = new RecoveryContext(this, this, store, loop);
        this.riskTableRestorer =
                new RiskTableRestorer(recoveryContext, clusterState, term.handoverState());
        this.stateRecovery = createStateRecovery(recoveryContext);
        this.failureDetector = createFailureDetector();
        this.heartbeatTimeoutMonitor =
                new HeartbeatTimeoutMonitor(
                        this, clusterState, deploymentSettings, term.fencingToken(), startedAt);
        UnreachableMachineReturnPolicy unreachableReturnPolicy =
                new UnreachableMachineReturnPolicy(failureDetector, deploymentSettings);
        HeartbeatContext heartbeatContext =
                new HeartbeatContext(this, this::isClosed, loop, leadership, term.fencingToken());
        this.heartbeatHandler = createHeartbeatHandler(heartbeatContext, unreachableReturnPolicy);
        this.directCommandSender =
                new DirectCommandSender(
                        heartbeatContext,
                        services.workerGateway(),
                        machineRegistry,
                        heartbeatHandler);
        this.reservationEnforcer = createReservationEnforcer();
        this.firstRoundGate = createFirstRoundGate();
        this.autoscaler = createAutoscaler(unreachableReturnPolicy);
        this.roundScheduler = createRoundScheduler();
    }

    // ---- Wiring: each method uses only parts that are created before it in the constructor ----

    private RecordWriter createRecordWriter() {
        return new RecordWriter(
                store,
                loop,
                deploymentSettings.maxTransactionOperations(),
                term.leaderKeyRevision(),
                services.jobEventListeners(),
                this);
    }

    private MachineRegistry createMachineRegistry() {
        return new MachineRegistry(
                loop,
                clusterState,
                services.machineTypeCatalog(),
                imageCacheRecorder,
                this::isReturned);
    }

    private TaskLifecycle createTaskLifecycle() {
        return new TaskLifecycle(
                loop,
                recordWriter,
                machineRegistry,
                jobTracker,
                this::recordRuntime,
                this::sendCommands);
    }

    private JobRecordApplier createJobRecordApplier() {
        return new JobRecordApplier(
                loop,
                clusterState,
                objectives,
                arrivalForecast,
                recordWriter,
                jobTracker,
                taskLifecycle);
    }

    private StateRecovery createStateRecovery(RecoveryContext recoveryContext) {
        RecordRestorer restorer =
                new RecordRestorer(
                        loop,
                        clusterState,
                        recordWriter,
                        imageCacheRecorder,
                        jobRecords,
                        taskLifecycle);
        return new StateRecovery(
                recoveryContext,
                restorer,
                jobRecords,
                term.fencingToken(),
                term.leaderKeyRevision(),
                term.handoverState(),
                failoverTimeline);
    }

    private FailureDetector createFailureDetector() {
        return new FailureDetector(
                this,
                clusterState,
                deploymentSettings,
                loop,
                services.peerGateway(),
                leadership,
                startedAt);
    }

    private HeartbeatHandler createHeartbeatHandler(
            HeartbeatContext heartbeatContext,
            UnreachableMachineReturnPolicy unreachableReturnPolicy) {
        HeartbeatReconciler heartbeatReconciler =
                new HeartbeatReconciler(
                        taskLifecycle,
                        imageCacheRecorder,
                        new RiskTableUpdater(
                                clusterState,
                                term.handoverState(),
                                standbySupport.riskTablePublisher()),
                        leadership,
                        term.fencingToken(),
                        stateRecovery::isComplete);
        return new HeartbeatHandler(
                heartbeatContext,
                deploymentSettings,
                clusterState,
                machineRegistry,
                heartbeatReconciler,
                unreachableReturnPolicy,
                recordWriter);
    }

    private ReservationEnforcer createReservationEnforcer() {
        return new ReservationEnforcer(
                taskLifecycle,
                clusterState,
                objectives,
                loop,
                services.reservationSettings(),
                new ReservationCalendarReplica(store, loop, this::isClosed),
                this::reservableCapacity);
    }

    private FirstRoundGate createFirstRoundGate() {
        return new FirstRoundGate(
                startedAt,
                deploymentSettings.heartbeatInterval(),
                machineRegistry,
                term.handoverState(),
                failoverTimeline,
                new RoundConditions());
    }

    private Autoscaler createAutoscaler(UnreachableMachineReturnPolicy unreachableReturnPolicy) {
        return new Autoscaler(
                this,
                services.cloudProvider(),
                deploymentSettings,
                services.machineTypeCatalog(),
                loop,
                term.fencingToken(),
                unreachableReturnPolicy);
    }

    private RoundScheduler createRoundScheduler() {
        RoundContext roundContext =
                new RoundContext(loop, deploymentSettings, clusterState, objectives, recordWriter);
        UnplacedJobHandler unplacedJobHandler =
                new UnplacedJobHandler(
                        roundContext,
                        new PreemptionPlanner(clusterState, deploymentSettings, objectives),
                        taskLifecycle,
                        jobTracker);
        return new RoundScheduler(
                roundContext,
                firstRoundGate,
                reservationEnforcer,
                arrivalForecast,
                unplacedJobHandler,
                autoscaler::capacityDemand);
    }

    private boolean isReturned(MachineId id) {
        return autoscaler.isReturned(id);
    }

    private void recordRuntime(JobSpec spec, double seconds) {
        reservationEnforcer.recordRuntime(spec, seconds);
    }

    private ReservableCapacity reservableCapacity() {
        return ReservationService.reservableCapacity(
                services.machineTypeCatalog(),
                deploymentSettings,
                services.reservationSettings().machineLimits());
    }

    // ---- Start and end ----

    /** Begins to load all live jobs, and schedules the rounds. */
    void start() {
        stateRecovery.start();
        reservationEnforcer.start();
        autoscaler.start();
        loop.schedule(RoundScheduler.ROUND_INTERVAL, this::runRound);
        if (term.handoverState().isWarm()) {
            loop.schedule(WARM_CHECK_INTERVAL, this::checkWarmStart);
        }
        heartbeatHandler.start();
    }

    /** Ends this leadership; answers of requests in flight are ignored from now on. */
    void close() {
        List<DeferredHeartbeats.DeferredHeartbeat> unanswered;
        synchronized (this) {
            closed = true;
            recordWriter.close();
            autoscaler.close();
            unanswered = heartbeatHandler.takeAll();
        }
        // The next leader may renew their leases; this one must not.
        DeferredHeartbeats.redirectAll(unanswered, null);
    }

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    // ---- Rounds ----

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
            imageCacheRecorder.writeIfDue(clusterState.machines().values(), now);
            if (riskTableRestorer.isComplete() && leadership.canDecide()) {
                standbySupport.writeSnapshotIfDue(recordWriter.dirtyShardCount() == 0, now);
            }
        }
        failureDetector.queryPeersAndMaybeResign();
        autoscaler.scaleOutAndIn();
    }

    /**
     * Holds the first round of a warm leader as soon as it may decide; its other rounds are every
     * second from the start.
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
                    term.fencingToken(),
                    leadership.highestObservedToken(),
                    term.leaderKeyRevision(),
                    stateRecovery.recoveredRevision(),
                    !services.machineTypeCatalog().isEmpty(),
                    reservationEnforcer.isReady(),
                    failureDetector.reachability() != Reachability.ISOLATED,
                    machinesReported,
                    machinesRequired);
        }

        @Override
        public boolean maySchedule() {
            return canActAsLeader() && reservationEnforcer.isReady();
        }
    }

    // ---- Heartbeats and commands ----

    /** Answers a worker's heartbeat, or defers the answer. */
    CompletableFuture<HeartbeatResponse> handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatHandler.handleHeartbeat(heartbeat);
    }

    @Override
    public void sendCommands(
            Machine machine, WorkerIncarnation incarnation, List<WorkerCommand> commands) {
        directCommandSender.sendCommands(machine, incarnation, commands);
    }

    // ---- The record writer's listener ----

    @Override
    public synchronized void onJobEndPersisted(Job job) {
        jobTracker.onJobEndPersisted(job);
    }

    @Override
    public void onTasksPersisted(Job job) {
        heartbeatHandler.onTasksPersisted(job);
    }

    @Override
    public void onConcurrentJobChange(JobId id) {
        store.get(RecordCodec.job(id), RequestPriority.PLACEMENT)
                .whenComplete(
                        (entry, failure) -> {
                            synchronized (this) {
                                Job job = clusterState.jobs().get(id);
                                if (failure == null && !closed && job != null) {
                                    applyConcurrentChange(job, entry);
                                }
                            }
                        });
    }

    private void applyConcurrentChange(Job job, Optional<KeyValueStore.Entry> entry) {
        if (entry.isPresent()) {
            jobRecords.apply(entry.get().key(), entry.get().value(), entry.get().revision());
        } else {
            // Only our own unanswered transaction can have moved it to its final record.
            recordWriter.recordUnacknowledgedEnd(job);
        }
        recordWriter.flush();
    }

    @Override
    public void onLeadershipLost() {
        leadership.stepDown();
    }

    // ---- The recovery's listener ----

    @Override
    public void renewLeadershipIfDue() {
        leadership.renewIfDue();
    }

    @Override
    public synchronized void onCancellationsKnownUpTo(MonotonicTime upTo) {
        leadership.advanceFreshness(term.fencingToken(), upTo);
        heartbeatHandler.onCancellationsKnown();
    }

    // ---- The context of the fleet's parts ----

    @Override
    public synchronized boolean isStateRecovered() {
        return stateRecovery.isComplete();
    }

    /**
     * Whether to place, stop, rent and return: the lease certainly holds, and the workers can reach
     * this node. To an isolated leader all pending jobs seem to lack capacity, and what it would do
     * about it is too early or hits what is healthy.
     */
    @Override
    public synchronized boolean canActAsLeader() {
        return leadership.canDecide() && failureDetector.reachability() != Reachability.ISOLATED;
    }

    /** Whether machines that are silent are so for their own reasons, as far as can be known. */
    @Override
    public synchronized boolean isReachabilityHealthy() {
        return failureDetector.reachability() == Reachability.HEALTHY;
    }

    @Override
    public synchronized boolean isHeartbeatOverdue(Machine machine, MonotonicTime now) {
        return failureDetector.isHeartbeatOverdue(machine, now);
    }

    @Override
    public synchronized List<Machine> snapshotMachines() {
        return List.copyOf(clusterState.machines().values());
    }

    @Override
    public synchronized double startupDelaySeconds(JobSpec spec) {
        return objectives.startupDelaySeconds(spec);
    }

    @Override
    public synchronized double largestImageGb() {
        return objectives.largestImageGb();
    }

    @Override
    public synchronized boolean isInOutageWindow(String type, String zone) {
        return clusterState.reservationView().isInOutageWindow(type, zone);
    }

    /** Takes in the cloud's list: machines that are new, their addresses, and failed ones. */
    @Override
    public synchronized void applyMachineList(List<CloudProvider.ListedMachine> list) {
        machineRegistry.markListed();
        MonotonicTime now = loop.now();
        failureDetector.recordMachineList(now);
        for (CloudProvider.ListedMachine listed : list) {
            machineRegistry.applyListedMachine(listed, now);
            if (listed.phase() == CloudProvider.MachinePhase.FAILED) {
                markMachineGone(listed.id(), "the cloud lists its machine as failed", false);
            }
        }
    }

    /** Takes all tasks of a machine that is certainly gone as lost. */
    @Override
    public synchronized void markMachineGone(MachineId id, String reason, boolean forget) {
        MonotonicTime now = loop.now();
        Machine machine = machineRegistry.find(id);
        List<Placement> placements =
                machine != null
                        ? List.copyOf(machine.placements())
                        : clusterState.placementsOnUnseenMachines().getOrDefault(id, List.of());
        for (Placement placement : List.copyOf(placements)) {
            taskLifecycle.markTaskLost(machine, placement, reason, now);
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

    @Override
    public void markTaskLost(
            Machine machine, Placement placement, String reason, MonotonicTime now) {
        taskLifecycle.markTaskLost(machine, placement, reason, now);
    }

    @Override
    public void stopWithCheckpoint(Placement placement, String reason) {
        taskLifecycle.stopWithCheckpoint(placement, reason);
    }

    // ---- For the node: standbys, users and isolation ----

    /** What the risk tables have learned since a standby last asked; empty until the recovery. */
    synchronized Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
        return isAnswering() ? standbySupport.riskTableDelta(request) : Optional.empty();
    }

    /** The digests of all live jobs' records; empty until the recovery is complete. */
    synchronized Optional<RecordDigests> recordDigests() {
        return isAnswering() ? Optional.of(jobTracker.recordDigests()) : Optional.empty();
    }

    private boolean isAnswering() {
        return !closed && stateRecovery.isComplete();
    }

    /** The standby that could take over best, as far as is known. */
    synchronized Optional<String> preferredSuccessor() {
        return standbySupport.preferredSuccessor();
    }

    /** Up to {@code most} workers' addresses, to find out later whether they reach this node. */
    synchronized List<String> sampleAddresses(int most) {
        return machineRegistry.sampleAddresses(most);
    }

    /** The counts of a live job for display; empty when it is not known here. */
    synchronized Optional<AdmissionService.JobStatus> liveJobState(JobId id) {
        return stateRecovery.isComplete() ? jobTracker.liveJobState(id) : Optional.empty();
    }
}
