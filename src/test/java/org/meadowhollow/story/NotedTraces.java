package org.meadowhollow.story;

import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.bookkeeping.AttemptLog;
import org.meadowhollow.bookkeeping.Progress;
import org.meadowhollow.bookkeeping.TaskTraces;

/** Notes what is told of traced tasks; takes any context. */
final class NotedTraces implements TaskTraces {
    private final List<String> told = new ArrayList<>();

    List<String> told() {
        return told;
    }

    @Override
    public String contextOf(String traceparent) {
        return traceparent;
    }

    @Override
    public void accepted(Traced task, long fromMillis, long untilMillis) {
        note(task, "accepted", fromMillis, untilMillis);
    }

    @Override
    public void attempt(Traced task, long waitedFromMillis, AttemptLog attempt) {
        note(
                task,
                "attempt " + attempt.attempt() + ' ' + attempt.cause(),
                waitedFromMillis,
                attempt.placedMillis(),
                attempt.startedMillis() == 0 ? attempt.placedMillis() : attempt.startedMillis(),
                attempt.endedMillis());
    }

    @Override
    public void ended(Traced task, Progress how, long fromMillis, long untilMillis) {
        note(task, "ended " + how, fromMillis, untilMillis);
    }

    private void note(Traced task, String what, long... times) {
        for (int at = 1; at < times.length; at++) {
            if (times[at] < times[at - 1]) {
                throw new AssertionError(what + " goes back in time");
            }
        }
        told.add(task.context() + ' ' + what);
    }

    @Override
    public void close() {}
}
