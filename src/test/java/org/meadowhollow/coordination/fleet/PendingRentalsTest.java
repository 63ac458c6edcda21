package org.meadowhollow.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;

/** Tests how long a slow or failed boot is counted on, and when the machine is abandoned. */
class PendingRentalsTest {
    private static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 2, 32), 50, 1, 2, 1, 10, List.of("a"));
    private final PendingRentals pendingRentals = new PendingRentals();

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime((long) (seconds * 1e9));
    }

    private void rent(String id, double now) {
        pendingRentals.recordRented(List.of(new MachineId(id)), TYPE, "a", false, at(now), at(now));
    }

    @Test
    void replacesOverdueRentalTwiceAndThenWaits() {
        rent("vm-1", 0);
        assertEquals(1, pendingRentals.expectedRentals(at(14)).size());
        assertEquals(0, pendingRentals.expectedRentals(at(16)).size());
        rent("vm-2", 16);
        assertEquals(0, pendingRentals.expectedRentals(at(32)).size());
        assertEquals(
                List.of(new MachineId("vm-1")),
                pendingRentals.abandonedRentals(at(32)),
                "a replaced machine that is long overdue is abandoned");
        pendingRentals.forget(new MachineId("vm-1"));
        rent("vm-3", 32);
        assertEquals(
                1,
                pendingRentals.expectedRentals(at(60)).size(),
                "after three attempts no replacement is rented");
        assertEquals(2, pendingRentals.abandonedRentals(at(73)).size());
    }

    @Test
    void waitsLongerWhenAllRecentBootsWereSlow() {
        for (int number = 0; number < 8; number++) {
            rent("vm-" + number, 0);
        }
        for (int number = 0; number < 6; number++) {
            pendingRentals.recordBooted(new MachineId("vm-" + number), at(25 + number));
        }
        assertEquals(2, pendingRentals.expectedRentals(at(36)).size());
        assertTrue(pendingRentals.expectedRentals(at(39)).isEmpty());
    }
}
