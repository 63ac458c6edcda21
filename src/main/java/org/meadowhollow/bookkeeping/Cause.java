package org.meadowhollow.bookkeeping;

/** Why a task exited. */
public enum Cause {
    DONE,
    STOPPED,
    PEERS,
    ALONE,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN
}
