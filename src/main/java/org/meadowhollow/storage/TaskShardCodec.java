package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Encodes and decodes the record of a task shard: the highest attempt number issued, the completed
 * tasks as runs of adjacent tasks, and the placements whose tasks may be running. Field names and
 * the order of list items are part of the persisted format.
 */
public final class TaskShardCodec {
    private static final String HIGHEST_ATTEMPT = "last";

    /** A flat list with the first task and the length of each run. */
    private static final String COMPLETED_RUNS = "done";

    /** A list of lists, each with task, attempt number, machine and worker incarnation. */
    private static final String PLACEMENTS = "placed";

    /** The attempts of the job; only present if the job has a secondary record. */
    private static final String ATTEMPTS = "log";

    /** The largest size of one task's entry in a shard's record, in bytes. */
    private static final int MAX_TASK_ENTRY_BYTES = 64;

    /**
     * The largest number of tasks in a shard. The changes of one scheduling round to a job mostly
     * fit into one record of this size.
     */
    private static final int MAX_TASKS_PER_SHARD = 100;

    private TaskShardCodec() {}

    /**
     * The number of tasks in the shards of a new job.
     *
     * @param maxValueBytes the largest value that the key-value store accepts
     */
    public static int shardSizeFor(int maxValueBytes) {
        return Math.max(1, Math.min(MAX_TASKS_PER_SHARD, maxValueBytes / MAX_TASK_ENTRY_BYTES));
    }

    /** Encodes the current state of a shard. */
    static Map<String, Object> encode(TaskShard shard) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(HIGHEST_ATTEMPT, (long) shard.highestAttempt());
        fields.put(COMPLETED_RUNS, encodeCompletedRuns(shard));
        fields.put(PLACEMENTS, encodePlacements(shard));
        if (shard.job().secondaryRecord() != null) {
            fields.put(ATTEMPTS, shard.job().secondaryRecord().encodeAttempts());
        }
        return fields;
    }

    private static List<Object> encodeCompletedRuns(TaskShard shard) {
        List<Object> runs = new ArrayList<>();
        BitSet completed = shard.job().completedTasks();
        int end = shard.endTaskExclusive();
        int runStart = completed.nextSetBit(shard.firstTask());
        while (runStart >= 0 && runStart < end) {
            int runEnd = Math.min(end, completed.nextClearBit(runStart));
            runs.add((long) runStart);
            runs.add((long) runEnd - runStart);
            runStart = completed.nextSetBit(runEnd);
        }
        return runs;
    }

    private static List<Object> encodePlacements(TaskShard shard) {
        List<Object> placements = new ArrayList<>();
        for (int task = shard.firstTask(); task < shard.endTaskExclusive(); task++) {
            Placement placement = shard.job().placement(task);
            if (placement != null) {
                placements.add(
                        List.of(
                                (long) task,
                                placement.attemptNumber().value(),
                                placement.machineId().value(),
                                placement.incarnation().value()));
            }
        }
        return placements;
    }

    /**
     * Restores a shard from its record into the job that it belongs to.
     *
     * @param entry an entry under {@link RecordKeys#TASK_PREFIX}
     * @param jobs the live jobs
     * @param now the time at which the restored placements count as placed
     * @return false if the record belongs to no live job and can be deleted
     */
    public static boolean restore(
            KeyValueStore.Entry entry, Map<JobId, Job> jobs, MonotonicTime now) {
        // The path of a shard has the form of a task ID, with the shard's index instead of the
        // task's.
        TaskId path = TaskId.parse(RecordKeys.shardPathOfKey(entry.key()));
        Job job = path == null ? null : jobs.get(path.jobId());
        if (job == null || path.index() >= job.shardCount()) {
            return false;
        }
        Map<String, Object> fields = entry.value();
        TaskShard shard = job.shard(path.index());
        shard.adoptRevision(entry.revision());
        shard.recordAttempt(RecordFields.getInt(fields, HIGHEST_ATTEMPT));
        if (job.secondaryRecord() != null) {
            job.secondaryRecord().restoreAttempts(fields.get(ATTEMPTS));
        }
        restoreCompletedRuns(job, (List<?>) fields.get(COMPLETED_RUNS));
        restorePlacements(job, (List<?>) fields.get(PLACEMENTS), now);
        return true;
    }

    private static void restoreCompletedRuns(Job job, List<?> runs) {
        for (int index = 0; index < runs.size(); index += 2) {
            int firstTask = ((Number) runs.get(index)).intValue();
            int taskCount = ((Number) runs.get(index + 1)).intValue();
            job.restoreCompletedTasks(firstTask, taskCount);
        }
    }

    private static void restorePlacements(Job job, List<?> placements, MonotonicTime now) {
        for (Object item : placements) {
            List<?> placement = (List<?>) item;
            int task = ((Number) placement.get(0)).intValue();
            AttemptNumber attemptNumber = new AttemptNumber(((Number) placement.get(1)).intValue());
            MachineId machineId = new MachineId((String) placement.get(2));
            WorkerIncarnation incarnation =
                    new WorkerIncarnation(((Number) placement.get(3)).longValue());
            job.restorePlacement(task, attemptNumber, machineId, incarnation, now);
        }
    }
}
