package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.PriorityQueue;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;

/** An event loop with virtual time, which moves only when a test says so. Not thread-safe. */
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

    /** Moves the time of day on, and nothing else: timers are unaffected. */
    public void skip(Duration span) {
        wallAheadMillis += span.toMillis();
    }

    @Override
    public void schedule(Duration pause, Runnable work) {
        due.add(new Due(nanos + Math.max(0, pause.toNanos()), order++, work));
    }

    /** Runs all work that falls due within the span. */
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
