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

/** The leader of a term, as far as the care for its machines has to do with it. */
public interface LeadershipContext {
    boolean isClosed();

    /** Whether all that earlier leaders recorded is known. */
    boolean isStateRecovered();

    /**
     * Whether to place, stop, rent and return: the lease certainly holds, and the workers are
     * heard.
     */
    boolean canActAsLeader();

    /** Whether what is silent is so for its own reasons, as far as can be told. */
    boolean isReachabilityHealthy();

    /** Whether a machine's report is overdue. */
    boolean isHeartbeatOverdue(Machine machine, MonotonicTime now);

    List<Machine> snapshotMachines();

    /**
     * Seconds that a task of a job's kind takes on a machine that is still to be rented, until it
     * runs.
     */
    double startupDelaySeconds(JobSpec spec);

    double largestImageGb();

    /** Whether a kind of machine is closed in a zone by the calendar. */
    boolean isInOutageWindow(String type, String zone);

    void applyMachineList(List<CloudProvider.ListedMachine> list);

    /** Takes a machine, and all that was on it, as gone. */
    void markMachineGone(MachineId id, String why, boolean forget);

    /** Takes a task as gone that is proven to be, and was not stopped. */
    void markTaskLost(Machine machine, Placement placement, String why, MonotonicTime now);

    /** Stops a task so that it can save what it did. */
    void stopWithCheckpoint(Placement placement, String why);

    /** Sends orders straight to a worker. */
    void sendCommands(
            Machine machine, WorkerIncarnation workerIncarnation, List<WorkerCommand> orders);
}
