package org.meadowhollow.coordination.succession;

import java.time.Duration;
import org.meadowhollow.model.EventLoop;

/** Numbers what is begun anew, so that timers and answers of what came before are not heeded. */
final class Lives {
    private final EventLoop loop;
    private int last;

    Lives(EventLoop loop) {
        this.loop = loop;
    }

    /** Ends what runs; the number of what begins. */
    synchronized int next() {
        return ++last;
    }

    synchronized boolean isCurrent(int life) {
        return life == last;
    }

    /** Does some work of a life after a pause, unless another has begun by then. */
    void later(Duration pause, int life, Runnable work) {
        loop.schedule(
                pause,
                () -> {
                    if (isCurrent(life)) {
                        work.run();
                    }
                });
    }
}
