package org.meadowhollow.coordination.rounds;

import static org.junit.jupiter.api.Assertions.assertEquals;

import it.unimi.dsi.fastutil.objects.Object2IntMaps;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.lifecycle.LifecycleFixture;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;

/** Guards against jobs that are never placed because the jobs before them use up each budget. */
class JobPassTest {
    private final LifecycleFixture fixture = new LifecycleFixture();
    private final JobPass pass = new JobPass();
    private final List<PlacementRound.PendingJob> pending = new ArrayList<>();

    private JobId addJob(int number) {
        JobSpec spec = fixture.admitJob("req-" + number, JobKind.ARRAY, 5).spec();
        pending.add(
                new PlacementRound.PendingJob(
                        spec, 5, count -> new int[count], Object2IntMaps.emptyMap(), false));
        return spec.id();
    }

    /** Runs a round that examines some jobs and finds capacity for none of their tasks. */
    private Map<JobId, Integer> round(int maxJobs, List<JobId> expected) {
        List<PlacementRound.PendingJob> remaining = pass.remaining(pending);
        int examined = Math.min(maxJobs, remaining.size());
        List<JobId> ids = new ArrayList<>();
        Map<JobId, Integer> unplaced = new HashMap<>();
        for (PlacementRound.PendingJob job : remaining.subList(0, examined)) {
            ids.add(job.spec().id());
            unplaced.put(job.spec().id(), 5);
        }
        assertEquals(expected, ids);
        return pass.recordRound(
                pending, remaining, new PlacementRound.Outcome(List.of(), unplaced, examined));
    }

    @Test
    void roundsContinueWithTheJobsLeftOutAndThenBeginAnew() {
        JobId first = addJob(1);
        JobId second = addJob(2);
        JobId third = addJob(3);

        assertEquals(Map.of(first, 5, second, 5), round(2, List.of(first, second)));
        assertEquals(Map.of(first, 5, second, 5, third, 5), round(2, List.of(third)));
        assertEquals(Map.of(first, 5, second, 5), round(2, List.of(first, second)));
    }

    @Test
    void newJobJoinsThePassInItsOrder() {
        JobId second = addJob(2);
        JobId third = addJob(3);
        round(1, List.of(second));
        JobId first = addJob(1);
        pending.add(0, pending.remove(2));

        round(1, List.of(first));
        assertEquals(Map.of(first, 5, second, 5, third, 5), round(1, List.of(third)));
    }

    @Test
    void jobThatIsNoLongerPendingLeavesThePass() {
        JobId first = addJob(1);
        JobId second = addJob(2);
        round(1, List.of(first));
        pending.remove(0);

        assertEquals(Map.of(second, 5), round(1, List.of(second)));
    }
}
