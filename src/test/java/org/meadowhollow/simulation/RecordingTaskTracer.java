package org.meadowhollow.simulation;

import java.util.ArrayList;
import java.util.List;
import org.meadowhollow.model.AttemptRecord;
import org.meadowhollow.model.JobPhase;
import org.meadowhollow.model.TaskTracer;

/** Records the calls for traced tasks as notes; accepts any trace context. */
final class RecordingTaskTracer implements TaskTracer {
    private final List<String> notes = new ArrayList<>();

    List<String> notes() {
        return notes;
    }

    @Override
    public String traceContextOf(String traceparent) {
        return traceparent;
    }

    @Override
    public void onTaskAccepted(TracedTask task, long fromMillis, long untilMillis) {
        note(task, "accepted", fromMillis, untilMillis);
    }

    @Override
    public void onAttemptEnded(TracedTask task, long waitedFromMillis, AttemptRecord attempt) {
        note(
                task,
                "attempt " + attempt.attemptNumber() + ' ' + attempt.endReason(),
                waitedFromMillis,
                attempt.placedAtMillis(),
                attempt.startedAtMillis() == 0
                        ? attempt.placedAtMillis()
                        : attempt.startedAtMillis(),
                attempt.endedAtMillis());
    }

    @Override
    public void onTaskEnded(TracedTask task, JobPhase how, long fromMillis, long untilMillis) {
        note(task, "ended " + how, fromMillis, untilMillis);
    }

    private void note(TracedTask task, String what, long... times) {
        for (int at = 1; at < times.length; at++) {
            if (times[at] < times[at - 1]) {
                throw new AssertionError(what + " has decreasing times");
            }
        }
        notes.add(task.traceContext() + ' ' + what);
    }

    @Override
    public void close() {}
}
