package org.meadowhollow.model;

/** How the tasks of a job belong together. */
public enum JobKind {
    /** Independent tasks, each runs to completion. */
    ARRAY,
    /** All tasks run at the same time or none does. */
    GANG,
    /** Replicas that run until the job is cancelled. */
    SERVICE
}
