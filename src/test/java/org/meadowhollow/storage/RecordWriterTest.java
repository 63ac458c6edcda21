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
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;

/**
 * In which order a leader's records are written when there are more than the state service takes.
 */
class RecordWriterTest {
    private static final int MOST_WRITES = 12;

    private record Sent(
            Transaction transaction,
            RequestPriority urgency,
            CompletableFuture<KeyValueStore.CommitResult> answer) {
        boolean writes(String prefix) {
            return transaction.writes().keySet().stream().anyMatch(key -> key.startsWith(prefix));
        }
    }

    private final List<Sent> sent = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final KeyValueStore store =
            (KeyValueStore)
                    Proxy.newProxyInstance(
                            KeyValueStore.class.getClassLoader(),
                            new Class<?>[] {KeyValueStore.class},
                            (proxy, method, arguments) -> {
                                assertEquals("commit", method.getName());
                                sent.add(
                                        new Sent(
                                                (Transaction) arguments[0],
                                                (RequestPriority) arguments[1],
                                                new CompletableFuture<>()));
                                return sent.get(sent.size() - 1).answer();
                            });
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
                public void schedule(Duration pause, Runnable work) {
                    timers.add(work);
                }
            };
    private final RecordWriter recordWriter =
            new RecordWriter(
                    store,
                    loop,
                    MOST_WRITES,
                    new Revision(1),
                    JobEventListeners.NONE,
                    new RecordWriter.Listener() {
                        @Override
                        public void onJobEndPersisted(Job job) {}

                        @Override
                        public void onTasksPersisted(Job job) {}

                        @Override
                        public void onConcurrentJobChange(JobId id) {}

                        @Override
                        public void onLeadershipLost() {}
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

    private void starts(int first, int count, Priority priority) {
        for (int number = first; number < first + count; number++) {
            recordWriter.markDirty(job(number, priority).shardOfTask(0));
        }
    }

    /** Hundreds of small jobs that ended together held up every start for a minute. */
    @Test
    void startsDoNotWaitBehindTheEndsOfOtherJobs() {
        for (int number = 0; number < 50; number++) {
            recordWriter.endPending(job(number, Priority.NORMAL));
        }
        starts(100, 3, Priority.NORMAL);
        recordWriter.flush();
        assertTrue(sent.get(0).writes("task/req-000100") && sent.get(0).writes("ended/"));
    }

    /**
     * A guest's swarm stood before the records of everybody else, and before users' submissions.
     */
    @Test
    void recordsOfTheLowestPriorityGoBehindAllOthers() {
        starts(0, 30, Priority.LOW);
        starts(100, 5, Priority.NORMAL);
        recordWriter.flush();
        assertEquals(RequestPriority.PLACEMENT, sent.get(0).urgency());
        assertEquals(5, sent.get(0).transaction().writes().size());
        assertEquals(RequestPriority.BACKGROUND, sent.get(1).urgency());
        assertEquals(MOST_WRITES, sent.get(1).transaction().writes().size());
    }

    /** A large transaction finds no room in a budget that others use up one by one. */
    @Test
    void aRefusedTransactionComesAgainInSmallerOnes() {
        starts(0, 40, Priority.NORMAL);
        recordWriter.flush();
        sent.get(0)
                .answer()
                .completeExceptionally(
                        new KeyValueStoreException(Outcome.REJECTED, "answered 429"));
        timers.forEach(Runnable::run);
        assertEquals(MOST_WRITES / 2, sent.get(2).transaction().writes().size());
        sent.get(2)
                .answer()
                .complete(new KeyValueStore.CommitResult(true, new Revision(5), List.of()));
        assertEquals(MOST_WRITES / 2 + 1, sent.get(3).transaction().writes().size());
    }

    /**
     * In a crowd of one-task jobs what was left of the ended ones took a fifth of the changes that
     * users waited for.
     */
    @Test
    void whatIsOnlyClearedAwayGoesBehindWhatIsWaitedFor() {
        for (int number = 0; number < 12; number++) {
            recordWriter.addObsoleteKey("task/req-%06d/0".formatted(number));
        }
        starts(100, 3, Priority.NORMAL);
        recordWriter.flush();
        assertEquals(RequestPriority.PLACEMENT, sent.get(0).urgency());
        assertEquals(3, sent.get(0).transaction().writes().size(), "starts alone");
        assertEquals(1, sent.size());
        sent.get(0)
                .answer()
                .complete(new KeyValueStore.CommitResult(true, new Revision(5), List.of()));
        assertEquals(RequestPriority.BACKGROUND, sent.get(1).urgency());
        assertEquals(
                12, sent.get(1).transaction().writes().size(), "and the rest behind users' calls");
    }

    /**
     * Cleared away before it, or with a transaction that failed: a successor ran done tasks again,
     * or the records stayed.
     */
    @Test
    void whatIsLeftOfAJobIsClearedAwayOnceItsEndIsWrittenAndNotLost() {
        List<Job> ends = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            Job job = job(number, Priority.NORMAL);
            ends.add(job);
            recordWriter.markDirty(job.shardOfTask(0));
        }
        recordWriter.flush();
        sent.get(0)
                .answer()
                .complete(new KeyValueStore.CommitResult(true, new Revision(5), List.of()));
        ends.forEach(recordWriter::endPending);
        recordWriter.flush();
        for (int at = 1; at < 3; at++) {
            sent.get(at)
                    .answer()
                    .completeExceptionally(
                            new KeyValueStoreException(Outcome.REJECTED, "answered 429"));
        }
        assertEquals(3, sent.size(), "nothing is cleared away while no end is written");
        // As the answers come, everything goes through, but for every third transaction.
        for (int at = 3, round = 0; round < 40; round++) {
            List.copyOf(timers).forEach(Runnable::run);
            for (; at < sent.size(); at++) {
                if (at % 3 == 0) {
                    sent.get(at)
                            .answer()
                            .completeExceptionally(
                                    new KeyValueStoreException(Outcome.REJECTED, "answered 429"));
                } else {
                    sent.get(at)
                            .answer()
                            .complete(
                                    new KeyValueStore.CommitResult(
                                            true, new Revision(6 + at), List.of()));
                }
            }
        }
        for (int number = 0; number < 6; number++) {
            String name = "req-%06d".formatted(number);
            assertTrue(applied("ended/" + name) >= 0, name);
            assertTrue(
                    applied("task/" + name + "/0") >= applied("ended/" + name),
                    name + " is cleared away, and not before its end");
        }
    }

    /** The last transaction that was applied and wrote a key; -1 if none. */
    private int applied(String key) {
        for (int at = sent.size() - 1; at >= 0; at--) {
            if (sent.get(at).writes(key)
                    && sent.get(at).answer().isDone()
                    && !sent.get(at).answer().isCompletedExceptionally()) {
                return at;
            }
        }
        return -1;
    }
}
