package org.meadowhollow.coordination.failover;

import java.util.EnumSet;
import java.util.Set;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Revision;

/**
 * The checks of a new leader before its first decision. They are a pure function of facts that are
 * collected in the same turn of the event loop as the decision, so that nothing can change in
 * between. {@code FirstRoundGate} makes them, and allows no scheduling round while one of them
 * fails; it does not carry out the {@link FailureAction} itself. docs/standby.md explains each
 * check.
 */
public final class FailoverPreconditions {
    /** The action of a leader while a check fails. */
    public enum FailureAction {
        /** Make no decision yet, and check again. */
        WAIT,
        /** Read all records again. */
        RELOAD,
        /** Give up the leadership. */
        STEP_DOWN
    }

    /** The checks, in the order in which they usually become true. */
    public enum Precondition {
        /**
         * The lease has certainly not expired; otherwise a process that was suspended, or has lost
         * its lease, would decide at the same time as its successor.
         */
        LEASE_VALID(FailureAction.WAIT),
        /**
         * No higher fencing token has been observed; workers reject responses with a token below
         * the highest that they have seen, so no decision would take effect.
         */
        TOKEN_IS_HIGHEST(FailureAction.STEP_DOWN),
        /**
         * All records are loaded; a task whose record is not loaded would be started a second time.
         */
        RECORDS_LOADED(FailureAction.WAIT),
        /**
         * The records are no older than the leader record; an older replica may lack what the last
         * leader committed just before it ended.
         */
        RECORDS_COVER_LEADER_KEY(FailureAction.RELOAD),
        /**
         * The cloud's machine types are known; without them every task seems too large for any
         * machine.
         */
        MACHINE_TYPES_KNOWN(FailureAction.WAIT),
        /**
         * The reservations are loaded if they are in use; until then a reserved machine seems free.
         */
        RESERVATIONS_LOADED(FailureAction.WAIT),
        /**
         * Enough workers reach this node; a leader that hardly any worker reaches would take
         * healthy machines for failed ones.
         */
        WORKERS_REACHABLE(FailureAction.WAIT),
        /**
         * Enough machines have sent a heartbeat; the few whose heartbeats arrive first seem to lack
         * capacity for everything.
         */
        ENOUGH_MACHINES_REPORTED(FailureAction.WAIT);

        private final FailureAction actionOnFailure;

        Precondition(FailureAction failureAction) {
            this.actionOnFailure = failureAction;
        }

        /** The action of a leader while this check fails. */
        public FailureAction actionOnFailure() {
            return actionOnFailure;
        }
    }

    /**
     * The facts that the checks are made on, as of this turn of the event loop.
     *
     * @param leaseValid whether the lease certainly has not expired
     * @param fencingToken the token of this leadership
     * @param highestObservedToken the highest fencing token that any worker or node has sent
     * @param leaderKeyRevision the revision of the transaction that wrote the leader record
     * @param recordsRevision the revision that the loaded records cover, or null until they are
     *     loaded
     * @param machineTypesKnown whether the cloud's machine types are known
     * @param reservationsLoaded whether reservations are loaded, or not in use
     * @param workersReachable whether enough workers reach this node
     * @param machinesReported the number of machines that have sent a heartbeat to this node
     * @param machinesRequired the number of them that the first scheduling round needs
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

    /** The checks that fail; empty if the first decision may be made. */
    public static Set<Precondition> findUnmet(Facts facts) {
        Set<Precondition> unmet = EnumSet.noneOf(Precondition.class);
        require(facts.leaseValid(), Precondition.LEASE_VALID, unmet);
        require(
                !facts.highestObservedToken().isAfter(facts.fencingToken()),
                Precondition.TOKEN_IS_HIGHEST,
                unmet);
        require(facts.recordsRevision() != null, Precondition.RECORDS_LOADED, unmet);
        require(
                facts.recordsRevision() == null
                        || !facts.leaderKeyRevision().isAfter(facts.recordsRevision()),
                Precondition.RECORDS_COVER_LEADER_KEY,
                unmet);
        require(facts.machineTypesKnown(), Precondition.MACHINE_TYPES_KNOWN, unmet);
        require(facts.reservationsLoaded(), Precondition.RESERVATIONS_LOADED, unmet);
        require(facts.workersReachable(), Precondition.WORKERS_REACHABLE, unmet);
        require(
                facts.machinesReported() >= facts.machinesRequired(),
                Precondition.ENOUGH_MACHINES_REPORTED,
                unmet);
        return unmet;
    }

    private static void require(boolean holds, Precondition precondition, Set<Precondition> unmet) {
        if (!holds) {
            unmet.add(precondition);
        }
    }
}
