package org.meadowhollow.coordination.lifecycle;

import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;

/** What can become of a placement. Called with the leader's lock held. */
public interface PlacementEvents {
    /** A worker has reported the task as running; called again with each such heartbeat. */
    void onTaskRunning(Placement placement);

    /** A worker has reported the final exit of the task. */
    void onTaskExited(
            Machine machine, Placement placement, ExitReason exitReason, MonotonicTime now);

    /**
     * The task has certainly ended without having been stopped.
     *
     * @param machine the machine, or null if it was never observed
     */
    void markTaskLost(Machine machine, Placement placement, String reason, MonotonicTime now);

    /**
     * Removes a placement whose task has ended or can never start.
     *
     * @param machine the machine, or null if it was never observed
     * @param endsAttempt whether a gang's attempt ends with this task; its other tasks must then
     *     have ended before the next attempt
     * @return the number of the change to the task's shard, from which the writer tells when the
     *     removal is persisted
     */
    long removePlacement(
            Machine machine, Placement placement, MonotonicTime now, boolean endsAttempt);
}
