package org.meadowhollow.coordination.metrics;

import java.time.Duration;

/**
 * Counts of the jobs of one class and team: totals of a leadership, and what was pending when it
 * was last counted. Guarded by the leader's lock, as its {@link FairnessMetrics}.
 */
final class GroupCounts {
    /** Below this share of started jobs, of started and starving ones, a group is starving. */
    private static final double MIN_STARTED_SHARE = 0.7;

    /** Fewer started and starving jobs than this say nothing about their group. */
    private static final int MIN_JOBS_FOR_STARVATION = 4;

    private int largestTaskCount;
    private int admitted;
    private int started;
    private int completed;
    private int late;
    private int cancelled;
    private int pendingTasks;
    private double oldestPendingSeconds;
    private int starvingJobs;
    private int starvingLargeJobs;

    void onAdmitted(int taskCount) {
        admitted++;
        largestTaskCount = Math.max(largestTaskCount, taskCount);
    }

    void onStarted() {
        started++;
    }

    void onCompleted(boolean missedDeadline) {
        completed++;
        late += missedDeadline ? 1 : 0;
    }

    void onCancelled() {
        cancelled++;
    }

    void resetPending() {
        pendingTasks = 0;
        oldestPendingSeconds = 0;
        starvingJobs = 0;
        starvingLargeJobs = 0;
    }

    /**
     * Adds a job with pending tasks.
     *
     * @param ageSeconds how long ago it was admitted
     */
    void onPending(int tasks, double ageSeconds, boolean starving, boolean large) {
        pendingTasks += tasks;
        oldestPendingSeconds = Math.max(oldestPendingSeconds, ageSeconds);
        starvingJobs += starving ? 1 : 0;
        starvingLargeJobs += starving && large ? 1 : 0;
    }

    int largestTaskCount() {
        return largestTaskCount;
    }

    private boolean isStarving() {
        int considered = started + starvingJobs;
        return considered >= MIN_JOBS_FOR_STARVATION && started < MIN_STARTED_SHARE * considered;
    }

    /**
     * The counts for a log line, with a leading space.
     *
     * @param starvationThreshold how long a starving job has waited at least
     */
    String format(Duration starvationThreshold) {
        StringBuilder line = new StringBuilder();
        line.append(" admitted=").append(admitted);
        line.append(" started=").append(started);
        line.append(" completed=").append(completed);
        line.append(" late=").append(late);
        line.append(" cancelled=").append(cancelled);
        line.append(" pending_tasks=").append(pendingTasks);
        line.append(" oldest_pending_s=").append((long) oldestPendingSeconds);
        if (starvingLargeJobs > 0) {
            line.append(" large_jobs_pending=").append(starvingLargeJobs);
        }
        if (isStarving()) {
            line.append(" STARVING jobs=").append(starvingJobs);
            line.append(" over_s=").append(starvationThreshold.toSeconds());
        }
        return line.toString();
    }
}
