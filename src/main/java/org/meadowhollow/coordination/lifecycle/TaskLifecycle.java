package org.meadowhollow.coordination.lifecycle;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.storage.RecordWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages placements from their first running heartbeat to their end: exits, failures with backoff,
 * losses, and requested stops, with the rules for gangs. Marks changed records in the record
 * writer; the caller flushes it. Keeps no state of its own besides the jobs' placements. Guarded by
 * the leader's lock.
 */
public final class TaskLifecycle implements PlacementEvents, TaskStopper {
    private static final Logger LOG = LoggerFactory.getLogger(TaskLifecycle.class);

    /** Number of consecutive task failures of a job after which its next start is delayed. */
    private static final int FAILURES_BEFORE_BACKOFF = 3;

    private static final int MAX_BACKOFF_SECONDS = 60;

    /** Limits the shift that doubles the backoff. */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    private final EventLoop loop;
    private final RecordWriter recordWriter;
    private final MachineRegistry machineRegistry;
    private final JobTracker jobTracker;
    private final RuntimeListener runtimeListener;
    private final TaskStopQueue stopQueue;

    /**
     * Creates the lifecycle of one leadership's tasks.
     *
     * @param lock the leader's lock, which all callers hold
     */
    public TaskLifecycle(
            Object lock,
            EventLoop loop,
            RecordWriter recordWriter,
            MachineRegistry machineRegistry,
            JobTracker jobTracker,
            RuntimeListener runtimeListener,
            CommandSender commandSender) {
        this.loop = loop;
        this.recordWriter = recordWriter;
        this.machineRegistry = machineRegistry;
        this.jobTracker = jobTracker;
        this.runtimeListener = runtimeListener;
        this.stopQueue =
                new TaskStopQueue(
                        lock,
                        loop,
                        recordWriter,
                        machineRegistry,
                        commandSender,
                        this::removeUncommitted);
    }

    @Override
    public void onTaskExited(
            Machine machine, Placement placement, ExitReason exitReason, MonotonicTime now) {
        Job job = placement.job();
        int task = placement.taskId().index();
        if (exitReason == ExitReason.DONE) {
            completeTask(placement, now);
        } else if (!placement.isStopping() && !job.isCancelled()) {
            LOG.info(
                    "task exited task={} attempt={} machine={} reason={}",
                    placement.taskId(),
                    placement.attemptNumber(),
                    machine.id(),
                    exitReason);
            if (exitReason == ExitReason.ERROR
                    || exitReason == ExitReason.UNKNOWN
                    || exitReason == ExitReason.NO_ROOM) {
                onTaskFailed(machine, job, exitReason, now);
            }
        }
        jobTracker.recordAttemptEnd(
                placement,
                exitReason == ExitReason.STOPPED
                        ? SecondaryRecord.PREEMPTED_REASON
                        : exitReason.name());
        long change = removePlacement(machine, placement, now, true);
        machine.unpersistedExits()
                .put(
                        placement.taskId(),
                        new Machine.UnpersistedExit(
                                placement.attemptNumber(), job.shardOfTask(task), change));
        if (job.isComplete()) {
            recordWriter.markEndPending(job);
        }
    }

    private void completeTask(Placement placement, MonotonicTime now) {
        Job job = placement.job();
        job.resetFailures();
        if (placement.runningSince() != null) {
            runtimeListener.recordRuntime(job.spec(), now.secondsSince(placement.runningSince()));
        }
        if (job.spec().kind() == JobKind.GANG) {
            // The tasks of a gang complete together, so one that is done completes all of them.
            job.markAllTasksComplete();
        } else {
            job.markTaskComplete(placement.taskId().index());
        }
    }

    private void onTaskFailed(Machine machine, Job job, ExitReason exitReason, MonotonicTime now) {
        int failures = job.recordTaskFailure(machine.id());
        if (failures >= FAILURES_BEFORE_BACKOFF) {
            int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, failures - FAILURES_BEFORE_BACKOFF);
            int backoffSeconds = Math.min(MAX_BACKOFF_SECONDS, 1 << doublings);
            job.backoffUntil(now.plus(Duration.ofSeconds(backoffSeconds)));
        } else if (exitReason == ExitReason.ERROR) {
            machineRegistry.recordTaskFailure(machine);
        }
    }

    @Override
    public void markTaskLost(
            Machine machine, Placement placement, String reason, MonotonicTime now) {
        LOG.info(
                "task lost task={} attempt={} machine={} reason={}",
                placement.taskId(),
                placement.attemptNumber(),
                placement.machineId(),
                reason);
        if (machine != null) {
            machine.recordLostTasks(1);
        }
        boolean isMachinePreempted = machine != null && machine.preemptionDeadline() != null;
        jobTracker.recordAttemptEnd(
                placement,
                isMachinePreempted
                        ? SecondaryRecord.PREEMPTED_REASON
                        : SecondaryRecord.LOST_REASON);
        // A gang that has not started keeps its attempt and waits for a replacement of this task.
        removePlacement(
                machine,
                placement,
                now,
                placement.job().hasAttemptStarted() || placement.runningSince() != null);
    }

    @Override
    public void onTaskRunning(Placement placement) {
        Job job = placement.job();
        if (jobTracker.onTaskRunning(placement)) {
            TaskShard taskShard = job.shardOfTask(placement.taskId().index());
            taskShard.recordChange();
            recordWriter.markDirty(taskShard);
        }
        if (job.spec().kind() == JobKind.GANG
                && !placement.isStopping()
                && job.pendingTaskCount() > 0) {
            // Other tasks of the gang were lost before this leader learned that the gang had
            // started, so the attempt cannot be completed. Without this stop the task would keep
            // its machine, and the gang would wait forever.
            stopRestOfGang(job, new TaskId(job.id(), job.nextPendingTask(0)));
        }
    }

    @Override
    public long removePlacement(
            Machine machine, Placement placement, MonotonicTime now, boolean endsAttempt) {
        if (machine != null) {
            machine.placements().remove(placement);
        }
        Job job = placement.job();
        long change = job.removePlacement(placement);
        job.pendingSince(now);
        recordWriter.markDirty(job.shardOfTask(placement.taskId().index()));
        if (endsAttempt && job.spec().kind() == JobKind.GANG && !job.isComplete()) {
            stopRestOfGang(job, placement.taskId());
        }
        if ((job.isCancelled() || job.hasExhaustedAttempts()) && job.placements().isEmpty()) {
            recordWriter.markEndPending(job);
        }
        return change;
    }

    /**
     * Ends the attempt of a gang that has waited longer than {@code timeout} for a missing task, so
     * that it does not keep its machines.
     */
    public void abandonIncompleteGang(Job job, Duration timeout, MonotonicTime now) {
        if (job.spec().kind() == JobKind.GANG
                && now.elapsedSince(job.pendingSince()).compareTo(timeout) > 0) {
            stopRestOfGang(job, new TaskId(job.id(), job.nextPendingTask(0)));
        }
    }

    private void stopRestOfGang(Job gang, TaskId lost) {
        if (gang.stoppingTaskCount() == gang.placements().size()) {
            return;
        }
        List<Placement> rest = new ArrayList<>();
        for (Placement other : gang.placements()) {
            if (!other.isStopping()) {
                rest.add(other);
            }
        }
        stopQueue.stop(rest, 0, "the gang is incomplete without task " + lost);
    }

    @Override
    public void stopAllTasks(Job job, double graceSeconds, String reason) {
        stopQueue.stop(List.copyOf(job.placements()), graceSeconds, reason);
        if (job.placements().isEmpty()) {
            recordWriter.markEndPending(job);
            recordWriter.flush();
        }
    }

    @Override
    public void stopWithCheckpoint(Placement placement, String reason) {
        Job job = placement.job();
        // A gang saves its checkpoint only if all its tasks are stopped together.
        List<Placement> together =
                job.spec().kind() == JobKind.GANG
                        ? List.copyOf(job.placements())
                        : List.of(placement);
        stopQueue.stop(together, job.spec().checkpointDurationSeconds(), reason);
    }

    private void removeUncommitted(Placement placement) {
        removePlacement(machineRegistry.find(placement.machineId()), placement, loop.now(), true);
    }
}
