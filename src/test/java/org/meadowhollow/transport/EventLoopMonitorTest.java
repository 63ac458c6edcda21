package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.EventLoopStep;

/** Guards against pauses of the event loop that nobody can trace to the step that caused them. */
class EventLoopMonitorTest {
    private final AtomicLong clock = new AtomicLong();
    private final EventLoopMonitor monitor = new EventLoopMonitor(clock::get);

    private Supplier<Void> lasting(int millis) {
        return () -> {
            clock.addAndGet(Duration.ofMillis(millis).toNanos());
            return null;
        };
    }

    private Void roundWithSteps() {
        lasting(10).get();
        monitor.call(EventLoopStep.SNAPSHOT, lasting(20));
        monitor.call(EventLoopStep.SCALE_OUT, lasting(50));
        return null;
    }

    @Test
    void pauseNamesTheStepThatTookLongestByItself() {
        monitor.call(EventLoopStep.TIMER, this::roundWithSteps);

        assertEquals(
                new EventLoopMonitor.Pause(
                        Duration.ofMillis(80), EventLoopStep.SCALE_OUT, Duration.ofMillis(50)),
                monitor.longestPause());
    }

    @Test
    void longestPauseIsKeptUntilItIsReported() {
        monitor.call(EventLoopStep.TIMER, this::roundWithSteps);
        monitor.call(EventLoopStep.REQUEST, lasting(70));

        assertEquals(EventLoopStep.SCALE_OUT, monitor.longestPause().step());

        monitor.report();
        monitor.call(EventLoopStep.REQUEST, lasting(5));

        assertEquals(
                new EventLoopMonitor.Pause(
                        Duration.ofMillis(5), EventLoopStep.REQUEST, Duration.ofMillis(5)),
                monitor.longestPause());
    }

    @Test
    void failedStepIsMeasuredAndDoesNotDisturbTheNextCallback() {
        assertThrows(
                IllegalStateException.class,
                () ->
                        monitor.call(
                                EventLoopStep.TIMER,
                                () -> {
                                    lasting(30).get();
                                    throw new IllegalStateException("defect");
                                }));
        monitor.call(EventLoopStep.REQUEST, lasting(40));

        assertEquals(
                new EventLoopMonitor.Pause(
                        Duration.ofMillis(40), EventLoopStep.REQUEST, Duration.ofMillis(40)),
                monitor.longestPause());
    }
}
