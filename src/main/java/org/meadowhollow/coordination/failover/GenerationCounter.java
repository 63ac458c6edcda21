package org.meadowhollow.coordination.failover;

import java.time.Duration;
import org.meadowhollow.model.EventLoop;

/** Numbers what is begun anew, so that timers and answers of what came before are not heeded. */
final class GenerationCounter {
    private final EventLoop loop;
    private int current;

    GenerationCounter(EventLoop loop) {
        this.loop = loop;
    }

    /** Ends what runs; the number of what begins. */
    synchronized int startNext() {
        return ++current;
    }

    synchronized boolean isCurrent(int life) {
        return life == current;
    }

    /** Does some work of a life after a pause, unless another has begun by then. */
    void runLater(Duration pause, int life, Runnable work) {
        loop.schedule(
                pause,
                () -> {
                    if (isCurrent(life)) {
                        work.run();
                    }
                });
    }
}
