package org.meadowhollow.coordination.rounds;

import java.time.Duration;
import java.util.Set;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.lifecycle.MachineRegistry;
import org.meadowhollow.model.MonotonicTime;

/**
 * Decides when a new leader may hold its first scheduling round, and when a round may decide from
 * heartbeats of nearly all machines. Owns both decisions, of which neither is taken back, and notes
 * them in the failover's timeline. Guarded by the leader's lock.
 */
public final class FirstRoundGate {
    /**
     * Heartbeats are up to a quarter of their interval late, and a worker turns to the next node a
     * second later.
     */
    private static final double LATEST_HEARTBEAT_FACTOR = 1.25;

    private static final double NEXT_NODE_SECONDS = 1;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The share of the known machines whose heartbeats make a full round. Among hundreds some are
     * always hung, dead or about to be preempted, and are listed for long after; waiting for them
     * took each failover the whole time.
     */
    private static final double FULL_ROUND_SHARE = 0.9;

    /**
     * The share of the last leader's recent machines whose heartbeats a warm leader's first round
     * needs. Most of them have waited at this node for a leader; for the rest it knows the risk
     * tables and what may run there.
     */
    private static final double WARM_FIRST_ROUND_SHARE = 0.5;

    /** The leader's conditions for a round. Called with the leader's lock held. */
    public interface LeaderConditions {
        /** What the checks before the first round are made of. */
        FailoverPreconditions.Facts facts(int machinesReported, int machinesRequired);

        /** Whether those conditions hold that can fail again after the first round. */
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

    /** Whether a round was allowed before. */
    public boolean isFirstRoundAllowed() {
        return firstRoundAllowed;
    }

    /**
     * Whether a round may decide: for the first one all preconditions hold, for later ones those
     * that can fail again.
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
     * Machines whose heartbeats the first round needs. While heartbeats of all are not gathered, a
     * round only places tasks; it rents no machines and preempts nothing.
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
     * Whether heartbeats of nearly all machines are in, so that placements, rentals and stops are
     * not decided from the few machines that happened to report first. Machines that were listed
     * but are silent are not waited for any longer than a heartbeat takes at most.
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

    /** Notes a round that placed tasks from the heartbeats so far. */
    public void recordRound(int placedTasks, MonotonicTime now) {
        if (!failoverTimeline.isLogged()) {
            failoverTimeline.onFirstRound(
                    machineRegistry.contactedMachineCount(),
                    heartbeatsNeeded(now),
                    placedTasks,
                    now);
        }
    }

    /** Notes a round that decided from heartbeats of nearly all machines. */
    public void recordFullRound(MonotonicTime now) {
        failoverTimeline.onFullRound(handoverState.inheritedTableCount(), now);
    }
}
