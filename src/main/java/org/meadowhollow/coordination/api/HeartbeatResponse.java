package org.meadowhollow.coordination.api;

import java.util.List;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.WorkerCommand;

/** The response to a worker's heartbeat. */
public sealed interface HeartbeatResponse {
    /** Renews the worker's lease, and gives it commands under the leader's fencing token. */
    record Commands(FencingToken token, List<WorkerCommand> commands)
            implements HeartbeatResponse {}

    /**
     * Renews no lease, and sends the worker to another node.
     *
     * @param member the leader, or null when it is not known
     */
    record Redirect(String member) implements HeartbeatResponse {}
}
