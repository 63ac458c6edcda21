package org.meadowhollow.protocol.jobs;

import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

/** Encodes the status of a job with the field names and values of the user API. Stateless. */
final class JobStatusCodec {
    private static final String JOB_ID = "ref";
    private static final String PHASE = "phase";
    private static final String DONE_TASKS = "done";
    private static final String RUNNING_TASKS = "running";

    private static final String PHASE_QUEUED = "pending";
    private static final String PHASE_RUNNING = "running";
    private static final String PHASE_DONE = "done";
    private static final String PHASE_CANCELLED = "aborted";

    private JobStatusCodec() {}

    static byte[] encode(AdmissionService.JobStatus status) {
        return MessagePackCodec.encode(
                MessageReader.mapOf(
                        JOB_ID,
                        status.id().value(),
                        PHASE,
                        encodePhase(status),
                        DONE_TASKS,
                        (long) status.completedTasks(),
                        RUNNING_TASKS,
                        (long) status.runningTasks()));
    }

    private static String encodePhase(AdmissionService.JobStatus status) {
        return switch (status.phase()) {
            case QUEUED -> PHASE_QUEUED;
            case RUNNING -> PHASE_RUNNING;
            case DONE -> PHASE_DONE;
            case CANCELLED -> PHASE_CANCELLED;
        };
    }
}
