package org.meadowhollow.coordination.metrics;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;

/**
 * Counts the outcomes of jobs in each group, that is for each class and team, during one
 * leadership, and formats the counts for the log. A leadership starts with the jobs that are
 * unfinished at its start, so the counts of a day are the sums over all its leaders. Counts that a
 * leader had not logged when its leadership ended are missing. Not thread-safe: guarded by the
 * leader's lock.
 */
public final class FairnessMetrics {
    private static final Duration REPORT_INTERVAL = Duration.ofMinutes(1);

    /** A job that has waited for this long without a running task counts as starving. */
    private static final Duration STARVATION_THRESHOLD = Duration.ofMinutes(2);

    /**
     * A job is large if it has at least this share of the largest number of tasks of a job in its
     * group.
     */
    private static final double LARGE_JOB_SHARE = 0.75;

    /**
     * The maximum number of lines in a report about large jobs that are starving, the oldest first.
     */
    private static final int MAX_LARGE_JOB_LINES = 8;

    /**
     * The maximum number of groups, which bounds memory: the settings name the teams, but users
     * choose the classes.
     */
    private static final int MAX_GROUPS = 256;

    /** Replaces the class of jobs whose group would exceed {@link #MAX_GROUPS}. */
    private static final String OTHER_CLASSES = "others";

    private static final long MILLIS_PER_SECOND = 1000;

    private record JobGroup(String jobClass, String team) {}

    private final Map<JobGroup, GroupCounts> countsByGroup =
            new TreeMap<>(Comparator.comparing(JobGroup::jobClass).thenComparing(JobGroup::team));
    private final Set<JobId> startedJobs = new HashSet<>();

    /** The time of the last report; null until the first call of {@link #reportIfDue}. */
    private MonotonicTime lastReportAt;

    /** Counts a job that was admitted. */
    public void onJobAdmitted(JobSpec spec) {
        countsFor(spec).onAdmitted(spec.taskCount());
    }

    /** Counts a job as started, once, when one of its tasks runs. */
    public void onTaskRunning(JobSpec spec) {
        if (startedJobs.add(spec.id())) {
            countsFor(spec).onStarted();
        }
    }

    /**
     * Counts a job that has ended.
     *
     * @param elapsedSeconds the time since the job was admitted
     */
    public void onJobEnded(JobSpec spec, boolean cancelled, double elapsedSeconds) {
        startedJobs.remove(spec.id());
        if (cancelled) {
            countsFor(spec).onCancelled();
        } else {
            // No time is greater than NaN, so a job without a deadline is never late.
            countsFor(spec).onCompleted(elapsedSeconds > spec.deadlineSeconds());
        }
    }

    /**
     * Returns the lines to log now: once a minute, a line for each group and one for each large job
     * that is starving, up to eight; otherwise none.
     *
     * @param jobs all unfinished jobs
     * @param wallMillis the wall clock in milliseconds since the epoch
     * @param pendingReason returns the reason why a job has pending tasks
     */
    public List<String> reportIfDue(
            Collection<Job> jobs,
            MonotonicTime now,
            long wallMillis,
            Function<Job, String> pendingReason) {
        if (lastReportAt == null) {
            lastReportAt = now;
        }
        if (now.elapsedSince(lastReportAt).compareTo(REPORT_INTERVAL) < 0) {
            return List.of();
        }
        lastReportAt = now;
        List<Job> starvingLargeJobs = countPendingJobs(jobs, wallMillis);
        List<String> lines = new ArrayList<>();
        countsByGroup.forEach((group, counts) -> lines.add(formatGroup(group, counts)));
        starvingLargeJobs.stream()
                .sorted(Comparator.comparingLong(Job::acceptedAtMillis).thenComparing(Job::id))
                .limit(MAX_LARGE_JOB_LINES)
                .map(job -> formatLargeJob(job, wallMillis, pendingReason.apply(job)))
                .forEach(lines::add);
        return lines;
    }

    /** Recounts pending tasks and starving jobs, and returns the large jobs that are starving. */
    private List<Job> countPendingJobs(Collection<Job> jobs, long wallMillis) {
        countsByGroup.values().forEach(GroupCounts::resetPending);
        List<Job> starvingLargeJobs = new ArrayList<>();
        for (Job job : jobs) {
            if (job.pendingTaskCount() == 0) {
                continue;
            }
            GroupCounts counts = countsFor(job.spec());
            double ageSeconds = (wallMillis - job.acceptedAtMillis()) / (double) MILLIS_PER_SECOND;
            boolean starving =
                    ageSeconds > STARVATION_THRESHOLD.toSeconds()
                            && !startedJobs.contains(job.id());
            boolean large = isLargeJob(job.spec(), counts);
            counts.onPending(job.pendingTaskCount(), ageSeconds, starving, large);
            if (starving && large) {
                starvingLargeJobs.add(job);
            }
        }
        return starvingLargeJobs;
    }

    private static String formatGroup(JobGroup group, GroupCounts counts) {
        return "fairness class="
                + group.jobClass()
                + " team="
                + group.team()
                + counts.format(STARVATION_THRESHOLD);
    }

    private static String formatLargeJob(Job job, long wallMillis, String pendingReason) {
        return "large job pending job="
                + job.id()
                + " class="
                + job.spec().jobClass()
                + " tasks="
                + job.spec().taskCount()
                + " age_s="
                + (wallMillis - job.acceptedAtMillis()) / MILLIS_PER_SECOND
                + " reason="
                + pendingReason;
    }

    private static boolean isLargeJob(JobSpec spec, GroupCounts counts) {
        return spec.taskCount() > 1
                && spec.taskCount() >= LARGE_JOB_SHARE * counts.largestTaskCount();
    }

    private GroupCounts countsFor(JobSpec spec) {
        JobGroup group = new JobGroup(spec.jobClass(), spec.team());
        boolean hasOwnGroup = countsByGroup.size() < MAX_GROUPS || countsByGroup.containsKey(group);
        return countsByGroup.computeIfAbsent(
                hasOwnGroup ? group : new JobGroup(OTHER_CLASSES, spec.team()),
                unused -> new GroupCounts());
    }
}
