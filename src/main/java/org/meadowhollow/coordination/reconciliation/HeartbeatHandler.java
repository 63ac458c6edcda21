package org.meadowhollow.coordination.reconciliation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.fleet.UnreachableMachineReturnPolicy;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats.DeferredHeartbeat;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.lifecycle.MachineRegistry;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.storage.RecordWriter;

/**
 * Responds to workers' heartbeats, which renews their leases. A response is deferred if the worker
 * has free capacity or if no lease may be renewed yet. Owns the deferred heartbeats. Methods take
 * the leader's lock themselves unless they are documented as called with the lock held; deferred
 * responses are completed outside the lock.
 */
public final class HeartbeatHandler {
    /**
     * How long the response to a machine with free capacity is deferred, as a share of the
     * heartbeat interval. It is less than the three quarters after which the worker sends its next
     * heartbeat, and well below the 4 s for which a worker waits for a response.
     */
    private static final double DEFERRAL_SHARE_OF_INTERVAL = 0.6;

    private static final Duration MAX_DEFERRAL = Duration.ofMillis(2500);

    /**
     * How long a heartbeat waits while no lease may be renewed, below the 4 s for which a worker
     * waits. If heartbeats were redirected immediately, hundreds of workers would try all nodes in
     * turn every second throughout an outage.
     */
    private static final Duration MAX_FRESHNESS_WAIT = Duration.ofSeconds(3);

    /**
     * Maximum number of responses to direct commands that may overtake a heartbeat in flight: one
     * for each task that is stopped meanwhile.
     */
    private static final int MAX_OVERTAKEN_HEARTBEATS = 16;

    private static final Duration DEFERRAL_SWEEP_INTERVAL = Duration.ofMillis(250);

    private final HeartbeatContext context;
    private final EventLoop loop;
    private final Leadership leadership;
    private final FencingToken fencingToken;
    private final DeploymentSettings deploymentSettings;
    private final ClusterState clusterState;
    private final MachineRegistry machineRegistry;
    private final HeartbeatReconciler heartbeatReconciler;
    private final WorkerCommandPlanner commandPlanner;
    private final UnreachableMachineReturnPolicy unreachableReturnPolicy;
    private final RecordWriter recordWriter;

    /**
     * Heartbeats of machines with free capacity, deferred so that the response can carry a start.
     */
    private final DeferredHeartbeats awaitingCommands = new DeferredHeartbeats();

    /**
     * Heartbeats received while this leader did not know which jobs are cancelled, and so could not
     * renew leases.
     */
    private final DeferredHeartbeats awaitingFreshness = new DeferredHeartbeats();

    /** Creates the handler of one leadership's heartbeats. */
    public HeartbeatHandler(
            HeartbeatContext context,
            DeploymentSettings deploymentSettings,
            ClusterState clusterState,
            MachineRegistry machineRegistry,
            HeartbeatReconciler heartbeatReconciler,
            WorkerCommandPlanner commandPlanner,
            UnreachableMachineReturnPolicy unreachableReturnPolicy,
            RecordWriter recordWriter) {
        this.context = context;
        this.loop = context.loop();
        this.leadership = context.leadership();
        this.fencingToken = context.fencingToken();
        this.deploymentSettings = deploymentSettings;
        this.clusterState = clusterState;
        this.machineRegistry = machineRegistry;
        this.heartbeatReconciler = heartbeatReconciler;
        this.commandPlanner = commandPlanner;
        this.unreachableReturnPolicy = unreachableReturnPolicy;
        this.recordWriter = recordWriter;
    }

    /** Starts the periodic sweep that answers deferred heartbeats once they are due. */
    public void start() {
        RepeatingSteps.every(
                loop,
                RepeatingStep.HEARTBEAT_SWEEP,
                DEFERRAL_SWEEP_INTERVAL,
                context.isClosed(),
                this::sweepDeferred);
    }

    /**
     * Answers a heartbeat: immediately, or a little later if the machine has free capacity. A
     * leader that may not know all cancellations must not send a response that renews a lease, so
     * heartbeats wait until it knows them, or until their wait times out.
     */
    public CompletableFuture<HeartbeatResponse> handleHeartbeat(Heartbeat heartbeat) {
        synchronized (context.lock()) {
            MonotonicTime now = loop.now();
            leadership.renewIfDue();
            if (heartbeat.fencingToken().isAfter(fencingToken)) {
                leadership.observeToken(heartbeat.fencingToken(), null);
                return redirect(leadership.lastKnownLeader());
            }
            if (!leadership.canRenewWorkerLeases()) {
                return awaitingFreshness.defer(heartbeat, now.plus(MAX_FRESHNESS_WAIT));
            }
            Machine machine = machineRegistry.findOrRegister(heartbeat);
            if (machine == null) {
                // A sender that is not a known machine gets no commands, so its lease is not
                // renewed.
                return redirect(null);
            }
            if (!heartbeatReconciler.applyHeartbeat(machine, heartbeat, now)) {
                return CompletableFuture.completedFuture(
                        respondToStaleHeartbeat(machine, heartbeat, now));
            }
            return respondToNewHeartbeat(machine, heartbeat, now);
        }
    }

    private static CompletableFuture<HeartbeatResponse> redirect(String member) {
        return CompletableFuture.completedFuture(new HeartbeatResponse.Redirect(member));
    }

    private CompletableFuture<HeartbeatResponse> respondToNewHeartbeat(
            Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        awaitingCommands.redirectEarlier(heartbeat.machineId());
        unreachableReturnPolicy.onHeartbeat(machine, now);
        machine.recordAnsweredHeartbeat(now);
        List<WorkerCommand> commands = commandPlanner.commandsFor(machine, heartbeat, now);
        recordWriter.flush();
        if (commands.isEmpty()
                && leadership.canDecide()
                && machine.hasFreeCapacity()
                && clusterState.isSchedulable(machine, now)) {
            return awaitingCommands.defer(heartbeat, now.plus(deferralTime()));
        }
        return CompletableFuture.completedFuture(
                new HeartbeatResponse.Commands(fencingToken, commands));
    }

    /**
     * Returns the response to a heartbeat that is older than the newest one of its machine. A
     * heartbeat that was overtaken by a response to a direct command renews the lease, and so
     * counts as contact with the machine. Any other is a late duplicate, or comes from a machine
     * whose incarnation was reset: it must not renew a lease, because the machine's tasks are
     * marked lost once it has been out of contact for long enough.
     */
    private HeartbeatResponse respondToStaleHeartbeat(
            Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        long laterNumbers = machine.lastSequenceNumber() - heartbeat.sequenceNumber();
        if (heartbeat.fencingToken().equals(fencingToken)
                && heartbeat.incarnation().equals(machine.incarnation())
                && Long.compareUnsigned(laterNumbers, MAX_OVERTAKEN_HEARTBEATS) <= 0) {
            machine.recordContact(now);
            return new HeartbeatResponse.Commands(fencingToken, List.of());
        }
        return new HeartbeatResponse.Redirect(null);
    }

    private Duration deferralTime() {
        long intervalNanos = deploymentSettings.heartbeatInterval().toNanos();
        Duration share = Duration.ofNanos((long) (intervalNanos * DEFERRAL_SHARE_OF_INTERVAL));
        return share.compareTo(MAX_DEFERRAL) < 0 ? share : MAX_DEFERRAL;
    }

    private void sweepDeferred() {
        List<DeferredHeartbeat> due;
        List<DeferredHeartbeat> timedOut;
        synchronized (context.lock()) {
            if (context.isClosed().getAsBoolean()) {
                return;
            }
            due = awaitingCommands.takeDue(loop.now());
            timedOut = awaitingFreshness.takeDue(loop.now());
        }
        due.forEach(this::answerDeferred);
        timedOut.forEach(this::applyAndRedirect);
    }

    /**
     * Redirects a worker whose lease may not be renewed, but applies what its heartbeat reports.
     */
    private void applyAndRedirect(DeferredHeartbeat deferred) {
        synchronized (context.lock()) {
            MonotonicTime now = loop.now();
            Machine machine =
                    context.isClosed().getAsBoolean()
                            ? null
                            : machineRegistry.findOrRegister(deferred.heartbeat());
            applyWithoutLeaseRenewal(machine, deferred.heartbeat(), now);
        }
        deferred.response().complete(new HeartbeatResponse.Redirect(null));
    }

    /**
     * Applies a heartbeat without renewing a lease, unless it is older than the newest one of its
     * machine. Called with the leader's lock held.
     *
     * @param machine the machine that sent it, or null if it is not known, in which case nothing is
     *     done
     */
    void applyWithoutLeaseRenewal(Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        if (machine != null && heartbeatReconciler.applyHeartbeat(machine, heartbeat, now)) {
            unreachableReturnPolicy.onHeartbeat(machine, now);
            machine.recordContact(now);
            recordWriter.flush();
        }
    }

    /**
     * Schedules the responses to the heartbeats that waited until leases may be renewed again.
     * Called with the leader's lock held.
     */
    public void onCancellationsKnown() {
        if (!awaitingFreshness.isEmpty()) {
            loop.schedule(Duration.ZERO, this::answerHeartbeatsAwaitingFreshness);
        }
    }

    // The chain completes each response itself; nothing waits for the chain.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void answerHeartbeatsAwaitingFreshness() {
        List<DeferredHeartbeat> waiting;
        synchronized (context.lock()) {
            waiting = awaitingFreshness.takeAll();
        }
        waiting.forEach(
                each -> handleHeartbeat(each.heartbeat()).thenAccept(each.response()::complete));
    }

    /** Answers a deferred heartbeat with the commands that are due by now. */
    private void answerDeferred(DeferredHeartbeat deferred) {
        HeartbeatResponse.Commands response;
        synchronized (context.lock()) {
            Machine machine = machineRegistry.find(deferred.heartbeat().machineId());
            List<WorkerCommand> commands =
                    context.isClosed().getAsBoolean() || machine == null
                            ? List.of()
                            : commandPlanner.commandsFor(machine, deferred.heartbeat(), loop.now());
            response = new HeartbeatResponse.Commands(fencingToken, commands);
            recordWriter.flush();
        }
        deferred.response().complete(response);
    }

    /**
     * Answers the deferred heartbeats of the machines on which persisted placements of the job can
     * now start: those of the shards that were written, or all placements of a gang that is now
     * committed as a whole.
     */
    public void onTasksPersisted(Job job, List<TaskShard> shards) {
        List<DeferredHeartbeat> waiting = new ArrayList<>();
        synchronized (context.lock()) {
            if (job.spec().kind() != JobKind.GANG) {
                for (TaskShard shard : shards) {
                    takeStartable(shard.placements(), waiting);
                }
            } else if (job.isWhollyCommitted()) {
                takeStartable(job.placements(), waiting);
            }
        }
        waiting.forEach(this::answerDeferred);
    }

    private void takeStartable(
            Collection<Placement> placements, List<DeferredHeartbeat> startable) {
        for (Placement placement : placements) {
            DeferredHeartbeat deferred =
                    !placement.isStartSent() && placement.isPersisted()
                            ? awaitingCommands.take(placement.machineId())
                            : null;
            if (deferred != null) {
                startable.add(deferred);
            }
        }
    }

    /**
     * Removes and returns all deferred heartbeats, so that the caller can redirect them. Called
     * with the leader's lock held.
     */
    public List<DeferredHeartbeat> takeAll() {
        List<DeferredHeartbeat> unanswered = new ArrayList<>(awaitingCommands.takeAll());
        unanswered.addAll(awaitingFreshness.takeAll());
        return unanswered;
    }
}
