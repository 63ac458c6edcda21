package org.meadowhollow.coordination.scheduling;

import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Resources;

/**
 * The placement policy: which of the machines that a task may use is the best. It follows the
 * paper's EfficiencyFirst design, least predicted risk first and then most room, in four steps:
 *
 * <ol>
 *   <li>Machines that violate a hard constraint are out ({@link PlacementConstraints}).
 *   <li>A machine whose predicted probability of no violation is at least {@value
 *       #MIN_NO_VIOLATION_PROBABILITY} is accepted. Accepted machines are compared by that
 *       probability, the highest first, and at equal probability by preference ({@link
 *       #compareByRisk}).
 *   <li>A machine whose risk is unknown, because its table has too few samples at that load, is
 *       compared by preference alone ({@link #compareByPreference}). So is one whose predicted risk
 *       is too high, once the task has waited so long that risk is ignored; before, it is out.
 *   <li>The best accepted machine wins against the best of those compared by preference alone,
 *       unless its image pull would take longer ({@link #prefersAccepted}).
 * </ol>
 *
 * <p>The preference is, from the most to the least significant:
 *
 * <ol>
 *   <li>no task of the job failed on the machine, so that a faulty machine can be told from a
 *       faulty job;
 *   <li>the image is cached;
 *   <li>it is a spot machine, for a task that may use one and is not a service replica;
 *   <li>the shortest image pull, in steps of 5 s;
 *   <li>for a service replica, the image is not being pulled there already, so that one more
 *       machine will have it;
 *   <li>the machine is not kept for large tasks;
 *   <li>the most room: the largest free share;
 *   <li>the lowest tie-break rank, which is the order of machine ids.
 * </ol>
 */
final class PlacementOrder {
    /** The paper's EfficiencyFirst: no violation with at least this probability. */
    static final double MIN_NO_VIOLATION_PROBABILITY = 0.8;

    /** A task that takes more than this share of a machine has it to itself. */
    private static final double LARGE_TASK_SHARE = 0.5;

    private PlacementOrder() {}

    /** Whether the predicted risk is known and below the threshold. */
    static boolean isRiskAccepted(CandidateScore score) {
        return score.noViolationProbability() >= MIN_NO_VIOLATION_PROBABILITY;
    }

    /** Whether the risk table has too few samples at the load to predict anything. */
    static boolean isRiskUnknown(CandidateScore score) {
        return Double.isNaN(score.noViolationProbability());
    }

    /**
     * Whether an accepted machine goes before one that is compared by preference alone. A load
     * without samples is no reason to wait longer for an image.
     */
    static boolean prefersAccepted(CandidateScore accepted, CandidateScore byPreference) {
        return accepted.pullSteps() <= byPreference.pullSteps();
    }

    /** Compares accepted machines: least predicted risk first, then by preference. */
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

    /** Whether a task needs so much of a machine that no second one fits beside it. */
    static boolean isLargeTask(JobSpec spec, Resources capacity) {
        return spec.resourcesPerTask().dominantShareOf(capacity) > LARGE_TASK_SHARE;
    }
}
