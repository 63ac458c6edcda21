package org.meadowhollow.storage;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.TaskTracer;

/**
 * Publishes changes to the job event log and to the tracer once they are persisted, so that neither
 * ever shows a change of a failed transaction. Confined to the thread of its {@link RecordWriter}.
 */
final class PersistedChangePublisher {
    private final JobEventListeners listeners;

    PersistedChangePublisher(JobEventListeners listeners) {
        this.listeners = listeners;
    }

    boolean isEventLogEnabled() {
        return listeners.eventLog().isEnabled();
    }

    /** Marks the restored placements of a job as published: the previous leader published them. */
    void markRestored(Job job) {
        if (!isEventLogEnabled()) {
            return;
        }
        job.usedShards().forEach(TaskShard::markLocationsPersisted);
    }

    /** The attempts of a traced job that ended and are not traced yet; empty for other jobs. */
    static List<SecondaryRecord.EndedAttempt> untracedEndedAttempts(Job job) {
        return isTraced(job)
                ? job.secondaryRecord().untracedEndedAttempts(job.acceptedAtMillis())
                : List.of();
    }

    private static boolean isTraced(Job job) {
        return job.secondaryRecord() != null && tracedTaskOf(job) != null;
    }

    private static TaskTracer.TracedTask tracedTaskOf(Job job) {
        return job.secondaryRecord().tracedTask(job.id(), job.spec().team());
    }

    /** Publishes the changes of a shard whose record was persisted. */
    void publishShard(WriteBatch.ShardWrite shardWrite, Revision revision) {
        TaskShard shard = shardWrite.shard();
        if (shardWrite.locations() != null) {
            shard.logLocationChanges(listeners.eventLog(), revision, shardWrite.locations());
        }
        traceEndedAttempts(shard.job(), shardWrite.endedAttempts());
    }

    /** Publishes the end of a job after it was persisted. */
    void publishJobEnd(WriteBatch.JobEndWrite jobEnd, Revision revision) {
        Job job = jobEnd.job();
        if (isEventLogEnabled()) {
            for (TaskShard shard : job.usedShards()) {
                shard.logLocationChanges(listeners.eventLog(), revision, Map.of());
            }
        }
        listeners
                .eventLog()
                .logJobEvent(revision, JobEventLog.EventType.ENDED, job.id(), job.spec().team());
        traceJobEnd(job, jobEnd.endedAttempts(), jobEnd.endedAtMillis());
    }

    private void traceEndedAttempts(Job job, List<SecondaryRecord.EndedAttempt> endedAttempts) {
        if (isTraced(job)) {
            job.secondaryRecord().trace(listeners.tracer(), tracedTaskOf(job), endedAttempts);
        }
    }

    /**
     * Traces the last attempts of a job and then the job itself, if the job is traced.
     *
     * @param endedAtMillis when the job ended, in milliseconds of wall-clock time; no end is traced
     *     if it is 0
     */
    void traceJobEnd(
            Job job, List<SecondaryRecord.EndedAttempt> endedAttempts, long endedAtMillis) {
        traceEndedAttempts(job, endedAttempts);
        if (isTraced(job) && endedAtMillis > 0) {
            listeners
                    .tracer()
                    .onTaskEnded(
                            tracedTaskOf(job), job.phase(), job.acceptedAtMillis(), endedAtMillis);
        }
    }
}
