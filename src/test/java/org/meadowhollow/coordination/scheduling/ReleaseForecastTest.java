package org.meadowhollow.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/** All tasks have an estimated runtime of 10 s, so the forecast expects 13 s for each. */
class ReleaseForecastTest {
    private static final Resources ONE = Resources.of(1, 1, 1);
    private static final MachineType TYPE =
            new MachineType("type", ONE, 50, 1, 1, 1, 40, List.of("a"));
    private static final double STARTUP_DELAY_SECONDS = 40;

    private final ReleaseForecast releaseForecast =
            new ReleaseForecast(List.of(), new MonotonicTime(0));

    private static JobSpec array(double deadlineSeconds, boolean spot) {
        return new JobSpec(
                new JobId("req-1"),
                "class",
                "team",
                JobKind.ARRAY,
                Priority.NORMAL,
                9,
                ONE,
                null,
                null,
                false,
                false,
                spot,
                "image",
                1,
                10,
                0,
                0,
                deadlineSeconds);
    }

    private void addRelease(double releasedInSeconds, boolean spot) {
        addReleases(1, releasedInSeconds, spot);
    }

    private void addReleases(int tasks, double releasedInSeconds, boolean spot) {
        releaseForecast.addReleasesOnBootingMachines(
                array(Double.NaN, spot), tasks, TYPE, "a", spot, releasedInSeconds - 13);
    }

    @Test
    void capacityServesSeveralTasksInTurnWhileTheyAreInTime() {
        addRelease(5, false);
        // The latest start in time is at 80 - 13 = 67 s, so tasks start at 5, 18, 31, 44 and 57 s.
        assertEquals(
                5, releaseForecast.claimReleases(array(80, false), 9, 0, STARTUP_DELAY_SECONDS));
        assertEquals(
                0,
                releaseForecast.claimReleases(array(80, false), 9, 0, STARTUP_DELAY_SECONDS),
                "the next task would start at 70 s");
    }

    @Test
    void capacityThatIsReleasedTogetherIsClaimedInPartsLikeSingleReleases() {
        addReleases(3, 5, false);
        assertEquals(
                2, releaseForecast.claimReleases(array(80, false), 2, 0, STARTUP_DELAY_SECONDS));
        // One release is left at 5 s, and two follow at 18 s; the latest start is at 32 - 13 = 19
        // s.
        assertEquals(
                4,
                releaseForecast.claimReleases(array(32, false), 9, 0, 18),
                "one task starts at 5 s, and three at 18 s");
    }

    @Test
    void lateTaskWaitsForReleaseUpToStartupDelay() {
        addRelease(35, false);
        assertEquals(
                1, releaseForecast.claimReleases(array(30, false), 9, 0, STARTUP_DELAY_SECONDS));
    }

    @Test
    void spotCapacityIsOnlyForTasksThatAllowIt() {
        addRelease(5, true);
        assertEquals(
                0, releaseForecast.claimReleases(array(80, false), 9, 0, STARTUP_DELAY_SECONDS));
        assertEquals(
                1, releaseForecast.claimReleases(array(80, true), 1, 0, STARTUP_DELAY_SECONDS));
    }
}
