package org.meadowhollow.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CandidacyPolicyTest {
    @Test
    void preferredSuccessorOfAHandoverStandsFirst() {
        Map<String, Object> counter = CandidacyPolicy.handoverRecord(4, "n1");
        assertEquals(Duration.ZERO, CandidacyPolicy.candidacyDelay(counter, "n1", false, false));
        assertEquals(
                CandidacyPolicy.PREFERRED_SUCCESSOR_HEAD_START,
                CandidacyPolicy.candidacyDelay(counter, "n2", false, false));
        assertEquals(
                CandidacyPolicy.PREFERRED_SUCCESSOR_HEAD_START,
                CandidacyPolicy.candidacyDelay(counter, "n2", true, false));
        assertEquals(
                Duration.ZERO,
                CandidacyPolicy.candidacyDelay(
                        CandidacyPolicy.handoverRecord(4, null), "n2", false, false),
                "no successor is preferred");
    }
}
