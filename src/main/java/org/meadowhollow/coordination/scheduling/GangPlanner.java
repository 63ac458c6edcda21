package org.meadowhollow.coordination.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.meadowhollow.coordination.scheduling.CandidateQueue.RiskPolicy;
import org.meadowhollow.coordination.scheduling.CandidateQueue.Selection;

/**
 * Finds machines for all tasks of a gang, or for none. Tries each zone that the gang could use and
 * then undoes the assignments, so planning leaves the candidates unchanged.
 */
final class GangPlanner {
    /** A tentative assignment, and whether it started an image pull. */
    private record TrialAssignment(MachineCandidate candidate, boolean pullStarted) {}

    private final List<MachineCandidate> candidates;
    private final PlacementRound.PendingJob gang;
    private final StepBudget budget;

    GangPlanner(
            List<MachineCandidate> candidates, PlacementRound.PendingJob gang, StepBudget budget) {
        this.candidates = candidates;
        this.gang = gang;
        this.budget = budget;
    }

    /**
     * Returns a machine for each task, in the order of the tasks, or an empty list if no zone has
     * enough capacity. Of several zones, chooses the one where the slowest image pull ends first,
     * because a gang starts only after its last image pull; of equal ones, the first.
     */
    List<MachineCandidate> plan(RiskPolicy riskPolicy) {
        List<MachineCandidate> best = List.of();
        double bestSlowestPull = Double.MAX_VALUE;
        for (Optional<String> zone : zonesToTry()) {
            List<MachineCandidate> machines = new ArrayList<>();
            double slowestPull = tryZone(zone, riskPolicy, machines);
            if (machines.size() == gang.taskCount() && slowestPull < bestSlowestPull) {
                best = machines;
                bestSlowestPull = slowestPull;
            }
        }
        return best;
    }

    /**
     * Returns the zones of the candidates, in their order; a single empty value, which stands for
     * all zones, if the gang may be spread over several.
     */
    private Set<Optional<String>> zonesToTry() {
        if (!gang.spec().requiresSingleZone()) {
            return Set.of(Optional.empty());
        }
        Set<Optional<String>> zones = new LinkedHashSet<>();
        for (MachineCandidate candidate : candidates) {
            zones.add(Optional.ofNullable(candidate.zone()));
        }
        return zones;
    }

    /**
     * Assigns as many tasks of the gang as possible, then undoes all assignments.
     *
     * @param machines receives the machine of each assigned task
     * @return the length of the slowest image pull, in steps of {@link CandidateScore#pullSteps}
     */
    private double tryZone(
            Optional<String> zone, RiskPolicy riskPolicy, List<MachineCandidate> machines) {
        CandidateQueue queue = new CandidateQueue(candidates, gang, riskPolicy, zone, budget);
        List<TrialAssignment> assignments = new ArrayList<>();
        double slowestPull = 0;
        while (assignments.size() < gang.taskCount()) {
            Optional<Selection> selection = queue.selectBest();
            if (selection.isEmpty()) {
                break;
            }
            MachineCandidate candidate = selection.get().candidate();
            // Read before the assignment, which updates the score for the next task.
            slowestPull = Math.max(slowestPull, candidate.score().pullSteps());
            boolean pullStarted = queue.assign(selection.get());
            assignments.add(new TrialAssignment(candidate, pullStarted));
        }
        for (TrialAssignment assignment : assignments) {
            assignment.candidate().unassign(gang.spec(), assignment.pullStarted());
            machines.add(assignment.candidate());
        }
        return slowestPull;
    }
}
