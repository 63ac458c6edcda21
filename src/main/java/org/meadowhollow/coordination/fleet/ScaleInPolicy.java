package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;

/**
 * Decides which machines that still respond are returned: idle, cordoned, preempted or faulty ones.
 * Silent machines are decided by {@link UnreachableMachineReturnPolicy}. Stateless.
 */
final class ScaleInPolicy {
    /**
     * An idle machine is kept for at least this long, also before any job has shown how long its
     * image takes to pull: a machine is charged for a minute in any case, and its return takes some
     * seconds, for a round and for calls that fail.
     */
    private static final double MIN_IDLE_RETENTION_SECONDS = 50;

    /** A preempted machine counts as ended after this much silence past its deadline. */
    private static final double PREEMPTED_SILENCE_SECONDS = 1;

    private final LeadershipContext leader;
    private final DeploymentSettings deploymentSettings;

    ScaleInPolicy(LeadershipContext leader, DeploymentSettings deploymentSettings) {
        this.leader = leader;
        this.deploymentSettings = deploymentSettings;
    }

    /**
     * Whether to return a machine now.
     *
     * @param retainedMachines the machines to keep although they are idle
     */
    boolean shouldReturn(Machine machine, Set<MachineId> retainedMachines, MonotonicTime now) {
        if (machine.isReleasing()) {
            return false;
        }
        if (machine.isIncarnationReset() || hasOverdueCancellation(machine, now)) {
            return true;
        }
        if (machine.preemptionDeadline() != null) {
            return machine.preemptionDeadline().isBefore(now)
                    && machine.lastContactAt() != null
                    && now.secondsSince(machine.lastContactAt()) > PREEMPTED_SILENCE_SECONDS;
        }
        if (machine.idleSince() == null || machine.lastContactAt() == null) {
            return false;
        }
        return machine.isUnschedulable()
                || (!retainedMachines.contains(machine.id()) && isIdleTooLong(machine, now));
    }

    /**
     * Whether a cancelled task still runs after half the cancellation bound: returning its machine
     * then proves its end in time.
     */
    private boolean hasOverdueCancellation(Machine machine, MonotonicTime now) {
        Duration limit = deploymentSettings.cancellationBound().dividedBy(2);
        return machine.placements().stream()
                .map(placement -> placement.job())
                .anyMatch(
                        job ->
                                job.isCancelled()
                                        && now.elapsedSince(job.cancelObservedAt()).compareTo(limit)
                                                > 0);
    }

    private boolean isIdleTooLong(Machine machine, MonotonicTime now) {
        return now.secondsSince(machine.idleSince()) > idleRetentionSeconds(machine.type());
    }

    /**
     * How long an idle machine is kept: for as long as it would take to have another one ready,
     * with its image pulled. Keeping it for no longer than it takes to replace it never costs more
     * than twice the optimum.
     */
    private double idleRetentionSeconds(MachineType type) {
        return Math.max(
                MIN_IDLE_RETENTION_SECONDS,
                type.bootSeconds() + leader.largestImageGb() / type.imagePullGbPerSecond());
    }
}
