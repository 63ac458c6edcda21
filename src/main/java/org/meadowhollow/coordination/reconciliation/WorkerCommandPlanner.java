package org.meadowhollow.coordination.reconciliation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.lifecycle.PlacementEvents;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskState;
import org.meadowhollow.model.WorkerCommand;

/**
 * Determines the commands in the response to a worker's request: starts of placed tasks, stops of
 * unwanted ones, and the removal of exited ones. Removes placements that must not start and
 * provably cannot. Guarded by the leader's lock.
 */
public final class WorkerCommandPlanner {
    /**
     * Maximum number of commands in one response, which keeps it below the protocol's limit of 64
     * KiB.
     */
    private static final int MAX_COMMANDS = 400;

    private final PlacementEvents placementEvents;
    private final Leadership leadership;
    private final FencingToken fencingToken;

    /** Creates the planner of one leadership. */
    public WorkerCommandPlanner(
            PlacementEvents placementEvents, Leadership leadership, FencingToken fencingToken) {
        this.placementEvents = placementEvents;
        this.leadership = leadership;
        this.fencingToken = fencingToken;
    }

    /**
     * Returns the commands for the response to a heartbeat that {@link HeartbeatReconciler} has
     * applied.
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
        Map<TaskId, Heartbeat.TaskStatus> listedTasks = heartbeat.statusByTask();
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
        Placement placement = machine.placementOf(status);
        if (placement != null) {
            if (placement.isStopping()
                    && (status.state() != TaskState.CHECKPOINTING
                            || placement.graceSeconds() == 0)) {
                commands.add(
                        new WorkerCommand.Stop(
                                status.taskId(), status.attemptNumber(), placement.graceSeconds()));
            } else if (status.state() == TaskState.EXITED
                    && mayStart(placement, machine, heartbeat)) {
                // The task timed out waiting for its gang, whose image pulls continue. Its record
                // still stands, so the task may wait again.
                placement.recordStartSent(heartbeat.sequenceNumber());
                commands.add(new WorkerCommand.Forget(status.taskId(), status.attemptNumber()));
                commands.add(new WorkerCommand.Start(status.taskId(), status.attemptNumber()));
            }
        } else if (status.state() != TaskState.EXITED) {
            // No record names this task, so nothing else would ever stop it or account for it.
            commands.add(new WorkerCommand.Stop(status.taskId(), status.attemptNumber(), 0));
        } else if (!isExitUnpersisted(machine, status)) {
            commands.add(new WorkerCommand.Forget(status.taskId(), status.attemptNumber()));
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
            commands.add(new WorkerCommand.Start(placement.taskId(), placement.attemptNumber()));
        }
    }

    /**
     * Whether a placement that a heartbeat does not list can no longer start: no response that
     * contains its start can be executed any more.
     */
    private boolean canNeverStart(Placement placement, Machine machine, Heartbeat heartbeat) {
        return placement.isStartSettledBy(heartbeat, fencingToken)
                && machine.lastContactAt() != null;
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

    private static boolean isWholeGangCommitted(Placement placement) {
        return placement.job().spec().kind() != JobKind.GANG || placement.job().isWhollyCommitted();
    }
}
