package org.meadowhollow.coordination.heartbeat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.meadowhollow.coordination.api.PeerReachabilityReport;

/**
 * Distinguishes a leader that is cut off from its workers from workers that have failed. Many
 * heartbeats that are overdue at the same time point to the network of the leader itself. The other
 * controllers can confirm it, because workers whose leader does not answer send their heartbeats to
 * them. Pure functions, usable from any thread.
 */
public final class LeaderReachability {
    /**
     * Share of the known machines above which overdue heartbeats are attributed to a common cause.
     * A wave of spot preemptions or the loss of a smaller zone stays below it, as did every
     * independent failure observed.
     */
    public static final double DEGRADED_OVERDUE_SHARE = 0.25;

    /**
     * Share from which the leader itself counts as isolated. The loss of the larger of two zones,
     * or of the largest of three, stays below it.
     */
    static final double ISOLATED_OVERDUE_SHARE = 0.75;

    /** Minimum number of known machines; with fewer, the share carries no information. */
    static final int MIN_KNOWN_MACHINES = 3;

    /**
     * Number of machines that a peer must have received heartbeats from to be a better leader: one
     * or two machines may lose a connection at any time.
     */
    static final int MIN_MACHINES_SEEN_BY_PEER = 3;

    /**
     * Time that the peers have to answer before an isolated leader acts on its own evidence alone.
     * Workers try the next node 5 s after their leader stopped answering, and the leader detects
     * its isolation at about the same time.
     */
    static final Duration PEER_ANSWER_TIMEOUT = Duration.ofSeconds(3);

    /** How well heartbeats reach the leader. */
    public enum Reachability {
        /** Few heartbeats are overdue, each for a cause of its own. */
        HEALTHY,
        /**
         * So many heartbeats are overdue that a common cause is likely, such as a zone or a network
         * path.
         */
        DEGRADED,
        /** Nearly all heartbeats are overdue: the leader itself is cut off from its workers. */
        ISOLATED
    }

    /**
     * The decision whether an isolated leader resigns.
     *
     * @param preferredSuccessor the member to hand the leadership to, if a better one is known
     */
    public record ResignationDecision(boolean resigns, Optional<String> preferredSuccessor) {
        /** The decision to keep the leadership. */
        public static final ResignationDecision KEEP_LEADERSHIP =
                new ResignationDecision(false, Optional.empty());

        private static final ResignationDecision RESIGN_WITHOUT_SUCCESSOR =
                new ResignationDecision(true, Optional.empty());

        private static ResignationDecision resignInFavourOf(String member) {
            return new ResignationDecision(true, Optional.of(member));
        }
    }

    private LeaderReachability() {}

    /**
     * Classifies how well heartbeats reach the leader.
     *
     * @param knownMachines machines that should send heartbeats
     * @param overdueMachines those of them whose heartbeat is overdue
     */
    public static Reachability classify(int knownMachines, int overdueMachines) {
        if (knownMachines < MIN_KNOWN_MACHINES
                || overdueMachines <= DEGRADED_OVERDUE_SHARE * knownMachines) {
            return Reachability.HEALTHY;
        }
        return overdueMachines < ISOLATED_OVERDUE_SHARE * knownMachines
                ? Reachability.DEGRADED
                : Reachability.ISOLATED;
    }

    /**
     * Decides whether an isolated leader resigns its lease. It resigns in favour of a peer that
     * receives the workers' heartbeats. If all peers answered and none receives any, a change of
     * leader gains nothing, and it keeps the leadership. If some peers cannot be reached, it
     * resigns once without a known successor; it may then acquire the lease again before a node
     * that receives no heartbeats may.
     *
     * @param isolatedFor how long the leader has been isolated
     * @param queriedMachines how many overdue machines the peers were asked about
     * @param reports one report, or its absence, for each of the other controllers; empty before
     *     the first round of responses
     * @param mayResignWithoutSuccessor whether its last resignation without a known successor is
     *     long enough ago
     */
    public static ResignationDecision decideResignation(
            Duration isolatedFor,
            int queriedMachines,
            List<PeerReachabilityReport> reports,
            boolean mayResignWithoutSuccessor) {
        Optional<PeerReachabilityReport> best = bestSuccessor(queriedMachines, reports);
        if (best.isPresent()) {
            return ResignationDecision.resignInFavourOf(best.get().member());
        }
        boolean somePeerUnreachable = !reports.stream().allMatch(PeerReachabilityReport::answered);
        return somePeerUnreachable
                        && mayResignWithoutSuccessor
                        && isolatedFor.compareTo(PEER_ANSWER_TIMEOUT) >= 0
                ? ResignationDecision.RESIGN_WITHOUT_SUCCESSOR
                : ResignationDecision.KEEP_LEADERSHIP;
    }

    /**
     * Returns the eligible peer with heartbeats from the most machines; the first one among equals.
     */
    private static Optional<PeerReachabilityReport> bestSuccessor(
            int queriedMachines, List<PeerReachabilityReport> reports) {
        int requiredMachines = Math.min(MIN_MACHINES_SEEN_BY_PEER, Math.max(1, queriedMachines));
        PeerReachabilityReport best = null;
        for (PeerReachabilityReport report : reports) {
            int seen = report.recentlyHeard().size();
            if (report.reachesStore()
                    && seen >= requiredMachines
                    && (best == null || seen > best.recentlyHeard().size())) {
                best = report;
            }
        }
        return Optional.ofNullable(best);
    }
}
