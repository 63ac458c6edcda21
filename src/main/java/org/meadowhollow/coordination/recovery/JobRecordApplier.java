package org.meadowhollow.coordination.recovery;

import java.time.Duration;
import java.util.Map;
import org.meadowhollow.coordination.lifecycle.JobTracker;
import org.meadowhollow.coordination.lifecycle.TaskStopper;
import org.meadowhollow.coordination.scheduling.ArrivalForecast;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.coordination.scheduling.ServiceLevelObjectives;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.JobRecordCodec;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.RecordWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies records of live jobs to the leader's memory: admits new jobs, and cancels those that a
 * user cancelled. Guarded by the leader's lock.
 */
public final class JobRecordApplier {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordApplier.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1000;

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ServiceLevelObjectives objectives;
    private final ArrivalForecast arrivalForecast;
    private final RecordWriter recordWriter;
    private final JobTracker jobTracker;
    private final TaskStopper taskStopper;
    private boolean recoveryComplete;

    /** Creates an applier that admits jobs to {@code clusterState}. */
    public JobRecordApplier(
            EventLoop loop,
            ClusterState clusterState,
            ServiceLevelObjectives objectives,
            ArrivalForecast arrivalForecast,
            RecordWriter recordWriter,
            JobTracker jobTracker,
            TaskStopper taskStopper) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.objectives = objectives;
        this.arrivalForecast = arrivalForecast;
        this.recordWriter = recordWriter;
        this.jobTracker = jobTracker;
        this.taskStopper = taskStopper;
    }

    /**
     * Records that all records of earlier leaders are loaded, including those of tasks. A job whose
     * record arrives later and is already cancelled has no tasks to stop.
     */
    void onRecoveryComplete() {
        recoveryComplete = true;
    }

    /**
     * Applies one record of a job, unless it is no newer than the known one.
     *
     * @param record the fields of the record as stored
     * @param revision the revision of the change that wrote it
     */
    public void apply(String key, Map<String, Object> record, Revision revision) {
        JobId id = RecordKeys.jobIdOfKey(key);
        Job job = clusterState.jobs().get(id);
        MonotonicTime now = loop.now();
        if (job == null) {
            admit(JobRecordCodec.decode(id, record, revision, now), now);
            return;
        }
        if (!revision.isAfter(job.recordRevision())) {
            return;
        }
        job.recordRevision(revision);
        if (JobRecordCodec.isCancelled(record) && !job.isCancelled()) {
            job.cancel(now);
            taskStopper.stopAllTasks(job, 0, StateRecovery.CANCELLED_BY_USER);
        }
    }

    private void admit(Job job, MonotonicTime now) {
        job.pendingSince(now);
        clusterState.jobs().put(job.id(), job);
        objectives.recordJob(job.spec());
        jobTracker.onJobAdmitted(job);
        LOG.info(
                "job admitted job={} kind={} tasks={} estimated_runtime_s={} team={} class={} deadline_s={}",
                job.id(),
                job.spec().kind(),
                job.spec().taskCount(),
                job.spec().estimatedRuntimeSeconds(),
                job.spec().team(),
                job.spec().jobClass(),
                job.spec().deadlineSeconds());
        if (objectives.needsSpareMachines(job.spec())) {
            recordArrival(job, now);
        }
        if (job.isCancelled() && recoveryComplete) {
            // The job was admitted and cancelled between two watches: there is no task to stop, but
            // the job's end must still be written.
            recordWriter.markEndPending(job);
            recordWriter.flush();
        }
    }

    private void recordArrival(Job job, MonotonicTime now) {
        long ageMillis = Math.max(0, loop.wallClockMillis() - job.acceptedAtMillis());
        double startupSeconds = objectives.startupDelaySeconds(job.spec());
        arrivalForecast.recordArrival(
                job.spec(),
                new MonotonicTime(now.nanos() - ageMillis * NANOS_PER_MILLI),
                Duration.ofMillis((long) (startupSeconds * MILLIS_PER_SECOND)));
    }
}
