package org.meadowhollow.coordination.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.failover.FailoverPreconditions.Facts;
import org.meadowhollow.coordination.failover.FailoverPreconditions.Precondition;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Revision;

class FailoverPreconditionsTest {
    private static final Revision KEY = new Revision(40);

    private static Set<Precondition> failing(
            boolean lease,
            long shown,
            Revision records,
            boolean types,
            boolean calendar,
            boolean heard,
            int reported) {
        return FailoverPreconditions.findUnmet(
                new Facts(
                        lease,
                        new FencingToken(3),
                        new FencingToken(shown),
                        KEY,
                        records,
                        types,
                        calendar,
                        heard,
                        reported,
                        5));
    }

    @Test
    void eachCheckFailsForItsOwnReasonAlone() {
        assertEquals(Set.of(), failing(true, 3, KEY, true, true, true, 5));
        assertEquals(Set.of(Precondition.LEASE_VALID), failing(false, 3, KEY, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.TOKEN_IS_HIGHEST), failing(true, 4, KEY, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.RECORDS_LOADED), failing(true, 3, null, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.RECORDS_COVER_LEADER_KEY),
                failing(true, 3, new Revision(39), true, true, true, 5));
        assertEquals(
                Set.of(Precondition.MACHINE_TYPES_KNOWN),
                failing(true, 3, KEY, false, true, true, 5));
        assertEquals(
                Set.of(Precondition.RESERVATIONS_LOADED),
                failing(true, 3, KEY, true, false, true, 5));
        assertEquals(
                Set.of(Precondition.WORKERS_REACHABLE),
                failing(true, 3, KEY, true, true, false, 5));
        assertEquals(
                Set.of(Precondition.ENOUGH_MACHINES_REPORTED),
                failing(true, 3, KEY, true, true, true, 4));
        assertEquals(
                EnumSet.complementOf(EnumSet.of(Precondition.RECORDS_COVER_LEADER_KEY)),
                failing(false, 4, null, false, false, false, 0));
    }
}
