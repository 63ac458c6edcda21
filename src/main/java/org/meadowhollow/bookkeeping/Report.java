package org.meadowhollow.bookkeeping;

import java.util.List;

/**
 * A worker's account of itself.
 *
 * @param noticeS seconds until the cloud takes the machine away, or NaN
 */
public record Report(
        MachineId machine,
        String address,
        String type,
        String zone,
        boolean spot,
        Session session,
        long seq,
        Term token,
        double noticeS,
        List<Task> tasks) {

    /** A task on the machine; {@code cause} is null until it has exited. */
    public record Task(TaskId id, Attempt attempt, TaskState state, Cause cause) {}

    public boolean isNewerThan(Session otherSession, long otherSeq) {
        return session.isAfter(otherSession) || session.equals(otherSession) && seq > otherSeq;
    }
}
