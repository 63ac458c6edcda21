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
    private static final Revision LEADER_KEY_REVISION = new Revision(40);

    private static Set<Precondition> findUnmet(
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
                        LEADER_KEY_REVISION,
                        recordsRevision,
                        machineTypesKnown,
                        reservationsLoaded,
                        workersReachable,
                        machinesReported,
                        5));
    }

    @Test
    void eachPreconditionIsUnmetForItsOwnReasonAlone() {
        assertEquals(Set.of(), findUnmet(true, 3, LEADER_KEY_REVISION, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.LEASE_VALID),
                findUnmet(false, 3, LEADER_KEY_REVISION, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.TOKEN_IS_HIGHEST),
                findUnmet(true, 4, LEADER_KEY_REVISION, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.RECORDS_LOADED), findUnmet(true, 3, null, true, true, true, 5));
        assertEquals(
                Set.of(Precondition.RECORDS_COVER_LEADER_KEY),
                findUnmet(true, 3, new Revision(39), true, true, true, 5));
        assertEquals(
                Set.of(Precondition.MACHINE_TYPES_KNOWN),
                findUnmet(true, 3, LEADER_KEY_REVISION, false, true, true, 5));
        assertEquals(
                Set.of(Precondition.RESERVATIONS_LOADED),
                findUnmet(true, 3, LEADER_KEY_REVISION, true, false, true, 5));
        assertEquals(
                Set.of(Precondition.WORKERS_REACHABLE),
                findUnmet(true, 3, LEADER_KEY_REVISION, true, true, false, 5));
        assertEquals(
                Set.of(Precondition.ENOUGH_MACHINES_REPORTED),
                findUnmet(true, 3, LEADER_KEY_REVISION, true, true, true, 4));
        assertEquals(
                EnumSet.complementOf(EnumSet.of(Precondition.RECORDS_COVER_LEADER_KEY)),
                findUnmet(false, 4, null, false, false, false, 0));
    }
}
