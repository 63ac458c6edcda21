package org.meadowhollow.coordination.scheduling;

import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Resources;

/**
 * The placement policy: ranks the machines that a task may use. It implements EfficiencyFirst (the
 * policy of the paper behind the risk model): lowest predicted risk first, then most free capacity.
 * A machine is chosen in four steps:
 *
 * <ol>
 *   <li>Machines that violate a hard constraint are excluded ({@link PlacementConstraints}).
 *   <li>A machine whose predicted probability of no violation is at least {@value
 *       #MIN_NO_VIOLATION_PROBABILITY} is accepted. Accepted machines are compared by that
 *       probability, the highest first, and at equal probability by preference ({@link
 *       #compareByRisk}).
 *   <li>A machine whose risk is unknown, because its table has too few samples at that load, is
 *       compared by preference alone ({@link #compareByPreference}). So is one whose predicted risk
 *       is too high, once the task has waited so long that risk is ignored; until then the machine
 *       is excluded.
 *   <li>The best accepted machine is chosen over the best of those compared by preference alone,
 *       unless its image pull would take longer ({@link #prefersAccepted}).
 * </ol>
 *
 * <p>Machines are preferred by these criteria, from the most to the least significant:
 *
 * <ol>
 *   <li>no task of the job failed on the machine recently: a retry elsewhere shows whether the
 *       machine or the job is faulty;
 *   <li>the image is cached;
 *   <li>the machine is a spot machine, for a task that may use one and is not a service replica;
 *   <li>the shortest image pull, in steps of 5 s;
 *   <li>for a service replica, the image is not being pulled to the machine already, so that one
 *       more machine will have it;
 *   <li>the machine is not kept for large tasks;
 *   <li>the largest free share;
 *   <li>the lowest tie-break rank, which follows the order of machine ids.
 * </ol>
 */
final class PlacementOrder {
    /** The threshold of EfficiencyFirst: the lowest accepted probability of no violation. */
    static final double MIN_NO_VIOLATION_PROBABILITY = 0.8;

    /** A task is large if it takes more than this share of a machine: no second one fits. */
    private static final double LARGE_TASK_SHARE = 0.5;

    private PlacementOrder() {}

    /** Whether the probability of no violation is known and high enough. */
    static boolean isRiskAccepted(CandidateScore score) {
        return score.noViolationProbability() >= MIN_NO_VIOLATION_PROBABILITY;
    }

    /** Whether the risk table has too few samples to predict the risk at this load. */
    static boolean isRiskUnknown(CandidateScore score) {
        return Double.isNaN(score.noViolationProbability());
    }

    /**
     * Whether an accepted machine is chosen over one that is compared by preference alone. Missing
     * samples do not justify a longer image pull.
     */
    static boolean prefersAccepted(CandidateScore accepted, CandidateScore byPreference) {
        return accepted.pullSteps() <= byPreference.pullSteps();
    }

    /** Compares accepted machines: lowest predicted risk first, then by preference. */
    static int compareByRisk(CandidateScore one, CandidateScore other) {
        int result = Double.compare(other.noViolationProbability(), one.noViolationProbability());
        return result != 0 ? result : compareByPreference(one, other);
    }

    /** Compares machines at equal or unknown risk, the better one first. */
    static int compareByPreference(CandidateScore one, CandidateScore other) {
        int result = Boolean.compare(one.jobFailedHere(), other.jobFailedHere());
        if (result == 0) {
            result = Boolean.compare(one.pullSteps() > 0, other.pullSteps() > 0);
        }
        if (result == 0) {
            result = Boolean.compare(other.spotPreferred(), one.spotPreferred());
        }
        if (result == 0) {
            result = Double.compare(one.pullSteps(), other.pullSteps());
        }
        if (result == 0) {
            result = Boolean.compare(one.imagePullInProgress(), other.imagePullInProgress());
        }
        if (result == 0) {
            result = Boolean.compare(one.keptForLargeTasks(), other.keptForLargeTasks());
        }
        if (result == 0) {
            result = Double.compare(other.freeShare(), one.freeShare());
        }
        return result != 0 ? result : Integer.compare(one.tieBreakRank(), other.tieBreakRank());
    }

    /** Whether two tasks of a job do not fit on one machine of the given capacity. */
    static boolean isLargeTask(JobSpec spec, Resources capacity) {
        return spec.resourcesPerTask().dominantShareOf(capacity) > LARGE_TASK_SHARE;
    }
}
