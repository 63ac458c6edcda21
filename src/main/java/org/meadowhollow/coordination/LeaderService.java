package org.meadowhollow.coordination;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.fleet.LeadershipContext;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats;
import org.meadowhollow.coordination.heartbeat.LeaderReachability.Reachability;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.recovery.RecoveryListener;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.RecordWriter;

/**
 * One leadership of this node: delegates calls to its parts. Each leadership has an object of its
 * own, so that no state of an earlier one can leak into it.
 *
 * <p>This object's monitor is the leader's lock, the only one that its parts share; their state is
 * read and changed with it held. Requests to the cloud and to peers are sent, and deferred
 * responses completed, outside it.
 */
final class LeaderService implements RecordWriter.Listener, RecoveryListener, LeadershipContext {
    private final LeaderParts parts;
    private final LeadershipTerm term;
    private final EventLoop loop;
    private final Leadership leadership;

    /** Guarded by this object's monitor, like all mutable state. */
    private boolean closed;

    /** Creates the object of a leadership that has begun, which is idle until {@link #start}. */
    LeaderService(ControllerServices services, LeadershipTerm term) {
        this.term = term;
        this.loop = services.loop();
        this.leadership = term.leadership();
        this.parts = new LeaderParts(services, term, this);
    }

    // ---- Start and end ----

    /** Begins to load all live jobs, and schedules the first round. */
    void start() {
        parts.stateRecovery.start();
        parts.reservationEnforcer.start();
        parts.autoscaler.start();
        new LeaderRounds(this, loop, parts, term, this::isClosed).start();
        parts.heartbeatHandler.start();
    }

    /** Ends this leadership; responses to requests in flight are ignored from now on. */
    void close() {
        List<DeferredHeartbeats.DeferredHeartbeat> unanswered;
        synchronized (this) {
            closed = true;
            parts.recordWriter.close();
            parts.autoscaler.close();
            unanswered = parts.heartbeatHandler.takeAll();
        }
        // Only the next leader may renew these workers' leases.
        DeferredHeartbeats.redirectAll(unanswered, null);
    }

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    // ---- Heartbeats and commands ----

    /** Answers a worker's heartbeat, or defers the response. */
    CompletableFuture<HeartbeatResponse> handleHeartbeat(Heartbeat heartbeat) {
        return parts.heartbeatHandler.handleHeartbeat(heartbeat);
    }

    @Override
    public void sendCommands(
            Machine machine, WorkerIncarnation incarnation, List<WorkerCommand.Direct> commands) {
        parts.directCommandSender.sendCommands(machine, incarnation, commands);
    }

    // ---- Callbacks of the record writer ----

    @Override
    public synchronized void onJobEndPersisted(Job job) {
        parts.jobTracker.onJobEndPersisted(job);
    }

    @Override
    public void onTasksPersisted(Job job, List<TaskShard> shards) {
        parts.heartbeatHandler.onTasksPersisted(job, shards);
    }

    // A failed read changes nothing: the write is repeated and meets the same conflict again.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void onConcurrentJobChange(JobId id) {
        parts.store
                .get(RecordKeys.job(id), RequestPriority.PLACEMENT)
                .whenComplete(
                        (entry, failure) -> {
                            synchronized (this) {
                                Job job = parts.clusterState.jobs().get(id);
                                if (failure == null && !closed && job != null) {
                                    applyConcurrentChange(job, entry);
                                }
                            }
                        });
    }

    private void applyConcurrentChange(Job job, Optional<KeyValueStore.Entry> entry) {
        if (entry.isPresent()) {
            parts.jobRecordApplier.apply(
                    entry.get().key(), entry.get().value(), entry.get().revision());
        } else {
            // Only a transaction of this leader that got no response can have moved the job to its
            // final record.
            parts.recordWriter.recordUnacknowledgedEnd(job);
        }
        parts.recordWriter.flush();
    }

    @Override
    public void onLeadershipLost() {
        leadership.stepDown();
    }

    // ---- Callbacks of the recovery ----

    @Override
    public void renewLeadershipIfDue() {
        leadership.renewIfDue();
    }

    @Override
    public void onRecoveryProgress() {
        leadership.recordRecoveryProgress(term.fencingToken());
        leadership.renewIfDue();
    }

    @Override
    public synchronized void onCancellationsKnownUpTo(MonotonicTime upTo) {
        leadership.advanceFreshness(term.fencingToken(), upTo);
        parts.heartbeatHandler.onCancellationsKnown();
    }

    // ---- Context of the fleet's parts ----

    @Override
    public synchronized boolean isStateRecovered() {
        return parts.stateRecovery.isComplete();
    }

    /**
     * Whether this leader may place and stop tasks, and rent and return machines: the lease
     * certainly has not expired, and the workers can reach this node. An isolated leader sees no
     * capacity for any pending job; acting on that would be premature, or harm healthy machines and
     * tasks.
     */
    @Override
    public synchronized boolean canActAsLeader() {
        return leadership.canDecide()
                && parts.failureDetector.reachability() != Reachability.ISOLATED;
    }

    /**
     * Whether missing heartbeats are, as far as is known, due to failures of single machines, and
     * not to the reachability of this node.
     */
    @Override
    public synchronized boolean isReachabilityHealthy() {
        return parts.failureDetector.reachability() == Reachability.HEALTHY;
    }

    @Override
    public synchronized boolean isHeartbeatOverdue(Machine machine, MonotonicTime now) {
        return parts.failureDetector.isHeartbeatOverdue(machine, now);
    }

    @Override
    public synchronized List<Machine> snapshotMachines() {
        return List.copyOf(parts.clusterState.machines().values());
    }

    @Override
    public synchronized double startupDelaySeconds(JobSpec spec) {
        return parts.objectives.startupDelaySeconds(spec);
    }

    @Override
    public synchronized double largestImageGb() {
        return parts.objectives.largestImageGb();
    }

    @Override
    public synchronized boolean isInOutageWindow(String type, String zone) {
        return parts.clusterState.reservationView().isInOutageWindow(type, zone);
    }

    /**
     * Applies the cloud's list: adds new machines, updates addresses, and marks failed ones gone.
     */
    @Override
    public synchronized void applyMachineList(List<CloudProvider.ListedMachine> list) {
        parts.machineRegistry.markListed();
        MonotonicTime now = loop.now();
        parts.failureDetector.recordMachineList(now);
        for (CloudProvider.ListedMachine listed : list) {
            parts.machineRegistry.applyListedMachine(listed, now);
            if (listed.phase() == CloudProvider.MachinePhase.FAILED) {
                markMachineGone(listed.id(), "cloud lists machine as failed", false);
            }
        }
    }

    /** Marks all tasks of a machine that is certainly gone as lost. */
    @Override
    public synchronized void markMachineGone(MachineId id, String reason, boolean forget) {
        MonotonicTime now = loop.now();
        Machine machine = parts.machineRegistry.find(id);
        List<Placement> placements =
                machine != null
                        ? List.copyOf(machine.placements())
                        : parts.clusterState
                                .placementsOnUnseenMachines()
                                .getOrDefault(id, List.of());
        for (Placement placement : List.copyOf(placements)) {
            parts.taskLifecycle.markTaskLost(machine, placement, reason, now);
        }
        parts.clusterState.placementsOnUnseenMachines().remove(id);
        if (machine != null) {
            machine.orphanedTasks().clear();
            if (forget) {
                parts.machineRegistry.remove(id);
                parts.heartbeatTimeoutMonitor.forget(id);
            }
        }
        parts.recordWriter.flush();
    }

    @Override
    public void markTaskLost(
            Machine machine, Placement placement, String reason, MonotonicTime now) {
        parts.taskLifecycle.markTaskLost(machine, placement, reason, now);
    }

    @Override
    public void stopWithCheckpoint(Placement placement, String reason) {
        parts.taskLifecycle.stopWithCheckpoint(placement, reason);
    }

    // ---- Queries of the node: standbys, users and isolation ----

    /** The response to a standby's request for risk tables; empty until the state is recovered. */
    synchronized Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
        return isAnswering() ? parts.standbySupport.riskTableDelta(request) : Optional.empty();
    }

    /** The digests of all live jobs' records; empty until the state is recovered. */
    synchronized Optional<RecordDigests> recordDigests() {
        return isAnswering() ? Optional.of(parts.jobTracker.recordDigests()) : Optional.empty();
    }

    private boolean isAnswering() {
        return !closed && parts.stateRecovery.isComplete();
    }

    /** The standby that should be elected next; empty if none is known to qualify. */
    synchronized Optional<String> preferredSuccessor() {
        return parts.standbySupport.preferredSuccessor();
    }

    /**
     * The addresses of up to {@code maxCount} workers, for probes of whether this node, once
     * isolated, is in contact with workers again.
     */
    synchronized List<String> sampleAddresses(int maxCount) {
        return parts.machineRegistry.sampleAddresses(maxCount);
    }

    /** The task counts of a live job for display; empty if the job is not known here. */
    synchronized Optional<AdmissionService.JobStatus> liveJobStatus(JobId id) {
        return parts.stateRecovery.isComplete()
                ? parts.jobTracker.liveJobStatus(id)
                : Optional.empty();
    }
}
