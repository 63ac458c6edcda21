package org.meadowhollow.coordination.reconciliation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.lifecycle.ImageCacheRecorder;
import org.meadowhollow.coordination.lifecycle.PlacementEvents;
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
 * Reconciles the tasks that a worker's heartbeat lists with the recorded placements, and determines
 * the commands that resolve the differences. Guarded by the leader's lock.
 */
public final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

    /**
     * Maximum number of commands in one response, which keeps it below the protocol's limit of 64
     * KiB.
     */
    private static final int MAX_COMMANDS = 400;

    private static final double MILLIS_PER_SECOND = 1000;

    private final PlacementEvents placementEvents;
    private final ImageCacheRecorder imageCacheRecorder;
    private final RiskTableUpdater riskTableUpdater;
    private final Leadership leadership;
    private final FencingToken fencingToken;
    private final BooleanSupplier isStateRecovered;

    /**
     * Creates the reconciler of one leadership.
     *
     * @param isStateRecovered whether all records of earlier leaders are loaded; until then no task
     *     is compared with them
     */
    public HeartbeatReconciler(
            PlacementEvents placementEvents,
            ImageCacheRecorder imageCacheRecorder,
            RiskTableUpdater riskTableUpdater,
            Leadership leadership,
            FencingToken fencingToken,
            BooleanSupplier isStateRecovered) {
        this.placementEvents = placementEvents;
        this.imageCacheRecorder = imageCacheRecorder;
        this.riskTableUpdater = riskTableUpdater;
        this.leadership = leadership;
        this.fencingToken = fencingToken;
        this.isStateRecovered = isStateRecovered;
    }

    /**
     * Applies the reports of a heartbeat to its machine and the machine's placements.
     *
     * @return false if the heartbeat is older than the newest one of the machine, and was ignored
     */
    public boolean applyHeartbeat(Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        if (machine.incarnation() != null
                && !heartbeat.isNewerThan(machine.incarnation(), machine.lastSequenceNumber())) {
            return false;
        }
        if (machine.incarnation() == null) {
            riskTableUpdater.inheritTable(machine, heartbeat, now);
        }
        machine.recordHeartbeat(heartbeat);
        if (!isStateRecovered.getAsBoolean()) {
            return true;
        }
        recordPreemptionNotice(machine, heartbeat, now);
        Map<TaskId, Heartbeat.TaskStatus> listedTasks = statusByTask(heartbeat);
        for (Placement placement : List.copyOf(machine.placements())) {
            reconcilePlacement(
                    machine, placement, heartbeat, listedTasks.get(placement.taskId()), now);
        }
        recordOrphanedTasks(machine, heartbeat);
        machine.unpersistedExits().keySet().removeIf(task -> !listedTasks.containsKey(task));
        riskTableUpdater.recordSample(machine, now);
        return true;
    }

    private static Map<TaskId, Heartbeat.TaskStatus> statusByTask(Heartbeat heartbeat) {
        Map<TaskId, Heartbeat.TaskStatus> listedTasks = new HashMap<>();
        heartbeat.tasks().forEach(status -> listedTasks.put(status.taskId(), status));
        return listedTasks;
    }

    private static void recordPreemptionNotice(
            Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        double noticeSeconds = heartbeat.preemptionNoticeSeconds();
        if (Double.isNaN(noticeSeconds) || machine.preemptionDeadline() != null) {
            return;
        }
        machine.preemptionDeadline(
                now.plus(Duration.ofMillis((long) (noticeSeconds * MILLIS_PER_SECOND))));
        LOG.info(
                "machine preemption announced machine={} within_s={}", machine.id(), noticeSeconds);
        machine.cordon();
    }

    /**
     * Applies a heartbeat to one placement.
     *
     * @param status the status that the heartbeat lists for the task, or null if it lists none
     */
    private void reconcilePlacement(
            Machine machine,
            Placement placement,
            Heartbeat heartbeat,
            Heartbeat.TaskStatus status,
            MonotonicTime now) {
        if (heartbeat.incarnation().isAfter(placement.incarnation())) {
            // A heartbeat without this leader's fencing token may be a late duplicate from before
            // the machine's incarnation was reset; the next heartbeat will show whether it is.
            if (heartbeat.fencingToken().equals(fencingToken)) {
                placementEvents.markTaskLost(machine, placement, "the worker's lease expired", now);
            }
        } else if (placement.incarnation().isAfter(heartbeat.incarnation())) {
            if (heartbeat.fencingToken().equals(fencingToken)
                    && heartbeat.sequenceNumber() > placement.startSentSequenceNumber()) {
                // The heartbeat carries this leader's fencing token, so it was sent after the
                // recorded incarnation was seen. Incarnations only grow, so the machine's
                // incarnation was reset. Without this check the leader, and with it the job, would
                // wait for the task forever.
                placementEvents.markTaskLost(
                        machine, placement, "the machine's incarnation was reset", now);
            }
            // Otherwise the heartbeat is a late duplicate from before the placement: a task with
            // the same gang attempt may have ended on this machine at that time.
        } else if (status != null && status.attemptNumber().equals(placement.attemptNumber())) {
            applyTaskStatus(machine, placement, heartbeat, status, now);
        }
    }

    private void applyTaskStatus(
            Machine machine,
            Placement placement,
            Heartbeat heartbeat,
            Heartbeat.TaskStatus status,
            MonotonicTime now) {
        if (status.state() == TaskState.EXITED
                && isFinalExit(placement, status.exitReason(), heartbeat)) {
            LOG.debug(
                    "task exit applied task={} attempt={} machine={} reason={} origin={} sequence_number={} start_sent_sequence_number={}",
                    status.taskId(),
                    status.attemptNumber(),
                    machine.id(),
                    status.exitReason(),
                    heartbeat.origin(),
                    heartbeat.sequenceNumber(),
                    placement.startSentSequenceNumber());
            placementEvents.onTaskExited(machine, placement, status.exitReason(), now);
            return;
        }
        if (placement.reportedState() != status.state()) {
            LOG.debug(
                    "task changed state task={} machine={} state={}",
                    status.taskId(),
                    machine.id(),
                    status.state());
        }
        placement.reportedState(status.state(), now);
        if (status.state() == TaskState.RUNNING) {
            placementEvents.onTaskRunning(placement);
        }
        if (status.state() != TaskState.PULLING_IMAGE && status.state() != TaskState.EXITED) {
            imageCacheRecorder.recordCachedImage(
                    machine, placement.job().spec().image(), placement.job().spec().imageSizeGb());
        }
    }

    private static void recordOrphanedTasks(Machine machine, Heartbeat heartbeat) {
        machine.orphanedTasks().clear();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.state() != TaskState.EXITED && placementOf(machine, status) == null) {
                machine.orphanedTasks().add(status.taskId());
            }
        }
    }

    private static Placement placementOf(Machine machine, Heartbeat.TaskStatus status) {
        for (Placement placement : machine.placements()) {
            if (placement.taskId().equals(status.taskId())
                    && placement.attemptNumber().equals(status.attemptNumber())) {
                return placement;
            }
        }
        return null;
    }

    /**
     * Returns the commands for the response to a heartbeat that was applied by {@link
     * #applyHeartbeat}.
     */
    public List<WorkerCommand> commandsFor(
            Machine machine, Heartbeat heartbeat, MonotonicTime now) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (commands.size() >= MAX_COMMANDS) {
                break;
            }
            addCommandsForListedTask(machine, heartbeat, status, commands);
        }
        // Includes the listed tasks whose commands did not fit into the response: a placement that
        // is wrongly taken for unlisted may be removed.
        Map<TaskId, Heartbeat.TaskStatus> listedTasks = statusByTask(heartbeat);
        for (Placement placement : List.copyOf(machine.placements())) {
            Heartbeat.TaskStatus status = listedTasks.get(placement.taskId());
            if (status == null || !status.attemptNumber().equals(placement.attemptNumber())) {
                startOrRemoveUnlisted(machine, heartbeat, placement, commands, now);
            }
        }
        return commands;
    }

    private void addCommandsForListedTask(
            Machine machine,
            Heartbeat heartbeat,
            Heartbeat.TaskStatus status,
            List<WorkerCommand> commands) {
        Placement placement = placementOf(machine, status);
        if (placement != null) {
            if (placement.isStopping()
                    && (status.state() != TaskState.CHECKPOINTING
                            || placement.graceSeconds() == 0)) {
                commands.add(
                        WorkerCommand.stop(
                                status.taskId(), status.attemptNumber(), placement.graceSeconds()));
            } else if (status.state() == TaskState.EXITED
                    && mayStart(placement, machine, heartbeat)) {
                // The task timed out waiting for its gang, whose image pulls continue. Its record
                // still stands, so the task may wait again.
                placement.recordStartSent(heartbeat.sequenceNumber());
                commands.add(WorkerCommand.forget(status.taskId(), status.attemptNumber()));
                commands.add(WorkerCommand.start(status.taskId(), status.attemptNumber()));
            }
        } else if (status.state() != TaskState.EXITED) {
            // No record names this task, so nothing else would ever stop it or account for it.
            commands.add(WorkerCommand.stop(status.taskId(), status.attemptNumber(), 0));
        } else if (!isExitUnpersisted(machine, status)) {
            commands.add(WorkerCommand.forget(status.taskId(), status.attemptNumber()));
        }
    }

    /** Whether the exit of a listed task is applied in memory but not persisted yet. */
    private static boolean isExitUnpersisted(Machine machine, Heartbeat.TaskStatus status) {
        Machine.UnpersistedExit exit = machine.unpersistedExits().get(status.taskId());
        return exit != null
                && exit.attemptNumber().equals(status.attemptNumber())
                && !exit.isPersisted();
    }

    private void startOrRemoveUnlisted(
            Machine machine,
            Heartbeat heartbeat,
            Placement placement,
            List<WorkerCommand> commands,
            MonotonicTime now) {
        if (placement.isStopping() || placement.job().isCancelled()) {
            if (canNeverStart(placement, machine, heartbeat)) {
                placementEvents.removePlacement(machine, placement, now, true);
            }
        } else if (commands.size() < MAX_COMMANDS && mayStart(placement, machine, heartbeat)) {
            placement.recordStartSent(heartbeat.sequenceNumber());
            commands.add(WorkerCommand.start(placement.taskId(), placement.attemptNumber()));
        }
    }

    /**
     * Whether a placement that a heartbeat does not list can no longer start: no response that
     * contains its start can be executed any more.
     */
    private boolean canNeverStart(Placement placement, Machine machine, Heartbeat heartbeat) {
        return areAllStartsSettled(placement, heartbeat) && machine.lastContactAt() != null;
    }

    /**
     * Whether a heartbeat proves that the worker will execute no start of a placement that any
     * leader has sent. The heartbeat must carry this leader's fencing token, because a worker that
     * has seen the token rejects the responses of earlier leaders.
     */
    private boolean areAllStartsSettled(Placement placement, Heartbeat heartbeat) {
        return heartbeat.fencingToken().equals(fencingToken)
                && placement.isStartSettledBy(heartbeat);
    }

    /**
     * Whether the response to a heartbeat may start a placement. It may not if the worker is in
     * another incarnation than the one for which the task was placed: the next heartbeat would
     * prove that the recorded incarnation has ended, the placement would be removed, and no record
     * would name the task just started.
     */
    private boolean mayStart(Placement placement, Machine machine, Heartbeat heartbeat) {
        return leadership.canStartTasks()
                && placement.isPersisted()
                && !machine.isReleasing()
                && placement.incarnation().equals(heartbeat.incarnation())
                && isWholeGangCommitted(placement);
    }

    /**
     * Whether an exit listed by a heartbeat of the placement's incarnation is final. A task that
     * only timed out waiting for its gang is started again in the same attempt: the durations of
     * image pulls differ by more than that timeout, and ending the attempt would abandon the pulls
     * of all its other tasks. If the task is being stopped or its job is cancelled, its exit is
     * final only if no start of any leader can be executed after it. Otherwise an old heartbeat
     * that reaches the next leader first would let a cancelled gang end while it still runs, and a
     * response to a direct command would let a task be placed elsewhere while the response that
     * restarts it here is still on its way.
     */
    private boolean isFinalExit(Placement placement, ExitReason exitReason, Heartbeat heartbeat) {
        if (exitReason != ExitReason.ALONE) {
            return true;
        }
        return (placement.isStopping() || placement.job().isCancelled())
                && areAllStartsSettled(placement, heartbeat);
    }

    private static boolean isWholeGangCommitted(Placement placement) {
        if (placement.job().spec().kind() != JobKind.GANG) {
            return true;
        }
        for (Placement other : placement.job().placements()) {
            if (!other.isPersisted()) {
                return false;
            }
        }
        return placement.job().placements().size() == placement.job().spec().taskCount();
    }
}
