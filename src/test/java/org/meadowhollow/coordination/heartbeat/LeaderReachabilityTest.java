package org.meadowhollow.coordination.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.heartbeat.LeaderReachability.Reachability;
import org.meadowhollow.coordination.heartbeat.LeaderReachability.ResignationDecision;
import org.meadowhollow.model.MachineId;

/** Tests the thresholds of a leader's reachability, and when an isolated leader resigns. */
class LeaderReachabilityTest {
    private static final Duration PEER_ANSWER_TIMEOUT = Duration.ofSeconds(3);
    private static final int QUERIED_MACHINES = 10;

    private static PeerReachabilityReport report(String member, boolean reachesStore, int seen) {
        Set<MachineId> machines =
                IntStream.range(0, seen)
                        .mapToObj(number -> new MachineId("vm-" + number))
                        .collect(Collectors.toSet());
        return new PeerReachabilityReport(member, true, reachesStore, machines);
    }

    private static ResignationDecision decide(
            Duration isolatedFor, PeerReachabilityReport... reports) {
        return LeaderReachability.decideResignation(
                isolatedFor, QUERIED_MACHINES, List.of(reports), true);
    }

    @ParameterizedTest
    @CsvSource({
        "2, 2, HEALTHY",
        "8, 2, HEALTHY",
        "8, 3, DEGRADED",
        "8, 5, DEGRADED",
        "8, 6, ISOLATED",
        "8, 8, ISOLATED"
    })
    void classifiesByTheShareOfOverdueMachines(int known, int overdue, Reachability expected) {
        assertEquals(expected, LeaderReachability.classify(known, overdue));
    }

    @Test
    void resignsInFavourOfThePeerThatSeesTheMostMachines() {
        ResignationDecision decision =
                decide(
                        Duration.ZERO,
                        report("n1", true, 3),
                        report("n2", true, 5),
                        report("n3", false, 9));
        assertTrue(decision.resigns());
        assertEquals(Optional.of("n2"), decision.preferredSuccessor());
    }

    @Test
    void keepsLeadershipWhenAllPeersAnswerAndNoneSeesEnoughMachines() {
        assertFalse(
                decide(PEER_ANSWER_TIMEOUT, report("n1", true, 2), report("n2", true, 0))
                        .resigns());
    }

    @Test
    void resignsWithoutSuccessorOnlyAfterThePeersHadTimeToAnswer() {
        PeerReachabilityReport missing = PeerReachabilityReport.unanswered("n1");
        assertFalse(decide(PEER_ANSWER_TIMEOUT.minusMillis(1), missing).resigns());
        ResignationDecision decision = decide(PEER_ANSWER_TIMEOUT, missing);
        assertTrue(decision.resigns());
        assertEquals(Optional.empty(), decision.preferredSuccessor());
    }

    @Test
    void keepsLeadershipBeforeTheFirstAnswersAndAfterARecentResignation() {
        assertFalse(decide(PEER_ANSWER_TIMEOUT).resigns());
        List<PeerReachabilityReport> missing = List.of(PeerReachabilityReport.unanswered("n1"));
        assertFalse(
                LeaderReachability.decideResignation(
                                PEER_ANSWER_TIMEOUT, QUERIED_MACHINES, missing, false)
                        .resigns());
    }
}
