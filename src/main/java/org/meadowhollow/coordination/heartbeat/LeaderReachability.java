package org.meadowhollow.coordination.heartbeat;

import java.time.Duration;
import java.util.List;
import org.meadowhollow.coordination.api.PeerReachabilityReport;

/**
 * Tells a leader that has lost its workers from workers that are lost. Many machines silent at once
 * speak against the listener; the other controllers, to whom workers turn when their leader gives
 * no answer, can tell. Pure functions.
 */
public final class LeaderReachability {
    /**
     * The share of the known machines above which silence has a common cause: a wave of spot
     * machines or a zone with fewer machines stays below it, and so did every independent failure
     * seen.
     */
    public static final double DEGRADED_OVERDUE_SHARE = 0.25;

    /**
     * The share above which it is the listener: the loss of the larger of two or three zones stays
     * below it.
     */
    static final double ISOLATED_OVERDUE_SHARE = 0.75;

    /** Fewer machines than this tell nothing. */
    static final int MIN_KNOWN_MACHINES = 3;

    /** Machines that must have come to another node: one or two lose a connection now and then. */
    static final int MIN_MACHINES_SEEN_BY_PEER = 3;

    /**
     * How long others have for an answer before a deaf leader goes by its own evidence alone:
     * workers reach the next node 5 s after their leader fell silent, and the leader notes its own
     * deafness about as soon.
     */
    static final Duration PEER_ANSWER_TIMEOUT = Duration.ofSeconds(3);

    /** How well a leader hears its workers. */
    public enum Reachability {
        HEALTHY,
        DEGRADED,
        ISOLATED
    }

    /**
     * What follows for the leadership; {@code heir} is the node to hand it to, null where none is
     * known.
     */
    public record ResignationDecision(boolean resigns, String preferredSuccessor) {
        private static final ResignationDecision KEEP_LEADERSHIP =
                new ResignationDecision(false, null);
    }

    private LeaderReachability() {}

    /**
     * @param known machines that should report
     * @param late those of them whose report is overdue
     */
    public static Reachability classify(int known, int late) {
        if (known < MIN_KNOWN_MACHINES || late <= DEGRADED_OVERDUE_SHARE * known) {
            return Reachability.HEALTHY;
        }
        return late < ISOLATED_OVERDUE_SHARE * known
                ? Reachability.DEGRADED
                : Reachability.ISOLATED;
    }

    /**
     * Whether a deaf leader gives its lease up. It does so for a node that hears its workers. If
     * all others answer and none hears them, nothing is gained by taking turns, and it stays. If
     * some others cannot be reached, it gives up once without knowing of a better one; nobody who
     * does not hear takes the lease then before it comes back.
     *
     * @param deafFor since when it has been deaf
     * @param asked how many late machines the others were asked about
     * @param others an answer or its absence for each of the other controllers; empty before the
     *     first round of answers
     * @param mayTry whether it has not given up on its own evidence lately
     */
    public static ResignationDecision decideResignation(
            Duration deafFor, int asked, List<PeerReachabilityReport> others, boolean mayTry) {
        PeerReachabilityReport best = null;
        boolean allAnswered = true;
        for (PeerReachabilityReport other : others) {
            allAnswered &= other.answered();
            if (other.reachesStore()
                    && other.recentlyHeard().size()
                            >= Math.min(MIN_MACHINES_SEEN_BY_PEER, Math.max(1, asked))
                    && (best == null
                            || other.recentlyHeard().size() > best.recentlyHeard().size())) {
                best = other;
            }
        }
        if (best != null) {
            return new ResignationDecision(true, best.member());
        }
        boolean alone = !others.isEmpty() && !allAnswered;
        return alone && mayTry && deafFor.compareTo(PEER_ANSWER_TIMEOUT) >= 0
                ? new ResignationDecision(true, null)
                : ResignationDecision.KEEP_LEADERSHIP;
    }
}
