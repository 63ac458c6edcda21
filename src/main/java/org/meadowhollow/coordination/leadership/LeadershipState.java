package org.meadowhollow.coordination.leadership;

import java.util.HashSet;
import java.util.Set;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.storage.LeaseId;

/**
 * The leader election state of one node: its own leadership, if it leads, and what it knows of the
 * current leader. Immutable; {@link LeadershipStateMachine} computes the next state. Times are
 * points on this node's monotonic clock.
 *
 * @param epoch raised at the end of each leadership of this node; replies to requests of an earlier
 *     epoch are ignored
 * @param fencingToken the fencing token of this node's last leadership, {@link FencingToken#NONE}
 *     before the first
 * @param heldLeadership this node's own leadership, or null if it does not lead
 * @param observedLeader the last known leader
 * @param suspicion the evidence that this leader has failed
 * @param isolated whether this node released its lease because it was isolated, and no worker has
 *     reached it since
 * @param resignedWithoutSuccessorAt when this node last released its lease for that reason without
 *     knowing a member that workers reach, or null
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
     * The last known leader.
     *
     * @param leader its name, or null if none is known
     * @param highestToken the highest fencing token that this node has seen from any node or worker
     * @param lease the lease that the leader record is stored under, or null if it is not known
     * @param vacantSince when this node first saw that there was no leader record, or null if there
     *     is one
     */
    record ObservedLeader(
            String leader, FencingToken highestToken, LeaseId lease, MonotonicTime vacantSince) {
        /** Returns a copy after the leader record was found to be absent at {@code now}. */
        ObservedLeader vacant(MonotonicTime now) {
            return new ObservedLeader(
                    null, highestToken, null, vacantSince == null ? now : vacantSince);
        }

        /** Returns a copy without the leader's name. */
        ObservedLeader withoutLeader() {
            return new ObservedLeader(null, highestToken, lease, vacantSince);
        }
    }

    /**
     * The evidence that the process of the observed leader has ended.
     *
     * @param departedWorkers distinct workers that have left the leader, at most as many as are
     *     needed as evidence
     * @param departureCount how often workers have left the leader, repetitions included
     * @param probing whether the leader is being probed
     * @param lastAnsweredAt when the leader last answered a probe, or null
     */
    record Suspicion(
            Set<MachineId> departedWorkers,
            int departureCount,
            boolean probing,
            MonotonicTime lastAnsweredAt) {
        /** No evidence, and no answer to a probe yet. */
        static final Suspicion NONE = cleared(null);

        /** Returns a suspicion without evidence. */
        static Suspicion cleared(MonotonicTime lastAnsweredAt) {
            return new Suspicion(Set.of(), 0, false, lastAnsweredAt);
        }

        /**
         * Returns a copy after a worker has left the leader.
         *
         * @param maxWorkers the maximum number of distinct workers that are remembered
         */
        Suspicion withDeparture(MachineId worker, int maxWorkers) {
            if (departedWorkers.size() >= maxWorkers || departedWorkers.contains(worker)) {
                return new Suspicion(departedWorkers, departureCount + 1, probing, lastAnsweredAt);
            }
            Set<MachineId> workers = new HashSet<>(departedWorkers);
            workers.add(worker);
            return new Suspicion(workers, departureCount + 1, probing, lastAnsweredAt);
        }

        /** Returns a copy after a probe of the leader was started or finished. */
        Suspicion withProbing(boolean inProgress) {
            return new Suspicion(departedWorkers, departureCount, inProgress, lastAnsweredAt);
        }

        /** Returns a copy without the departures, which concerned an earlier leader. */
        Suspicion withoutDepartures() {
            return new Suspicion(Set.of(), 0, probing, lastAnsweredAt);
        }
    }

    /** Whether this node holds the leader record, as far as it knows. */
    boolean isLeader() {
        return heldLeadership != null;
    }

    /** Returns a copy with another leadership of this node. */
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

    /** Returns a copy with another observed leader. */
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

    /** Returns a copy with another suspicion. */
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

    /** Returns a copy after this node released its lease because it was isolated. */
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

    /** Returns a copy after a worker has reached this node. */
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

    /** Returns a copy after this node's leadership has ended. */
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

    /** Returns a copy after this node was elected. */
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
