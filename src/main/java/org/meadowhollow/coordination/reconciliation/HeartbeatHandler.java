package org.meadowhollow.coordination.reconciliation;

import java.time.Duration;
import java.util.ArrayList;
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
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.storage.RecordWriter;

/**
 * Answers workers' heartbeats, and so renews their leases: at once, or deferred when the worker has
 * room or no lease may be renewed yet. Owns the deferred heartbeats. Takes the leader's lock itself
 * where it is not said to be held; deferred responses are completed outside the lock.
 */
public final class HeartbeatHandler {
    /**
     * How long the answer to a machine with free capacity is deferred, as a share of the heartbeat
     * interval: less than the three quarters after which the next heartbeat is sent, and well below
     * the 4 s that a worker waits for its answer.
     */
    private static final double DEFERRAL_SHARE_OF_INTERVAL = 0.6;

    private static final Duration MAX_DEFERRAL = Duration.ofMillis(2500);

    /**
     * How long a heartbeat waits while no lease may be renewed, below the 4 s that a worker waits.
     * Redirected at once, hundreds of workers went round all nodes every second throughout an
     * outage.
     */
    private static final Duration MAX_FRESHNESS_WAIT = Duration.ofSeconds(3);

    /**
     * Direct answers that can overtake a heartbeat in flight: one for each task that is stopped
     * meanwhile.
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
    private final UnreachableMachineReturnPolicy unreachableReturnPolicy;
    private final RecordWriter recordWriter;

    /** Heartbeats of machines with free capacity, whose answers may still carry a start. */
    private final DeferredHeartbeats awaitingCommands = new DeferredHeartbeats();

    /** Heartbeats received while this leader did not know which jobs are cancelled. */
    private final DeferredHeartbeats awaitingFreshness = new DeferredHeartbeats();

    /** Creates the handler of one leadership's heartbeats. */
    public HeartbeatHandler(
            HeartbeatContext context,
            DeploymentSettings deploymentSettings,
            ClusterState clusterState,
            MachineRegistry machineRegistry,
            HeartbeatReconciler heartbeatReconciler,
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
        this.unreachableReturnPolicy = unreachableReturnPolicy;
        this.recordWriter = recordWriter;
    }

    /** Begins to answer deferred heartbeats when their time is over. */
    public void start() {
        loop.schedule(DEFERRAL_SWEEP_INTERVAL, this::sweepDeferred);
    }

    /**
     * Answers a heartbeat: at once, or a little later if the machine has free capacity. While this
     * leader cannot know of all cancellations nothing is answered that would renew a lease, so
     * heartbeats wait until it does, or for as long as they can.
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
                // What is not known as a machine gets no commands, so its lease is not renewed.
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
        awaitingCommands.discardEarlier(heartbeat.machineId());
        unreachableReturnPolicy.onHeartbeat(machine, now);
        machine.recordAnsweredHeartbeat(now);
        List<WorkerCommand> commands = heartbeatReconciler.commandsFor(machine, heartbeat, now);
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
     * The answer to a heartbeat that is older than what is known. One that a direct answer has
     * overtaken renews the lease, and so counts as contact with its machine; any other is a late
     * copy, or is of a machine that restarted its incarnations: its lease must not be renewed, for
     * its tasks are taken for lost once the machine is silent for long enough.
     */
    private HeartbeatResponse respondToStaleHeartbeat(
            Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        if (heartbeat.fencingToken().equals(fencingToken)
                && heartbeat.incarnation().equals(machine.incarnation())
                && machine.lastSequenceNumber() - heartbeat.sequenceNumber()
                        <= MAX_OVERTAKEN_HEARTBEATS) {
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
        List<DeferredHeartbeat> withoutFreshness;
        synchronized (context.lock()) {
            if (context.isClosed().getAsBoolean()) {
                return;
            }
            due = awaitingCommands.takeDue(loop.now());
            withoutFreshness = awaitingFreshness.takeDue(loop.now());
        }
        loop.schedule(DEFERRAL_SWEEP_INTERVAL, this::sweepDeferred);
        due.forEach(this::answerDeferred);
        withoutFreshness.forEach(this::applyAndRedirect);
    }

    /**
     * Redirects a worker whose lease may not be renewed; what it reports is taken in all the same.
     */
    private void applyAndRedirect(DeferredHeartbeat waited) {
        synchronized (context.lock()) {
            MonotonicTime now = loop.now();
            Machine machine =
                    context.isClosed().getAsBoolean()
                            ? null
                            : machineRegistry.findOrRegister(waited.heartbeat());
            applyWithoutLeaseRenewal(machine, waited.heartbeat(), now);
        }
        waited.response().complete(new HeartbeatResponse.Redirect(null));
    }

    /**
     * Takes in a heartbeat that renews no lease, unless it is older than what is known. Called with
     * the leader's lock held.
     *
     * @param machine the machine that sent it, or null if it is not known, which has no effect
     */
    void applyWithoutLeaseRenewal(Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        if (machine != null && heartbeatReconciler.applyHeartbeat(machine, heartbeat, now)) {
            unreachableReturnPolicy.onHeartbeat(machine, now);
            machine.recordContact(now);
            recordWriter.flush();
        }
    }

    /**
     * Leases may be renewed again: schedules the answers to the heartbeats that waited for it.
     * Called with the leader's lock held.
     */
    public void onCancellationsKnown() {
        if (!awaitingFreshness.isEmpty()) {
            loop.schedule(Duration.ZERO, this::answerThoseAwaitingFreshness);
        }
    }

    // The chain hands each response on; nothing waits for the chain itself.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void answerThoseAwaitingFreshness() {
        List<DeferredHeartbeat> waiting;
        synchronized (context.lock()) {
            waiting = awaitingFreshness.takeAll();
        }
        waiting.forEach(
                each -> handleHeartbeat(each.heartbeat()).thenAccept(each.response()::complete));
    }

    /** Answers a deferred heartbeat with the commands that there are by now. */
    private void answerDeferred(DeferredHeartbeat deferred) {
        HeartbeatResponse.Commands response;
        synchronized (context.lock()) {
            Machine machine = machineRegistry.find(deferred.heartbeat().machineId());
            List<WorkerCommand> commands =
                    context.isClosed().getAsBoolean() || machine == null
                            ? List.of()
                            : heartbeatReconciler.commandsFor(
                                    machine, deferred.heartbeat(), loop.now());
            response = new HeartbeatResponse.Commands(fencingToken, commands);
            recordWriter.flush();
        }
        deferred.response().complete(response);
    }

    /** Answers the deferred heartbeats of machines that persisted placements can now start on. */
    public void onTasksPersisted(Job job) {
        List<DeferredHeartbeat> waiting = new ArrayList<>();
        synchronized (context.lock()) {
            for (Placement placement : job.placements()) {
                DeferredHeartbeat deferred =
                        placement.startSentSequenceNumber() < 0 && placement.isCommitted()
                                ? awaitingCommands.take(placement.machineId())
                                : null;
                if (deferred != null) {
                    waiting.add(deferred);
                }
            }
        }
        waiting.forEach(this::answerDeferred);
    }

    /** Takes all deferred heartbeats, to be redirected. Called with the leader's lock held. */
    public List<DeferredHeartbeat> takeAll() {
        List<DeferredHeartbeat> unanswered = new ArrayList<>(awaitingCommands.takeAll());
        unanswered.addAll(awaitingFreshness.takeAll());
        return unanswered;
    }
}
