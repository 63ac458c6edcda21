package org.meadowhollow.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker's status message: a request that the worker sends, or its response to a direct command.
 *
 * @param origin whether the worker sent it as a request or as a response
 * @param address the network address of the worker
 * @param sequenceNumber a number that increases with each heartbeat of an incarnation, from 0 to
 *     2^64 - 1, as the bits of a long
 * @param fencingToken the highest fencing token that the worker has accepted
 * @param preemptionNoticeSeconds the seconds until the cloud reclaims the machine, or NaN if it
 *     gave no notice
 * @param tasks the status of every task on the machine, running or exited
 */
public record Heartbeat(
        Origin origin,
        MachineId machineId,
        String address,
        String machineType,
        String zone,
        boolean isSpot,
        WorkerIncarnation incarnation,
        long sequenceNumber,
        FencingToken fencingToken,
        double preemptionNoticeSeconds,
        List<TaskStatus> tasks) {

    /** How a worker came to send a heartbeat, which decides what its sequence number proves. */
    public enum Origin {
        /**
         * A request of the worker. A worker has one request in flight at a time, so it has executed
         * or dropped the responses to all requests with a lower sequence number.
         */
        REQUEST,

        /**
         * The response to a direct command. It takes a sequence number of its own while a request
         * may be in flight, so it proves nothing about the responses to earlier requests.
         */
        COMMAND_RESPONSE
    }

    /**
     * The status of a task on the machine.
     *
     * @param exitReason the reason for the exit, or null while the task has not exited
     */
    public record TaskStatus(
            TaskId taskId, AttemptNumber attemptNumber, TaskState state, ExitReason exitReason) {}

    /** The status of each listed task. */
    public Map<TaskId, TaskStatus> statusByTask() {
        Map<TaskId, TaskStatus> listedTasks = new HashMap<>();
        tasks.forEach(status -> listedTasks.put(status.taskId(), status));
        return listedTasks;
    }

    /** Whether the sequence number is higher than another one of the same incarnation. */
    public boolean hasNumberAfter(long otherSequenceNumber) {
        return Long.compareUnsigned(sequenceNumber, otherSequenceNumber) > 0;
    }

    /** Whether the worker sent this heartbeat after the one with the given numbers. */
    public boolean isNewerThan(WorkerIncarnation otherIncarnation, long otherSequenceNumber) {
        return incarnation.isAfter(otherIncarnation)
                || (incarnation.equals(otherIncarnation) && hasNumberAfter(otherSequenceNumber));
    }
}
