package org.meadowhollow.model;

/** Why a task exited. */
public enum ExitReason {
    DONE,
    STOPPED,
    PEERS,
    ALONE,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN
}
