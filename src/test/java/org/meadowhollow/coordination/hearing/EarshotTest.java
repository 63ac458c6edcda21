package org.meadowhollow.coordination.hearing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

class EarshotTest {
    private final Earshot earshot = new Earshot();

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime((long) (seconds * 1e9));
    }

    @Test
    void whatWasHeardLongestAgoIsForgottenFirstAndAllOfItAfterAMinute() {
        for (int machine = 0; machine < 20_100; machine++) {
            earshot.heard(new MachineId("vm-" + machine), at(machine / 1e6));
        }
        assertEquals(20_000, earshot.all().size());
        assertFalse(earshot.all().containsKey(new MachineId("vm-99")));
        assertTrue(earshot.all().containsKey(new MachineId("vm-100")));
        earshot.heard(new MachineId("vm-late"), at(70));
        assertEquals(1, earshot.all().size());
        assertEquals(1, earshot.count(Duration.ofSeconds(6), at(75)));
        assertEquals(0, earshot.count(Duration.ofSeconds(6), at(77)));
    }
}
