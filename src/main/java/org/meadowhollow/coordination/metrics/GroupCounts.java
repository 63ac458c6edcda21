package org.meadowhollow.coordination.metrics;

import java.time.Duration;

/**
 * Counts of the jobs of one class and team: totals of a leadership, and the pending tasks and jobs
 * when they were last counted. Not thread-safe: guarded by the leader's lock, like its {@link
 * FairnessMetrics}.
 */
final class GroupCounts {
    /**
     * A group is starving if less than this share of its started and starving jobs have started.
     */
    private static final double MIN_STARTED_SHARE = 0.7;

    /**
     * The minimum number of started and starving jobs; with fewer, the share carries no
     * information.
     */
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
     * @param ageSeconds the time since the job was admitted
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
     * Formats the counts for a log line, with a leading space.
     *
     * @param starvationThreshold the minimum time that a starving job has waited
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
