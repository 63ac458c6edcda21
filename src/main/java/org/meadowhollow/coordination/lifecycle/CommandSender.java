package org.meadowhollow.coordination.lifecycle;

import java.util.List;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/** Sends commands directly to a worker, without waiting for its next heartbeat. */
@FunctionalInterface
public interface CommandSender {
    /**
     * Sends commands to a worker whose address is known, and returns without waiting for the
     * response. The response is a heartbeat, which is applied later under the leader's lock; a
     * failure is ignored. Called with the leader's lock held.
     */
    void sendCommands(
            Machine machine, WorkerIncarnation incarnation, List<WorkerCommand.Direct> commands);
}
