package org.meadowhollow.coordination.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.meadowhollow.coordination.scheduling.CandidateQueue.RiskPolicy;
import org.meadowhollow.coordination.scheduling.CandidateQueue.Selection;

/**
 * Gang scheduling: finds machines for all tasks of a gang, or none. Each zone that the gang could
 * use is tried in turn and the assignments are taken back, so planning leaves the candidates as
 * they were.
 */
final class GangPlanner {
    /** An assignment made while trying, and whether it started an image pull. */
    private record TrialAssignment(MachineCandidate candidate, boolean pullStarted) {}

    private final List<MachineCandidate> candidates;
    private final PlacementRound.PendingJob gang;

    GangPlanner(List<MachineCandidate> candidates, PlacementRound.PendingJob gang) {
        this.candidates = candidates;
        this.gang = gang;
    }

    /**
     * A machine for each task, in the order of the tasks, or an empty list. Of several zones, the
     * one where the slowest image pull ends first wins, because a gang starts when the last of its
     * images has been pulled; of equal ones, the first.
     */
    List<MachineCandidate> plan(RiskPolicy riskPolicy) {
        List<MachineCandidate> best = List.of();
        double bestSlowestPull = Double.MAX_VALUE;
        for (Optional<String> zone : zonesToTry()) {
            List<MachineCandidate> machines = new ArrayList<>();
            double slowestPull = tryZone(zone, riskPolicy, machines);
            if (machines.size() == gang.tasks().length && slowestPull < bestSlowestPull) {
                best = machines;
                bestSlowestPull = slowestPull;
            }
        }
        return best;
    }

    /**
     * The zones of the candidates, in their order; a single empty one if the gang may be spread.
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
     * Assigns as many tasks as find a machine, then takes all assignments back.
     *
     * @param machines takes the machines found
     * @return the steps that the slowest image pull takes
     */
    private double tryZone(
            Optional<String> zone, RiskPolicy riskPolicy, List<MachineCandidate> machines) {
        CandidateQueue queue = new CandidateQueue(candidates, gang, riskPolicy, zone);
        List<TrialAssignment> assignments = new ArrayList<>();
        double slowestPull = 0;
        while (assignments.size() < gang.tasks().length) {
            Optional<Selection> selection = queue.selectBest();
            if (selection.isEmpty()) {
                break;
            }
            MachineCandidate candidate = selection.get().candidate();
            // Read before the assignment, which scores the candidate for the next task.
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
