package org.meadowhollow.coordination.lifecycle;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.RecordWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the stops of tasks, a bounded number in one callback of the event loop: a job may
 * have a hundred thousand tasks, and each stop costs a log line and a command. All tasks are marked
 * as being stopped at once, so that none of them is started meanwhile. The first stops are carried
 * out at once as well. Commands to the same machine share a request. Guarded by the leader's lock.
 */
final class TaskStopQueue {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStopQueue.class);

    /** The maximum number of stops in one callback, and so of requests to workers. */
    static final int MAX_STOPS_PER_CALLBACK = 100;

    /**
     * The pause between two callbacks, in which workers answer, so that few connections are open.
     * Thousands of tasks of a gang are told within the time that the workers allow.
     */
    private static final Duration PAUSE = Duration.ofMillis(50);

    /**
     * A stop that was requested.
     *
     * @param isFirst whether the task was not being stopped before
     */
    private record RequestedStop(Placement placement, String reason, boolean isFirst) {}

    /** The receiver of a command. */
    private record Recipient(Machine machine, WorkerIncarnation incarnation) {}

    private final Object lock;
    private final EventLoop loop;
    private final RecordWriter recordWriter;
    private final MachineRegistry machineRegistry;
    private final CommandSender commandSender;

    /** Removes a placement that was never started, because its record was not written yet. */
    private final Consumer<Placement> uncommittedRemover;

    private final ArrayDeque<RequestedStop> queue = new ArrayDeque<>();
    private boolean isScheduled;
    private boolean isRunning;

    /**
     * Creates the queue of one leadership.
     *
     * @param lock the leader's lock, which callers of {@link #stop} hold
     */
    TaskStopQueue(
            Object lock,
            EventLoop loop,
            RecordWriter recordWriter,
            MachineRegistry machineRegistry,
            CommandSender commandSender,
            Consumer<Placement> uncommittedRemover) {
        this.lock = lock;
        this.loop = loop;
        this.recordWriter = recordWriter;
        this.machineRegistry = machineRegistry;
        this.commandSender = commandSender;
        this.uncommittedRemover = uncommittedRemover;
    }

    /**
     * Requests stops, and carries out the first ones.
     *
     * @param graceSeconds the time that each task has to save a checkpoint, in seconds
     * @param reason for the log
     */
    void stop(Collection<Placement> placements, double graceSeconds, String reason) {
        for (Placement placement : placements) {
            queue.add(new RequestedStop(placement, reason, !placement.isStopping()));
            placement.requestStop(graceSeconds);
        }
        if (!isScheduled && !isRunning) {
            runNext();
        }
    }

    private void runNext() {
        isRunning = true;
        loop.runRepeating(RepeatingStep.TASK_STOP, this::carryOutNext);
        isRunning = false;
        isScheduled = !queue.isEmpty();
        if (isScheduled) {
            loop.schedule(PAUSE, this::runScheduled);
        }
    }

    /** Carries out the next stops. A stop that throws an exception is not repeated here. */
    private void carryOutNext() {
        Map<Recipient, List<WorkerCommand.Direct>> commands = new LinkedHashMap<>();
        try {
            for (int count = 0; count < MAX_STOPS_PER_CALLBACK && !queue.isEmpty(); count++) {
                carryOut(queue.poll(), commands);
            }
        } finally {
            commands.forEach(
                    (recipient, stops) ->
                            commandSender.sendCommands(
                                    recipient.machine(), recipient.incarnation(), stops));
        }
    }

    private void runScheduled() {
        synchronized (lock) {
            isScheduled = false;
            if (recordWriter.isClosed()) {
                // The next leader decides which tasks are to be stopped.
                queue.clear();
                return;
            }
            // The next heartbeat or round flushes the records that this changes.
            runNext();
        }
    }

    private void carryOut(RequestedStop stop, Map<Recipient, List<WorkerCommand.Direct>> commands) {
        Placement placement = stop.placement();
        if (placement.job().placement(placement.taskId().index()) != placement) {
            // The task has ended in the meantime.
            return;
        }
        if (stop.isFirst()) {
            LOG.info(
                    "task stop requested task={} attempt={} machine={} reason={}",
                    placement.taskId(),
                    placement.attemptNumber(),
                    placement.machineId(),
                    stop.reason());
        }
        if (!placement.isPersisted()) {
            // The start of an uncommitted placement was never sent and cannot be, so there is no
            // exit to wait for.
            uncommittedRemover.accept(placement);
            return;
        }
        Machine machine = machineRegistry.find(placement.machineId());
        if (machine != null && machine.address() != null) {
            commands.computeIfAbsent(
                            new Recipient(machine, placement.incarnation()),
                            unused -> new ArrayList<>())
                    .add(
                            new WorkerCommand.Stop(
                                    placement.taskId(),
                                    placement.attemptNumber(),
                                    placement.graceSeconds()));
        }
    }
}
