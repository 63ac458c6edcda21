package org.meadowhollow.coordination.lifecycle;

import org.meadowhollow.model.Job;
import org.meadowhollow.model.Placement;

/** Stops tasks. Called with the leader's lock held. */
public interface TaskStopper {
    /**
     * Stops a task, or the whole gang to which it belongs, with enough time to save a checkpoint.
     */
    void stopWithCheckpoint(Placement placement, String reason);

    /**
     * Stops all tasks of a job. A job without tasks is ended.
     *
     * @param graceSeconds how long the tasks may take to save a checkpoint
     */
    void stopAllTasks(Job job, double graceSeconds, String reason);
}
