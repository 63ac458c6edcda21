package org.meadowhollow.coordination.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;

class FairnessMetricsTest {
    private static JobSpec spec(int number, String team) {
        return new JobSpec(
                new JobId("req-%06d".formatted(number)),
                "scan",
                team,
                JobKind.ARRAY,
                Priority.NORMAL,
                2,
                Resources.of(1, 1, 1),
                null,
                null,
                false,
                false,
                false,
                "image",
                1,
                1,
                0,
                0,
                30);
    }

    @Test
    void teamsAreCountedSeparatelyAndStarvingTeamIsMarked() {
        FairnessMetrics fairnessMetrics = new FairnessMetrics();
        List<Job> waiting = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            fairnessMetrics.onJobAdmitted(spec(number, "home"));
            fairnessMetrics.onTaskRunning(spec(number, "home"));
            fairnessMetrics.onTaskRunning(spec(number, "home"));
            fairnessMetrics.onJobEnded(spec(number, "home"), number == 4, number < 3 ? 20 : 40);
            fairnessMetrics.onJobAdmitted(spec(10 + number, "guest"));
            waiting.add(new Job(spec(10 + number, "guest"), 0, 100, new Revision(1)));
        }
        assertEquals(
                List.of(),
                fairnessMetrics.reportIfDue(waiting, new MonotonicTime(0), 0, job -> "room"));
        List<String> lines =
                fairnessMetrics.reportIfDue(
                        waiting, new MonotonicTime(130_000_000_000L), 130_000, job -> "room");
        assertTrue(
                lines.get(0).contains("class=scan team=guest admitted=5 started=0")
                        && lines.get(0).contains("pending_tasks=10")
                        && lines.get(0).contains("STARVING jobs=5"),
                lines.get(0));
        assertEquals(
                "fairness class=scan team=home admitted=5 started=5 completed=4 late=1 cancelled=1"
                        + " pending_tasks=0 oldest_pending_s=0",
                lines.get(1));
    }

    @Test
    void starvingLargeJobsAreCountedAndLoggedWithReason() {
        FairnessMetrics fairnessMetrics = new FairnessMetrics();
        List<Job> jobs = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            JobSpec spec = spec(number, "home");
            JobSpec resizedSpec =
                    new JobSpec(
                            spec.id(),
                            spec.jobClass(),
                            spec.team(),
                            spec.kind(),
                            spec.priority(),
                            number < 2 ? 16 : 2,
                            spec.resourcesPerTask(),
                            null,
                            null,
                            false,
                            false,
                            false,
                            "image",
                            1,
                            1,
                            0,
                            0,
                            30);
            fairnessMetrics.onJobAdmitted(resizedSpec);
            if (number == 0 || number > 2) {
                fairnessMetrics.onTaskRunning(resizedSpec);
            }
            jobs.add(new Job(resizedSpec, 0, 100, new Revision(1)));
        }
        fairnessMetrics.reportIfDue(jobs, new MonotonicTime(0), 0, job -> "room");
        List<String> lines =
                fairnessMetrics.reportIfDue(
                        jobs,
                        new MonotonicTime(130_000_000_000L),
                        130_000,
                        job -> "limit of its team");
        assertTrue(lines.get(0).endsWith("large_jobs_pending=1"), lines.get(0));
        assertEquals(
                List.of(
                        "large job pending job=req-000001 class=scan tasks=16 age_s=130"
                                + " reason=limit of its team"),
                lines.subList(1, lines.size()));
    }
}
