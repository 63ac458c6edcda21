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
 * What a node knows of who leads; {@link LeadershipStateMachine} makes the next one of it.
 *
 * @param epoch raised by the end of each leadership, so that what was begun before is not heeded
 *     after
 * @param fencingToken of this node's last leadership
 * @param heldLeadership null unless this node leads
 * @param isolated whether this node gave its lease up for want of hearing, and has heard nobody
 *     since
 * @param resignedWithoutSuccessorAt when it last did so without knowing of a node that hears, or
 *     null
 */
record LeadershipState(
        int epoch,
        FencingToken fencingToken,
        HeldLeadership heldLeadership,
        ObservedLeader observedLeader,
        Suspicion suspicion,
        boolean isolated,
        MonotonicTime resignedWithoutSuccessorAt) {
    /** Of a node that has just started. */
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
     * The key and the lease of this node's leadership.
     *
     * @param leaseValidFrom when the last answered renewal was sent, from when on the lease counts
     * @param lastRenewalSentAt when the last renewal was sent, or null if one is to be sent at once
     * @param leaderKeyRevision the revision of the transaction that took the key
     * @param freshAsOf the moment up to which all changes of jobs are known here, or null while
     *     they are not loaded
     */
    record HeldLeadership(
            LeaseId lease,
            MonotonicTime leaseValidFrom,
            MonotonicTime lastRenewalSentAt,
            boolean renewing,
            Revision leaderKeyRevision,
            boolean resigning,
            MonotonicTime freshAsOf) {
        HeldLeadership renewing(MonotonicTime now) {
            return new HeldLeadership(
                    lease, leaseValidFrom, now, true, leaderKeyRevision, resigning, freshAsOf);
        }

        HeldLeadership renewed(MonotonicTime sentAt) {
            return new HeldLeadership(
                    lease,
                    MonotonicTime.latestOf(leaseValidFrom, sentAt),
                    lastRenewalSentAt,
                    false,
                    leaderKeyRevision,
                    resigning,
                    freshAsOf);
        }

        HeldLeadership renewalFailed() {
            return new HeldLeadership(
                    lease, leaseValidFrom, null, false, leaderKeyRevision, resigning, freshAsOf);
        }

        HeldLeadership resigning(boolean now) {
            return new HeldLeadership(
                    lease,
                    leaseValidFrom,
                    lastRenewalSentAt,
                    renewing,
                    leaderKeyRevision,
                    now,
                    freshAsOf);
        }

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

        boolean isRenewalDue(MonotonicTime now, Duration every) {
            return !renewing
                    && (lastRenewalSentAt == null
                            || now.elapsedSince(lastRenewalSentAt).compareTo(every) >= 0);
        }
    }

    /**
     * The leader last heard of.
     *
     * @param leader its name, or null
     * @param highestToken the highest term heard of
     * @param lease of its key, or null
     * @param vacantSince since when the key is known to be free, or null
     */
    record ObservedLeader(
            String leader, FencingToken highestToken, LeaseId lease, MonotonicTime vacantSince) {
        ObservedLeader withoutLeader(MonotonicTime now) {
            return new ObservedLeader(
                    null, highestToken, null, vacantSince == null ? now : vacantSince);
        }

        ObservedLeader leader(String name) {
            return new ObservedLeader(name, highestToken, lease, vacantSince);
        }
    }

    /**
     * Of the leader, that its process has ended.
     *
     * @param departedWorkers workers that have left it, as many as are needed to tell
     * @param left how many have, in all
     * @param probing whether it is being asked
     * @param lastAnsweredAt when it last answered, or null
     */
    record Suspicion(
            Set<MachineId> departedWorkers,
            int left,
            boolean probing,
            MonotonicTime lastAnsweredAt) {
        static final Suspicion NONE = new Suspicion(Set.of(), 0, false, null);

        Suspicion left(MachineId worker, int enough) {
            if (departedWorkers.size() >= enough || departedWorkers.contains(worker)) {
                return new Suspicion(departedWorkers, left + 1, probing, lastAnsweredAt);
            }
            Set<MachineId> more = new HashSet<>(departedWorkers);
            more.add(worker);
            return new Suspicion(more, left + 1, probing, lastAnsweredAt);
        }

        Suspicion probing(boolean now) {
            return new Suspicion(departedWorkers, left, now, lastAnsweredAt);
        }

        Suspicion withoutDepartures() {
            return new Suspicion(Set.of(), 0, probing, lastAnsweredAt);
        }
    }

    LeadershipState with(HeldLeadership now) {
        return new LeadershipState(
                epoch,
                fencingToken,
                now,
                observedLeader,
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }

    LeadershipState with(ObservedLeader now) {
        return new LeadershipState(
                epoch,
                fencingToken,
                heldLeadership,
                now,
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }

    LeadershipState with(Suspicion now) {
        return new LeadershipState(
                epoch,
                fencingToken,
                heldLeadership,
                observedLeader,
                now,
                isolated,
                resignedWithoutSuccessorAt);
    }

    LeadershipState isolated(boolean now, MonotonicTime aloneAt) {
        return new LeadershipState(
                epoch, fencingToken, heldLeadership, observedLeader, suspicion, now, aloneAt);
    }

    /** The leadership is over. */
    LeadershipState steppedDown(String member) {
        return new LeadershipState(
                epoch + 1,
                fencingToken,
                null,
                member.equals(observedLeader.leader())
                        ? observedLeader.leader(null)
                        : observedLeader,
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }

    /** The key is this node's. */
    LeadershipState elected(String member, FencingToken now, HeldLeadership held) {
        return new LeadershipState(
                epoch,
                now,
                held,
                new ObservedLeader(member, now, observedLeader.lease(), null),
                suspicion,
                isolated,
                resignedWithoutSuccessorAt);
    }
}
