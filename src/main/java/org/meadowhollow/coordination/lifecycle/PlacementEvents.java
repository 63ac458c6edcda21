package org.meadowhollow.coordination.lifecycle;

import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;

/** Receives the events of a placement's lifecycle. Called with the leader's lock held. */
public interface PlacementEvents {
    /** Handles a worker's report that the task is running; called again for each such heartbeat. */
    void onTaskRunning(Placement placement);

    /** Handles a worker's report of the task's final exit. */
    void onTaskExited(
            Machine machine, Placement placement, ExitReason exitReason, MonotonicTime now);

    /**
     * Handles a task that has certainly ended without having been stopped.
     *
     * @param machine the machine, or null if it was never observed
     */
    void markTaskLost(Machine machine, Placement placement, String reason, MonotonicTime now);

    /**
     * Removes a placement whose task has ended or can never start.
     *
     * @param machine the machine, or null if it was never observed
     * @param endsAttempt whether a gang's attempt ends with this task; the gang's other tasks must
     *     then end before its next attempt
     * @return the number of the change to the task's shard, by which the record writer can tell
     *     whether the removal is persisted
     */
    long removePlacement(
            Machine machine, Placement placement, MonotonicTime now, boolean endsAttempt);
}
