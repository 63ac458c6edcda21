package org.meadowhollow.model;

/** The steps that an event loop measures, so that a long pause can be traced to its cause. */
public enum EventLoopStep {
    /** A timer, apart from the steps within it. */
    TIMER,
    /** A request that this node received, apart from the steps within it. */
    REQUEST,
    /** The response to a request of this node, apart from the steps within it. */
    RESPONSE,
    /** Loading the records of earlier leaders. */
    RECOVERY,
    /** Evaluating which machines are out of contact. */
    FAILURE_DETECTION,
    /** Collecting the machines and pending jobs for a scheduling round. */
    SNAPSHOT,
    /** Choosing machines for the pending tasks of a scheduling round, and recording the choice. */
    PLACEMENT,
    /** Preempting tasks and collecting the capacity to rent for jobs that found none. */
    UNPLACED_JOBS,
    /** Planning which machines to rent. */
    SCALE_OUT,
    /** Selecting which machines to return. */
    SCALE_IN,
    /** Building transactions with changed records. */
    RECORD_WRITE
}
