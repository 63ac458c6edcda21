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

    private static Set<Precondition> unmet(
            boolean leaseValid,
            long highestToken,
            Revision recordsRevision,
            boolean machineTypesKnown,
            boolean reservationsLoaded,
            boolean workersReachable,
            int machinesReported) {
        return FailoverPreconditions.findUnmet(
                new Facts(
                        leaseValid,
                        new FencingToken(3),
                        new FencingToken(highestToken),
                        KEY,
                        recordsRevision,
                        machineTypesKnown,
                        reservationsLoaded,
                        workersReachable,
                        machinesReported,
                        5));
    }

    @Test
    void eachPreconditionIsUnmetForItsOwnReasonAlone() {
        assertEquals(Set.of(), unmet(true, 3, KEY, true, true, true, 5));
        assertEquals(Set.of(Precondition.LEASE_VALID), unmet(false, 3, KEY, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.TOKEN_IS_HIGHEST), unmet(true, 4, KEY, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.RECORDS_LOADED), unmet(true, 3, null, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.RECORDS_COVER_LEADER_KEY),
                unmet(true, 3, new Revision(39), true, true, true, 5));
        assertEquals(
                Set.of(Precondition.MACHINE_TYPES_KNOWN),
                unmet(true, 3, KEY, false, true, true, 5));
        assertEquals(
                Set.of(Precondition.RESERVATIONS_LOADED),
                unmet(true, 3, KEY, true, false, true, 5));
        assertEquals(
                Set.of(Precondition.WORKERS_REACHABLE), unmet(true, 3, KEY, true, true, false, 5));
        assertEquals(
                Set.of(Precondition.ENOUGH_MACHINES_REPORTED),
                unmet(true, 3, KEY, true, true, true, 4));
        assertEquals(
                EnumSet.complementOf(EnumSet.of(Precondition.RECORDS_COVER_LEADER_KEY)),
                unmet(false, 4, null, false, false, false, 0));
    }
}
