package org.meadowhollow.coordination.succession;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.coordination.succession.FirstDecision.Check;
import org.meadowhollow.coordination.succession.FirstDecision.Facts;

class FirstDecisionTest {
    private static final Version KEY = new Version(40);

    private static Set<Check> failing(
            boolean lease,
            long shown,
            Version records,
            boolean types,
            boolean calendar,
            boolean heard,
            int reported) {
        return FirstDecision.failing(
                new Facts(
                        lease,
                        new Term(3),
                        new Term(shown),
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
                failing(true, 3, new Version(39), true, true, true, 5));
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
