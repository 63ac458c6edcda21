package org.meadowhollow.coordination.scheduling;

import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;

/**
 * The ranking criteria of a machine for one more task of the job being placed, as compared by
 * {@link PlacementOrder}. Each candidate owns one instance, which is overwritten for each job, so
 * that a round allocates no scores. It must not change while its candidate is in a queue.
 */
final class CandidateScore {
    /**
     * The step in which estimates of image pulls are compared, since pull rates vary by a third.
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

    /** Recomputes all criteria for one more task of a job. */
    void update(MachineCandidate candidate, JobSpec spec, boolean failedHere) {
        boolean service = spec.kind() == JobKind.SERVICE;
        jobFailedHere = failedHere;
        noViolationProbability = candidate.noViolationProbabilityWith(spec);
        pullSteps = estimatePullSteps(candidate, spec);
        // Users wait for each replica, so a short image pull matters more than the spot price.
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

    /** The predicted probability of no violation; NaN if the risk table has too few samples. */
    double noViolationProbability() {
        return noViolationProbability;
    }

    /** The estimated image pull in steps of 5 s, rounded up; 0 if the image is cached. */
    double pullSteps() {
        return pullSteps;
    }

    /** Whether this is a spot machine and the job, not being a service, should run on one. */
    boolean spotPreferred() {
        return spotPreferred;
    }

    /** Whether the job is a service and the machine is already pulling its image. */
    boolean imagePullInProgress() {
        return imagePullInProgress;
    }

    boolean keptForLargeTasks() {
        return keptForLargeTasks;
    }

    /** Whether a task of the job failed on this machine recently. */
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
