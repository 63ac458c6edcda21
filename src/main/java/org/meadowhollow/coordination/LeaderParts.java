package org.meadowhollow.coordination;

import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.fleet.FailureDetector;
import org.meadowhollow.coordination.fleet.HeartbeatTimeoutMonitor;
import org.meadowhollow.coordination.fleet.UnreachableMachineReturnPolicy;
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
import org.meadowhollow.coordination.reconciliation.WorkerCommandPlanner;
import org.meadowhollow.coordination.recovery.JobRecordApplier;
import org.meadowhollow.coordination.recovery.RecordRestorer;
import org.meadowhollow.coordination.recovery.RecoveryContext;
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
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordWriter;

/**
 * Creates and connects the parts of one leadership; dependencies between parts are set up here and
 * nowhere else. Calls go one way, from the rounds and the heartbeats down to the lifecycle of
 * tasks; calls back up go through the narrow interfaces that {@link LeaderService} implements. All
 * parts share its monitor as their lock.
 */
final class LeaderParts {
    private final LeaderService leader;
    private final ControllerServices services;
    private final LeadershipTerm term;
    private final EventLoop loop;
    final KeyValueStore store;
    private final DeploymentSettings deploymentSettings;
    private final Leadership leadership;
    private final MonotonicTime startedAt;
    private final FailoverTimeline failoverTimeline;
    final ClusterState clusterState;
    final ServiceLevelObjectives objectives;
    private final ArrivalForecast arrivalForecast = new ArrivalForecast();
    final RecordWriter recordWriter;
    final ImageCacheRecorder imageCacheRecorder;
    final StandbySupport standbySupport;
    final JobTracker jobTracker;
    final MachineRegistry machineRegistry;
    final TaskLifecycle taskLifecycle;
    final JobRecordApplier jobRecordApplier;
    final RiskTableRestorer riskTableRestorer;
    final StateRecovery stateRecovery;
    final FailureDetector failureDetector;
    final HeartbeatTimeoutMonitor heartbeatTimeoutMonitor;
    final HeartbeatHandler heartbeatHandler;
    final DirectCommandSender directCommandSender;
    final ReservationEnforcer reservationEnforcer;
    final FirstRoundGate firstRoundGate;
    final Autoscaler autoscaler;
    final RoundScheduler roundScheduler;

    /**
     * Creates all parts without starting any of them.
     *
     * @param leader the object that the parts call back, and whose monitor is their lock
     */
    LeaderParts(ControllerServices services, LeadershipTerm term, LeaderService leader) {
        this.leader = leader;
        this.services = services;
        this.term = term;
        this.loop = services.loop();
        this.store = services.store();
        this.deploymentSettings = services.deploymentSettings();
        this.leadership = term.leadership();
        this.startedAt = loop.now();
        this.failoverTimeline =
                new FailoverTimeline(term.fencingToken(), term.vacantSince(), startedAt);
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
        this.jobRecordApplier = createJobRecordApplier();
        RecoveryContext recoveryContext = new RecoveryContext(leader, leader, store, loop);
        this.riskTableRestorer =
                new RiskTableRestorer(recoveryContext, clusterState, term.handoverState());
        this.stateRecovery = createStateRecovery(recoveryContext);
        this.failureDetector = createFailureDetector();
        this.heartbeatTimeoutMonitor =
                new HeartbeatTimeoutMonitor(
                        leader, clusterState, deploymentSettings, term.fencingToken(), startedAt);
        UnreachableMachineReturnPolicy unreachableReturnPolicy =
                new UnreachableMachineReturnPolicy(failureDetector, deploymentSettings);
        HeartbeatContext heartbeatContext =
                new HeartbeatContext(
                        leader, leader::isClosed, loop, leadership, term.fencingToken());
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
                leader);
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
                leader,
                loop,
                recordWriter,
                machineRegistry,
                jobTracker,
                this::recordRuntime,
                leader::sendCommands);
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
                        jobRecordApplier,
                        taskLifecycle);
        return new StateRecovery(
                recoveryContext,
                restorer,
                jobRecordApplier,
                term.fencingToken(),
                term.leaderKeyRevision(),
                term.handoverState(),
                failoverTimeline);
    }

    private FailureDetector createFailureDetector() {
        return new FailureDetector(
                leader,
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
                        term.fencingToken(),
                        stateRecovery::isComplete);
        return new HeartbeatHandler(
                heartbeatContext,
                deploymentSettings,
                clusterState,
                machineRegistry,
                heartbeatReconciler,
                new WorkerCommandPlanner(taskLifecycle, leadership, term.fencingToken()),
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
                new ReservationCalendarReplica(store, loop, leader::isClosed),
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
                leader,
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
                autoscaler::updateCapacityDemand);
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

    /** The conditions of this leadership on which a scheduling round depends. */
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
            return leader.canActAsLeader() && reservationEnforcer.isReady();
        }
    }
}
