package org.meadowhollow.model;

import java.util.List;

/**
 * A worker's account of itself.
 *
 * @param preemptionNoticeSeconds seconds until the cloud takes the machine away, or NaN
 */
public record Heartbeat(
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

    /** A task on the machine; {@code cause} is null until it has exited. */
    public record TaskStatus(
            TaskId taskId, AttemptNumber attemptNumber, TaskState state, ExitReason exitReason) {}

    public boolean isNewerThan(WorkerIncarnation otherSession, long otherSeq) {
        return incarnation.isAfter(otherSession)
                || incarnation.equals(otherSession) && sequenceNumber > otherSeq;
    }
}
