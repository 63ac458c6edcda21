package org.meadowhollow.model;

/**
 * Takes the spans of tasks whose clients sent a trace context. Each span is told once what it tells
 * is in the state service; one whose node dies in that moment is lost, and none is told differently
 * by two nodes. Calls return at once and never fail.
 */
public interface TaskTracer extends AutoCloseable {
    /** Takes no context, so that nothing is ever traced. */
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

    /** A task that is traced, with the context that its client sent. */
    record TracedTask(String traceContext, JobId jobId, String team) {}

    /**
     * @param traceparent the header as the client sent it, or null
     * @return what is to be kept with the task, at most 55 characters; null if the task is not to
     *     be traced
     */
    String traceContextOf(String traceparent);

    /**
     * The request that brought the task was answered. Times, here and below, are milliseconds of
     * the time of day.
     */
    void onTaskAccepted(TracedTask task, long fromMillis, long untilMillis);

    /**
     * An attempt is over.
     *
     * @param waitedFromMillis since when the task had waited for it
     */
    void onAttemptEnded(TracedTask task, long waitedFromMillis, AttemptRecord attempt);

    /** Nothing of the task is left to do. */
    void onTaskEnded(TracedTask task, JobPhase how, long fromMillis, long untilMillis);

    /** Sends what is left, within a few seconds. */
    @Override
    void close();
}
