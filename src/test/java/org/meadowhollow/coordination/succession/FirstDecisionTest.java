package org.meadowhollow.coordination.succession;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.succession.FirstDecision.Check;
import org.meadowhollow.coordination.succession.FirstDecision.Facts;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Revision;

class FirstDecisionTest {
    private static final Revision KEY = new Revision(40);

    private static Set<Check> failing(
            boolean lease,
            long shown,
            Revision records,
            boolean types,
            boolean calendar,
            boolean heard,
            int reported) {
        return FirstDecision.failing(
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
        assertEquals(Set.of(Check.LEASE_HOLDS), failing(false, 3, KEY, true, true, true, 5));
        assertEquals(Set.of(Check.TERM_IS_HIGHEST), failing(true, 4, KEY, true, true, true, 5));
        assertEquals(Set.of(Check.RECORDS_ARE_IN), failing(true, 3, null, true, true, true, 5));
        assertEquals(
                Set.of(Check.RECORDS_REACH_THE_KEY),
                failing(true, 3, new Revision(39), true, true, true, 5));
        assertEquals(Set.of(Check.TYPES_ARE_KNOWN), failing(true, 3, KEY, false, true, true, 5));
        assertEquals(Set.of(Check.CALENDAR_IS_KNOWN), failing(true, 3, KEY, true, false, true, 5));
        assertEquals(Set.of(Check.WORKERS_ARE_HEARD), failing(true, 3, KEY, true, true, false, 5));
        assertEquals(
                Set.of(Check.ENOUGH_HAVE_REPORTED), failing(true, 3, KEY, true, true, true, 4));
        assertEquals(
                EnumSet.complementOf(EnumSet.of(Check.RECORDS_REACH_THE_KEY)),
                failing(false, 4, null, false, false, false, 0));
    }
}
