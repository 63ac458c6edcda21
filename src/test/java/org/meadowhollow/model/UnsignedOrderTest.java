package org.meadowhollow.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class UnsignedOrderTest {
    /** 2^63 - 1 and 2^63, between which the sign of a long changes. */
    private static final long BELOW = Long.MAX_VALUE;

    private static final long ABOVE = Long.MIN_VALUE;

    private static Heartbeat heartbeat(long incarnation, long sequenceNumber) {
        return new Heartbeat(
                Heartbeat.Origin.REQUEST,
                new MachineId("vm-1"),
                "vm-1:9000",
                "small",
                "a",
                false,
                new WorkerIncarnation(incarnation),
                sequenceNumber,
                FencingToken.NONE,
                Double.NaN,
                List.of());
    }

    @Test
    void numbersFromHalfTheirRangeOnAreNotTakenForLowerOnes() {
        assertTrue(new Revision(ABOVE).isAfter(new Revision(BELOW)));
        assertFalse(new Revision(BELOW).isAfter(new Revision(ABOVE)));
        assertTrue(new FencingToken(ABOVE).isAfter(new FencingToken(BELOW)));
        assertEquals(new FencingToken(ABOVE), new FencingToken(BELOW).next());
        assertTrue(new WorkerIncarnation(ABOVE).isAfter(new WorkerIncarnation(BELOW)));
    }

    @Test
    void laterHeartbeatIsNotTakenForAnEarlierOneAtHalfTheRange() {
        WorkerIncarnation incarnation = new WorkerIncarnation(1);
        assertTrue(heartbeat(1, ABOVE).isNewerThan(incarnation, BELOW));
        assertFalse(heartbeat(1, BELOW).isNewerThan(incarnation, ABOVE));
        assertTrue(heartbeat(ABOVE, 0).isNewerThan(new WorkerIncarnation(BELOW), 9));
    }

    @Test
    void numbersArePrintedWithoutASign() {
        assertEquals("9223372036854775808", new Revision(ABOVE).toString());
        assertEquals("18446744073709551615", new FencingToken(-1).toString());
        assertEquals("9223372036854775808", new AttemptNumber(ABOVE).toString());
    }

    @Test
    void noFencingTokenFollowsTheHighestOne() {
        assertThrows(ArithmeticException.class, () -> new FencingToken(-1).next());
    }

    @Test
    void attemptThatThisProgramDidNotIssueIsNotTakenForOneThatItDid() {
        AttemptNumber unknown = new AttemptNumber((1L << 32) + 1);
        assertFalse(unknown.equals(new AttemptNumber(1)));
        assertThrows(ArithmeticException.class, unknown::issuedValue);
    }
}
