package org.meadowhollow.coordination.admission;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.model.JobId;

/**
 * Caches the states of finished jobs, which never change and are therefore returned without a read.
 * Thread-safe: guarded by its own monitor.
 */
final class FinalStatusCache {
    /** The maximum number of cached jobs; the job that was cached first is evicted first. */
    private static final int MAX_CACHED_JOBS = 4000;

    @GuardedBy("this")
    private final Map<JobId, AdmissionService.JobStatus> statuses =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<JobId, AdmissionService.JobStatus> eldest) {
                    return size() > MAX_CACHED_JOBS;
                }
            };

    /** The final state of a job; empty if it is not cached. */
    synchronized Optional<AdmissionService.JobStatus> find(JobId id) {
        return Optional.ofNullable(statuses.get(id));
    }

    /** Caches a job's final state. */
    synchronized void add(AdmissionService.JobStatus status) {
        statuses.put(status.id(), status);
    }
}
