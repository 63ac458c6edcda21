package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;

/**
 * The rules for what a leader may do at a given moment, and the argument why they are safe. All
 * times are points on the monotonic clock of the node that asks; clocks of different machines are
 * never compared, only durations are, and these are shortened by the largest clock drift that the
 * protocol allows.
 *
 * <p>Two moments and a duration bound every permission:
 *
 * <ul>
 *   <li><b>L</b>, {@link HeldLeadership#leaseValidFrom()}: when the last renewal that was confirmed
 *       was <em>sent</em>. The store executed it at L or later, so the lease lasts until L + {@link
 *       #LEASE_TTL} at least.
 *   <li><b>K</b>, {@link HeldLeadership#freshAsOf()}: when the request was <em>sent</em> whose
 *       response showed the latest changes of jobs. It was executed at K or later, so this node
 *       knows every cancellation that was committed before K. There is no K until all job records
 *       of this fencing token are loaded.
 *   <li><b>D</b>, the renewal bound: the cancellation bound less the duration of a worker lease
 *       less a margin of a second, see {@link #renewalBound}.
 * </ul>
 *
 * <p>Who may do what at a moment t:
 *
 * <table>
 *   <caption>Permissions of a leader</caption>
 *   <tr><th>action</th><th>condition</th></tr>
 *   <tr><td>decide: place, preempt, write records, scale in or out</td>
 *       <td>t &lt; L + 5 s, and no release of the lease is pending ({@link #canDecide})</td></tr>
 *   <tr><td>send starts of tasks to workers</td>
 *       <td>as above, and t &lt; K + 2.5 s ({@link #canStartTasks})</td></tr>
 *   <tr><td>answer a heartbeat, which renews the lease of that worker</td>
 *       <td>t &lt; K + D and t &lt; L + D ({@link #canRenewWorkerLeases})</td></tr>
 * </table>
 *
 * <p><b>Invariant 1: at most one node may decide.</b> The leader record is deleted by the store no
 * earlier than L + 5 s, or by its holder, which stops deciding before it asks for that; only then
 * can another node write it. Revoking the lease of a suspected leader breaks this time bound, but
 * does no harm: every transaction of a leader requires the revision of its own leader record, so a
 * late transaction of a former leader fails (fencing), and workers reject responses with a lower
 * fencing token than they have seen. The token counter is raised in the transaction that writes the
 * leader record, so no two leaderships have the same token.
 *
 * <p><b>Invariant 2: the task of a cancelled job is gone within the cancellation bound.</b> A
 * cancellation that the leader does not know was confirmed to its user at C &gt; K. A response sent
 * at t &lt; K + D renews the lease of a worker from when its heartbeat was sent, which is at t or
 * before, so that lease ends before K + D + worker lease = K + cancellation bound - 1 s &lt; C +
 * cancellation bound. The margin of one second covers a worker that notices late that its lease has
 * expired. Time that a response spends in the network, or waits in this process, only shortens the
 * lease. A cancellation that the leader does know travels as a stop command in the same response.
 * Starts are sent only in such responses and so have the same bound. Their own, shorter bound
 * covers a leader that is the only controller cut off from the store: it keeps that leader from
 * starting tasks of jobs that were cancelled through other controllers.
 *
 * <p><b>Invariant 3: a successor can tell when the tasks of an earlier leader are gone.</b> It
 * follows from t &lt; L + D that no worker keeps a task under an earlier fencing token for longer
 * than the cancellation bound after the successor was elected, since its election is later than L.
 * The bounds of successive leaders do not add up: each is bound by its own K and L.
 *
 * <p>The conditions are not interchangeable. A renewed lease proves that nobody else was elected,
 * not that anything was read; so K is needed in addition to L. A leader that cannot reach the store
 * loses the right to decide after 5 s, but keeps healthy tasks alive for D, which is much longer.
 *
 * <p>{@code LeadershipModelTest} checks invariant 1, {@code CancellationFreshnessModelTest} the
 * others. Both also remove each condition in turn and verify that an invariant breaks.
 *
 * <p>All functions are pure; the caller holds the lock that guards the state.
 */
final class LeadershipSafety {
    /**
     * The time for which the leader record lives after a renewal. Long enough for a short stall of
     * the store or of this process, short enough for a fast failover.
     */
    static final Duration LEASE_TTL = Duration.ofSeconds(5);

    /**
     * The maximum age of the leader's knowledge of cancellations at which it still sends starts:
     * the wait of one watch (1 s), the time of its response, and one retry.
     */
    static final Duration MAX_STALENESS_FOR_STARTS = Duration.ofMillis(2500);

    /**
     * The time that a worker needs to notice that its lease has expired. Responses that wait or are
     * delayed need no margin: a worker lease counts from when the heartbeat was sent, which is
     * before the leader received it.
     */
    private static final Duration WORKER_LEASE_EXPIRY_MARGIN = Duration.ofSeconds(1);

    /** The largest relative drift between the clocks of two machines that the protocol allows. */
    private static final double MAX_CLOCK_DRIFT = 0.0005;

    private LeadershipSafety() {}

    /**
     * The time after K and L during which a leader may renew worker leases: D in the argument
     * above.
     *
     * @param cancellationBound the time within which the tasks of a cancelled job must be gone
     * @param workerLease how long a worker keeps its tasks after it sent the last heartbeat that
     *     was answered
     */
    static Duration renewalBound(Duration cancellationBound, Duration workerLease) {
        return cancellationBound.minus(workerLease).minus(WORKER_LEASE_EXPIRY_MARGIN);
    }

    /**
     * Whether this node may make decisions: its lease has certainly not expired, and it has not
     * requested a release of the lease, which the store may have executed already.
     */
    static boolean canDecide(LeadershipState state, MonotonicTime now) {
        HeldLeadership held = state.heldLeadership();
        return held != null
                && isCertainlyWithin(LEASE_TTL, held.leaseValidFrom(), now)
                && !held.resigning();
    }

    /**
     * Whether starts of tasks may be sent: this node may decide, and knows all cancellations that
     * are older than {@link #MAX_STALENESS_FOR_STARTS}.
     */
    static boolean canStartTasks(LeadershipState state, MonotonicTime now) {
        return canDecide(state, now)
                && state.heldLeadership().freshAsOf() != null
                && isCertainlyWithin(
                        MAX_STALENESS_FOR_STARTS, state.heldLeadership().freshAsOf(), now);
    }

    /**
     * Whether heartbeats may be answered, which renews the leases of workers. Both K and L are
     * checked: a renewal of the leader's lease shows that it is still the leader, not that it has
     * read anything; and a leader that has not loaded its records yet knows of no cancellation.
     *
     * @param renewalBound the result of {@link #renewalBound}
     */
    static boolean canRenewWorkerLeases(
            Duration renewalBound, LeadershipState state, MonotonicTime now) {
        HeldLeadership held = state.heldLeadership();
        return held != null
                && held.freshAsOf() != null
                && isCertainlyWithin(renewalBound, held.leaseValidFrom(), now)
                && isCertainlyWithin(renewalBound, held.freshAsOf(), now);
    }

    /**
     * How long a leader whose renewals the store confirms may learn nothing of the jobs: half of
     * the time for which it may still renew worker leases. The next leader has the other half to
     * load the records before the first worker loses its tasks.
     *
     * @param renewalBound the result of {@link #renewalBound}
     */
    static Duration maxStall(Duration renewalBound) {
        return renewalBound.dividedBy(2);
    }

    /**
     * Whether this node should release its lease because it leads without doing any work: the store
     * has confirmed its renewals for at least {@code maxStall}, and in all this time it has learned
     * nothing of the jobs. Not a matter of safety: such a leader sends no starts. An outage does
     * not count, since renewals fail in it.
     */
    static boolean isStalled(Duration maxStall, LeadershipState state) {
        HeldLeadership held = state.heldLeadership();
        return held != null
                && held.noProgressSince() != null
                && held.leaseValidFrom().elapsedSince(held.noProgressSince()).compareTo(maxStall)
                        >= 0;
    }

    /**
     * Whether less than {@code span} has passed since {@code since} on the clock of every machine,
     * with the largest drift that is allowed.
     */
    private static boolean isCertainlyWithin(
            Duration span, MonotonicTime since, MonotonicTime now) {
        return now.isBefore(
                since.plus(Duration.ofNanos((long) (span.toNanos() * (1 - MAX_CLOCK_DRIFT)))));
    }
}
