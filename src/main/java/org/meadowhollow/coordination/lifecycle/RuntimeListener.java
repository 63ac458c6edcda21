package org.meadowhollow.coordination.lifecycle;

import org.meadowhollow.model.JobSpec;

/** Receives the runtimes of completed tasks. Called with the leader's lock held. */
@FunctionalInterface
public interface RuntimeListener {
    /** Records how long a completed task of a job with this spec was running. */
    void recordRuntime(JobSpec spec, double seconds);
}
