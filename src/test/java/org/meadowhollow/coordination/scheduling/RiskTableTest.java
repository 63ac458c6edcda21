package org.meadowhollow.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.meadowhollow.model.MonotonicTime;

class RiskTableTest {
    private final RiskTable table = new RiskTable();
    private long second;

    private void samples(int count, int violations) {
        for (int at = 0; at < count; at++) {
            table.recordSample(
                    4, 0.5, violations, new MonotonicTime((second += 3) * 1_000_000_000L));
        }
    }

    @Test
    void predictsNothingFromTooFewSamples() {
        samples(RiskTable.MIN_SAMPLES - 1, 0);
        assertTrue(Double.isNaN(table.noViolationProbability(4, 0.5)));
        samples(1, 0);
        assertEquals(1, table.noViolationProbability(4, 0.5));
    }

    @Test
    void predictsNothingForLoadsWithoutSamples() {
        samples(40, 0);
        assertTrue(Double.isNaN(table.noViolationProbability(9, 0.9)));
    }

    @Test
    void predictsShareOfSamplesWithoutViolation() {
        samples(30, 0);
        samples(10, 1);
        assertEquals(0.75, table.noViolationProbability(4, 0.5));
    }

    @Test
    void isRebuiltFromLastTenMinutesWhenViolationRateChanges() {
        for (int at = 0; at < 40; at++) {
            table.recordSample(9, 0.9, 0, new MonotonicTime((second += 3) * 1_000_000_000L));
        }
        samples(210, 0);
        assertEquals(1, table.noViolationProbability(9, 0.9), "an unchanged rate rebuilds nothing");
        samples(50, 4);
        assertTrue(Double.isNaN(table.noViolationProbability(9, 0.9)));
        assertTrue(table.noViolationProbability(4, 0.5) < 0.9);
    }
}
