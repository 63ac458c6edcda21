package org.meadowhollow.coordination.api;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * The way straight to the workers. Starts never go this way, for a delayed one would come minutes
 * late.
 */
public interface WorkerGateway {
    /** Sends orders; the worker's report comes back whether or not they were executed. */
    CompletableFuture<Heartbeat> sendCommands(
            String address,
            FencingToken token,
            WorkerIncarnation workerIncarnation,
            List<WorkerCommand> orders);
}
