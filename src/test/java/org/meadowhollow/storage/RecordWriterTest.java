package org.meadowhollow.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskShard;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * Tests the order in which a leader's records are written when there are more than the key-value
 * store accepts at once.
 */
class RecordWriterTest {
    private static final int MAX_WRITES = 12;

    private record SentTransaction(
            Transaction transaction,
            RequestPriority priority,
            CompletableFuture<KeyValueStore.CommitResult> result) {
        boolean writes(String prefix) {
            return transaction.writes().keySet().stream().anyMatch(key -> key.startsWith(prefix));
        }
    }

    private final List<SentTransaction> sent = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final KeyValueStore store =
            (KeyValueStore)
                    Proxy.newProxyInstance(
                            KeyValueStore.class.getClassLoader(),
                            new Class<?>[] {KeyValueStore.class},
                            (proxy, method, arguments) -> {
                                assertEquals("commit", method.getName());
                                sent.add(
                                        new SentTransaction(
                                                (Transaction) arguments[0],
                                                (RequestPriority) arguments[1],
                                                new CompletableFuture<>()));
                                return sent.get(sent.size() - 1).result();
                            });
    private boolean listenerThrows;
    private int leadershipsEnded;
    private final EventLoop loop =
            new EventLoop() {
                @Override
                public MonotonicTime now() {
                    return new MonotonicTime(0);
                }

                @Override
                public long wallClockMillis() {
                    return 0;
                }

                @Override
                public void schedule(Duration delay, Runnable task) {
                    timers.add(task);
                }

                @Override
                public boolean runRepeating(RepeatingStep step, Runnable body) {
                    try {
                        body.run();
                        return true;
                    } catch (IllegalStateException faultOfTheTest) {
                        return false;
                    }
                }
            };
    private final RecordWriter recordWriter =
            new RecordWriter(
                    store,
                    loop,
                    MAX_WRITES,
                    new Revision(1),
                    JobEventListeners.NONE,
                    new RecordWriter.Listener() {
                        @Override
                        public void onJobEndPersisted(Job job) {}

                        @Override
                        public void onTasksPersisted(Job job, List<TaskShard> shards) {
                            if (listenerThrows) {
                                throw new IllegalStateException("fault of the test");
                            }
                        }

                        @Override
                        public void onConcurrentJobChange(JobId id) {}

                        @Override
                        public void onLeadershipLost() {
                            leadershipsEnded++;
                        }
                    });

    private static Job job(int number, Priority priority) {
        JobSpec spec =
                new JobSpec(
                        new JobId("req-%06d".formatted(number)),
                        "class",
                        "team",
                        JobKind.ARRAY,
                        priority,
                        1,
                        Resources.of(1, 1, 1),
                        null,
                        null,
                        false,
                        false,
                        false,
                        "image",
                        1,
                        1,
                        0,
                        0,
                        Double.NaN);
        Job job = new Job(spec, 0, 100, new Revision(1));
        job.addPlacement(
                0,
                job.nextAttemptNumber(0),
                new MachineId("vm-000001"),
                new WorkerIncarnation(1),
                new MonotonicTime(0));
        return job;
    }

    private void markPlacementsDirty(int first, int count, Priority priority) {
        for (int number = first; number < first + count; number++) {
            recordWriter.markDirty(job(number, priority).shardOfTask(0));
        }
    }

    /** Guards against a leader that goes on after the result of a transaction half applied. */
    @Test
    void leadershipEndsIfAResultCannotBeApplied() {
        markPlacementsDirty(0, 1, Priority.NORMAL);
        recordWriter.flush();
        listenerThrows = true;
        sent.get(0)
                .result()
                .complete(new KeyValueStore.CommitResult(true, new Revision(2), List.of()));

        assertEquals(1, leadershipsEnded);
        assertTrue(recordWriter.isClosed());
    }

    /** Guards against a late result that ends a later leadership of the same node. */
    @Test
    void lateResultThatCannotBeAppliedEndsNoLaterLeadership() {
        markPlacementsDirty(0, 1, Priority.NORMAL);
        recordWriter.flush();
        recordWriter.close();
        listenerThrows = true;
        sent.get(0)
                .result()
                .complete(new KeyValueStore.CommitResult(true, new Revision(2), List.of()));

        assertEquals(0, leadershipsEnded);
    }

    /**
     * If job ends were written first, hundreds of small jobs that end together would delay every
     * start for a minute.
     */
    @Test
    void placementsShareTransactionWithJobEnds() {
        for (int number = 0; number < 50; number++) {
            recordWriter.markEndPending(job(number, Priority.NORMAL));
        }
        markPlacementsDirty(100, 3, Priority.NORMAL);
        recordWriter.flush();
        assertTrue(sent.get(0).writes("task/req-000100") && sent.get(0).writes("ended/"));
    }

    /**
     * Guards against the records of many best-effort jobs of one team being written before those of
     * all other jobs and before users' submissions.
     */
    @Test
    void lowestPriorityRecordsAreWrittenLast() {
        markPlacementsDirty(0, 30, Priority.LOW);
        markPlacementsDirty(100, 5, Priority.NORMAL);
        recordWriter.flush();
        assertEquals(RequestPriority.PLACEMENT, sent.get(0).priority());
        assertEquals(5, sent.get(0).transaction().writes().size());
        assertEquals(RequestPriority.BACKGROUND, sent.get(1).priority());
        assertEquals(MAX_WRITES, sent.get(1).transaction().writes().size());
    }

    /**
     * Guards against a large transaction being rejected again and again while other clients use up
     * the rate limit with small ones.
     */
    @Test
    void rejectedTransactionIsRetriedInSmallerBatches() {
        markPlacementsDirty(0, 40, Priority.NORMAL);
        recordWriter.flush();
        sent.get(0).result().completeExceptionally(new RequestRejectedException("answered 429"));
        timers.forEach(Runnable::run);
        assertEquals(MAX_WRITES / 2, sent.get(2).transaction().writes().size());
        sent.get(2)
                .result()
                .complete(new KeyValueStore.CommitResult(true, new Revision(5), List.of()));
        assertEquals(MAX_WRITES / 2 + 1, sent.get(3).transaction().writes().size());
    }

    /**
     * Guards against deletions delaying the changes that users wait for: in a surge of one-task
     * jobs, the deletions for ended jobs can take a fifth of the rate limit.
     */
    @Test
    void obsoleteRecordsAreDeletedLast() {
        for (int number = 0; number < 12; number++) {
            recordWriter.addObsoleteKey("task/req-%06d/0".formatted(number));
        }
        markPlacementsDirty(100, 3, Priority.NORMAL);
        recordWriter.flush();
        assertEquals(RequestPriority.PLACEMENT, sent.get(0).priority());
        assertEquals(
                3,
                sent.get(0).transaction().writes().size(),
                "the first transaction holds placements only");
        assertEquals(1, sent.size());
        sent.get(0)
                .result()
                .complete(new KeyValueStore.CommitResult(true, new Revision(5), List.of()));
        assertEquals(RequestPriority.BACKGROUND, sent.get(1).priority());
        assertEquals(
                12,
                sent.get(1).transaction().writes().size(),
                "all deletions are in a transaction of the lowest priority");
    }

    /**
     * Guards against two faults: if the shards were deleted before the end is persisted, the next
     * leader would run completed tasks again; if the deletions of a failed transaction were not
     * repeated, the shards would stay for ever.
     */
    @Test
    void shardsOfEndedJobAreDeletedAfterEndIsPersisted() {
        List<Job> endedJobs = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            Job job = job(number, Priority.NORMAL);
            endedJobs.add(job);
            recordWriter.markDirty(job.shardOfTask(0));
        }
        recordWriter.flush();
        sent.get(0)
                .result()
                .complete(new KeyValueStore.CommitResult(true, new Revision(5), List.of()));
        endedJobs.forEach(recordWriter::markEndPending);
        recordWriter.flush();
        for (int index = 1; index < 3; index++) {
            sent.get(index)
                    .result()
                    .completeExceptionally(new RequestRejectedException("answered 429"));
        }
        assertEquals(3, sent.size(), "nothing is deleted while no end is persisted");
        // From here on, every third transaction is rejected and all others are applied.
        for (int index = 3, round = 0; round < 40; round++) {
            List.copyOf(timers).forEach(Runnable::run);
            for (; index < sent.size(); index++) {
                if (index % 3 == 0) {
                    sent.get(index)
                            .result()
                            .completeExceptionally(new RequestRejectedException("answered 429"));
                } else {
                    sent.get(index)
                            .result()
                            .complete(
                                    new KeyValueStore.CommitResult(
                                            true, new Revision(6 + index), List.of()));
                }
            }
        }
        for (int number = 0; number < 6; number++) {
            String jobId = "req-%06d".formatted(number);
            assertTrue(lastAppliedWriteOf("ended/" + jobId) >= 0, jobId);
            assertTrue(
                    lastAppliedWriteOf("task/" + jobId + "/0")
                            >= lastAppliedWriteOf("ended/" + jobId),
                    jobId + ": the shard is deleted, and not before the end is persisted");
        }
    }

    /** The index of the last transaction that was applied and wrote a key, or -1. */
    private int lastAppliedWriteOf(String key) {
        for (int index = sent.size() - 1; index >= 0; index--) {
            if (sent.get(index).writes(key)
                    && sent.get(index).result().isDone()
                    && !sent.get(index).result().isCompletedExceptionally()) {
                return index;
            }
        }
        return -1;
    }
}
