package org.meadowhollow.model;

/**
 * Takes the spans of tasks whose clients sent a trace context. Each span is published after what it
 * shows is persisted; one whose node fails at that moment is lost, and no two nodes publish
 * different ones. Calls do not block and do not fail. Times are milliseconds of wall-clock time.
 */
public interface TaskTracer extends AutoCloseable {
    /** Traces nothing: it accepts no trace context. */
    TaskTracer NONE =
            new TaskTracer() {
                @Override
                public String traceContextOf(String traceparent) {
                    return null;
                }

                @Override
                public void onTaskAccepted(TracedTask task, long fromMillis, long untilMillis) {}

                @Override
                public void onAttemptEnded(
                        TracedTask task, long waitedFromMillis, AttemptRecord attempt) {}

                @Override
                public void onTaskEnded(
                        TracedTask task, JobPhase how, long fromMillis, long untilMillis) {}

                @Override
                public void close() {}
            };

    /** A traced task with the trace context that its client sent. */
    record TracedTask(String traceContext, JobId jobId, String team) {}

    /**
     * Parses a trace context.
     *
     * @param traceparent the header as the client sent it, or null
     * @return what is to be kept with the task, at most 55 characters; null if the task is not to
     *     be traced
     */
    String traceContextOf(String traceparent);

    /** The request that submitted the task was answered. */
    void onTaskAccepted(TracedTask task, long fromMillis, long untilMillis);

    /**
     * An attempt has ended.
     *
     * @param waitedFromMillis since when the task had waited for the attempt
     */
    void onAttemptEnded(TracedTask task, long waitedFromMillis, AttemptRecord attempt);

    /** The task has ended in a phase. */
    void onTaskEnded(TracedTask task, JobPhase how, long fromMillis, long untilMillis);

    /** Sends the spans that are left, within a few seconds. */
    @Override
    void close();
}
