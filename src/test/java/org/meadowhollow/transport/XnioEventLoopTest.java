package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;

/** Guards against repeating steps of a process that end with their first exception. */
class XnioEventLoopTest {
    private static final Duration INTERVAL = Duration.ofMillis(1);
    private static final int RUNS = 3;

    @Test
    void aPeriodicStepRunsAgainAfterItsBodyHasThrown() throws Exception {
        try (XnioEventLoop loop = new XnioEventLoop()) {
            CountDownLatch runs = new CountDownLatch(RUNS);
            RepeatingSteps.every(
                    loop,
                    RepeatingStep.LOAD_CHECK,
                    INTERVAL,
                    () -> runs.getCount() == 0,
                    () -> {
                        runs.countDown();
                        throw new IllegalStateException("fault of the test");
                    });

            assertTrue(runs.await(10, TimeUnit.SECONDS));
            Map<RepeatingStep, Long> failures = loop.callAndWait(loop::failuresByStep);
            assertEquals(Map.of(RepeatingStep.LOAD_CHECK, (long) RUNS), failures);
        }
    }

    @Test
    void aHandlerThatThrowsIsFollowedByItsRetry() throws Exception {
        try (XnioEventLoop loop = new XnioEventLoop()) {
            CompletableFuture<String> response = new CompletableFuture<>();
            CompletableFuture<Void> retried = new CompletableFuture<>();
            RepeatingSteps.handle(
                    loop,
                    RepeatingStep.JOB_WATCH,
                    response,
                    (result, failure) -> {
                        throw new IllegalStateException("fault of the test");
                    },
                    () -> retried.complete(null));

            response.complete("changes");

            retried.get(10, TimeUnit.SECONDS);
            assertEquals(Map.of(RepeatingStep.JOB_WATCH, 1L), loop.failuresByStep());
        }
    }
}
