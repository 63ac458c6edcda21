package org.meadowhollow.coordination.fleet;

import java.util.List;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Provides fleet management with the operations of the leader, for one leadership (one fencing
 * token). The monitor of the implementation is the leader's lock, which guards the cluster state.
 * The queries, {@link #applyMachineList} and {@link #markMachineGone} acquire that lock themselves;
 * for {@link #markTaskLost}, {@link #stopWithCheckpoint} and {@link #sendCommands} the caller holds
 * it.
 */
public interface LeadershipContext {
    /** Whether this leadership has ended; nothing may be started after that. */
    boolean isClosed();

    /** Whether everything that earlier leaders recorded has been loaded. */
    boolean isStateRecovered();

    /**
     * Whether the leader may place and stop tasks and rent and return machines: its lease certainly
     * holds, and it is not isolated from its workers.
     */
    boolean canActAsLeader();

    /**
     * Whether the leader receives heartbeats from enough machines to attribute the silence of a
     * machine to that machine, rather than to a network fault of the leader.
     */
    boolean isReachabilityHealthy();

    /** Whether a machine's heartbeat is overdue. */
    boolean isHeartbeatOverdue(Machine machine, MonotonicTime now);

    /** Returns a copy of the list of known machines; the machines themselves are shared. */
    List<Machine> snapshotMachines();

    /**
     * Returns the estimated seconds from renting a machine until a task of this job would run on
     * it.
     */
    double startupDelaySeconds(JobSpec spec);

    /** Returns the size of the largest container image in use, in gigabytes. */
    double largestImageGb();

    /** Whether the reservation calendar excludes a machine type in a zone at this time. */
    boolean isInOutageWindow(String type, String zone);

    /** Applies a machine list from the cloud, which may be stale. */
    void applyMachineList(List<CloudProvider.ListedMachine> list);

    /**
     * Handles a machine that is proven gone: marks all tasks on it lost.
     *
     * @param reason for the log
     * @param forget whether to remove the machine itself from the registry as well
     */
    void markMachineGone(MachineId id, String reason, boolean forget);

    /**
     * Marks a task lost that is proven to have ended without being stopped.
     *
     * @param machine the machine that the task ran on, or null if this leader never saw it
     * @param reason for the log
     */
    void markTaskLost(Machine machine, Placement placement, String reason, MonotonicTime now);

    /**
     * Stops a task after it has saved a checkpoint.
     *
     * @param reason for the log
     */
    void stopWithCheckpoint(Placement placement, String reason);

    /** Sends commands directly to a worker, instead of in the response to its next heartbeat. */
    void sendCommands(
            Machine machine,
            WorkerIncarnation workerIncarnation,
            List<WorkerCommand.Direct> commands);
}
