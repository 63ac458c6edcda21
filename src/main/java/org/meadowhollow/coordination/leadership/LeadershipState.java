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
 * What a node knows of who leads; {@link LeadershipStep} makes the next one of it.
 *
 * @param epoch raised by the end of each leadership, so that what was begun before is not heeded
 *     after
 * @param term of this node's last leadership
 * @param holding null unless this node leads
 * @param deaf whether this node gave its lease up for want of hearing, and has heard nobody since
 * @param resignedAloneAt when it last did so without knowing of a node that hears, or null
 */
record LeadershipState(
        int epoch,
        FencingToken term,
        Holding holding,
        Known known,
        Suspicion suspicion,
        boolean deaf,
        MonotonicTime resignedAloneAt) {
    /** Of a node that has just started. */
    static final LeadershipState FIRST =
            new LeadershipState(
                    0,
                    FencingToken.NONE,
                    null,
                    new Known(null, FencingToken.NONE, null, null),
                    Suspicion.NONE,
                    false,
                    null);

    /**
     * The key and the lease of this node's leadership.
     *
     * @param leaseSentAt when the last answered renewal was sent, from when on the lease counts
     * @param renewalSentAt when the last renewal was sent, or null if one is to be sent at once
     * @param version the revision of the transaction that took the key
     * @param knownAt the moment up to which all changes of jobs are known here, or null while they
     *     are not loaded
     */
    record Holding(
            LeaseId lease,
            MonotonicTime leaseSentAt,
            MonotonicTime renewalSentAt,
            boolean renewing,
            Revision version,
            boolean resigning,
            MonotonicTime knownAt) {
        Holding renewing(MonotonicTime now) {
            return new Holding(lease, leaseSentAt, now, true, version, resigning, knownAt);
        }

        Holding renewed(MonotonicTime sentAt) {
            return new Holding(
                    lease,
                    MonotonicTime.latestOf(leaseSentAt, sentAt),
                    renewalSentAt,
                    false,
                    version,
                    resigning,
                    knownAt);
        }

        Holding notRenewed() {
            return new Holding(lease, leaseSentAt, null, false, version, resigning, knownAt);
        }

        Holding resigning(boolean now) {
            return new Holding(lease, leaseSentAt, renewalSentAt, renewing, version, now, knownAt);
        }

        Holding knowing(MonotonicTime upTo) {
            return new Holding(
                    lease,
                    leaseSentAt,
                    renewalSentAt,
                    renewing,
                    version,
                    resigning,
                    knownAt == null ? upTo : MonotonicTime.latestOf(knownAt, upTo));
        }

        boolean isDue(MonotonicTime now, Duration every) {
            return !renewing
                    && (renewalSentAt == null
                            || now.elapsedSince(renewalSentAt).compareTo(every) >= 0);
        }
    }

    /**
     * The leader last heard of.
     *
     * @param leader its name, or null
     * @param term the highest term heard of
     * @param lease of its key, or null
     * @param freeSince since when the key is known to be free, or null
     */
    record Known(String leader, FencingToken term, LeaseId lease, MonotonicTime freeSince) {
        Known nobody(MonotonicTime now) {
            return new Known(null, term, null, freeSince == null ? now : freeSince);
        }

        Known leader(String name) {
            return new Known(name, term, lease, freeSince);
        }
    }

    /**
     * Of the leader, that its process has ended.
     *
     * @param deserters workers that have left it, as many as are needed to tell
     * @param left how many have, in all
     * @param asking whether it is being asked
     * @param trustedAt when it last answered, or null
     */
    record Suspicion(Set<MachineId> deserters, int left, boolean asking, MonotonicTime trustedAt) {
        static final Suspicion NONE = new Suspicion(Set.of(), 0, false, null);

        Suspicion left(MachineId worker, int enough) {
            if (deserters.size() >= enough || deserters.contains(worker)) {
                return new Suspicion(deserters, left + 1, asking, trustedAt);
            }
            Set<MachineId> more = new HashSet<>(deserters);
            more.add(worker);
            return new Suspicion(more, left + 1, asking, trustedAt);
        }

        Suspicion asking(boolean now) {
            return new Suspicion(deserters, left, now, trustedAt);
        }

        Suspicion ofNobody() {
            return new Suspicion(Set.of(), 0, asking, trustedAt);
        }
    }

    LeadershipState with(Holding now) {
        return new LeadershipState(epoch, term, now, known, suspicion, deaf, resignedAloneAt);
    }

    LeadershipState with(Known now) {
        return new LeadershipState(epoch, term, holding, now, suspicion, deaf, resignedAloneAt);
    }

    LeadershipState with(Suspicion now) {
        return new LeadershipState(epoch, term, holding, known, now, deaf, resignedAloneAt);
    }

    LeadershipState deaf(boolean now, MonotonicTime aloneAt) {
        return new LeadershipState(epoch, term, holding, known, suspicion, now, aloneAt);
    }

    /** The leadership is over. */
    LeadershipState over(String member) {
        return new LeadershipState(
                epoch + 1,
                term,
                null,
                member.equals(known.leader()) ? known.leader(null) : known,
                suspicion,
                deaf,
                resignedAloneAt);
    }

    /** The key is this node's. */
    LeadershipState elected(String member, FencingToken now, Holding held) {
        return new LeadershipState(
                epoch,
                now,
                held,
                new Known(member, now, known.lease(), null),
                suspicion,
                deaf,
                resignedAloneAt);
    }
}
