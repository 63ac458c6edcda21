package org.meadowhollow.model;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/**
 * Runs {@link RepeatingStep}s so that a failure of one execution does not prevent the next. An
 * exception that leaves a timer or the callback of a future ends only that execution; without these
 * methods, a step that schedules its next execution itself would never run again.
 */
public final class RepeatingSteps {
    private RepeatingSteps() {}

    /**
     * Runs a step at intervals, for the first time after one interval.
     *
     * @param isOver asked before each execution; once it returns true, the step runs no more
     */
    public static void every(
            EventLoop loop,
            RepeatingStep step,
            Duration interval,
            BooleanSupplier isOver,
            Runnable body) {
        every(loop, step, interval, isOver, body, () -> {});
    }

    /**
     * Runs a step at intervals, like {@link #every(EventLoop, RepeatingStep, Duration,
     * BooleanSupplier, Runnable)}.
     *
     * @param onFailure called after each execution whose body has thrown
     */
    public static void every(
            EventLoop loop,
            RepeatingStep step,
            Duration interval,
            BooleanSupplier isOver,
            Runnable body,
            Runnable onFailure) {
        loop.schedule(
                interval,
                () -> {
                    if (!isOver.getAsBoolean()) {
                        every(loop, step, interval, isOver, body, onFailure);
                        run(loop, step, body, onFailure);
                    }
                });
    }

    /**
     * Runs one execution of a step whose body itself schedules the next. The body must do that
     * last, so that it cannot fail afterwards.
     *
     * @param onFailure called if the body has thrown; schedules the next execution
     */
    public static void run(EventLoop loop, RepeatingStep step, Runnable body, Runnable onFailure) {
        if (!loop.runRepeating(step, body)) {
            onFailure.run();
        }
    }

    /**
     * Handles the response to a request as one execution of a step, like {@link #run}.
     *
     * @param handler receives the response, or else the failure of the request
     */
    public static <T> void handle(
            EventLoop loop,
            RepeatingStep step,
            CompletableFuture<T> response,
            BiConsumer<? super T, ? super Throwable> handler,
            Runnable onFailure) {
        CompletableFuture<T> unusedHandled =
                response.whenComplete(
                        (result, failure) ->
                                run(loop, step, () -> handler.accept(result, failure), onFailure));
    }
}
