package org.meadowhollow.coordination.scheduling;

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

class ArrivalForecastTest {
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
    void predictsJobsSubmittedWithinTwiceTheStartupDelay() {
        ArrivalForecast arrivalForecast = new ArrivalForecast();
        arrivalForecast.recordArrival(gang(1), at(0), Duration.ofSeconds(10));
        arrivalForecast.recordArrival(gang(2), at(15), Duration.ofSeconds(10));
        assertEquals(List.of(gang(2), gang(1)), arrivalForecast.predictedJobs(at(19)));
        assertEquals(List.of(gang(2)), arrivalForecast.predictedJobs(at(21)));
        assertEquals(List.of(), arrivalForecast.predictedJobs(at(36)));
    }
}
