package org.meadowhollow.coordination.lifecycle;

import java.util.Map;
import java.util.Optional;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.metrics.FairnessMetrics;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.storage.RecordDigests;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the live jobs of one leadership: their admission and end, their fairness metrics, the
 * attempt history in their secondary records, and their status for display. Owns the fairness
 * metrics. Writes no records: callers mark a changed record in the record writer. Guarded by the
 * leader's lock.
 */
public final class JobTracker {
    private static final Logger LOG = LoggerFactory.getLogger(JobTracker.class);
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final Map<JobId, Job> jobs;
    private final FairnessMetrics fairnessMetrics = new FairnessMetrics();

    /** Creates a tracker of the jobs of {@code clusterState}. */
    public JobTracker(EventLoop loop, ClusterState clusterState) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.jobs = clusterState.jobs();
    }

    /** Counts a job that was admitted on a user's request or restored from the records. */
    public void onJobAdmitted(Job job) {
        fairnessMetrics.onJobAdmitted(job.spec());
    }

    /** Removes a job whose final record is written. */
    public void onJobEndPersisted(Job job) {
        jobs.remove(job.id());
        fairnessMetrics.onJobEnded(job.spec(), job.isCancelled(), secondsSinceAcceptance(job));
        LOG.info("job ended job={} outcome={}", job.id(), job.isCancelled() ? "cancelled" : "done");
    }

    /**
     * Counts a task that a worker reports as running.
     *
     * @return whether the job's secondary record has changed and is to be written
     */
    public boolean onTaskRunning(Placement placement) {
        fairnessMetrics.onTaskRunning(placement.job().spec());
        SecondaryRecord secondaryRecord = placement.job().secondaryRecord();
        return secondaryRecord != null
                && secondaryRecord.recordStart(placement.attemptNumber(), loop.wallClockMillis());
    }

    /**
     * Records the end of an attempt in the job's secondary record, if the job has one. Clients of
     * an interface other than the native one read that record.
     */
    public void recordAttemptEnd(Placement placement, String reason) {
        SecondaryRecord secondaryRecord = placement.job().secondaryRecord();
        if (secondaryRecord != null) {
            secondaryRecord.recordAttemptEnd(
                    placement.attemptNumber(), reason, loop.wallClockMillis());
        }
    }

    /** Logs the fairness metrics when they are due. */
    public void reportMetricsIfDue(MonotonicTime now) {
        fairnessMetrics
                .reportIfDue(
                        jobs.values(),
                        now,
                        loop.wallClockMillis(),
                        job -> clusterState.describePendingReason(job, now))
                .forEach(LOG::info);
    }

    /** Seconds of wall-clock time since a job was accepted. */
    public double secondsSinceAcceptance(Job job) {
        return (loop.wallClockMillis() - job.acceptedAtMillis()) / MILLIS_PER_SECOND;
    }

    /** The digests of the records of all live jobs. */
    public RecordDigests recordDigests() {
        RecordDigests recordDigests = new RecordDigests();
        jobs.values().forEach(job -> recordDigests.addRecordsOf(job));
        return recordDigests;
    }

    /** The status of a live job for display; empty if this leader does not know the job. */
    public Optional<AdmissionService.JobStatus> liveJobStatus(JobId id) {
        return Optional.ofNullable(jobs.get(id)).map(JobTracker::statusOf);
    }

    private static AdmissionService.JobStatus statusOf(Job job) {
        int running = job.runningTaskCount();
        return new AdmissionService.JobStatus(
                job.id(),
                running > 0 ? AdmissionService.Phase.RUNNING : AdmissionService.Phase.QUEUED,
                job.completedTaskCount(),
                running);
    }
}
