package org.meadowhollow.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * One XNIO thread for all connections and timers. With a fraction of a core, more threads would
 * only add switches between them.
 */
public final class XnioEventLoop implements EventLoop, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private volatile boolean closed;

    public XnioEventLoop() throws IOException {
        worker =
                Xnio.getInstance(XnioEventLoop.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "meadowhollow")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, false)
                                        .getMap());
        ioThread = worker.getIoThread();
    }

    XnioWorker worker() {
        return worker;
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    /** Does some work on the loop's thread and waits for its result. */
    public <T> T callAndWait(Supplier<T> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        ioThread.execute(
                () -> {
                    try {
                        result.complete(work.get());
                    } catch (RuntimeException failure) {
                        result.completeExceptionally(failure);
                    }
                });
        try {
            return result.join();
        } catch (CompletionException failed) {
            throw (RuntimeException) failed.getCause();
        }
    }

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(System.nanoTime());
    }

    @Override
    public long wallClockMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void schedule(Duration pause, Runnable work) {
        if (closed) {
            // What runs while the loop ends may still want to go on later; there is no later.
            return;
        }
        ioThread.executeAfter(
                () -> {
                    try {
                        work.run();
                    } catch (RejectedExecutionException atTheEnd) {
                        LOG.debug("a timer came while the loop ended", atTheEnd);
                    } catch (RuntimeException mistake) {
                        // One broken piece of work must not end the loop that everything else runs
                        // on.
                        LOG.error("a timer's work failed", mistake);
                    }
                },
                Math.max(0, pause.toNanos()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        closed = true;
        worker.shutdownNow();
    }
}
