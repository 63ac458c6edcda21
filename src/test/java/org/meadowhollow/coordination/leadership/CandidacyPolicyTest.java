package org.meadowhollow.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CandidacyPolicyTest {
    @Test
    void theLeaseThatWasHandedOverIsLeftToItsHeirForAMoment() {
        Map<String, Object> terms = CandidacyPolicy.handoverRecord(4, "n1");
        assertEquals(Duration.ZERO, CandidacyPolicy.candidacyDelay(terms, "n1", false, false));
        assertEquals(
                CandidacyPolicy.PREFERRED_SUCCESSOR_HEAD_START,
                CandidacyPolicy.candidacyDelay(terms, "n2", false, false));
        assertEquals(
                CandidacyPolicy.PREFERRED_SUCCESSOR_HEAD_START,
                CandidacyPolicy.candidacyDelay(terms, "n2", true, false));
        assertEquals(
                Duration.ZERO,
                CandidacyPolicy.candidacyDelay(
                        CandidacyPolicy.handoverRecord(4, null), "n2", false, false),
                "nobody is meant");
    }
}
