package org.meadowhollow.coordination.succession;

import java.util.EnumSet;
import java.util.Set;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Revision;

/**
 * What a new leader checks before its first decision: a pure function over what is so in the turn
 * that decides, so that nothing can change between the check and the decision. docs/standby.md has
 * the list with the story of each.
 */
public final class FirstDecision {
    /** What a leader does while a check fails. */
    public enum WayOn {
        WAIT,
        READ_AGAIN,
        GIVE_UP
    }

    /** The checks, in the order in which they come true. */
    public enum Check {
        /**
         * A process that stood still, or lost its lease to another, would decide beside its
         * successor.
         */
        LEASE_HOLDS(WayOn.WAIT),
        /**
         * Workers drop the answers of a term below what they have shown; nothing that it decides
         * would be heeded.
         */
        TERM_IS_HIGHEST(WayOn.GIVE_UP),
        /** A task that no record here knows of would be started a second time. */
        RECORDS_ARE_IN(WayOn.WAIT),
        /**
         * An image that is older than the key may lack what the last leader committed just before
         * its end.
         */
        RECORDS_REACH_THE_KEY(WayOn.READ_AGAIN),
        /** What is fitted to no machine type looks as if it could never run. */
        TYPES_ARE_KNOWN(WayOn.WAIT),
        /**
         * Where reservations are taken, a machine that is promised looks free until they are known.
         */
        CALENDAR_IS_KNOWN(WayOn.WAIT),
        /**
         * A leader that hears hardly anyone would do what only helps it, and hits what is healthy.
         */
        WORKERS_ARE_HEARD(WayOn.WAIT),
        /** From the few machines that happen to report first, everything seems to lack room. */
        ENOUGH_HAVE_REPORTED(WayOn.WAIT);

        private final WayOn wayOn;

        Check(WayOn wayOn) {
            this.wayOn = wayOn;
        }

        public WayOn wayOn() {
            return wayOn;
        }
    }

    /**
     * What is so now.
     *
     * @param keyTakenAt the revision of the transaction that took the key
     * @param recordsAt the revision of the records in hand, or null while they are not in
     * @param highestShown the highest term that any worker or node has told of
     * @param reported machines that have reported
     * @param needed machines whose reports the first round needs
     */
    public record Facts(
            boolean leaseHolds,
            FencingToken term,
            FencingToken highestShown,
            Revision keyTakenAt,
            Revision recordsAt,
            boolean typesKnown,
            boolean calendarKnown,
            boolean workersHeard,
            int reported,
            int needed) {}

    private FirstDecision() {}

    /** The checks that fail, none if the first decision may be made. */
    public static Set<Check> failing(Facts facts) {
        Set<Check> failing = EnumSet.noneOf(Check.class);
        require(facts.leaseHolds(), Check.LEASE_HOLDS, failing);
        require(!facts.highestShown().isAfter(facts.term()), Check.TERM_IS_HIGHEST, failing);
        require(facts.recordsAt() != null, Check.RECORDS_ARE_IN, failing);
        require(
                facts.recordsAt() == null || !facts.keyTakenAt().isAfter(facts.recordsAt()),
                Check.RECORDS_REACH_THE_KEY,
                failing);
        require(facts.typesKnown(), Check.TYPES_ARE_KNOWN, failing);
        require(facts.calendarKnown(), Check.CALENDAR_IS_KNOWN, failing);
        require(facts.workersHeard(), Check.WORKERS_ARE_HEARD, failing);
        require(facts.reported() >= facts.needed(), Check.ENOUGH_HAVE_REPORTED, failing);
        return failing;
    }

    private static void require(boolean holds, Check check, Set<Check> failing) {
        if (!holds) {
            failing.add(check);
        }
    }
}
