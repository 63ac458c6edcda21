package org.meadowhollow.coordination.rounds;

import java.time.Duration;
import java.util.Set;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.lifecycle.MachineRegistry;
import org.meadowhollow.model.MonotonicTime;

/**
 * Decides when a new leader may run its first scheduling round, and when its rounds may rely on
 * heartbeats of nearly all machines. Owns both decisions, neither of which is revoked, and records
 * them in the failover's timeline. Guarded by the leader's lock.
 */
public final class FirstRoundGate {
    /**
     * The latest arrival of a heartbeat as a multiple of the heartbeat interval: heartbeats are up
     * to a quarter of the interval late.
     */
    private static final double LATEST_HEARTBEAT_FACTOR = 1.25;

    /** Seconds after which a worker turns to the next node. */
    private static final double NEXT_NODE_SECONDS = 1;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The share of the known machines that must have reported for a full round. Among hundreds of
     * machines some are always hung, dead or about to be preempted, and remain listed for long
     * after; waiting for all of them would make each failover take the longest possible time.
     */
    private static final double FULL_ROUND_SHARE = 0.9;

    /**
     * The share of the last leader's recent machines that must have reported for a warm leader's
     * first round. Heartbeats of most of them have waited at this node for a leader; for the rest,
     * the leader knows the risk tables and the tasks that may run there.
     */
    private static final double WARM_FIRST_ROUND_SHARE = 0.5;

    /** The leader's conditions for a round. Called with the leader's lock held. */
    public interface LeaderConditions {
        /** The facts from which the preconditions of the first round are checked. */
        FailoverPreconditions.Facts facts(int machinesReported, int machinesRequired);

        /** Whether the conditions that can fail again after the first round hold. */
        boolean maySchedule();
    }

    private final MonotonicTime startedAt;
    private final Duration heartbeatInterval;
    private final MachineRegistry machineRegistry;
    private final HandoverState handoverState;
    private final FailoverTimeline failoverTimeline;
    private final LeaderConditions conditions;
    private boolean fullRoundGathered;
    private boolean firstRoundAllowed;

    /**
     * Creates the gate of one leadership.
     *
     * @param startedAt when the leadership began
     */
    public FirstRoundGate(
            MonotonicTime startedAt,
            Duration heartbeatInterval,
            MachineRegistry machineRegistry,
            HandoverState handoverState,
            FailoverTimeline failoverTimeline,
            LeaderConditions conditions) {
        this.startedAt = startedAt;
        this.heartbeatInterval = heartbeatInterval;
        this.machineRegistry = machineRegistry;
        this.handoverState = handoverState;
        this.failoverTimeline = failoverTimeline;
        this.conditions = conditions;
    }

    /** Whether the first round has been allowed. */
    public boolean isFirstRoundAllowed() {
        return firstRoundAllowed;
    }

    /**
     * Whether a round may run. The first one requires all preconditions, later ones only those that
     * can fail again.
     */
    public boolean maySchedule(MonotonicTime now) {
        if (firstRoundAllowed) {
            return conditions.maySchedule();
        }
        Set<FailoverPreconditions.Precondition> unmet =
                FailoverPreconditions.findUnmet(
                        conditions.facts(
                                machineRegistry.contactedMachineCount(), heartbeatsNeeded(now)));
        failoverTimeline.onPreconditionsUnmet(unmet);
        firstRoundAllowed = unmet.isEmpty();
        return firstRoundAllowed;
    }

    /**
     * Number of machines whose heartbeats the first round needs. Until nearly all machines have
     * reported, a round only places tasks; it rents no machines and preempts nothing.
     */
    private int heartbeatsNeeded(MonotonicTime now) {
        if (hasGatheredFullRound(now)) {
            return 0;
        }
        int expected = handoverState.countExpectedMachines(now);
        if (expected == 0) {
            return Integer.MAX_VALUE;
        }
        int total = expected + machineRegistry.contactedMachineCount();
        return (int) Math.ceil(WARM_FIRST_ROUND_SHARE * total);
    }

    /**
     * Whether nearly all machines have reported, so that placements, rentals and stops are not
     * decided from the few machines that happened to report first. Listed machines that send
     * nothing are waited for only as long as a heartbeat can take.
     */
    public boolean hasGatheredFullRound(MonotonicTime now) {
        if (!fullRoundGathered) {
            double intervalSeconds = heartbeatInterval.toNanos() / NANOS_PER_SECOND;
            double longestWaitSeconds =
                    intervalSeconds * LATEST_HEARTBEAT_FACTOR + NEXT_NODE_SECONDS;
            fullRoundGathered =
                    now.secondsSince(startedAt) > longestWaitSeconds
                            || (machineRegistry.isListedByCloud() && haveNearlyAllReported());
        }
        return fullRoundGathered;
    }

    private boolean haveNearlyAllReported() {
        return machineRegistry.contactedMachineCount()
                >= FULL_ROUND_SHARE * machineRegistry.knownMachineCount();
    }

    /** Records a round that placed tasks from the heartbeats received so far. */
    public void recordRound(int placedTasks, MonotonicTime now) {
        if (!failoverTimeline.isLogged()) {
            failoverTimeline.onFirstRound(
                    machineRegistry.contactedMachineCount(),
                    heartbeatsNeeded(now),
                    placedTasks,
                    now);
        }
    }

    /** Records a round that used the heartbeats of nearly all machines. */
    public void recordFullRound(MonotonicTime now) {
        failoverTimeline.onFullRound(handoverState.inheritedTableCount(), now);
    }
}
