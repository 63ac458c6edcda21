package org.meadowhollow.coordination.serving;

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

class ServedTest {
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
    void teamsAreCountedApartAndOneThatFallsBehindIsNamed() {
        Served served = new Served();
        List<Job> waiting = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            served.came(spec(number, "home"));
            served.began(spec(number, "home"));
            served.began(spec(number, "home"));
            served.ended(spec(number, "home"), number == 4, number < 3 ? 20 : 40);
            served.came(spec(10 + number, "guest"));
            waiting.add(new Job(spec(10 + number, "guest"), 0, 100, new Revision(1)));
        }
        assertEquals(List.of(), served.account(waiting, new MonotonicTime(0), 0, job -> "room"));
        List<String> lines =
                served.account(
                        waiting, new MonotonicTime(130_000_000_000L), 130_000, job -> "room");
        assertTrue(
                lines.get(0).contains("of guest: 5 jobs came, 0 started")
                        && lines.get(0).contains("10 tasks wait")
                        && lines.get(0).contains("FALLS BEHIND: 5 jobs"),
                lines.get(0));
        assertEquals(
                "served: class scan of home: 5 jobs came, 5 started, 4 done, 1 late, 1 cancelled; 0 tasks wait,"
                        + " the oldest for 0 s",
                lines.get(1));
    }

    @Test
    void theLargestJobsOfAClassAreCountedAndSayWhatTheyWaitFor() {
        Served served = new Served();
        List<Job> jobs = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            JobSpec spec = spec(number, "home");
            JobSpec sized =
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
            served.came(sized);
            if (number == 0 || number > 2) {
                served.began(sized);
            }
            jobs.add(new Job(sized, 0, 100, new Revision(1)));
        }
        served.account(jobs, new MonotonicTime(0), 0, job -> "room");
        List<String> lines =
                served.account(
                        jobs,
                        new MonotonicTime(130_000_000_000L),
                        130_000,
                        job -> "its team's limit");
        assertTrue(lines.get(0).endsWith("1 of its largest jobs wait"), lines.get(0));
        assertEquals(
                List.of(
                        "large job req-000001 of class scan, 16 tasks, waits for 130 s: its team's limit"),
                lines.subList(1, lines.size()));
    }
}
