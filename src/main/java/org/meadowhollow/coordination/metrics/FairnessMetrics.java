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
 * What became of the jobs of each class and team in one leadership. A leadership begins with the
 * jobs that live then, so the counts of one day are those of all its leaders together, less what a
 * leader that ended had not yet logged. Guarded by the leader's lock.
 */
public final class FairnessMetrics {
    /** Between two accounts of all classes and teams. */
    private static final Duration REPORT_INTERVAL = Duration.ofMinutes(1);

    /** A job that has waited for so long without a task running counts as left behind. */
    private static final Duration STARVATION_THRESHOLD = Duration.ofMinutes(2);

    /**
     * Below this share of started jobs, of as many as this at least, a class or team is falling
     * behind.
     */
    private static final double MIN_STARTED_SHARE = 0.7;

    private static final int MIN_JOBS_JUDGED = 4;

    /**
     * A job with so much of the most tasks that a job of its class had is one of the class's
     * largest.
     */
    private static final double LARGE_JOB_SHARE = 0.75;

    /** Lines about large jobs that wait, the oldest first. */
    private static final int MAX_LARGE_JOB_LINES = 8;

    /** Classes and teams counted; the settings name the teams, but users choose the classes. */
    private static final int MAX_GROUPS = 256;

    private record JobGroup(String jobClass, String team) {}

    private static final class JobCounts {
        private int largestTaskCount;
        private int admitted;
        private int started;
        private int completed;
        private int missedDeadline;
        private int cancelled;
        private int pendingTasks;
        private int starvingJobs;
        private double longestWaitSeconds;
        private int starvingLargeJobs;
    }

    private final Map<JobGroup, JobCounts> countsByGroup =
            new TreeMap<>(Comparator.comparing(JobGroup::jobClass).thenComparing(JobGroup::team));
    private final Set<JobId> startedJobs = new HashSet<>();
    private MonotonicTime lastReportAt;

    /** A job was taken in. */
    public void onJobAdmitted(JobSpec spec) {
        JobCounts jobCounts = countsFor(spec);
        jobCounts.admitted++;
        jobCounts.largestTaskCount = Math.max(jobCounts.largestTaskCount, spec.taskCount());
    }

    /** A task of the job runs. */
    public void onTaskRunning(JobSpec spec) {
        if (startedJobs.add(spec.id())) {
            countsFor(spec).started++;
        }
    }

    /**
     * The job is over.
     *
     * @param tookS how long ago it was accepted
     */
    public void onJobEnded(JobSpec spec, boolean cancelled, double tookS) {
        startedJobs.remove(spec.id());
        JobCounts jobCounts = countsFor(spec);
        jobCounts.cancelled += cancelled ? 1 : 0;
        jobCounts.completed += cancelled ? 0 : 1;
        jobCounts.missedDeadline += !cancelled && tookS > spec.deadlineSeconds() ? 1 : 0;
    }

    /**
     * What there is to log now: nothing, or a line for each class and team, and one for each of the
     * largest jobs of a class that has waited for long, up to eight.
     *
     * @param jobs all that live
     * @param waitsFor says what a job that waits is waiting for
     */
    public List<String> reportIfDue(
            Collection<Job> jobs,
            MonotonicTime now,
            long wallMillis,
            Function<Job, String> waitsFor) {
        if (lastReportAt == null) {
            lastReportAt = now;
        }
        if (now.elapsedSince(lastReportAt).compareTo(REPORT_INTERVAL) < 0) {
            return List.of();
        }
        lastReportAt = now;
        countsByGroup
                .values()
                .forEach(
                        jobCounts -> {
                            jobCounts.pendingTasks = 0;
                            jobCounts.starvingJobs = 0;
                            jobCounts.longestWaitSeconds = 0;
                            jobCounts.starvingLargeJobs = 0;
                        });
        List<Job> large = new ArrayList<>();
        for (Job job : jobs) {
            if (job.pendingTaskCount() > 0) {
                JobCounts jobCounts = countsFor(job.spec());
                double ageS = (wallMillis - job.acceptedAtMillis()) / 1000.0;
                jobCounts.pendingTasks += job.pendingTaskCount();
                jobCounts.longestWaitSeconds = Math.max(jobCounts.longestWaitSeconds, ageS);
                boolean left =
                        ageS > STARVATION_THRESHOLD.toSeconds() && !startedJobs.contains(job.id());
                jobCounts.starvingJobs += left ? 1 : 0;
                if (left && isLargeJob(job.spec(), jobCounts)) {
                    jobCounts.starvingLargeJobs++;
                    large.add(job);
                }
            }
        }
        List<String> lines = new ArrayList<>();
        countsByGroup.forEach(
                (jobGroup, jobCounts) ->
                        lines.add(
                                "served: class "
                                        + jobGroup.jobClass()
                                        + " of "
                                        + jobGroup.team()
                                        + ": "
                                        + jobCounts.admitted
                                        + " jobs came, "
                                        + jobCounts.started
                                        + " started, "
                                        + jobCounts.completed
                                        + " done, "
                                        + jobCounts.missedDeadline
                                        + " late, "
                                        + jobCounts.cancelled
                                        + " cancelled; "
                                        + jobCounts.pendingTasks
                                        + " tasks wait, the oldest for "
                                        + (long) jobCounts.longestWaitSeconds
                                        + " s"
                                        + (jobCounts.starvingLargeJobs > 0
                                                ? "; "
                                                        + jobCounts.starvingLargeJobs
                                                        + " of its largest jobs wait"
                                                : "")
                                        + (isStarving(jobCounts)
                                                ? "; FALLS BEHIND: "
                                                        + jobCounts.starvingJobs
                                                        + " jobs wait for over "
                                                        + STARVATION_THRESHOLD.toSeconds()
                                                        + " s"
                                                : "")));
        large.stream()
                .sorted(Comparator.comparingLong(Job::acceptedAtMillis).thenComparing(Job::id))
                .limit(MAX_LARGE_JOB_LINES)
                .forEach(
                        job ->
                                lines.add(
                                        "large job "
                                                + job.id()
                                                + " of class "
                                                + job.spec().jobClass()
                                                + ", "
                                                + job.spec().taskCount()
                                                + " tasks, waits for "
                                                + (wallMillis - job.acceptedAtMillis()) / 1000
                                                + " s: "
                                                + waitsFor.apply(job)));
        return lines;
    }

    private static boolean isLargeJob(JobSpec spec, JobCounts jobCounts) {
        return spec.taskCount() > 1
                && spec.taskCount() >= LARGE_JOB_SHARE * jobCounts.largestTaskCount;
    }

    private static boolean isStarving(JobCounts jobCounts) {
        int judged = jobCounts.started + jobCounts.starvingJobs;
        return judged >= MIN_JOBS_JUDGED && jobCounts.started < MIN_STARTED_SHARE * judged;
    }

    private JobCounts countsFor(JobSpec spec) {
        JobGroup jobGroup = new JobGroup(spec.jobClass(), spec.team());
        return countsByGroup.computeIfAbsent(
                countsByGroup.size() < MAX_GROUPS || countsByGroup.containsKey(jobGroup)
                        ? jobGroup
                        : new JobGroup("others", spec.team()),
                unused -> new JobCounts());
    }
}
