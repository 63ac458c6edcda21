package org.meadowhollow.coordination.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

/** Tests the bounds on the number and age of the heartbeats that a node keeps. */
class HeartbeatTrackerTest {
    private final HeartbeatTracker tracker = new HeartbeatTracker();

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime((long) (seconds * 1e9));
    }

    @Test
    void evictsOldestHeartbeatAtTheBoundAndAllAfterOneMinute() {
        for (int machine = 0; machine < 20_100; machine++) {
            tracker.recordHeartbeat(new MachineId("vm-" + machine), at(machine / 1e6));
        }
        assertEquals(20_000, tracker.trackedMachines().size());
        assertFalse(tracker.trackedMachines().containsKey(new MachineId("vm-99")));
        assertTrue(tracker.trackedMachines().containsKey(new MachineId("vm-100")));
        tracker.recordHeartbeat(new MachineId("vm-late"), at(70));
        assertEquals(1, tracker.trackedMachines().size());
        assertEquals(1, tracker.countRecent(Duration.ofSeconds(6), at(75)));
        assertEquals(0, tracker.countRecent(Duration.ofSeconds(6), at(77)));
    }
}
