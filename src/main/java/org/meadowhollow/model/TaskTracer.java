package org.meadowhollow.model;

/**
 * Publishes the spans of tasks whose clients sent a trace context. Each span is published after the
 * state that it shows is persisted; if the node fails at that moment, the span is lost. No two
 * nodes publish different versions of a span. Calls neither block nor fail. Times are milliseconds
 * of wall-clock time.
 */
public interface TaskTracer extends AutoCloseable {
    /** A disabled tracer, which accepts no trace context. */
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
                        TracedTask task, JobPhase finalPhase, long fromMillis, long untilMillis) {}

                @Override
                public void close() {}
            };

    /** A traced task with the trace context that its client sent. */
    record TracedTask(String traceContext, JobId jobId, String team) {}

    /**
     * Parses a trace context.
     *
     * @param traceparent the header as the client sent it, or null
     * @return the trace context to be stored with the task, at most 55 characters; null if the task
     *     is not to be traced
     */
    String traceContextOf(String traceparent);

    /** Called when the request that submitted the task has been answered. */
    void onTaskAccepted(TracedTask task, long fromMillis, long untilMillis);

    /**
     * Called when an attempt has ended.
     *
     * @param waitedFromMillis the time since which the task had waited for the attempt
     */
    void onAttemptEnded(TracedTask task, long waitedFromMillis, AttemptRecord attempt);

    /** Called when the task has ended in the given phase. */
    void onTaskEnded(TracedTask task, JobPhase finalPhase, long fromMillis, long untilMillis);

    /** Sends the remaining spans, within a few seconds. */
    @Override
    void close();
}
