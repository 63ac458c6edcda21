package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.util.Arrays;
import org.meadowhollow.model.JobSpec;

/** Creates the inputs of a {@link PlacementRound} for tests. */
final class RoundInputs {
    private RoundInputs() {}

    static PlacementRound.PendingJob pendingJob(
            JobSpec spec, int[] tasks, Object2IntMap<String> tasksByZone, boolean ignoresRisk) {
        return new PlacementRound.PendingJob(
                spec, tasks.length, count -> Arrays.copyOf(tasks, count), tasksByZone, ignoresRisk);
    }

    /** Limits that bound only the number of jobs with decisions. */
    static PlacementRound.Limits limits(int decidedJobs) {
        return new PlacementRound.Limits(
                decidedJobs, Integer.MAX_VALUE, new StepBudget(Long.MAX_VALUE));
    }
}
