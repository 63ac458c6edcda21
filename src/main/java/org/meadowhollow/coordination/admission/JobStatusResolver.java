package org.meadowhollow.coordination.admission;

import java.util.Optional;
import org.meadowhollow.coordination.admission.AdmissionService.JobStatus;
import org.meadowhollow.coordination.admission.AdmissionService.LiveStatusSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobId;
import org.meadowhollow.storage.EndedJobCodec;

/**
 * Derives the state that users see from a job's record, with the task counts of a live job from a
 * {@link LiveStatusSource}, and caches final states. Thread-safe if the source is.
 */
final class JobStatusResolver {
    private final LiveStatusSource liveStatusSource;
    private final FinalStatusCache finalStatusCache = new FinalStatusCache();

    JobStatusResolver(LiveStatusSource liveStatusSource) {
        this.liveStatusSource = liveStatusSource;
    }

    /** The state of a finished job that was read before; empty if it is not cached. */
    Optional<JobStatus> cachedFinalStatus(JobId id) {
        return finalStatusCache.find(id);
    }

    /** Returns the state that a record shows, and caches it if it is final. */
    JobStatus toStatus(JobId id, JobRecordReader.StoredJob job) {
        if (!job.finished()) {
            return liveStatus(id, job.isCancelled());
        }
        Phase phase = job.isCancelled() ? Phase.CANCELLED : Phase.DONE;
        int completedTasks = EndedJobCodec.completedTaskCountOf(job.record());
        JobStatus status = new JobStatus(id, phase, completedTasks, 0);
        finalStatusCache.add(status);
        return status;
    }

    /**
     * The state of a job that has a live record. Only the record decides whether the job has
     * finished; the counts of the source are for display, so a source that already shows the job's
     * end is ignored.
     */
    JobStatus liveStatus(JobId id, boolean cancelled) {
        if (cancelled) {
            return new JobStatus(id, Phase.CANCELLED, 0, 0);
        }
        return liveStatusSource
                .statusOf(id)
                .filter(status -> status.phase() != Phase.DONE)
                .filter(status -> status.phase() != Phase.CANCELLED)
                .orElse(new JobStatus(id, Phase.QUEUED, 0, 0));
    }
}
