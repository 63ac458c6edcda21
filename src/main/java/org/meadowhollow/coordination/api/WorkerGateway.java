package org.meadowhollow.coordination.api;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Sends requests directly to workers. The network may deliver them minutes late, and again after
 * they were executed, so only {@link WorkerCommand.Direct} commands are sent this way.
 */
public interface WorkerGateway {
    /**
     * Sends commands to the worker at an address. The worker answers with a heartbeat, whether or
     * not it executed them; the future fails if there is no response in time.
     */
    CompletableFuture<Heartbeat> sendCommands(
            String address,
            FencingToken token,
            WorkerIncarnation workerIncarnation,
            List<WorkerCommand.Direct> commands);
}
