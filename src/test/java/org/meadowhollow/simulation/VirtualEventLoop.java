package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;

/**
 * An event loop with virtual time, which advances only when a test calls {@link #run}. Not
 * thread-safe.
 */
public final class VirtualEventLoop implements EventLoop {
    private record ScheduledTask(long dueNanos, long sequenceNumber, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private final StepTimes stepTimes = new StepTimes();
    private final StepFaults stepFaults = new StepFaults();
    private long nowNanos;
    private long wallClockOffsetMillis;
    private long nextSequenceNumber;

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(nowNanos);
    }

    @Override
    public long wallClockMillis() {
        return nowNanos / 1_000_000 + wallClockOffsetMillis;
    }

    /** Advances the wall clock alone; monotonic time and timers are unaffected. */
    public void advanceWallClock(Duration duration) {
        wallClockOffsetMillis += duration.toMillis();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        queue.add(
                new ScheduledTask(
                        nowNanos + Math.max(0, delay.toNanos()), nextSequenceNumber++, task));
    }

    @Override
    public boolean runRepeating(RepeatingStep step, Runnable body) {
        return stepFaults.run(step, body);
    }

    @Override
    public <T> T callStep(EventLoopStep step, Supplier<T> work) {
        return stepTimes.measure(step, work);
    }

    /** The processor times of the steps of all nodes. */
    StepTimes stepTimes() {
        return stepTimes;
    }

    /** The failures of the repeating steps of all nodes. */
    public StepFaults stepFaults() {
        return stepFaults;
    }

    /** Advances time by a span, and runs all work that becomes due within it. */
    public void run(Duration duration) {
        long endNanos = nowNanos + duration.toNanos();
        while (!queue.isEmpty() && queue.peek().dueNanos() <= endNanos) {
            ScheduledTask next = queue.poll();
            nowNanos = Math.max(nowNanos, next.dueNanos());
            next.task().run();
            stepFaults.throwDefect();
        }
        nowNanos = endNanos;
    }
}
