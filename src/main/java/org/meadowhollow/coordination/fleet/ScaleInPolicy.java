package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;

/**
 * Decides which machines are returned while they still respond: idle, cordoned, preempted or faulty
 * ones. {@link UnreachableMachineReturnPolicy} decides on silent machines. Stateless.
 */
final class ScaleInPolicy {
    /**
     * Minimum time for which an idle machine is kept, also before any job has shown how long its
     * image takes to pull. A machine is charged for a minute in any case, and its return takes some
     * seconds: the wait for the next round, and the retries of failed calls.
     */
    static final double MIN_IDLE_RETENTION_SECONDS = 50;

    /** Silence past the preemption deadline after which a preempted machine counts as ended. */
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
     * Whether a task still runs when half the cancellation bound has passed since its job was
     * cancelled. Returning the machine then proves the end of the task in time.
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
     * Returns the seconds for which an idle machine is kept: the time that it takes to have another
     * machine ready with its image pulled. Keeping a machine for no longer than its replacement
     * takes never costs more than twice the optimum.
     */
    private double idleRetentionSeconds(MachineType type) {
        return Math.max(
                MIN_IDLE_RETENTION_SECONDS,
                type.bootSeconds() + leader.largestImageGb() / type.imagePullGbPerSecond());
    }
}
