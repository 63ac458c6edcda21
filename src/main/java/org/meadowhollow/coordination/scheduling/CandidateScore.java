package org.meadowhollow.coordination.scheduling;

import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;

/**
 * How a machine rates for one more task of the job being placed; {@link PlacementOrder} compares
 * these values. Each candidate owns one instance, which is overwritten for each job, so that a
 * round allocates nothing for scores. It must not change while its candidate is in a queue.
 */
final class CandidateScore {
    /**
     * Estimates of image pulls that differ by less than this count as equal, since pull rates vary
     * by a third.
     */
    private static final double PULL_STEP_SECONDS = 5;

    private final int tieBreakRank;
    private double noViolationProbability;
    private double pullSteps;
    private boolean spotPreferred;
    private boolean imagePullInProgress;
    private boolean keptForLargeTasks;
    private boolean jobFailedHere;
    private double freeShare;

    CandidateScore(int tieBreakRank) {
        this.tieBreakRank = tieBreakRank;
    }

    void update(MachineCandidate candidate, JobSpec spec, boolean failedHere) {
        boolean service = spec.kind() == JobKind.SERVICE;
        jobFailedHere = failedHere;
        noViolationProbability = candidate.noViolationProbabilityWith(spec);
        pullSteps = estimatePullSteps(candidate, spec);
        // A user waits for every replica, so its image pull counts before the price.
        spotPreferred = candidate.profile().spot() && !service;
        imagePullInProgress = service && pullSteps > 0 && candidate.isPulling(spec.image());
        keptForLargeTasks = candidate.isKeptForLargeTasks(spec);
        freeShare = candidate.freeShare();
    }

    private static double estimatePullSteps(MachineCandidate candidate, JobSpec spec) {
        if (candidate.hasCached(spec.image())) {
            return 0;
        }
        return 1 + Math.floor(candidate.estimatePullSeconds(spec) / PULL_STEP_SECONDS);
    }

    /** The predicted probability of no violation; NaN if the risk table cannot tell. */
    double noViolationProbability() {
        return noViolationProbability;
    }

    /** The estimated image pull in steps of 5 s, rounded up; 0 if the image is cached. */
    double pullSteps() {
        return pullSteps;
    }

    /** Whether it is a spot machine and the job should run on one if it may. */
    boolean spotPreferred() {
        return spotPreferred;
    }

    /** For a service: whether the machine pulls its image already. */
    boolean imagePullInProgress() {
        return imagePullInProgress;
    }

    boolean keptForLargeTasks() {
        return keptForLargeTasks;
    }

    /** Whether a task of the job failed on this machine lately. */
    boolean jobFailedHere() {
        return jobFailedHere;
    }

    double freeShare() {
        return freeShare;
    }

    int tieBreakRank() {
        return tieBreakRank;
    }
}
