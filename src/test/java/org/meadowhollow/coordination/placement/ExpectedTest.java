package org.meadowhollow.coordination.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

class ExpectedTest {
    private static JobSpec gang(int number) {
        return new JobSpec(
                new JobId("req-" + number),
                "class",
                "team",
                JobKind.GANG,
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
                Double.NaN);
    }

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime((long) (seconds * 1e9));
    }

    @Test
    void whatCameWithinTwiceTheTimeOfANewMachineIsLikelyToComeAgain() {
        Expected expected = new Expected();
        expected.came(gang(1), at(0), Duration.ofSeconds(10));
        expected.came(gang(2), at(15), Duration.ofSeconds(10));
        assertEquals(List.of(gang(2), gang(1)), expected.likely(at(19)));
        assertEquals(List.of(gang(2)), expected.likely(at(21)));
        assertEquals(List.of(), expected.likely(at(36)));
    }
}
