package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.LeaseId;

/**
 * What a node knows of who leads. Immutable; {@link LeadershipStateMachine} makes the next one of
 * it. Times are points on this node's monotonic clock.
 *
 * @param epoch raised at the end of each leadership of this node; replies to requests of an earlier
 *     epoch are ignored
 * @param fencingToken of this node's last leadership, {@link FencingToken#NONE} before the first
 * @param heldLeadership null unless this node leads
 * @param observedLeader the leader last heard of
 * @param suspicion that this leader has failed
 * @param isolated whether this node released its lease because it was isolated, and no worker has
 *     reached it since
 * @param resignedWithoutSuccessorAt when it last did so without knowing a member that workers
 *     reach, or null
 */
record LeadershipState(
        int epoch,
        FencingToken fencingToken,
        HeldLeadership heldLeadership,
        ObservedLeader observedLeader,
        Suspicion suspicion,
        boolean isolated,
        MonotonicTime resignedWithoutSuccessorAt) {
    /** The state of a node that has just started. */
    static final LeadershipState INITIAL =
            new LeadershipState(
                    0,
                    FencingToken.NONE,
                    null,
                    new ObservedLeader(null, FencingToken.NONE, null, null),
                    Suspicion.NONE,
                    false,
                    null);

    /**
     * This node's own leadership.
     *
     * @param lease that the leader record is stored under
     * @param leaseValidFrom when the last confirmed renewal was sent; the lease lasts for {@link
     *     LeadershipSafety#LEASE_TTL} from then at least
     * @param lastRenewalSentAt when the last renewal was sent, or null if one is due at once
     * @param renewing whether a renewal is in flight
     * @param leaderKeyRevision the revision of the transaction that wrote the leader record, on
     *     which each transaction of this leadership is conditional
     * @param resigning whether a release is in flight; it may have been executed
     * @param freshAsOf the moment up to which all changes of jobs are known here, or null until the
     *     records are loaded
     */
    record HeldLeadership(
            LeaseId lease,
            MonotonicTime leaseValidFrom,
            MonotonicTime lastRenewalSentAt,
            boolean renewing,
            Revision leaderKeyRevision,
            boolean resigning,
            MonotonicTime freshAsOf) {
        /** Just elected, under a lease that was requested at a moment. */
        static HeldLeadership begin(
                LeaseId lease, MonotonicTime requestedAt, Revision leaderKeyRevision) {
            return new HeldLeadership(
                    lease, requestedAt, requestedAt, false, leaderKeyRevision, false, null);
        }

        /** A renewal is sent now. */
        HeldLeadership withRenewalSent(MonotonicTime now) {
            return new HeldLeadership(
                    lease, leaseValidFrom, now, true, leaderKeyRevision, resigning, freshAsOf);
        }

        /** A renewal was confirmed; confirmations may arrive out of order. */
        HeldLeadership withRenewalConfirmed(MonotonicTime sentAt) {
            return new HeldLeadership(
                    lease,
                    MonotonicTime.latestOf(leaseValidFrom, sentAt),
                    lastRenewalSentAt,
                    false,
                    leaderKeyRevision,
                    resigning,
                    freshAsOf);
        }

        /** A renewal got no reply, so that the next one is due at once. */
        HeldLeadership withRenewalFailed() {
            return new HeldLeadership(
                    lease, leaseValidFrom, null, false, leaderKeyRevision, resigning, freshAsOf);
        }

        /** A release is in flight, or was refused. */
        HeldLeadership withResigning(boolean inFlight) {
            return new HeldLeadership(
                    lease,
                    leaseValidFrom,
                    lastRenewalSentAt,
                    renewing,
                    leaderKeyRevision,
                    inFlight,
                    freshAsOf);
        }

        /** All changes of jobs are known up to a moment; an earlier one than before is ignored. */
        HeldLeadership withFreshness(MonotonicTime upTo) {
            return new HeldLeadership(
                    lease,
                    leaseValidFrom,
                    lastRenewalSentAt,
                    renewing,
                    leaderKeyRevision,
                    resigning,
                    freshAsOf == null ? upTo : MonotonicTime.latestOf(freshAsOf, upTo));
        }

        /** Whether none is in flight and the last one was sent an interval ago. */
        boolean isRenewalDue(MonotonicTime now, Duration interval) {
            return !renewing
                    && (lastRenewalSentAt == null
                            || now.elapsedSince(lastRenewalSentAt).compareTo(interval) >= 0);
        }
    }

    /**
     * The leader last heard of.
     *
     * @param leader its name, or null if none is known
     * @param highestToken the highest fencing token that any node or worker has shown
     * @param lease that the leader record is stored under, or null if not known
     * @param vacantSince since when there is no leader record, or null if there is one
     */
    record ObservedLeader(
            String leader, FencingToken highestToken, LeaseId lease, MonotonicTime vacantSince) {
        /** There is no leader record, as was seen now. */
        ObservedLeader vacant(MonotonicTime now) {
            return new ObservedLeader(
                    null, highestToken, null, vacantSince == null ? now : vacantSince);
        }

        /** The same without a leader's name. */
        ObservedLeader withoutLeader() {
            return new ObservedLeader(null, highestToken, lease, vacantSince);
        }
    }

    /**
     * What speaks for it that the process of the observed leader has ended.
     *
     * @param departedWorkers workers that have left it, as many as are needed as evidence
     * @param departureCount how often a worker has left it, in all
     * @param probing whether it is being probed
     * @param lastAnsweredAt when it last answered a probe, or null
     */
    record Suspicion(
            Set<MachineId> departedWorkers,
            int departureCount,
            boolean probing,
            MonotonicTime lastAnsweredAt) {
        /** Nothing speaks for it. */
        static final Suspicion NONE = cleared(null);

        /** Nothing speaks for it any more. */
        static Suspicion cleared(MonotonicTime lastAnsweredAt) {
            return new Suspicion(Set.of(), 0, false, lastAnsweredAt);
        }

        /**
         * One more worker has left the leader.
         *
         * @param enough how many distinct workers are remembered at most
         */
        Suspicion withDeparture(MachineId worker, int enough) {
            if (departedWorkers.size() >= enough || departedWorkers.contains(worker)) {
                return new Suspicion(departedWorkers, departureCount + 1, probing, lastAnsweredAt);
            }
            Set<MachineId> workers = new HashSet<>(departedWorkers);
            workers.add(worker);
            return new Suspicion(workers, departureCount + 1, probing, lastAnsweredAt);
        }

        /** The leader is being probed, or not any more. */
        Suspicion withProbing(boolean inProgress) {
            return new Suspicion(departedWorkers, departureCount, inProgress, lastAnsweredAt);
        }

        /** The departures spoke against an earlier leader. */
        Suspicion withoutDepartures() {
            return new Suspicion(Set.of(), 0, probing, lastAnsweredAt);
        }
    }

    /** Whether this node holds the leader record, as far as it knows. */
    boolean isLeader() {
        return heldLeadership != null;
    }

    /** The same with another leadership of this node. */
    LeadershipState with(HeldLeadership held) {
        return new LeadershipState(
                epoch,
                fencingToken,
                held,
                observedLeader,
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }

    /** The same with another observed leader. */
    LeadershipState with(ObservedLeader leader) {
        return new LeadershipState(
                epoch,
                fencingToken,
                heldLeadership,
                leader,
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }

    /** The same with another suspicion. */
    LeadershipState with(Suspicion changed) {
        return new LeadershipState(
                epoch,
                fencingToken,
                heldLeadership,
                observedLeader,
                changed,
                isolated,
                resignedWithoutSuccessorAt);
    }

    /** This node has released its lease because it was isolated. */
    LeadershipState withIsolation(MonotonicTime withoutSuccessorAt) {
        return new LeadershipState(
                epoch,
                fencingToken,
                heldLeadership,
                observedLeader,
                suspicion,
                true,
                withoutSuccessorAt);
    }

    /** A worker has reached this node. */
    LeadershipState withoutIsolation() {
        return new LeadershipState(
                epoch,
                fencingToken,
                heldLeadership,
                observedLeader,
                suspicion,
                false,
                resignedWithoutSuccessorAt);
    }

    /** This node's leadership is over. */
    LeadershipState steppedDown(String member) {
        return new LeadershipState(
                epoch + 1,
                fencingToken,
                null,
                member.equals(observedLeader.leader())
                        ? observedLeader.withoutLeader()
                        : observedLeader,
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }

    /** This node has been elected. */
    LeadershipState elected(String member, FencingToken token, HeldLeadership held) {
        return new LeadershipState(
                epoch,
                token,
                held,
                new ObservedLeader(member, token, observedLeader.lease(), null),
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }
}
