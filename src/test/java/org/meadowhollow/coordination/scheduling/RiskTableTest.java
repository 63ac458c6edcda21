package org.meadowhollow.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.meadowhollow.model.MonotonicTime;

class RiskTableTest {
    private final RiskTable table = new RiskTable();
    private long second;

    private void recordSamples(int count, int violations) {
        for (int index = 0; index < count; index++) {
            table.recordSample(
                    4, 0.5, violations, new MonotonicTime((second += 3) * 1_000_000_000L));
        }
    }

    @Test
    void predictsNothingFromTooFewSamples() {
        recordSamples(RiskTable.MIN_SAMPLES - 1, 0);
        assertTrue(Double.isNaN(table.noViolationProbability(4, 0.5)));
        recordSamples(1, 0);
        assertEquals(1, table.noViolationProbability(4, 0.5));
    }

    @Test
    void predictsNothingForLoadsWithoutSamples() {
        recordSamples(40, 0);
        assertTrue(Double.isNaN(table.noViolationProbability(9, 0.9)));
    }

    @Test
    void predictsShareOfSamplesWithoutViolation() {
        recordSamples(30, 0);
        recordSamples(10, 1);
        assertEquals(0.75, table.noViolationProbability(4, 0.5));
    }

    @Test
    void isRebuiltFromLastTenMinutesWhenViolationRateChanges() {
        for (int index = 0; index < 40; index++) {
            table.recordSample(9, 0.9, 0, new MonotonicTime((second += 3) * 1_000_000_000L));
        }
        recordSamples(210, 0);
        assertEquals(1, table.noViolationProbability(9, 0.9), "an unchanged rate rebuilds nothing");
        recordSamples(50, 4);
        assertTrue(Double.isNaN(table.noViolationProbability(9, 0.9)));
        assertTrue(table.noViolationProbability(4, 0.5) < 0.9);
    }
}
