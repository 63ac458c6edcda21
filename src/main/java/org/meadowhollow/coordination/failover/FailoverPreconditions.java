package org.meadowhollow.coordination.failover;

import java.util.EnumSet;
import java.util.Set;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Revision;

/**
 * What a new leader checks before its first decision: a pure function over what is so in the turn
 * that decides, so that nothing can change between the check and the decision. docs/standby.md has
 * the list with the story of each.
 */
public final class FailoverPreconditions {
    /** What a leader does while a check fails. */
    public enum FailureAction {
        WAIT,
        RELOAD,
        STEP_DOWN
    }

    /** The checks, in the order in which they come true. */
    public enum Precondition {
        /**
         * A process that stood still, or lost its lease to another, would decide beside its
         * successor.
         */
        LEASE_VALID(FailureAction.WAIT),
        /**
         * Workers drop the answers of a term below what they have shown; nothing that it decides
         * would be heeded.
         */
        TOKEN_IS_HIGHEST(FailureAction.STEP_DOWN),
        /** A task that no record here knows of would be started a second time. */
        RECORDS_LOADED(FailureAction.WAIT),
        /**
         * An image that is older than the key may lack what the last leader committed just before
         * its end.
         */
        RECORDS_COVER_LEADER_KEY(FailureAction.RELOAD),
        /** What is fitted to no machine type looks as if it could never run. */
        MACHINE_TYPES_KNOWN(FailureAction.WAIT),
        /**
         * Where reservations are taken, a machine that is promised looks free until they are known.
         */
        RESERVATIONS_LOADED(FailureAction.WAIT),
        /**
         * A leader that hears hardly anyone would do what only helps it, and hits what is healthy.
         */
        WORKERS_REACHABLE(FailureAction.WAIT),
        /** From the few machines that happen to report first, everything seems to lack room. */
        ENOUGH_MACHINES_REPORTED(FailureAction.WAIT);

        private final FailureAction actionOnFailure;

        Precondition(FailureAction failureAction) {
            this.actionOnFailure = failureAction;
        }

        public FailureAction actionOnFailure() {
            return actionOnFailure;
        }
    }

    /**
     * What is so now.
     *
     * @param leaderKeyRevision the revision of the transaction that took the key
     * @param recordsRevision the revision of the records in hand, or null while they are not in
     * @param highestObservedToken the highest term that any worker or node has told of
     * @param machinesReported machines that have reported
     * @param machinesRequired machines whose reports the first round needs
     */
    public record Facts(
            boolean leaseValid,
            FencingToken fencingToken,
            FencingToken highestObservedToken,
            Revision leaderKeyRevision,
            Revision recordsRevision,
            boolean machineTypesKnown,
            boolean reservationsLoaded,
            boolean workersReachable,
            int machinesReported,
            int machinesRequired) {}

    private FailoverPreconditions() {}

    /** The checks that fail, none if the first decision may be made. */
    public static Set<Precondition> findUnmet(Facts facts) {
        Set<Precondition> failing = EnumSet.noneOf(Precondition.class);
        require(facts.leaseValid(), Precondition.LEASE_VALID, failing);
        require(
                !facts.highestObservedToken().isAfter(facts.fencingToken()),
                Precondition.TOKEN_IS_HIGHEST,
                failing);
        require(facts.recordsRevision() != null, Precondition.RECORDS_LOADED, failing);
        require(
                facts.recordsRevision() == null
                        || !facts.leaderKeyRevision().isAfter(facts.recordsRevision()),
                Precondition.RECORDS_COVER_LEADER_KEY,
                failing);
        require(facts.machineTypesKnown(), Precondition.MACHINE_TYPES_KNOWN, failing);
        require(facts.reservationsLoaded(), Precondition.RESERVATIONS_LOADED, failing);
        require(facts.workersReachable(), Precondition.WORKERS_REACHABLE, failing);
        require(
                facts.machinesReported() >= facts.machinesRequired(),
                Precondition.ENOUGH_MACHINES_REPORTED,
                failing);
        return failing;
    }

    private static void require(
            boolean holds, Precondition precondition, Set<Precondition> failing) {
        if (!holds) {
            failing.add(precondition);
        }
    }
}
