package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.PriorityQueue;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;

/**
 * An event loop with virtual time, which advances only when a test calls {@link #run}. Not
 * thread-safe.
 */
public final class VirtualEventLoop implements EventLoop {
    private record Due(long at, long order, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long nanos;
    private long wallAheadMillis;
    private long order;

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(nanos);
    }

    @Override
    public long wallClockMillis() {
        return nanos / 1_000_000 + wallAheadMillis;
    }

    /** Advances the wall clock alone; monotonic time and timers are unaffected. */
    public void skip(Duration span) {
        wallAheadMillis += span.toMillis();
    }

    @Override
    public void schedule(Duration pause, Runnable work) {
        due.add(new Due(nanos + Math.max(0, pause.toNanos()), order++, work));
    }

    /** Advances time by a span, and runs all work that becomes due within it. */
    public void run(Duration span) {
        long end = nanos + span.toNanos();
        while (!due.isEmpty() && due.peek().at() <= end) {
            Due next = due.poll();
            nanos = Math.max(nanos, next.at());
            next.work().run();
        }
        nanos = end;
    }
}
