package org.meadowhollow.model;

/**
 * The steps that a process repeats for as long as it, or a leadership, lasts. {@link
 * RepeatingSteps} runs them; their failures are counted and logged under these names.
 */
public enum RepeatingStep {
    /** Reporting the event loop's longest pause and the failures of these steps. */
    EVENT_LOOP_REPORT,
    /** Reporting how many requests were refused as malformed. */
    REFUSAL_REPORT,
    /** Forgetting closed connections on which no request is in progress. */
    CONNECTION_SWEEP,
    /** Sending the queued requests to the key-value store. */
    STORE_DISPATCH,
    /** Measuring how late the node runs its timers. */
    LOAD_CHECK,
    /** Probing a key-value store that does not serve the node. */
    STORE_PROBE,
    /** Handling an event of the leader election, or performing one of its effects. */
    ELECTION,
    /** Loading the machine types. */
    MACHINE_TYPE_LOAD,
    /** Following the changes of jobs for the answers to users' polls. */
    JOB_STATUS_SYNC,
    /** Redirecting the workers that waited for a leader to be elected. */
    LEADERLESS_HEARTBEAT_SWEEP,
    /** Probing workers while no worker reaches the node. */
    WORKER_CONTACT_PROBE,
    /** A scheduling round of the leader. */
    SCHEDULING_ROUND,
    /** Checking whether a warm leader may run its first round. */
    WARM_START_CHECK,
    /** Answering the heartbeats that the leader has deferred. */
    HEARTBEAT_SWEEP,
    /** Watching the jobs for new ones and for cancellations. */
    JOB_WATCH,
    /** Reading a page of the records of earlier leaders, or of all jobs. */
    RECORD_READ,
    /** Restoring the records of earlier leaders from the standby's replicas. */
    REPLICA_RESTORE,
    /** Restoring the risk tables of earlier leaders. */
    RISK_TABLE_RESTORE,
    /** Writing changed records. */
    RECORD_WRITE,
    /** Deleting obsolete records. */
    RECORD_DELETION,
    /** Stopping tasks. */
    TASK_STOP,
    /** Polling the cloud's list of machines. */
    MACHINE_LIST_POLL,
    /** Following the calendar of reservations and maintenance windows. */
    CALENDAR_WATCH,
    /** Reading and following the records that a standby replicates. */
    STANDBY_FEED,
    /** Pulling the leader's risk tables into a standby. */
    RISK_TABLE_PULL,
    /** Comparing a standby's records with the leader's. */
    STANDBY_AUDIT
}
