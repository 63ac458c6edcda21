package org.meadowhollow.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Event loop that runs all connections and timers on one XNIO thread. A node has a fraction of a
 * core, on which more threads would only add context switches. Thread-safe.
 */
public final class XnioEventLoop implements EventLoop, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final EventLoopMonitor monitor = new EventLoopMonitor(System::nanoTime);
    private final StepFailures stepFailures = new StepFailures();
    private volatile boolean closed;

    /**
     * Starts the thread, which keeps the process alive until {@link #close}.
     *
     * @throws IOException if the XNIO worker cannot be created
     */
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
        RepeatingSteps.every(
                this,
                RepeatingStep.EVENT_LOOP_REPORT,
                EventLoopMonitor.REPORT_INTERVAL,
                () -> closed,
                this::report);
    }

    private void report() {
        monitor.report();
        stepFailures.report();
    }

    XnioWorker worker() {
        return worker;
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    /**
     * Runs work on the loop's thread and blocks until it is done. Must not be called on that
     * thread, where it would deadlock.
     *
     * @throws RuntimeException the exception that the work threw
     */
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
    public void schedule(Duration delay, Runnable work) {
        if (closed) {
            // Work that still runs while the loop is being closed may schedule timers.
            return;
        }
        ioThread.executeAfter(
                () -> {
                    try {
                        runStep(EventLoopStep.TIMER, work);
                    } catch (RejectedExecutionException closing) {
                        LOG.debug("timer ran while the event loop was being closed", closing);
                    } catch (RuntimeException defect) {
                        // A defect in one timer must not stop the loop.
                        LOG.error("timer failed", defect);
                    }
                },
                Math.max(0, delay.toNanos()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public boolean runRepeating(RepeatingStep step, Runnable body) {
        try {
            body.run();
            return true;
        } catch (RejectedExecutionException closing) {
            LOG.debug("step ran while the event loop was being closed step={}", step, closing);
            return false;
        } catch (RuntimeException defect) {
            stepFailures.record(step, defect);
            return false;
        }
    }

    /** Returns how often each repeating step has failed since the start of the process. */
    Map<RepeatingStep, Long> failuresByStep() {
        return stepFailures.countByStep();
    }

    /** Runs a step and measures it if it is called on the loop's thread, as all callbacks are. */
    @Override
    public <T> T callStep(EventLoopStep step, Supplier<T> work) {
        return Thread.currentThread() == ioThread ? monitor.call(step, work) : work.get();
    }

    @Override
    public void close() {
        closed = true;
        worker.shutdownNow();
    }
}
