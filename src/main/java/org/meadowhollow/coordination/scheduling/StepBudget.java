package org.meadowhollow.coordination.scheduling;

/**
 * Bounds the work of one callback of the event loop, whatever jobs users submit. Work is counted in
 * steps, such as a machine that is examined for a job, which each cost about the same time. Loops
 * over jobs stop at a job when the budget is used up, and a later callback continues there. Not
 * thread-safe.
 */
public final class StepBudget {
    private final long limit;
    private long spent;

    /**
     * Creates a budget.
     *
     * @param limit the number of steps after which no further job may be begun
     */
    public StepBudget(long limit) {
        this.limit = limit;
    }

    /** Counts steps; those of a job that was begun may exceed the limit. */
    public void spend(long steps) {
        spent += steps;
    }

    /** Whether the limit is reached. */
    public boolean isExhausted() {
        return spent >= limit;
    }

    /** The number of steps so far. */
    public long spent() {
        return spent;
    }
}
