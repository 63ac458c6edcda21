package org.meadowhollow.model;

/**
 * How far a job has come that another interface than the native one accepted; each of those has its
 * own words for it.
 */
public enum JobPhase {
    /** Accepted, and on no machine. */
    QUEUED,
    /** Its place is committed; its image may be on the way. */
    PREPARING,
    RUNNING,
    /** To be cancelled, while something of it may be running. */
    CANCELING,
    DONE,
    CANCELLED,
    /** Out of attempts, the last of which ended by itself with an error. */
    FAILED,
    /** Out of attempts, the last of which was lost with its machine. */
    LOST,
    /** Out of attempts, the last of which was stopped for others or taken with its machine. */
    PREEMPTED
}
