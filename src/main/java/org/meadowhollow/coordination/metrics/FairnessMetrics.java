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
 * Counts what became of the jobs of each group, that is class and team, in one leadership, for the
 * log. A leadership starts with the jobs that are unfinished then, so the counts of a day are those
 * of all its leaders together, less what a leader that ended had not logged yet. Not thread-safe:
 * guarded by the leader's lock.
 */
public final class FairnessMetrics {
    private static final Duration REPORT_INTERVAL = Duration.ofMinutes(1);

    /** A job that has waited for this long without a running task counts as starving. */
    private static final Duration STARVATION_THRESHOLD = Duration.ofMinutes(2);

    /** A job with this share of the most tasks that a job of its group had is a large one. */
    private static final double LARGE_JOB_SHARE = 0.75;

    /** Log lines about large jobs that are starving, the oldest first. */
    private static final int MAX_LARGE_JOB_LINES = 8;

    /** Bounds memory: the settings name the teams, but users choose the classes. */
    private static final int MAX_GROUPS = 256;

    /** The class that stands for all others once there are too many groups. */
    private static final String OTHER_CLASSES = "others";

    private static final long MILLIS_PER_SECOND = 1000;

    private record JobGroup(String jobClass, String team) {}

    private final Map<JobGroup, GroupCounts> countsByGroup =
            new TreeMap<>(Comparator.comparing(JobGroup::jobClass).thenComparing(JobGroup::team));
    private final Set<JobId> startedJobs = new HashSet<>();

    /** Null until the first call of {@link #reportIfDue}. */
    private MonotonicTime lastReportAt;

    /** A job was admitted. */
    public void onJobAdmitted(JobSpec spec) {
        countsFor(spec).onAdmitted(spec.taskCount());
    }

    /** A task of the job runs. */
    public void onTaskRunning(JobSpec spec) {
        if (startedJobs.add(spec.id())) {
            countsFor(spec).onStarted();
        }
    }

    /**
     * The job has ended.
     *
     * @param elapsedSeconds how long ago it was admitted
     */
    public void onJobEnded(JobSpec spec, boolean cancelled, double elapsedSeconds) {
        startedJobs.remove(spec.id());
        if (cancelled) {
            countsFor(spec).onCancelled();
        } else {
            // Never later than a deadline that is NaN, so a job without one is in time.
            countsFor(spec).onCompleted(elapsedSeconds > spec.deadlineSeconds());
        }
    }

    /**
     * The lines to log now: none, or once a minute a line for each group, and one for each of the
     * large jobs that are starving, up to eight.
     *
     * @param jobs all unfinished jobs
     * @param wallMillis the wall clock in milliseconds since the epoch
     * @param pendingReason says why a job has pending tasks
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

    /** Counts pending tasks and starving jobs anew; returns the large jobs among the latter. */
    private List<Job> countPendingJobs(Collection<Job> jobs, long wallMillis) {
        countsByGroup.values().forEach(GroupCounts::resetPending);
        List<Job> starvingLargeJobs = new ArrayList<>();
        for (Job job : jobs) {
            if (job.pendingTaskCount() == 0) {
                continue;
            }
            GroupCounts counts = countsFor(job.spec());
            double age = (wallMillis - job.acceptedAtMillis()) / (double) MILLIS_PER_SECOND;
            boolean starving =
                    age > STARVATION_THRESHOLD.toSeconds() && !startedJobs.contains(job.id());
            boolean large = isLargeJob(job.spec(), counts);
            counts.onPending(job.pendingTaskCount(), age, starving, large);
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
        boolean known = countsByGroup.size() < MAX_GROUPS || countsByGroup.containsKey(group);
        return countsByGroup.computeIfAbsent(
                known ? group : new JobGroup(OTHER_CLASSES, spec.team()),
                unused -> new GroupCounts());
    }
}
