package org.meadowhollow.coordination.api;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Sends requests directly to workers. Task starts are never sent this way, because a delayed one
 * could arrive minutes late.
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
            List<WorkerCommand> commands);
}
