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
 * The leader under one fencing token, as fleet management sees it. The implementation's monitor is
 * the leader's lock, which guards the cluster state. The queries, {@link #applyMachineList} and
 * {@link #markMachineGone} take it themselves; for {@link #markTaskLost}, {@link
 * #stopWithCheckpoint} and {@link #sendCommands} the caller holds it.
 */
public interface LeadershipContext {
    /** Whether this leadership has ended; nothing may be started after that. */
    boolean isClosed();

    /** Whether everything that earlier leaders recorded has been loaded. */
    boolean isStateRecovered();

    /**
     * Whether the leader may place, stop, scale out and scale in: its lease certainly holds, and it
     * is not isolated from its workers.
     */
    boolean canActAsLeader();

    /**
     * Whether, as far as can be told, silent machines are silent for reasons of their own rather
     * than because the leader is cut off.
     */
    boolean isReachabilityHealthy();

    /** Whether a machine's heartbeat is overdue. */
    boolean isHeartbeatOverdue(Machine machine, MonotonicTime now);

    /** A copy of the list of known machines; the machines themselves are shared. */
    List<Machine> snapshotMachines();

    /**
     * Seconds from renting a new machine until a task of this kind of job would run on it, as
     * estimated.
     */
    double startupDelaySeconds(JobSpec spec);

    /** Size of the largest container image in use, in gigabytes. */
    double largestImageGb();

    /** Whether the reservation calendar excludes a machine type in a zone at this time. */
    boolean isInOutageWindow(String type, String zone);

    /** Takes in a list of machines from the cloud, which may be stale. */
    void applyMachineList(List<CloudProvider.ListedMachine> list);

    /**
     * Removes a machine that is proven gone, and marks all tasks on it lost.
     *
     * @param why the reason, for the log
     * @param forget whether to drop the machine's own records as well
     */
    void markMachineGone(MachineId id, String why, boolean forget);

    /**
     * Marks a task lost that is proven to have ended without being stopped.
     *
     * @param machine the one it ran on, or null if this leader never saw that machine
     */
    void markTaskLost(Machine machine, Placement placement, String why, MonotonicTime now);

    /** Stops a task after it has saved a checkpoint. */
    void stopWithCheckpoint(Placement placement, String why);

    /** Sends commands directly to a worker, instead of in the response to its next heartbeat. */
    void sendCommands(
            Machine machine, WorkerIncarnation workerIncarnation, List<WorkerCommand> commands);
}
