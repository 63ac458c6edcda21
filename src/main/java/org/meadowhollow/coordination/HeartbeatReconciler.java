package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.failover.RiskTablePublisher;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.lifecycle.ImageCacheRecorder;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskState;
import org.meadowhollow.model.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares what a worker reports with what the records say, and finds the orders that bring them
 * together. Guarded by the leader's lock.
 */
final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

    /** Orders in one answer; keeps it below the protocol's 64 KiB. */
    private static final int MAX_COMMANDS = 400;

    private final LeaderService leaderService;
    private final ClusterState clusterState;
    private final ImageCacheRecorder imageCacheRecorder;
    private final Leadership leadership;
    private final FencingToken fencingToken;
    private final HandoverState handoverState;
    private final RiskTablePublisher riskTablePublisher;

    HeartbeatReconciler(
            LeaderService leaderService,
            ClusterState clusterState,
            ImageCacheRecorder images,
            Leadership leadership,
            FencingToken fencingToken,
            HandoverState handoverState,
            RiskTablePublisher feed) {
        this.leaderService = leaderService;
        this.clusterState = clusterState;
        this.imageCacheRecorder = images;
        this.leadership = leadership;
        this.fencingToken = fencingToken;
        this.handoverState = handoverState;
        this.riskTablePublisher = feed;
    }

    /** Takes a report's news in; false if it is older than what is known. */
    boolean applyHeartbeat(Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        if (machine.incarnation() != null
                && !heartbeat.isNewerThan(machine.incarnation(), machine.lastSequenceNumber())) {
            return false;
        }
        if (machine.incarnation() == null) {
            handoverState
                    .takeTable(heartbeat, now)
                    .ifPresent(table -> clusterState.riskTables().put(machine.id(), table));
        }
        machine.recordHeartbeat(heartbeat);
        if (!leaderService.isStateRecovered()) {
            return true;
        }
        if (!Double.isNaN(heartbeat.preemptionNoticeSeconds())
                && machine.preemptionDeadline() == null) {
            machine.preemptionDeadline(
                    now.plus(
                            Duration.ofMillis(
                                    (long) (heartbeat.preemptionNoticeSeconds() * 1000))));
            LOG.info(
                    "machine {} will be taken back in {} s",
                    machine.id(),
                    heartbeat.preemptionNoticeSeconds());
            machine.cordon();
        }
        Map<TaskId, Heartbeat.TaskStatus> listed = new HashMap<>();
        for (Heartbeat.TaskStatus taskStatus : heartbeat.tasks()) {
            listed.put(taskStatus.taskId(), taskStatus);
        }
        for (Placement placement : List.copyOf(machine.placements())) {
            Heartbeat.TaskStatus taskStatus = listed.get(placement.taskId());
            if (heartbeat.incarnation().isAfter(placement.incarnation())) {
                if (!heartbeat.fencingToken().equals(fencingToken)) {
                    // It may be a copy from before a machine that is back began its sessions anew;
                    // the next one will tell.
                    continue;
                }
                leaderService.markTaskLost(machine, placement, "the worker's lease ran out", now);
            } else if (placement.incarnation().isAfter(heartbeat.incarnation())) {
                if (heartbeat.fencingToken().equals(fencingToken)
                        && heartbeat.sequenceNumber() > placement.startSentSequenceNumber()) {
                    // It shows our token, so it was sent after the session of the record was seen,
                    // and sessions only grow: the
                    // machine has begun anew. Without this its task would be waited for, and its
                    // job with it, for ever.
                    leaderService.markTaskLost(
                            machine, placement, "its machine has begun anew", now);
                }
                // Otherwise it is a copy from before the placement: the same attempt of a gang may
                // have ended here then.
            } else if (taskStatus != null
                    && taskStatus.attemptNumber().equals(placement.attemptNumber())) {
                if (taskStatus.state() == TaskState.EXITED
                        && isFinalExit(placement, taskStatus.exitReason(), heartbeat)) {
                    leaderService.onTaskExited(machine, placement, taskStatus.exitReason(), now);
                } else {
                    if (placement.reportedState() != taskStatus.state()) {
                        LOG.debug(
                                "task {} on {} is {}",
                                taskStatus.taskId(),
                                machine.id(),
                                taskStatus.state());
                    }
                    placement.reportedState(taskStatus.state(), now);
                    if (taskStatus.state() == TaskState.RUNNING) {
                        leaderService.onTaskRunning(placement);
                    }
                    if (taskStatus.state() != TaskState.PULLING_IMAGE
                            && taskStatus.state() != TaskState.EXITED) {
                        imageCacheRecorder.recordCachedImage(
                                machine,
                                placement.job().spec().image(),
                                placement.job().spec().imageSizeGb());
                    }
                }
            }
        }
        machine.orphanedTasks().clear();
        for (Heartbeat.TaskStatus taskStatus : heartbeat.tasks()) {
            if (taskStatus.state() != TaskState.EXITED
                    && placementOf(machine, taskStatus) == null) {
                machine.orphanedTasks().add(taskStatus.taskId());
            }
        }
        machine.unpersistedExits().keySet().removeIf(task -> !listed.containsKey(task));
        int sample =
                clusterState
                        .riskTables()
                        .get(machine.id())
                        .recordSample(
                                machine.placements().size(),
                                machine.allocated().dominantShareOf(machine.type().capacity()),
                                machine.takeLostTaskCount(),
                                now);
        riskTablePublisher.recordSample(machine, sample, now);
        return true;
    }

    private static Placement placementOf(Machine machine, Heartbeat.TaskStatus taskStatus) {
        for (Placement placement : machine.placements()) {
            if (placement.taskId().equals(taskStatus.taskId())
                    && placement.attemptNumber().equals(taskStatus.attemptNumber())) {
                return placement;
            }
        }
        return null;
    }

    List<WorkerCommand> commandsFor(Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        List<WorkerCommand> orders = new ArrayList<>();
        Map<TaskId, Heartbeat.TaskStatus> listed = new HashMap<>();
        // All that is listed counts as listed, however many orders there is room for: what seems
        // not to be there is let go.
        heartbeat.tasks().forEach(taskStatus -> listed.put(taskStatus.taskId(), taskStatus));
        for (Heartbeat.TaskStatus taskStatus : heartbeat.tasks()) {
            if (orders.size() >= MAX_COMMANDS) {
                break;
            }
            Placement placement = placementOf(machine, taskStatus);
            if (placement != null) {
                if (placement.isStopping()
                        && (taskStatus.state() != TaskState.CHECKPOINTING
                                || placement.graceSeconds() == 0)) {
                    orders.add(
                            WorkerCommand.stop(
                                    taskStatus.taskId(),
                                    taskStatus.attemptNumber(),
                                    placement.graceSeconds()));
                } else if (taskStatus.state() == TaskState.EXITED
                        && mayStart(placement, machine, heartbeat)) {
                    // It gave up waiting for its gang, whose fetches go on; its record stands, so
                    // it may wait anew.
                    placement.recordStartSent(heartbeat.sequenceNumber());
                    orders.add(
                            WorkerCommand.forget(taskStatus.taskId(), taskStatus.attemptNumber()));
                    orders.add(
                            WorkerCommand.start(taskStatus.taskId(), taskStatus.attemptNumber()));
                }
            } else if (taskStatus.state() != TaskState.EXITED) {
                // Nobody's record knows of it, so nobody would ever stop it or count it.
                orders.add(WorkerCommand.stop(taskStatus.taskId(), taskStatus.attemptNumber(), 0));
            } else {
                Machine.UnpersistedExit unpersistedExit =
                        machine.unpersistedExits().get(taskStatus.taskId());
                if (unpersistedExit == null
                        || !unpersistedExit.attemptNumber().equals(taskStatus.attemptNumber())
                        || unpersistedExit.isPersisted()) {
                    orders.add(
                            WorkerCommand.forget(taskStatus.taskId(), taskStatus.attemptNumber()));
                }
            }
        }
        for (Placement placement : List.copyOf(machine.placements())) {
            Heartbeat.TaskStatus taskStatus = listed.get(placement.taskId());
            if (taskStatus != null
                    && taskStatus.attemptNumber().equals(placement.attemptNumber())) {
                continue;
            }
            if (placement.isStopping() || placement.job().isCancelled()) {
                if (canNeverStart(placement, machine, heartbeat)) {
                    leaderService.removePlacement(machine, placement, now, true);
                }
            } else if (orders.size() < MAX_COMMANDS && mayStart(placement, machine, heartbeat)) {
                placement.recordStartSent(heartbeat.sequenceNumber());
                orders.add(WorkerCommand.start(placement.taskId(), placement.attemptNumber()));
            }
        }
        return orders;
    }

    /**
     * Whether a placement that a report does not list can never start any more. A start goes out
     * only in the answer to a report, and a worker has one report in flight at a time; so a later
     * report without the task proves that no answer with its start will be heeded, once the worker
     * has shown our token, which shuts out the answers of earlier leaders.
     */
    private boolean canNeverStart(Placement placement, Machine machine, Heartbeat heartbeat) {
        return heartbeat.fencingToken().equals(fencingToken)
                && heartbeat.incarnation().equals(placement.incarnation())
                && heartbeat.sequenceNumber() > placement.startSentSequenceNumber()
                && machine.lastContactAt() != null;
    }

    /**
     * Whether the answer to a report may start a placement. Not in another session than that which
     * it was placed in: the next report would prove that session over, and the task just started
     * would be one that no record knows of.
     */
    private boolean mayStart(Placement placement, Machine machine, Heartbeat heartbeat) {
        return leadership.canStartTasks()
                && placement.isCommitted()
                && !machine.releasing()
                && placement.incarnation().equals(heartbeat.incarnation())
                && isWholeGangCommitted(placement);
    }

    /**
     * Whether an exit that a report of the placement's session lists is its end. One that only lost
     * patience with its gang is started anew in the same attempt, for images differ by more than a
     * gang's patience, and ending the attempt would give up the fetches of all its other tasks.
     * Where it is not wanted any more, its exit is proof only if nobody can have taken it back: an
     * old report that reached the next leader first let a cancelled gang end while it ran.
     */
    private boolean isFinalExit(Placement placement, ExitReason exitReason, Heartbeat heartbeat) {
        if (exitReason != ExitReason.ALONE) {
            return true;
        }
        return (placement.isStopping() || placement.job().isCancelled())
                && heartbeat.fencingToken().equals(fencingToken)
                && heartbeat.sequenceNumber() > placement.startSentSequenceNumber();
    }

    private static boolean isWholeGangCommitted(Placement placement) {
        if (placement.job().spec().kind() != JobKind.GANG) {
            return true;
        }
        for (Placement other : placement.job().placements()) {
            if (!other.isCommitted()) {
                return false;
            }
        }
        return placement.job().placements().size() == placement.job().spec().taskCount();
    }
}
