package org.meadowhollow.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class StandingTest {
    @Test
    void theLeaseThatWasHandedOverIsLeftToItsHeirForAMoment() {
        Map<String, Object> terms = Standing.handedOver(4, "n1");
        assertEquals(Duration.ZERO, Standing.after(terms, "n1", false, false));
        assertEquals(Standing.FOR_THE_HEIR, Standing.after(terms, "n2", false, false));
        assertEquals(Standing.FOR_THE_HEIR, Standing.after(terms, "n2", true, false));
        assertEquals(
                Duration.ZERO,
                Standing.after(Standing.handedOver(4, null), "n2", false, false),
                "nobody is meant");
    }
}
