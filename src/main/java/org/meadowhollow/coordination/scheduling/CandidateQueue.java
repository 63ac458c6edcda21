package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;

/**
 * The machines that the tasks of one job may be assigned to, best first in {@link PlacementOrder}.
 * An assignment changes only the machine that takes the task, so each machine is scored once for
 * the job and once more after each task assigned to it. Only one queue may use a candidate at a
 * time, since it overwrites the candidate's score.
 */
final class CandidateQueue {
    /** The machines that may be used, by their predicted risk. */
    enum RiskPolicy {
        /** Only machines whose predicted risk is known and accepted. */
        ACCEPTED_ONLY,
        /** Also machines whose risk is unknown. */
        ACCEPTED_OR_UNKNOWN,
        /** All machines; those that are not accepted are compared by preference alone. */
        IGNORED
    }

    /**
     * The best machine for the next task.
     *
     * @param byRiskTable whether the machine was chosen by its predicted risk, which was accepted;
     *     otherwise by preference alone
     */
    record Selection(MachineCandidate candidate, boolean byRiskTable) {}

    /** The steps that it takes to score a candidate and to add it to a queue. */
    private static final int SCORING_STEPS = 8;

    private final JobSpec spec;
    private final StepBudget budget;
    private final RiskPolicy riskPolicy;
    private final Set<MachineId> failedMachines;
    private final Object2IntOpenHashMap<String> tasksByZone;

    private final PriorityQueue<MachineCandidate> acceptedByRisk =
            new PriorityQueue<>(
                    Comparator.comparing(MachineCandidate::score, PlacementOrder::compareByRisk));

    private final PriorityQueue<MachineCandidate> rankedByPreference =
            new PriorityQueue<>(
                    Comparator.comparing(
                            MachineCandidate::score, PlacementOrder::compareByPreference));

    /**
     * Creates a queue and scores the candidates for a job.
     *
     * @param onlyZone the zone to use, or empty for all
     * @param budget counts the candidates that are examined
     */
    CandidateQueue(
            List<MachineCandidate> candidates,
            PlacementRound.PendingJob job,
            RiskPolicy riskPolicy,
            Optional<String> onlyZone,
            StepBudget budget) {
        this.spec = job.spec();
        this.budget = budget;
        this.riskPolicy = riskPolicy;
        this.failedMachines = job.failedMachines();
        this.tasksByZone = new Object2IntOpenHashMap<>(job.tasksByZone());
        for (MachineCandidate candidate : candidates) {
            if (onlyZone.isEmpty() || onlyZone.get().equals(candidate.zone())) {
                addIfUsable(candidate);
            }
        }
    }

    private void addIfUsable(MachineCandidate candidate) {
        budget.spend(1);
        if (!PlacementConstraints.areSatisfied(spec, tasksByZone, candidate)) {
            return;
        }
        budget.spend(SCORING_STEPS);
        candidate.updateScore(spec, failedMachines);
        if (PlacementOrder.isRiskAccepted(candidate.score())) {
            acceptedByRisk.add(candidate);
        } else if (isUsableWithoutAcceptedRisk(candidate.score())) {
            rankedByPreference.add(candidate);
        }
    }

    private boolean isUsableWithoutAcceptedRisk(CandidateScore score) {
        return switch (riskPolicy) {
            case ACCEPTED_ONLY -> false;
            case ACCEPTED_OR_UNKNOWN -> PlacementOrder.isRiskUnknown(score);
            case IGNORED -> true;
        };
    }

    /** Returns the best machine for the next task, or empty if no machine can take one. */
    Optional<Selection> selectBest() {
        MachineCandidate accepted = peekUsable(acceptedByRisk);
        MachineCandidate byPreference = peekUsable(rankedByPreference);
        if (accepted != null
                && (byPreference == null
                        || PlacementOrder.prefersAccepted(
                                accepted.score(), byPreference.score()))) {
            return Optional.of(new Selection(accepted, true));
        }
        return byPreference == null
                ? Optional.empty()
                : Optional.of(new Selection(byPreference, false));
    }

    /**
     * Returns the first machine that still satisfies the constraints, or null. Machines before it
     * are removed permanently: tasks assigned since they were added have exhausted the job's limit
     * in their zone or bound the job to another zone, and neither changes back for this job.
     */
    private MachineCandidate peekUsable(PriorityQueue<MachineCandidate> queue) {
        MachineCandidate candidate = queue.peek();
        while (candidate != null
                && !PlacementConstraints.areSatisfied(spec, tasksByZone, candidate)) {
            queue.poll();
            candidate = queue.peek();
        }
        return candidate;
    }

    /**
     * Assigns a task to the machine that {@link #selectBest} returned last.
     *
     * @return whether this starts a pull of the task's image
     */
    boolean assign(Selection selection) {
        (selection.byRiskTable() ? acceptedByRisk : rankedByPreference).poll();
        boolean pullStarted = selection.candidate().assign(spec);
        tasksByZone.addTo(selection.candidate().zone(), 1);
        addIfUsable(selection.candidate());
        return pullStarted;
    }
}
