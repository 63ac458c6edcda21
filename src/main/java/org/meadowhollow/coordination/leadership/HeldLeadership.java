package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.LeaseId;

/**
 * The leadership that a node holds. Immutable. Times are points on this node's monotonic clock.
 *
 * @param lease the lease that the leader record is stored under
 * @param leaderKeyRevision the revision of the transaction that wrote the leader record, on which
 *     each transaction of this leadership is conditional
 * @param renewal the state of the lease's renewal
 * @param knowledge how recent this node's knowledge of the jobs is
 * @param resigning whether a release is in flight, which the store may have executed already
 */
record HeldLeadership(
        LeaseId lease,
        Revision leaderKeyRevision,
        Renewal renewal,
        JobKnowledge knowledge,
        boolean resigning) {
    /**
     * The state of the lease's renewal.
     *
     * @param validFrom when the last confirmed renewal was sent; the lease lasts for {@link
     *     LeadershipSafety#LEASE_TTL} from then at least
     * @param lastSentAt when the last renewal was sent, or null if one is due at once
     * @param inFlight whether a renewal is in flight
     */
    record Renewal(MonotonicTime validFrom, MonotonicTime lastSentAt, boolean inFlight) {}

    /**
     * How recent the leader's knowledge of the jobs is.
     *
     * @param freshAsOf the moment up to which this node knows all changes of jobs, or null until
     *     the records are loaded
     * @param noProgressSince the first renewal that was confirmed since this node last learned
     *     anything of the jobs; null if none was, or a renewal has failed since
     */
    record JobKnowledge(MonotonicTime freshAsOf, MonotonicTime noProgressSince) {
        static final JobKnowledge NONE = new JobKnowledge(null, null);
    }

    /**
     * Creates the leadership of a node that has just been elected, under a lease that was requested
     * at {@code requestedAt}.
     */
    static HeldLeadership begin(
            LeaseId lease, MonotonicTime requestedAt, Revision leaderKeyRevision) {
        return new HeldLeadership(
                lease,
                leaderKeyRevision,
                new Renewal(requestedAt, requestedAt, false),
                JobKnowledge.NONE,
                false);
    }

    /** When the last confirmed renewal was sent. */
    MonotonicTime leaseValidFrom() {
        return renewal.validFrom();
    }

    /** The moment up to which this node knows all changes of jobs, or null. */
    MonotonicTime freshAsOf() {
        return knowledge.freshAsOf();
    }

    /** The first renewal that was confirmed since this node learned anything, or null. */
    MonotonicTime noProgressSince() {
        return knowledge.noProgressSince();
    }

    private HeldLeadership with(Renewal changed) {
        return new HeldLeadership(lease, leaderKeyRevision, changed, knowledge, resigning);
    }

    private HeldLeadership with(JobKnowledge changed) {
        return new HeldLeadership(lease, leaderKeyRevision, renewal, changed, resigning);
    }

    /** Returns a copy after a renewal was sent at {@code now}. */
    HeldLeadership withRenewalSent(MonotonicTime now) {
        return with(new Renewal(leaseValidFrom(), now, true));
    }

    /** Returns a copy after a renewal was confirmed. Confirmations may arrive out of order. */
    HeldLeadership withRenewalConfirmed(MonotonicTime sentAt) {
        MonotonicTime validFrom = MonotonicTime.latestOf(leaseValidFrom(), sentAt);
        MonotonicTime since = noProgressSince() == null ? sentAt : noProgressSince();
        return with(new Renewal(validFrom, renewal.lastSentAt(), false))
                .with(new JobKnowledge(freshAsOf(), since));
    }

    /** Returns a copy after a renewal got no reply, in which the next one is due at once. */
    HeldLeadership withRenewalFailed() {
        return with(new Renewal(leaseValidFrom(), null, false)).withProgress();
    }

    /** Returns a copy after a release was sent, or was refused by the store. */
    HeldLeadership withResigning(boolean inFlight) {
        return new HeldLeadership(lease, leaderKeyRevision, renewal, knowledge, inFlight);
    }

    /**
     * Returns a copy in which all changes of jobs up to {@code upTo} are known. A moment before the
     * present one is ignored.
     */
    HeldLeadership withFreshness(MonotonicTime upTo) {
        MonotonicTime latest =
                freshAsOf() == null ? upTo : MonotonicTime.latestOf(freshAsOf(), upTo);
        return with(new JobKnowledge(latest, null));
    }

    /** Returns a copy in which the time without progress begins anew. */
    HeldLeadership withProgress() {
        return with(new JobKnowledge(freshAsOf(), null));
    }

    /** Whether no renewal is in flight and the last one was sent at least {@code interval} ago. */
    boolean isRenewalDue(MonotonicTime now, Duration interval) {
        return !renewal.inFlight()
                && (renewal.lastSentAt() == null
                        || now.elapsedSince(renewal.lastSentAt()).compareTo(interval) >= 0);
    }
}
