package org.meadowhollow.coordination.failover;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import org.meadowhollow.model.EventLoop;

/**
 * Numbers the generations of an activity that is restarted, so that timers and replies of an
 * earlier generation are ignored. Thread-safe, with a lock of its own.
 */
final class GenerationCounter {
    private final EventLoop loop;

    @GuardedBy("this")
    private int current;

    GenerationCounter(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Ends the current generation.
     *
     * @return the number of the next one
     */
    synchronized int startNext() {
        return ++current;
    }

    /** Whether a generation has not ended. */
    synchronized boolean isCurrent(int generation) {
        return generation == current;
    }

    /** Runs some work after a delay, unless its generation has ended by then. */
    void runLater(Duration delay, int generation, Runnable work) {
        loop.schedule(
                delay,
                () -> {
                    if (isCurrent(generation)) {
                        work.run();
                    }
                });
    }
}
