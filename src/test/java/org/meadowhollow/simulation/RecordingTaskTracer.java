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
        addNote(task, "accepted", fromMillis, untilMillis);
    }

    @Override
    public void onAttemptEnded(TracedTask task, long waitedFromMillis, AttemptRecord attempt) {
        addNote(
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
    public void onTaskEnded(
            TracedTask task, JobPhase finalPhase, long fromMillis, long untilMillis) {
        addNote(task, "ended " + finalPhase, fromMillis, untilMillis);
    }

    private void addNote(TracedTask task, String event, long... times) {
        for (int index = 1; index < times.length; index++) {
            if (times[index] < times[index - 1]) {
                throw new AssertionError(event + " has decreasing times");
            }
        }
        notes.add(task.traceContext() + ' ' + event);
    }

    @Override
    public void close() {}
}
