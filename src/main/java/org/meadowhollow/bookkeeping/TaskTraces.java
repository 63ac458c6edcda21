package org.meadowhollow.bookkeeping;

/**
 * Takes the spans of tasks whose clients sent a trace context. Each span is told once what it tells
 * is in the state service; one whose node dies in that moment is lost, and none is told differently
 * by two nodes. Calls return at once and never fail.
 */
public interface TaskTraces extends AutoCloseable {
    /** Takes no context, so that nothing is ever traced. */
    TaskTraces NONE =
            new TaskTraces() {
                @Override
                public String contextOf(String traceparent) {
                    return null;
                }

                @Override
                public void accepted(Traced task, long fromMillis, long untilMillis) {}

                @Override
                public void attempt(Traced task, long waitedFromMillis, AttemptLog attempt) {}

                @Override
                public void ended(Traced task, Progress how, long fromMillis, long untilMillis) {}

                @Override
                public void close() {}
            };

    /** A task that is traced, with the context that its client sent. */
    record Traced(String context, JobId id, String team) {}

    /**
     * @param traceparent the header as the client sent it, or null
     * @return what is to be kept with the task, at most 55 characters; null if the task is not to
     *     be traced
     */
    String contextOf(String traceparent);

    /**
     * The request that brought the task was answered. Times, here and below, are milliseconds of
     * the time of day.
     */
    void accepted(Traced task, long fromMillis, long untilMillis);

    /**
     * An attempt is over.
     *
     * @param waitedFromMillis since when the task had waited for it
     */
    void attempt(Traced task, long waitedFromMillis, AttemptLog attempt);

    /** Nothing of the task is left to do. */
    void ended(Traced task, Progress how, long fromMillis, long untilMillis);

    /** Sends what is left, within a few seconds. */
    @Override
    void close();
}
