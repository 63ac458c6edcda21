package org.meadowhollow.coordination.serving;

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
public final class Served {
    /** Between two accounts of all classes and teams. */
    private static final Duration EVERY = Duration.ofMinutes(1);

    /** A job that has waited for so long without a task running counts as left behind. */
    private static final Duration LONG = Duration.ofMinutes(2);

    /**
     * Below this share of started jobs, of as many as this at least, a class or team is falling
     * behind.
     */
    private static final double BEHIND = 0.7;

    private static final int LEAST = 4;

    /**
     * A job with so much of the most tasks that a job of its class had is one of the class's
     * largest.
     */
    private static final double LARGE = 0.75;

    /** Lines about large jobs that wait, the oldest first. */
    private static final int MOST_TOLD = 8;

    /** Classes and teams counted; the settings name the teams, but users choose the classes. */
    private static final int MOST = 256;

    private record Group(String jobClass, String team) {}

    private static final class Counts {
        private int mostTasks;
        private int came;
        private int started;
        private int done;
        private int late;
        private int cancelled;
        private int waiting;
        private int leftBehind;
        private double oldestS;
        private int largeWaiting;
    }

    private final Map<Group, Counts> groups =
            new TreeMap<>(Comparator.comparing(Group::jobClass).thenComparing(Group::team));
    private final Set<JobId> started = new HashSet<>();
    private MonotonicTime toldAt;

    /** A job was taken in. */
    public void came(JobSpec spec) {
        Counts counts = counts(spec);
        counts.came++;
        counts.mostTasks = Math.max(counts.mostTasks, spec.taskCount());
    }

    /** A task of the job runs. */
    public void began(JobSpec spec) {
        if (started.add(spec.id())) {
            counts(spec).started++;
        }
    }

    /**
     * The job is over.
     *
     * @param tookS how long ago it was accepted
     */
    public void ended(JobSpec spec, boolean cancelled, double tookS) {
        started.remove(spec.id());
        Counts counts = counts(spec);
        counts.cancelled += cancelled ? 1 : 0;
        counts.done += cancelled ? 0 : 1;
        counts.late += !cancelled && tookS > spec.deadlineSeconds() ? 1 : 0;
    }

    /**
     * What there is to log now: nothing, or a line for each class and team, and one for each of the
     * largest jobs of a class that has waited for long, up to eight.
     *
     * @param jobs all that live
     * @param waitsFor says what a job that waits is waiting for
     */
    public List<String> account(
            Collection<Job> jobs,
            MonotonicTime now,
            long wallMillis,
            Function<Job, String> waitsFor) {
        if (toldAt == null) {
            toldAt = now;
        }
        if (now.elapsedSince(toldAt).compareTo(EVERY) < 0) {
            return List.of();
        }
        toldAt = now;
        groups.values()
                .forEach(
                        counts -> {
                            counts.waiting = 0;
                            counts.leftBehind = 0;
                            counts.oldestS = 0;
                            counts.largeWaiting = 0;
                        });
        List<Job> large = new ArrayList<>();
        for (Job job : jobs) {
            if (job.pendingTaskCount() > 0) {
                Counts counts = counts(job.spec());
                double ageS = (wallMillis - job.acceptedAtMillis()) / 1000.0;
                counts.waiting += job.pendingTaskCount();
                counts.oldestS = Math.max(counts.oldestS, ageS);
                boolean left = ageS > LONG.toSeconds() && !started.contains(job.id());
                counts.leftBehind += left ? 1 : 0;
                if (left && isLarge(job.spec(), counts)) {
                    counts.largeWaiting++;
                    large.add(job);
                }
            }
        }
        List<String> lines = new ArrayList<>();
        groups.forEach(
                (group, counts) ->
                        lines.add(
                                "served: class "
                                        + group.jobClass()
                                        + " of "
                                        + group.team()
                                        + ": "
                                        + counts.came
                                        + " jobs came, "
                                        + counts.started
                                        + " started, "
                                        + counts.done
                                        + " done, "
                                        + counts.late
                                        + " late, "
                                        + counts.cancelled
                                        + " cancelled; "
                                        + counts.waiting
                                        + " tasks wait, the oldest for "
                                        + (long) counts.oldestS
                                        + " s"
                                        + (counts.largeWaiting > 0
                                                ? "; "
                                                        + counts.largeWaiting
                                                        + " of its largest jobs wait"
                                                : "")
                                        + (isBehind(counts)
                                                ? "; FALLS BEHIND: "
                                                        + counts.leftBehind
                                                        + " jobs wait for over "
                                                        + LONG.toSeconds()
                                                        + " s"
                                                : "")));
        large.stream()
                .sorted(Comparator.comparingLong(Job::acceptedAtMillis).thenComparing(Job::id))
                .limit(MOST_TOLD)
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

    private static boolean isLarge(JobSpec spec, Counts counts) {
        return spec.taskCount() > 1 && spec.taskCount() >= LARGE * counts.mostTasks;
    }

    private static boolean isBehind(Counts counts) {
        int judged = counts.started + counts.leftBehind;
        return judged >= LEAST && counts.started < BEHIND * judged;
    }

    private Counts counts(JobSpec spec) {
        Group group = new Group(spec.jobClass(), spec.team());
        return groups.computeIfAbsent(
                groups.size() < MOST || groups.containsKey(group)
                        ? group
                        : new Group("others", spec.team()),
                unused -> new Counts());
    }
}
