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

/** A place is taken by a task that would run for 10 s, with a margin 13 s. */
class ReleaseForecastTest {
    private static final Resources ONE = Resources.of(1, 1, 1);
    private static final MachineType TYPE =
            new MachineType("type", ONE, 50, 1, 1, 1, 40, List.of("a"));
    private static final double READY_S = 40;

    private final ReleaseForecast releaseForecast =
            new ReleaseForecast(List.of(), new MonotonicTime(0));

    private static JobSpec array(double deadlineS, boolean spot) {
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
                deadlineS);
    }

    private void place(double leftInS, boolean spot) {
        releaseForecast.addReleaseOnBootingMachine(
                array(Double.NaN, spot), TYPE, "a", spot, leftInS - 13);
    }

    @Test
    void aPlaceServesOneTaskAfterTheOtherWhileTheyAreInTime() {
        place(5, false);
        // The last start in time is at 80 - 13 s: at 5, 18, 31, 44 and 57 s.
        assertEquals(5, releaseForecast.claimReleases(array(80, false), 9, 0, READY_S));
        assertEquals(
                0,
                releaseForecast.claimReleases(array(80, false), 9, 0, READY_S),
                "the next would start at 70 s");
    }

    @Test
    void whatANewMachineCannotServeInTimeWaitsForAsLongAsItWouldTake() {
        place(35, false);
        assertEquals(1, releaseForecast.claimReleases(array(30, false), 9, 0, READY_S));
    }

    @Test
    void aPlaceOnASpotMachineIsOnlyForThoseThatMayUseIt() {
        place(5, true);
        assertEquals(0, releaseForecast.claimReleases(array(80, false), 9, 0, READY_S));
        assertEquals(1, releaseForecast.claimReleases(array(80, true), 1, 0, READY_S));
    }
}
