package org.meadowhollow.coordination.recovery;

import java.util.Collection;
import java.util.List;
import org.meadowhollow.coordination.lifecycle.ImageCacheRecorder;
import org.meadowhollow.coordination.lifecycle.TaskStopper;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.Placement;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordWriter;
import org.meadowhollow.storage.TaskShardCodec;

/**
 * Restores the leader's state in memory from the records of each kind. Jobs must be restored before
 * their task shards. Guarded by the leader's lock.
 */
public final class RecordRestorer {
    private final EventLoop loop;
    private final ClusterState clusterState;
    private final RecordWriter recordWriter;
    private final ImageCacheRecorder imageCacheRecorder;
    private final JobRecordApplier jobRecordApplier;
    private final TaskStopper taskStopper;

    /** Creates a restorer into {@code clusterState}. */
    public RecordRestorer(
            EventLoop loop,
            ClusterState clusterState,
            RecordWriter recordWriter,
            ImageCacheRecorder imageCacheRecorder,
            JobRecordApplier jobRecordApplier,
            TaskStopper taskStopper) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.recordWriter = recordWriter;
        this.imageCacheRecorder = imageCacheRecorder;
        this.jobRecordApplier = jobRecordApplier;
        this.taskStopper = taskStopper;
    }

    void restoreJobs(Collection<KeyValueStore.Entry> entries) {
        entries.forEach(
                entry -> jobRecordApplier.apply(entry.key(), entry.value(), entry.revision()));
    }

    /** Restores task shards; those of jobs that have ended are marked to be deleted. */
    void restoreTasks(Collection<KeyValueStore.Entry> entries) {
        for (KeyValueStore.Entry entry : entries) {
            if (!TaskShardCodec.restore(entry, clusterState.jobs(), loop.now())) {
                recordWriter.addObsoleteKey(entry.key());
            }
        }
    }

    void restoreImageCaches(List<KeyValueStore.Entry> entries) {
        imageCacheRecorder.restore(entries, loop.now());
        clusterState.machines().values().forEach(imageCacheRecorder::onMachineRegistered);
    }

    /**
     * Assigns the restored placements to their machines, and completes what a predecessor left
     * unfinished: stops the tasks of cancelled jobs and ends jobs that are complete.
     *
     * @return the number of restored placements
     */
    int finishRestoration() {
        int placementCount = 0;
        for (Job job : clusterState.jobs().values()) {
            recordWriter.markRestored(job);
            for (Placement placement : job.placements()) {
                clusterState.restorePlacement(placement);
                placementCount++;
            }
            if (job.isCancelled()) {
                taskStopper.stopAllTasks(job, 0, StateRecovery.CANCELLED_BY_USER);
            } else if (job.isComplete()) {
                // The predecessor recorded the end of the last attempt, but not the end of the job.
                recordWriter.markEndPending(job);
            }
        }
        jobRecordApplier.onRecoveryComplete();
        return placementCount;
    }

    int jobCount() {
        return clusterState.jobs().size();
    }
}
