package org.meadowhollow.coordination.rounds;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.model.JobId;

/**
 * A pass of placement over the pending jobs, in their order. It mostly takes one round. If the
 * budget of a round does not suffice for all jobs, the next rounds continue with those that were
 * left out, so that no job waits for ever behind jobs that take many steps and find no capacity.
 * New jobs join the pass in their order. Guarded by the leader's lock.
 */
final class JobPass {
    private final Set<JobId> examinedBefore = new HashSet<>();
    private Map<JobId, Integer> unplacedBefore = Map.of();

    /** The jobs that the pass has not examined yet, in the given order. */
    List<PlacementRound.PendingJob> remaining(List<PlacementRound.PendingJob> pendingJobs) {
        if (examinedBefore.isEmpty()) {
            return pendingJobs;
        }
        List<PlacementRound.PendingJob> remaining = new ArrayList<>();
        for (PlacementRound.PendingJob job : pendingJobs) {
            if (!examinedBefore.contains(job.spec().id())) {
                remaining.add(job);
            }
        }
        return remaining;
    }

    /**
     * Records a round, and returns the number of unplaced tasks of each job: as found by this
     * round, or by an earlier one of the pass for the jobs that were left out.
     *
     * @param pendingJobs all pending jobs of the round
     * @param remaining the jobs among them that the round was given
     */
    Map<JobId, Integer> recordRound(
            List<PlacementRound.PendingJob> pendingJobs,
            List<PlacementRound.PendingJob> remaining,
            PlacementRound.Outcome outcome) {
        boolean complete = outcome.examinedJobs() == remaining.size();
        if (complete && examinedBefore.isEmpty()) {
            return outcome.unplacedTasksByJob();
        }
        Set<JobId> examinedNow = new HashSet<>();
        for (PlacementRound.PendingJob job : remaining.subList(0, outcome.examinedJobs())) {
            examinedNow.add(job.spec().id());
        }
        Map<JobId, Integer> unplaced = new HashMap<>(outcome.unplacedTasksByJob());
        for (PlacementRound.PendingJob job : pendingJobs) {
            Integer before = unplacedBefore.get(job.spec().id());
            if (before != null && !examinedNow.contains(job.spec().id())) {
                unplaced.put(job.spec().id(), Math.min(before, job.taskCount()));
            }
        }
        if (complete) {
            examinedBefore.clear();
        } else {
            examinedBefore.addAll(examinedNow);
        }
        unplacedBefore = examinedBefore.isEmpty() ? Map.of() : unplaced;
        return unplaced;
    }
}
