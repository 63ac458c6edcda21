package org.meadowhollow.coordination.reconciliation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.lifecycle.ImageCacheRecorder;
import org.meadowhollow.coordination.lifecycle.PlacementEvents;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies a worker's heartbeat to its machine: reconciles the tasks that it lists with the recorded
 * placements. {@link WorkerCommandPlanner} determines the commands that resolve the remaining
 * differences. Guarded by the leader's lock.
 */
public final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

    private static final double MILLIS_PER_SECOND = 1000;

    private final PlacementEvents placementEvents;
    private final ImageCacheRecorder imageCacheRecorder;
    private final RiskTableUpdater riskTableUpdater;
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
            FencingToken fencingToken,
            BooleanSupplier isStateRecovered) {
        this.placementEvents = placementEvents;
        this.imageCacheRecorder = imageCacheRecorder;
        this.riskTableUpdater = riskTableUpdater;
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
        Map<TaskId, Heartbeat.TaskStatus> listedTasks = heartbeat.statusByTask();
        for (Placement placement : List.copyOf(machine.placements())) {
            reconcilePlacement(
                    machine, placement, heartbeat, listedTasks.get(placement.taskId()), now);
        }
        recordOrphanedTasks(machine, heartbeat);
        machine.unpersistedExits().keySet().removeIf(task -> !listedTasks.containsKey(task));
        riskTableUpdater.recordSample(machine, now);
        return true;
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
                    && (!placement.isStartSent()
                            || heartbeat.hasNumberAfter(placement.startSentSequenceNumber()))) {
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
                    Long.toUnsignedString(heartbeat.sequenceNumber()),
                    placement.isStartSent()
                            ? Long.toUnsignedString(placement.startSentSequenceNumber())
                            : "none");
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
            if (status.state() != TaskState.EXITED && machine.placementOf(status) == null) {
                machine.orphanedTasks().add(status.taskId());
            }
        }
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
                && placement.isStartSettledBy(heartbeat, fencingToken);
    }
}
