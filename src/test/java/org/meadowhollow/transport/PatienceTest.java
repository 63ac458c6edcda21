package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PatienceTest {
    private static final long SECOND = 1_000_000_000;

    @Test
    void anAnswerIsGivenUpAtItsTime() {
        assertEquals(0, new Patience(0, SECOND).more(SECOND + 3_000_000));
    }

    @Test
    void aLoopThatIsBehindReadsOnceMoreBeforeItGivesUp() {
        Patience patience = new Patience(0, SECOND);
        assertEquals(2 * SECOND, patience.more(3 * SECOND), "as long as it was late");
        assertEquals(0, patience.more(9 * SECOND), "and no longer");
    }
}
