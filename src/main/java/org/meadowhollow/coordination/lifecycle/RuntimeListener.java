package org.meadowhollow.coordination.lifecycle;

import org.meadowhollow.model.JobSpec;

/** Learns how long tasks ran. Called with the leader's lock held. */
@FunctionalInterface
public interface RuntimeListener {
    /** A task of a job with this spec was completed after running for some seconds. */
    void recordRuntime(JobSpec spec, double seconds);
}
